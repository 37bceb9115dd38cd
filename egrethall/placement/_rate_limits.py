"""Divides the rate limits that upstreams state among instances."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

from egrethall.placement._upstream_state import UpstreamState
from egrethall.types import Clock, weigh

#: Instances among which the limit of one upstream is divided. Each may send one request
#: immediately, so their number bounds the burst. An availability zone of today's fleets
#: has no more, so that each of its instances has a share.
MAX_SENDERS_PER_UPSTREAM = 5

#: Time for which unused parts of a limit are kept, besides one request of each sender.
#: Requests come unevenly, so that without it a part of the limit stays unused.
BURST_SECONDS = 1.0

#: Time for which the number of senders is kept. About one round of heartbeats, which is
#: how often the reachable instances change.
SENDERS_REFRESH_SECONDS = 0.5

#: Size of the cache of rendezvous weights: some tens of limited upstreams times some
#: hundreds of instances.
MAX_CACHED_WEIGHTS = 16384

#: Limited upstreams that are tracked. A service has far fewer.
MAX_TRACKED_UPSTREAMS = 4096


@dataclass(frozen=True)
class PeerInstance:
    """Another instance of the fleet."""

    name: str
    availability_zone: str


class PeerDirectory(Protocol):
    """Lists the reachable instances of the fleet."""

    def find_reachable_peers(self) -> Sequence[PeerInstance]:
        """Returns the other instances from which heartbeats arrive."""
        ...


@dataclass
class _Share:
    """This instance's share of one upstream's limit, as a token bucket."""

    #: Requests that this instance may send now.
    tokens: float
    updated_at_seconds: float
    #: Number of instances that share the limit; 0 if this one has no share.
    sender_count: int = 0
    #: Time from which the senders are counted again.
    refresh_at_seconds: float = float("-inf")

    def refill(self, limit_per_second: float, now_seconds: float) -> None:
        elapsed_seconds = now_seconds - self.updated_at_seconds
        self.updated_at_seconds = now_seconds
        if not self.sender_count:
            return
        rate_per_second = limit_per_second / self.sender_count
        capacity = 1.0 + BURST_SECONDS * rate_per_second
        self.tokens = min(capacity, self.tokens + elapsed_seconds * rate_per_second)


class RateLimitShares:
    """Decides whether a request may be sent to an upstream that restricts requests.

    An upstream may want no requests from this instance for a while, or state a rate
    limit for the whole fleet.

    Each limit is divided equally among a few senders: reachable instances of the
    upstream's availability zone, or of all zones if it has none. They are selected by
    rendezvous hashing, so that all instances with the same view of the fleet select the
    same ones without messages.
    """

    def __init__(
        self, own_name: str, own_zone: str, peers: PeerDirectory, clock: Clock
    ) -> None:
        self._own = PeerInstance(own_name, own_zone)
        self._peers = peers
        self._clock = clock
        #: Shares by upstream.
        self._shares: dict[str, _Share] = {}
        self._weigh = lru_cache(MAX_CACHED_WEIGHTS)(weigh)

    def may_send(self, state: UpstreamState) -> bool:
        """Returns whether this instance's share has room for a request to ``state``."""
        next_send_at_seconds = self.find_next_send_seconds(state)
        return next_send_at_seconds <= self._clock.monotonic_seconds()

    def find_next_send_seconds(self, state: UpstreamState) -> float:
        """Returns the clock reading from which this instance may send to ``state``.

        It is in the past for an upstream that restricts nothing, and infinite if this
        instance has no share of the limit.
        """
        limit_per_second = state.rate_limit_per_second
        if limit_per_second is None:
            return state.paused_until_seconds
        share = self._update_share(state, limit_per_second)
        if not share.sender_count or not limit_per_second:
            return float("inf")
        missing_tokens = max(0.0, 1.0 - share.tokens)
        wait_seconds = missing_tokens * share.sender_count / limit_per_second
        return max(state.paused_until_seconds, share.updated_at_seconds + wait_seconds)

    def record_send(self, state: UpstreamState) -> None:
        """Charges a request that is sent to ``state``."""
        limit_per_second = state.rate_limit_per_second
        if limit_per_second is not None:
            self._update_share(state, limit_per_second).tokens -= 1.0

    def _update_share(self, state: UpstreamState, limit_per_second: float) -> _Share:
        """Returns the share of an upstream's limit with the tokens of now."""
        now_seconds = self._clock.monotonic_seconds()
        share = self._shares.get(state.name)
        if share is None:
            if len(self._shares) >= MAX_TRACKED_UPSTREAMS:
                self._shares.clear()
            share = self._shares[state.name] = _Share(1.0, now_seconds)
        if now_seconds >= share.refresh_at_seconds:
            share.sender_count = self._count_senders(state)
            share.refresh_at_seconds = now_seconds + SENDERS_REFRESH_SECONDS
        share.refill(limit_per_second, now_seconds)
        return share

    def _count_senders(self, state: UpstreamState) -> int:
        """Returns how many instances share the limit; 0 if this one does not."""
        zone = state.entry.availability_zone
        instances = [self._own, *self._peers.find_reachable_peers()]
        in_zone = [i for i in instances if i.availability_zone == zone]
        candidates = in_zone or instances
        if self._own not in candidates:
            return 0
        own_weight = self._weigh(state.name, self._own.name)
        heavier = sum(self._weigh(state.name, i.name) > own_weight for i in candidates)
        count = min(MAX_SENDERS_PER_UPSTREAM, len(candidates))
        return count if heavier < count else 0
