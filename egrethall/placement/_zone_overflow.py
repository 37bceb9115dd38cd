"""Decides which requests consider upstreams of other availability zones."""

from collections.abc import Sequence
from dataclasses import dataclass

import structlog

from egrethall.placement._zone_bytes import (
    URGENT_RANK,
    CrossZoneBytes,
    Transfer,
    compute_transfer_cost,
)
from egrethall.placement._zone_comparison import PlacementOutcome, ZoneComparison
from egrethall.types import Clock, RandomSource, RequestKind, UpstreamReading

#: Gain, in usual service times, above which the share rises; it falls below the second
#: one and stays in between, so that the noise of the readings does not move it.
RISE_GAIN = 0.3
FALL_GAIN = 0.0

#: Change of the share in one step. Eight steps of a mean interval take half a wave of
#: demand (11 s to 17 s).
SHARE_STEP = 0.1

#: Bounds of the random time between two steps. Instances see the same load at the same
#: time and must not move together.
MIN_STEP_SECONDS = 0.3
MAX_STEP_SECONDS = 0.9

#: Largest share. The other requests go on measuring the own zone.
MAX_SHARE = 0.8

#: Slots of an upstream that are left to its own zone's callers while that is nearly
#: full; the second value applies below :data:`URGENT_RANK`.
RESERVED_SLOTS = 1
LESS_URGENT_RESERVED_SLOTS = 2

logger = structlog.get_logger(__name__)


@dataclass
class _Decision:
    """The decision about one service, and what it is based on."""

    comparison: ZoneComparison
    next_step_at_seconds: float
    share: float = 0.0
    #: Whether leaving the zone paid off at the last step.
    pays: bool = False
    #: Zones for which it did, last of all.
    zones: frozenset[str] = frozenset()


