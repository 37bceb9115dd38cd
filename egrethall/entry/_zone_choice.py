"""Applies :class:`ZoneOverflow` to the placements of an instance."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

from egrethall.placement import (
    CandidateLoad,
    PlacementOutcome,
    UpstreamState,
    UpstreamTable,
    ZoneOverflow,
    estimate_cost,
)

if TYPE_CHECKING:
    from egrethall.entry._placer import PlacementRequest
    from egrethall.entry._prober import ProbeResult

#: Time after which an upstream counts as found late: longer than two probe batches in
#: sequence, each of which ends soon after its first reading.
LATE_PLACEMENT_SECONDS = 0.05


class ZoneChoice:
    """Tells the decision of placements, and placements of the decision.

    :param overflow: None if the zones are compared by fixed costs; all queries then
        return what changes nothing.
    :param max_queue_ratio: longest queue of an upstream that may get a request,
        relative to its slots.
    """

    def __init__(
        self,
        own_zone: str,
        table: UpstreamTable,
        overflow: ZoneOverflow | None,
        max_queue_ratio: float,
    ) -> None:
        self._own_zone = own_zone
        self._table = table
        self._overflow = overflow
        self._max_queue_ratio = max_queue_ratio

    def advance(self, service: str) -> None:
        """Brings the decision for a service up to date."""
        if self._overflow is None:
            return
        own_upstreams = sum(
            state.entry.availability_zone == self._own_zone and not state.penalized
            for state in self._table.find_usable(service)
        )
        self._overflow.advance(service, own_upstreams)

    def draw(self, service: str) -> bool:
        """Returns whether the next request considers other zones from the first."""
        return self._overflow is not None and self._overflow.draw(service)

    def record_refusal(self, request: PlacementRequest) -> None:
        """Records that no upstream was found."""
        # A hedge is not made without a free slot, which costs its caller little.
        if self._overflow is None or request.requires_free_slot:
            return
        self._overflow.record_outcome(request.service.name, PlacementOutcome.NONE_FOUND)

    def record_placement(
        self, request: PlacementRequest, probe: ProbeResult, elapsed_seconds: float
    ) -> None:
        """Records which upstream was found, and after what time."""
        if self._overflow is None or request.considers_other_zones:
            return
        is_own = probe.state.entry.availability_zone == self._own_zone
        at_once = is_own and elapsed_seconds <= LATE_PLACEMENT_SECONDS
        self._overflow.record_outcome(
            request.service.name,
            PlacementOutcome.FOUND_AT_ONCE if at_once else PlacementOutcome.FOUND_LATE,
        )

    def count_other_zone_probes(
        self,
        request: PlacementRequest,
        other_zone_count: int,
        *,
        is_first: bool,
        has_capacity: Callable[[], bool],
    ) -> int:
        """Returns how many of the next probes of a request go to other zones.

        :param other_zone_count: their number without the decision; 0 for the first
            candidates of the request.
        :param is_first: whether a single probe follows, the first one of the request.
        :param has_capacity: returns whether an upstream probed so far can take it.
        """
        if self._overflow is None:
            return other_zone_count
        if other_zone_count and not request.considers_other_zones:
            return self._overflow.limit_further_probes(
                request.service.name, other_zone_count, has_capacity=has_capacity()
            )
        # The very first candidate is one of the own zone.
        at_least = int(request.considers_other_zones and not is_first)
        return max(other_zone_count, at_least)

    def find_unpreferred(
        self, request: PlacementRequest, usable: Collection[UpstreamState]
    ) -> set[str]:
        """Returns the upstreams of zones for which leaving the own one pays less."""
        service = request.service.name
        if (
            self._overflow is None
            or not request.considers_other_zones
            or self._overflow.is_own_zone_silent(service)
        ):
            return set()
        zones = {
            state.entry.availability_zone
            for state in usable
            if not state.penalized
            and self._overflow.is_zone_preferred(service, state.entry.availability_zone)
        }
        if not zones - {self._own_zone}:
            # The preferred zones have failed since the last step.
            return set()
        zones.add(self._own_zone)
        return {s.name for s in usable if s.entry.availability_zone not in zones}

    def record_probes(
        self, request: PlacementRequest, states: Iterable[UpstreamState]
    ) -> None:
        """Records that upstreams are probed."""
        if self._overflow is None:
            return
        zones = [state.entry.availability_zone for state in states]
        self._overflow.record_probes(request.service.name, zones)

    def record_readings(
        self, request: PlacementRequest, probes: Iterable[ProbeResult]
    ) -> None:
        """Records the responses to probes."""
        if self._overflow is None:
            return
        for probe in probes:
            reading = probe.reading
            cost = None
            occupied = reading.running + reading.waiting
            if occupied < reading.slots * (1.0 + self._max_queue_ratio):
                load = CandidateLoad(reading, probe.state.failure_ratio, same_zone=True)
                cost = estimate_cost(load, request.kind)
            zone = probe.state.entry.availability_zone
            self._overflow.record_reading(request.service.name, zone, reading, cost)

    def may_send(self, request: PlacementRequest, probe: ProbeResult) -> bool:
        """Returns whether the upstream of a probe may get the request."""
        if self._overflow is None:
            return True
        return self._overflow.may_send(
            request.service.name,
            request.kind,
            request.priority,
            probe.state.entry.availability_zone,
            probe.reading,
            probe.state.sent_requests - probe.sent_at_probe,
        )

    def estimate_transfer_cost(self, request: PlacementRequest) -> float | None:
        """Returns the cost of leaving the zone, None for the fixed one."""
        if self._overflow is None:
            return None
        return self._overflow.bytes.estimate_transfer_cost(
            request.service.name, request.kind
        )
