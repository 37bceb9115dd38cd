"""Finds the upstream for one attempt."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio

from egrethall.entry._prober import Probe, Prober, ProbeRound
from egrethall.placement import (
    ColdStartShares,
    CostPolicy,
    ProbeReading,
    UpstreamTable,
    estimate_cost,
)
from egrethall.types import (
    Clock,
    PublishedService,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
    RequestKind,
)

#: Time for which a request waits for further readings once it has a usable one. An
#: answer to a probe takes a few milliseconds.
PATIENCE_SECONDS = 0.02

#: Time for which a request waits for a first reading.
FIRST_READING_SECONDS = 0.3

#: Time after which readings are taken anew while no upstream can take the request.
RETRY_READING_SECONDS = 0.02

#: Share of the objective for which a request waits for a place. It is short because
#: a caller that is refused may find a place through another instance.
WAIT_OBJECTIVE_RATIO = 0.12

#: Bounds of the time after which a refused caller may come back. Neighbours slow an
#: upstream down for about half a second.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 0.4


class FleetView(Protocol):
    """Which other instances there are."""

    def find_names(self) -> Sequence[str]:
        """Returns the names of the other instances."""
        ...


@dataclass(frozen=True)
class PlacementRequest:
    """What is to be placed."""

    service: PublishedService
    kind: RequestKind
    objective_seconds: float
    deadline_at_seconds: float
    excluded: frozenset[str]
    #: True if only an upstream that is free at this moment is of use.
    at_once: bool = False


class Placer:
    """Takes readings of a few upstreams and chooses the cheapest."""

    def __init__(
        self,
        own_zone: str,
        table: UpstreamTable,
        prober: Prober,
        cold_shares: ColdStartShares,
        fleet: FleetView,
        clock: Clock,
        random_source: RandomSource,
        policy: CostPolicy | None = None,
    ) -> None:
        self._own_zone = own_zone
        self._table = table
        self._prober = prober
        self._cold_shares = cold_shares
        self._fleet = fleet
        self._clock = clock
        self._random = random_source
        self._policy = policy or CostPolicy()

    async def place(self, request: PlacementRequest) -> Probe:
        """Returns the probe of the upstream to send to, with its connection.

        Raises :class:`RefusedError` if there is none.
        """
        give_up_at_seconds = min(
            request.deadline_at_seconds,
            self._clock.monotonic_seconds()
            + WAIT_OBJECTIVE_RATIO * request.objective_seconds,
        )
        while True:
            chosen = await self._take_readings(request)
            if chosen is not None:
                return chosen
            if request.at_once:
                raise self._refuse(RefusalReason.OVERLOADED, "No upstream is free.")
            if not self._table.find_usable(request.service.name):
                raise self._refuse(
                    RefusalReason.NO_UPSTREAM, "No upstream of the service is known."
                )
            now_seconds = self._clock.monotonic_seconds()
            if now_seconds + RETRY_READING_SECONDS >= give_up_at_seconds:
                raise self._refuse(
                    RefusalReason.OVERLOADED, "No upstream can take the request now."
                )
            await anyio.sleep(RETRY_READING_SECONDS)

    async def _take_readings(self, request: PlacementRequest) -> Probe | None:
        policy = self._policy
        probes = ProbeRound()
        try:
            await self._extend(request, probes, policy.first_candidates, 0)
            best = self._find_best(request, probes.probes)
            if best is None or best[0] > policy.good_cost:
                await self._extend(request, probes, policy.more_candidates, 2)
                best = self._find_best(request, probes.probes)
        except BaseException:
            probes.abandon()
            for probe in probes.probes:
                await self._prober.release(probe)
            raise
        probes.abandon()
        chosen = None if best is None else best[1]
        if chosen is not None and not self._may_send(request, chosen):
            chosen = None
        for probe in probes.probes:
            if probe is not chosen:
                await self._prober.release(probe)
        return chosen

    async def _extend(
        self, request: PlacementRequest, probes: ProbeRound, count: int, far: int
    ) -> None:
        """Probes ``count`` more upstreams and waits for what is worth waiting for."""
        states = self._table.choose_candidates(
            request.service.name,
            self._own_zone,
            count,
            request.excluded | probes.asked,
            other_zones=far,
        )
        if not states:
            return
        self._prober.start_round(states, request.service.health_path, probes)
        with anyio.move_on_after(FIRST_READING_SECONDS):
            while probes.pending and not probes.probes:
                await probes.wait_for_change()
        with anyio.move_on_after(PATIENCE_SECONDS):
            while probes.pending:
                await probes.wait_for_change()

    def _find_best(
        self, request: PlacementRequest, probes: list[Probe]
    ) -> tuple[float, Probe] | None:
        usable = [probe for probe in probes if self._table.is_usable(probe.state)]
        # An upstream that calls itself ill or is cold serves where no other does.
        for candidates in (
            [probe for probe in usable if probe.healthy and not probe.cold],
            [probe for probe in usable if probe.healthy],
            usable,
        ):
            rated = [
                (cost, index, probe)
                for index, probe in enumerate(candidates)
                if (cost := self._rate(request, probe)) is not None
            ]
            if rated:
                cost, _, best = min(rated)
                return cost, best
        return None

    def _rate(self, request: PlacementRequest, probe: Probe) -> float | None:
        """Returns the cost of an upstream, or None if it has no place."""
        reading = probe.reading
        sent_since = probe.state.sent - probe.sent_before
        occupied = reading.running + reading.waiting + sent_since
        if occupied >= reading.slots * (1 if request.at_once else 2):
            # A line as long as the slots takes two work times, which is too late
            # for most objectives; some upstreams never answer beyond their line.
            return None
        same_zone = probe.state.entry.availability_zone == self._own_zone
        return estimate_cost(
            ProbeReading(reading, probe.state.failure_ratio, same_zone, sent_since),
            request.kind,
        )

    def _may_send(self, request: PlacementRequest, probe: Probe) -> bool:
        if not probe.cold:
            return True
        return self._cold_shares.take_turn(
            probe.state.name,
            request.service.cold_rate_per_second,
            self._fleet.find_names(),
        )

    def _refuse(self, reason: RefusalReason, detail: str) -> RefusedError:
        wait_seconds = self._random.uniform(
            MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
        )
        return RefusedError(Refusal(reason, detail, wait_seconds))
