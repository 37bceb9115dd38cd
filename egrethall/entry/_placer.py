"""Selects the upstream for one attempt by the load that candidates report."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Protocol

import anyio

from egrethall.entry._prober import ProbeBatch, Prober, ProbeResult
from egrethall.entry._zone_choice import ZoneChoice
from egrethall.placement import (
    CandidateChoice,
    CandidateLoad,
    ColdStartShares,
    CostPolicy,
    ProbeAllowance,
    ProbeStep,
    RateLimitShares,
    UpstreamTable,
    WaitingLine,
    ZoneOverflow,
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

#: Time for which a request waits for further load readings after the first one. A
#: response to a probe takes a few milliseconds.
FURTHER_READINGS_TIMEOUT_SECONDS = 0.02

#: Time for which a request waits for the first load reading.
FIRST_READING_TIMEOUT_SECONDS = 0.3

#: Slowness from which an upstream is not used, relative to the fastest one probed: a
#: request waits for a slot of that one, or is refused. A response that takes so much
#: longer misses most objectives and occupies a slot for as long.
MAX_RELATIVE_SLOWNESS = 3.0

#: Longest queue at an upstream to which a request is added, relative to its slots.
#: Answers overload: a longer queue serves no more requests, but delays all of them
#: beyond their objectives. Some upstreams never respond to requests beyond the limit
#: of their queue.
MAX_QUEUE_RATIO = 0.5

#: Pause between two probe batches while no upstream has capacity for the request.
PROBE_BATCH_INTERVAL_SECONDS = 0.02

#: Longest wait for an upstream with capacity, as a share of the route's objective. It
#: is short because a refused caller may find capacity through another instance.
MAX_WAIT_OBJECTIVE_RATIO = 0.12

#: Bounds of the random ``Retry-After`` of a refusal. A noisy neighbour on the same
#: machine slows an upstream down for about half a second.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 0.4


class InstanceDirectory(Protocol):
    """Lists the other instances of the fleet."""

    def find_peer_names(self) -> Sequence[str]:
        """Returns the names of the other instances."""
        ...


@dataclass(frozen=True)
class PlacementRequest:
    """What the selection of an upstream needs to know of a request."""

    service: PublishedService
    kind: RequestKind
    #: Response time that the route aims at.
    objective_seconds: float
    #: Monotonic clock reading by which the response is due.
    deadline_at_seconds: float
    #: Names of upstreams that must not be selected.
    excluded: frozenset[str]
    #: Rank among the requests that wait for an upstream; 0 is the most urgent.
    priority: int = 0
    #: True if the request must not be queued at an upstream, nor wait for one.
    requires_free_slot: bool = False
    #: True if an upstream of another availability zone is among the first candidates.
    considers_other_zones: bool = False


class Placer:
    """Probes a few upstreams and selects the one with the lowest cost."""

    def __init__(
        self,
        own_zone: str,
        table: UpstreamTable,
        prober: Prober,
        cold_shares: ColdStartShares,
        limit_shares: RateLimitShares,
        probe_allowance: ProbeAllowance,
        instances: InstanceDirectory,
        clock: Clock,
        random_source: RandomSource,
        policy: CostPolicy | None = None,
        overflow: ZoneOverflow | None = None,
        choice: CandidateChoice | None = None,
    ) -> None:
        self._own_zone = own_zone
        self._table = table
        self._prober = prober
        self._cold_shares = cold_shares
        self._limit_shares = limit_shares
        self._probe_allowance = probe_allowance
        #: The requests that wait for an upstream, by service.
        self._lines: defaultdict[str, WaitingLine] = defaultdict(WaitingLine)
        self._instances = instances
        self._clock = clock
        self._random = random_source
        self._policy = policy or CostPolicy()
        self._zones = ZoneChoice(own_zone, table, overflow, MAX_QUEUE_RATIO)
        #: Chooses the candidates of large services; None to treat them as small ones.
        self._choice = choice

    async def place(self, request: PlacementRequest) -> ProbeResult:
        """Returns the probe of the selected upstream, with its connection.

        Raises :class:`RefusedError` if no upstream has capacity in time.
        """
        self._zones.advance(request.service.name)
        if self._zones.draw(request.service.name):
            request = replace(request, considers_other_zones=True)
        started_at_seconds = self._clock.monotonic_seconds()
        try:
            probe = await self._place(request)
        except RefusedError:
            self._zones.record_refusal(request)
            raise
        elapsed_seconds = self._clock.monotonic_seconds() - started_at_seconds
        self._zones.record_placement(request, probe, elapsed_seconds)
        return probe

    async def _place(self, request: PlacementRequest) -> ProbeResult:
        give_up_at_seconds = min(
            request.deadline_at_seconds,
            self._clock.monotonic_seconds()
            + MAX_WAIT_OBJECTIVE_RATIO * request.objective_seconds,
        )
        line = self._lines[request.service.name]
        if not line.occupied:
            chosen = await self._probe_and_choose(request)
            if chosen is not None:
                return chosen
            line.next_attempt_at_seconds = self._find_next_attempt_seconds()
        if request.requires_free_slot:
            raise self._make_refusal(RefusalReason.OVERLOADED, "No upstream is free.")
        with line.join(request.priority, give_up_at_seconds) as place:
            while True:
                self._check_prospects(request, line, give_up_at_seconds)
                with anyio.move_on_after(self._measure_until(give_up_at_seconds)):
                    await line.wait_for_turn(place)
                    await anyio.sleep(self._measure_until(line.next_attempt_at_seconds))
                self._check_prospects(request, line, give_up_at_seconds)
                chosen = await self._probe_and_choose(request)
                if chosen is not None:
                    return chosen
                line.next_attempt_at_seconds = self._find_next_attempt_seconds()

    async def release(self, probe: ProbeResult) -> None:
        """Returns the connection of a selected upstream that gets no request."""
        await self._prober.release(probe)

    def _check_prospects(
        self, request: PlacementRequest, line: WaitingLine, give_up_at_seconds: float
    ) -> None:
        """Raises :class:`RefusedError` if no upstream can be found in time."""
        usable = self._table.find_usable(request.service.name)
        if not usable:
            raise self._make_refusal(
                RefusalReason.NO_UPSTREAM,
                "No upstream of the service is known.",
            )
        if self._find_next_send_seconds(request) > give_up_at_seconds:
            raise self._make_refusal(
                RefusalReason.OVERLOADED,
                "All upstreams of the service are at their rate limits or refuse"
                " requests for a while.",
            )
        attempt_at_seconds = max(
            line.next_attempt_at_seconds, self._clock.monotonic_seconds()
        )
        if attempt_at_seconds >= give_up_at_seconds and not line.upstreams_respond:
            raise self._make_refusal(
                RefusalReason.UPSTREAMS_UNREACHABLE,
                "No upstream of the service responds to this instance.",
            )
        if attempt_at_seconds >= give_up_at_seconds:
            raise self._make_refusal(
                RefusalReason.OVERLOADED,
                "No upstream can take the request now.",
            )
        if not self._probe_allowance.allows_more(request.service.name, len(usable)):
            raise self._make_refusal(
                RefusalReason.OVERLOADED,
                "No upstream was free, and the allowance of probes is used up.",
            )

    def _find_next_attempt_seconds(self) -> float:
        return self._clock.monotonic_seconds() + PROBE_BATCH_INTERVAL_SECONDS

    def _measure_until(self, at_seconds: float) -> float:
        return max(0.0, at_seconds - self._clock.monotonic_seconds())

    async def _probe_and_choose(self, request: PlacementRequest) -> ProbeResult | None:
        """Returns the cheapest upstream that may get the request, or None.

        More candidates are probed if none of the first ones is good. The connections
        of the others are released.
        """
        batch = ProbeBatch()
        best = None
        try:
            for step in self._policy.find_steps(self._is_large(request)):
                if batch.probed_names and not self._may_probe_more(request):
                    break
                await self._probe_more(request, batch, step)
                best = self._find_best(request, batch.results)
                if best is not None and best[0] <= step.good_cost:
                    break
        except BaseException:
            batch.discard_pending()
            for probe in batch.results:
                await self._prober.release(probe)
            raise
        batch.discard_pending()
        line = self._lines[request.service.name]
        line.upstreams_respond = bool(batch.results) or not batch.probed_names
        chosen = None if best is None else best[1]
        if chosen is not None and not self._take_turn(request, chosen):
            chosen = None
        for probe in batch.results:
            if probe is not chosen:
                await self._prober.release(probe)
        return chosen

    def _is_large(self, request: PlacementRequest) -> bool:
        return self._choice is not None and self._table.exceeds_subset(
            request.service.name, self._own_zone
        )

    def _may_probe_more(self, request: PlacementRequest) -> bool:
        usable = self._table.find_usable(request.service.name)
        return self._probe_allowance.allows_more(request.service.name, len(usable))

    async def _probe_more(
        self,
        request: PlacementRequest,
        batch: ProbeBatch,
        step: ProbeStep,
    ) -> None:
        """Probes some more upstreams and waits for readings, within bounds."""
        usable = self._table.find_usable(request.service.name)
        at_limit = {
            state.name for state in usable if not self._limit_shares.may_send(state)
        }
        other_zone_count = self._zones.count_other_zone_probes(
            request,
            step.other_zone_count,
            is_first=step.count == 1 and not batch.probed_names,
            has_capacity=lambda: self._find_best(request, batch.results) is not None,
        )
        states = self._table.choose_candidates(
            request.service.name,
            self._own_zone,
            step.count,
            request.excluded
            | batch.probed_names
            | at_limit
            | self._zones.find_unpreferred(request, usable),
            other_zone_count=other_zone_count,
            choose_own=self._choice.choose if self._choice else None,
        )
        if not states:
            return
        self._probe_allowance.record_probes(
            request.service.name, len(usable), len(states)
        )
        self._zones.record_probes(request, states)
        if self._choice is not None:
            self._choice.record_probes(request.service.name, len(states))
        known_results = len(batch.results)
        self._prober.start_probes(states, request.service.health_path, batch)
        await self._wait_for_readings(batch, step)
        self._zones.record_readings(request, batch.results[known_results:])

    async def _wait_for_readings(self, batch: ProbeBatch, step: ProbeStep) -> None:
        if step.brief:
            with anyio.move_on_after(FURTHER_READINGS_TIMEOUT_SECONDS):
                await batch.wait_for_change()
            return
        with anyio.move_on_after(FIRST_READING_TIMEOUT_SECONDS):
            while batch.pending and not batch.results:
                await batch.wait_for_change()
        with anyio.move_on_after(FURTHER_READINGS_TIMEOUT_SECONDS):
            while batch.pending:
                await batch.wait_for_change()

    def _find_best(
        self, request: PlacementRequest, probes: list[ProbeResult]
    ) -> tuple[float, ProbeResult] | None:
        usable = [
            probe
            for probe in probes
            if self._table.is_usable(probe.state)
            and self._limit_shares.may_send(probe.state)
            and self._zones.may_send(request, probe)
        ]
        # Unhealthy and cold upstreams are used only if there are no others.
        for tier in (
            [probe for probe in usable if probe.healthy and not probe.cold],
            [probe for probe in usable if probe.healthy],
            usable,
        ):
            candidates = _exclude_slow(tier)
            scored = [
                (cost, index, probe)
                for index, probe in enumerate(candidates)
                if (cost := self._estimate_cost(request, probe)) is not None
            ]
            if scored:
                cost, _, best = min(scored)
                return cost, best
        return None

    def _estimate_cost(
        self, request: PlacementRequest, probe: ProbeResult
    ) -> float | None:
        """Returns the cost of an upstream, or None if it has no capacity."""
        reading = probe.reading
        sent_since = probe.state.sent_requests - probe.sent_at_probe
        occupied = reading.running + reading.waiting + sent_since
        max_queue_ratio = 0.0 if request.requires_free_slot else MAX_QUEUE_RATIO
        if occupied >= reading.slots * (1.0 + max_queue_ratio):
            return None
        same_zone = probe.state.entry.availability_zone == self._own_zone
        load = CandidateLoad(
            reading,
            probe.state.failure_ratio,
            same_zone,
            sent_since,
            self._zones.estimate_transfer_cost(request),
        )
        return estimate_cost(load, request.kind)

    def _take_turn(self, request: PlacementRequest, probe: ProbeResult) -> bool:
        """Returns whether the upstream may get the request now.

        Takes a turn from this instance's shares of the upstream's cold rate and of the
        rate limit that it states, where it has them.
        """
        if probe.cold and not self._cold_shares.try_acquire(
            probe.state.name,
            request.service.cold_rate_per_second,
            self._instances.find_peer_names(),
        ):
            return False
        self._limit_shares.record_send(probe.state)
        return True

    def _find_next_send_seconds(self, request: PlacementRequest) -> float:
        """Returns the clock reading from which some upstream's limit has room."""
        usable = self._table.find_usable(request.service.name)
        return min(
            map(self._limit_shares.find_next_send_seconds, usable),
            default=float("-inf"),
        )

    def _make_refusal(self, reason: RefusalReason, detail: str) -> RefusedError:
        retry_after_seconds = self._random.uniform(
            MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
        )
        return RefusedError(Refusal(reason, detail, retry_after_seconds))


def _exclude_slow(probes: list[ProbeResult]) -> list[ProbeResult]:
    """Returns the upstreams that are not much slower than the fastest one."""
    slowness_ratios = [probe.reading.slowness_ratio for probe in probes]
    max_slowness_ratio = min(slowness_ratios, default=0.0) * MAX_RELATIVE_SLOWNESS
    return [p for p in probes if p.reading.slowness_ratio < max_slowness_ratio]
