"""Which instances may send to a cold upstream, and how much."""

from collections.abc import Sequence

from egrethall.types import Clock, weigh

#: Instances that share a cold upstream's rate. Each may send one request at once, so
#: few of them keep the sum near the rate; two sides of a cut make it twice as many.
SENDERS = 3

#: Share of the rate that is used, so that both sides of a cut together stay within
#: what the upstream bears.
RATE_RATIO = 0.7

#: Buckets that are kept; the upstreams of a service that starts cold are far fewer.
MAX_BUCKETS = 4096


class ColdStartShares:
    """Divides the rate of each cold upstream among a few instances without messages.

    The senders of an upstream are the instances with the highest rendezvous hash, so
    that all instances that know the same members agree on them.
    """

    def __init__(self, own_name: str, clock: Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        #: Time from which the next request to each upstream may be sent.
        self._next_at_seconds: dict[str, float] = {}

    def is_sender(self, upstream: str, members: Sequence[str]) -> bool:
        """Returns whether this instance may send to ``upstream`` while it is cold."""
        own_weight = weigh(upstream, self._own_name)
        heavier = sum(weigh(upstream, name) > own_weight for name in members)
        return heavier < SENDERS

    def take_turn(
        self, upstream: str, rate_per_second: float, members: Sequence[str]
    ) -> bool:
        """Takes the place of one request; returns False if there is none."""
        if rate_per_second <= 0 or not self.is_sender(upstream, members):
            return False
        now_seconds = self._clock.monotonic_seconds()
        if now_seconds < self._next_at_seconds.get(upstream, now_seconds):
            return False
        if len(self._next_at_seconds) >= MAX_BUCKETS:
            self._next_at_seconds.clear()
        senders = min(SENDERS, len(members) + 1)
        interval_seconds = senders / (rate_per_second * RATE_RATIO)
        self._next_at_seconds[upstream] = now_seconds + interval_seconds
        return True