class ZoneOverflow:
    """The share of each service's requests that considers other availability zones.

    Answers waves of demand that differ by availability zone, and zones with too few
    upstreams, at low request rates (one to three requests per second and instance) and
    with a fourth to a third of the upstreams slowed down for half a second at any
    moment. Each instance decides for itself.

    :param max_byte_ratio: see :class:`CrossZoneBytes`.
    """

    def __init__(
        self,
        own_zone: str,
        max_byte_ratio: float,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._own_zone = own_zone
        self._clock = clock
        self._random = random_source
        self.bytes = CrossZoneBytes(max_byte_ratio, clock)
        self._decisions: dict[str, _Decision] = {}

    def find_shares(self) -> dict[str, float]:
        """Returns the share of each service."""
        return {service: each.share for service, each in self._decisions.items()}

    def is_own_zone_silent(self, service: str) -> bool:
        """Returns whether the own zone has no upstream that responds to probes."""
        return self._find_decision(service).comparison.own_zone_silent

    def draw(self, service: str) -> bool:
        """Returns whether the next request of ``service`` considers other zones."""
        share = self._find_decision(service).share
        return share > 0.0 and self._random.random() < share

    def limit_further_probes(
        self, service: str, other_zone_count: int, *, has_capacity: bool
    ) -> int:
        """Returns how many further probes of a request go to other zones.

        Without capacity in the own zone, or while leaving pays off, these are all of
        ``other_zone_count``; otherwise one now and then, to compare the zones.

        :param has_capacity: whether one of the first candidates can take the request.
        """
        decision = self._find_decision(service)
        if not has_capacity or decision.pays:
            return other_zone_count
        return min(other_zone_count, int(decision.comparison.lacks_other_readings))

    def is_zone_preferred(self, service: str, zone: str) -> bool:
        """Returns whether leaving pays off for ``zone``, or for no particular one."""
        zones = self._find_decision(service).zones
        return zone == self._own_zone or not zones or zone in zones

    def may_send(
        self,
        service: str,
        kind: RequestKind,
        priority: int,
        zone: str,
        reading: UpstreamReading,
        sent_since: int,
    ) -> bool:
        """Returns whether an upstream of ``zone`` may get a request.

        The callers of another zone have priority: the upstream must have a free slot,
        and more than the reserved ones while its zone is nearly full.

        :param priority: rank of the request; 0 is the most urgent.
        :param sent_since: requests sent to the upstream since the reading.
        """
        comparison = self._find_decision(service).comparison
        if zone == self._own_zone or comparison.own_zone_silent:
            return True
        free_slots = reading.slots - reading.running - reading.waiting - sent_since
        reserved_slots = 0
        if comparison.is_nearly_full(zone):
            is_urgent = priority <= URGENT_RANK
            reserved_slots = RESERVED_SLOTS if is_urgent else LESS_URGENT_RESERVED_SLOTS
        return free_slots > reserved_slots and self.bytes.may_send(
            service, kind, priority
        )

    def record_probes(self, service: str, zones: Sequence[str]) -> None:
        """Records that upstreams of ``zones`` are probed."""
        self._find_decision(service).comparison.record_probes(zones)

    def record_reading(
        self, service: str, zone: str, reading: UpstreamReading, cost: float | None
    ) -> None:
        """Records a response to a probe, see :meth:`ZoneComparison.record_reading`."""
        self._find_decision(service).comparison.record_reading(zone, reading, cost)

    def record_outcome(self, service: str, outcome: PlacementOutcome) -> None:
        """Records what a request that did not consider other zones at first found."""
        self._find_decision(service).comparison.record_outcome(outcome)

    def start_transfer(self, service: str, kind: RequestKind, zone: str) -> Transfer:
        """Counts a request that is sent to ``zone``; pass it to the next method."""
        bounded = zone == self._own_zone or not self.is_own_zone_silent(service)
        transfer = Transfer(
            service,
            kind,
            from_other_zone=zone != self._own_zone,
            bounded=bounded,
            expected_bytes=self.bytes.estimate_bytes(service, kind) if bounded else 0.0,
        )
        self.bytes.start(transfer)
        return transfer

    def end_transfer(self, transfer: Transfer, size_bytes: int | None) -> None:
        """Counts the response of a request; ``size_bytes`` is None without one."""
        self.bytes.end(transfer, size_bytes)

    def advance(self, service: str, own_upstreams: int) -> None:
        """Changes the share by one step if a step is due.

        :param own_upstreams: upstreams of the own zone that have not failed just now.
        """
        decision = self._find_decision(service)
        decision.comparison.has_own_upstreams = own_upstreams > 0
        now_seconds = self._clock.monotonic_seconds()
        overdue_seconds = now_seconds - decision.next_step_at_seconds
        if overdue_seconds < 0.0:
            return
        decision.next_step_at_seconds = now_seconds + self._random.uniform(
            MIN_STEP_SECONDS, MAX_STEP_SECONDS
        )
        cost_here = decision.comparison.estimate_cost_here()
        costs_there = decision.comparison.estimate_costs_there()
        mean_bytes = self.bytes.estimate_service_bytes(service)
        transfer_cost = compute_transfer_cost(mean_bytes)
        before = decision.share
        if cost_here is None or not costs_there:
            # Without requests no steps were taken that had been due.
            steps = 1 + int(overdue_seconds / MAX_STEP_SECONDS)
            self._step(decision, {}, steps)
        else:
            gains = {z: cost_here - c - transfer_cost for z, c in costs_there.items()}
            self._step(decision, gains)
        if decision.share == before:
            return
        logger.info(
            "share for other zones changed",
            service=service,
            share=decision.share,
            before=before,
            zones=",".join(sorted(decision.zones)),
            cost_here=None if cost_here is None else round(cost_here, 2),
            costs_there=",".join(
                f"{zone}:{cost:.2f}" for zone, cost in sorted(costs_there.items())
            ),
            transfer_cost=round(transfer_cost, 2),
            response_bytes=round(mean_bytes),
            late_ratio=round(decision.comparison.late_ratio, 2),
            none_ratio=round(decision.comparison.none_ratio, 2),
        )

    def _step(
        self, decision: _Decision, gains: dict[str, float], fall_steps: int = 1
    ) -> None:
        """Moves the share by the gain of leaving for each zone.

        :param gains: empty without recent readings; the share falls then.
        """
        best_gain = max(gains.values(), default=float("-inf"))
        decision.pays = best_gain > RISE_GAIN
        if decision.pays:
            decision.share = min(MAX_SHARE, decision.share + SHARE_STEP)
            decision.zones = frozenset(z for z, g in gains.items() if g > FALL_GAIN)
        elif best_gain < FALL_GAIN:
            decision.share = max(0.0, decision.share - fall_steps * SHARE_STEP)
        # Sums of steps leave a remainder of rounding.
        decision.share = round(decision.share, 3)
        if not decision.share:
            decision.zones = frozenset()

    def _find_decision(self, service: str) -> _Decision:
        decision = self._decisions.get(service)
        if decision is None:
            first_step_seconds = self._random.uniform(0.0, MAX_STEP_SECONDS)
            decision = self._decisions[service] = _Decision(
                ZoneComparison(self._own_zone, self._clock),
                self._clock.monotonic_seconds() + first_step_seconds,
            )
        return decision
