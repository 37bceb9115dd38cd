"""Selects the few upstreams of a large service that one instance sends to.

Designed for fleets whose instances serve one to three requests a second each, of some
services: with a fixed number of upstreams, an instance returns to an upstream only
after its idle connection has expired, and opens a new one for each request.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

import structlog

from egrethall.placement._rate_limits import PeerDirectory
from egrethall.placement._upstream_state import UpstreamState
from egrethall.types import Clock

#: Upstreams of one availability zone from which an instance chooses candidates. Few
#: enough that an instance with some requests a second uses a connection again before
#: the upstream closes it, many enough that upstreams get even shares of the requests.
SUBSET_SIZE = 12

#: Fewest upstreams from which an instance chooses. With 30 % of them slow, four are all
#: slow at once in less than 1 % of the cases.
MIN_SUBSET_SIZE = 4

#: Time in which each upstream of the subset is to be visited once. Half the time for
#: which an idle connection is kept, since visits are random.
REVISIT_SECONDS = 4.0

#: Time over which probes are averaged. Longer than the waves of demand (11 to 17 s), as
#: each change of the size costs new connections.
RATE_WINDOW_SECONDS = 15.0

#: Change of the wanted size from which the size follows.
SIZE_HYSTERESIS = 0.75

#: Time for which the place of this instance among the others is kept. About one round
#: of heartbeats, which is how often the known instances change.
PLACE_REFRESH_SECONDS = 0.5

#: Names whose positions are kept: some hundreds of instances and upstreams.
MAX_CACHED_POSITIONS = 4096

logger = structlog.get_logger(__name__)


@lru_cache(MAX_CACHED_POSITIONS)
def _find_position(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


@dataclass
class _ProbeRate:
    #: Probes, each weighted by ``exp(-age / RATE_WINDOW_SECONDS)``.
    weighted_probes: float
    updated_at_seconds: float
    #: First probe; the average has no earlier ones.
    first_at_seconds: float
    size: int = SUBSET_SIZE


class SubsetSizes:
    """Sizes of the subsets of one instance, by its own rate of probes of a service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[str, _ProbeRate] = {}

    def record_probes(self, service: str, count: int) -> None:
        """Records that ``count`` upstreams of ``service`` are probed now."""
        now_seconds = self._clock.monotonic_seconds()
        rate = self._rates.get(service)
        if rate is None:
            self._rates[service] = _ProbeRate(count, now_seconds, now_seconds)
            return
        rate.weighted_probes = self._decay(rate, now_seconds) + count
        rate.updated_at_seconds = now_seconds
        self._update_size(service, rate)

    def find_size(self, service: str) -> int:
        """Returns the number of upstreams to choose from.

        It is :data:`SUBSET_SIZE` until probes were seen for a fifth of the window.
        """
        rate = self._rates.get(service)
        return SUBSET_SIZE if rate is None else rate.size

    def _update_size(self, service: str, rate: _ProbeRate) -> None:
        seen_seconds = rate.updated_at_seconds - rate.first_at_seconds
        if seen_seconds < RATE_WINDOW_SECONDS / 5:
            return
        weight_seconds = RATE_WINDOW_SECONDS * -math.expm1(
            -seen_seconds / RATE_WINDOW_SECONDS
        )
        per_second = rate.weighted_probes / weight_seconds
        wanted = min(max(per_second * REVISIT_SECONDS, MIN_SUBSET_SIZE), SUBSET_SIZE)
        if abs(wanted - rate.size) < SIZE_HYSTERESIS:
            return
        rate.size = round(wanted)
        logger.info(
            "subset size changed",
            service=service,
            size=rate.size,
            probes_per_second=round(per_second, 2),
        )

    def _decay(self, rate: _ProbeRate, now_seconds: float) -> float:
        age_seconds = now_seconds - rate.updated_at_seconds
        return rate.weighted_probes * math.exp(-age_seconds / RATE_WINDOW_SECONDS)


class FleetSubset:
    """Spreads the subsets of the instances of a zone evenly over its upstreams.

    Upstreams form a ring in the order of their hashes. The instances of the zone, in
    the order of theirs, start at even distances on it (as the subsets of Beyer et al.,
    "Site Reliability Engineering", 2016, chapter 20). Each upstream is so in as many
    subsets as any other, plus or minus one. While there are more instances than
    upstreams, one that comes or goes moves each start by one upstream at most, so that
    most connections stay in use.
    """

    def __init__(
        self, own_name: str, own_zone: str, peers: PeerDirectory, clock: Clock
    ) -> None:
        self._own_name = own_name
        self._own_zone = own_zone
        self._peers = peers
        self._clock = clock
        self._instance_count = 1
        self._preceding_count = 0
        self._refresh_at_seconds = float("-inf")

    def choose(
        self,
        candidates: Sequence[UpstreamState],
        upstreams: Sequence[UpstreamState],
        size: int,
        count: int,
    ) -> list[UpstreamState]:
        """Returns the candidates of the subset, and more if they are under ``count``.

        :param candidates: upstreams that may be probed for the request.
        :param upstreams: all usable upstreams of the zone, which form the ring, so that
            one that fails moves no other.
        :param size: number of upstreams of the subset. Few instances use more, up to
            :data:`SUBSET_SIZE`, so that they cover all upstreams together.
        """
        self._refresh_place()
        size = max(
            size, min(math.ceil(len(upstreams) / self._instance_count), SUBSET_SIZE)
        )
        ring = sorted(upstreams, key=lambda state: _find_position(state.name))
        start = self._preceding_count * len(ring) // self._instance_count
        allowed = {state.name for state in candidates}
        turned = ring[start:] + ring[:start]
        sound = [state for state in turned if not state.penalized and not state.cold]
        subset = [state for state in sound[:size] if state.name in allowed]
        further = [state for state in sound[size:] if state.name in allowed]
        return subset + further[: max(0, count - len(subset))]

    def _refresh_place(self) -> None:
        now_seconds = self._clock.monotonic_seconds()
        if now_seconds < self._refresh_at_seconds:
            return
        own_position = _find_position(self._own_name)
        positions = [
            _find_position(peer.name)
            for peer in self._peers.find_reachable_peers()
            if peer.availability_zone == self._own_zone
        ]
        self._instance_count = len(positions) + 1
        self._preceding_count = sum(p < own_position for p in positions)
        self._refresh_at_seconds = now_seconds + PLACE_REFRESH_SECONDS
