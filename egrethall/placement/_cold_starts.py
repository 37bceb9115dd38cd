"""Limits which instances may send to a cold upstream, and at what rate."""

from collections.abc import Sequence

from egrethall.types import Clock, weigh

#: Instances that share the cold rate of one upstream. Each may send one request
#: immediately, so a small number keeps the total close to the rate. During a network
#: partition each side selects this many, which doubles their number.
SENDERS_PER_UPSTREAM = 3

#: Fraction of the cold rate that the senders use together. The rest is a margin for a
#: network partition, in which the senders of both sides add up.
USED_RATE_RATIO = 0.7

#: Upstreams whose next send time is kept. A service that starts cold has far fewer.
MAX_TRACKED_UPSTREAMS = 4096


class ColdStartShares:
    """Divides the rate of each cold upstream among a few instances.

    The senders of an upstream are the instances with the highest rendezvous hash, so
    all instances with the same view of the fleet select the same senders without
    exchanging messages.
    """

    def __init__(self, own_name: str, clock: Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        #: Earliest time of the next request to each upstream.
        self._next_send_at_seconds: dict[str, float] = {}

    def is_sender(self, upstream: str, members: Sequence[str]) -> bool:
        """Returns whether this instance may send to ``upstream`` while it is cold.

        :param members: names of the other instances.
        """
        own_weight = weigh(upstream, self._own_name)
        heavier = sum(weigh(upstream, name) > own_weight for name in members)
        return heavier < SENDERS_PER_UPSTREAM

    def try_acquire(
        self, upstream: str, rate_per_second: float, members: Sequence[str]
    ) -> bool:
        """Claims the right to send one request now; returns False if not allowed.

        :param rate_per_second: rate that ``upstream`` accepts from the whole fleet
            while it is cold.
        :param members: names of the other instances.
        """
        if rate_per_second <= 0 or not self.is_sender(upstream, members):
            return False
        now_seconds = self._clock.monotonic_seconds()
        if now_seconds < self._next_send_at_seconds.get(upstream, now_seconds):
            return False
        if len(self._next_send_at_seconds) >= MAX_TRACKED_UPSTREAMS:
            self._next_send_at_seconds.clear()
        senders = min(SENDERS_PER_UPSTREAM, len(members) + 1)
        interval_seconds = senders / (rate_per_second * USED_RATE_RATIO)
        self._next_send_at_seconds[upstream] = now_seconds + interval_seconds
        return True
