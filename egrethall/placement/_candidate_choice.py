"""Chooses the upstreams to probe for a request of a large service.

Designed for fleets with more upstreams of a service in an availability zone than an
instance with one to three requests a second can keep connections to.
"""

from collections.abc import Callable

from egrethall.placement._subset_size import FleetSubset, SubsetSizes
from egrethall.placement._upstream_state import UpstreamState
from egrethall.types import RandomSource

#: Random upstreams of the subset from which one with an idle connection is preferred.
#: Two keep the choice random enough that no upstream gets most of the requests.
COMPARED_CANDIDATES = 2


class CandidateChoice:
    """Prefers upstreams of this instance's subset with an idle connection.

    :param has_idle_connection: returns whether a probe needs no new connection.
    """

    def __init__(
        self,
        subset: FleetSubset,
        sizes: SubsetSizes,
        has_idle_connection: Callable[[UpstreamState], bool],
        random_source: RandomSource,
    ) -> None:
        self._subset = subset
        self._sizes = sizes
        self._has_idle_connection = has_idle_connection
        self._random = random_source

    def record_probes(self, service: str, count: int) -> None:
        """Records that ``count`` upstreams of ``service`` are probed now."""
        self._sizes.record_probes(service, count)

    def choose(
        self,
        candidates: list[UpstreamState],
        upstreams: list[UpstreamState],
        count: int,
    ) -> list[UpstreamState]:
        """Returns up to ``count`` of the candidates to probe.

        :param upstreams: all usable upstreams of the zone.
        """
        if count <= 0 or not candidates:
            return []
        service = candidates[0].entry.service
        size = self._sizes.find_size(service)
        subset = self._subset.choose(candidates, upstreams, size, count)
        chosen: list[UpstreamState] = []
        while subset and len(chosen) < count:
            compared = self._random.sample(
                subset, min(COMPARED_CANDIDATES, len(subset))
            )
            idle = filter(self._has_idle_connection, compared)
            chosen.append(next(idle, compared[0]))
            subset.remove(chosen[-1])
        return chosen
