"""Upstream selection for each attempt, with a fair queue while all are busy."""

from __future__ import annotations

import anyio

from egrethall.admission._fair_queue import FairQueue
from egrethall.routing._choosers import UpstreamChooser
from egrethall.routing._directory import UpstreamDirectory
from egrethall.routing._records import Candidate, UpstreamRecord
from egrethall.routing._tickets import SelectedUpstreamTicket
from egrethall.types import (
    AttemptOutcome,
    Clock,
    Configuration,
    LoadReport,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
    Service,
    UpstreamState,
    UpstreamTokenGate,
)

#: Limit of calls in flight per slot when all upstreams are full. Load readings are
#: stale, so a limit of exactly the slots would leave upstreams idle between readings.
OVERCOMMIT_RATIO = 1.5

#: Range of the random delay before a cold upstream that had no token is tried again.
COLD_RETRY_RANGE_SECONDS = (0.1, 0.3)

#: Interval between checks of the queues. Capacity also becomes available as readings
#: age and cold upstreams get tokens, and neither raises an event.
SERVE_TICK_SECONDS = 0.02


class UpstreamSelectorService:
    """Implements :class:`~egrethall.types.UpstreamSelector`.

    Upstreams with a free slot in this instance's availability zone come first, then
    those in other availability zones, then upstreams up to :data:`OVERCOMMIT_RATIO`
    times their slots. If there is none, the request waits in its service's queue.

    :param availability_zone: the availability zone of this instance.
    :param upstream_token_gate: provides the tokens of upstreams that are not warm.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        chooser: UpstreamChooser,
        upstream_token_gate: UpstreamTokenGate,
        availability_zone: str,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._directory = directory
        self._chooser = chooser
        self._upstream_token_gate = upstream_token_gate
        self._availability_zone = availability_zone
        self._clock = clock
        self._random = random
        self._queues: dict[str, FairQueue[UpstreamRecord]] = {}
        self._cold_retry_at_seconds: dict[str, float] = {}
        #: Wakes :meth:`run` when a request starts to wait; None while it is awake.
        self._waiting_started: anyio.Event | None = None

    async def run(self) -> None:
        """Serves the queues until cancelled."""
        while True:
            if not any(self._queues.values()):
                self._waiting_started = anyio.Event()
                await self._waiting_started.wait()
                self._waiting_started = None
            await anyio.sleep(SERVE_TICK_SECONDS)
            self.serve_waiting()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Sets the queues' capacities and removes the queues of removed services."""
        services = {service.name: service for service in configuration.services}
        for name, queue in list(self._queues.items()):
            if name in services:
                queue.set_capacity(services[name].max_queue)
                continue
            queue.refuse_all(_refuse_without_upstream(name))
            del self._queues[name]
        self._cold_retry_at_seconds.clear()

    def is_overloaded(self, service: str) -> bool:
        """Returns whether requests wait in the queue of ``service``."""
        queue = self._queues.get(service)
        return queue is not None and len(queue) > 0

    def count_waiting(self, service: str) -> int:
        """Returns how many requests wait in the queue of ``service``."""
        queue = self._queues.get(service)
        return 0 if queue is None else len(queue)

    async def acquire(
        self,
        service: Service,
        organisation: str,
        deadline_at_seconds: float,
        excluded: frozenset[str] = frozenset(),
    ) -> SelectedUpstreamTicket:
        """Returns a ticket for an upstream that is not in ``excluded``.

        Raises :class:`RefusedError` with ``overloaded`` or ``no-upstream``.
        """
        queue = self._find_queue(service)
        while True:
            if not self._has_eligible(service.name, excluded):
                raise RefusedError(_refuse_without_upstream(service.name))
            record = None
            if len(queue) == 0:
                record = self._try_reserve(service.name, excluded)
            if record is None:
                if self._waiting_started is not None:
                    self._waiting_started.set()
                record = await queue.wait(
                    organisation,
                    deadline_at_seconds,
                    lambda: self._try_reserve(service.name, excluded),
                    self._withdraw,
                    cost=queue.estimate_cost(organisation),
                    is_skippable=bool(excluded),
                )
            if await self._confirm_reservation(record, deadline_at_seconds):
                now = self._clock.monotonic_seconds()
                return SelectedUpstreamTicket(self, record, organisation, now)

    def serve_waiting(self) -> None:
        """Reserves free slots for the requests waiting in all queues.

        Called at regular intervals.
        """
        for name, queue in self._queues.items():
            if len(queue) == 0:
                continue
            if not self._has_eligible(name, frozenset()):
                queue.refuse_all(_refuse_without_upstream(name))
                continue
            queue.serve()

    def observe_response(
        self, record: UpstreamRecord, report: LoadReport | None, latency_seconds: float
    ) -> None:
        """Records response headers; called by tickets."""
        self._directory.observe_response(record, report, latency_seconds)
        queue = self._queues.get(record.service)
        if queue is not None:
            queue.observe_answer(latency_seconds)
        self._serve_queue(record.service)

    def finish_call(
        self,
        record: UpstreamRecord,
        organisation: str,
        outcome: AttemptOutcome,
        started_at_seconds: float,
    ) -> None:
        """Records an attempt's outcome and frees its slot; called by tickets."""
        elapsed_seconds = self._clock.monotonic_seconds() - started_at_seconds
        answered = outcome is AttemptOutcome.ANSWERED
        if answered:
            self._directory.observe_success(record)
        else:
            self._directory.observe_failure(record, outcome, elapsed_seconds)
        queue = self._queues.get(record.service)
        if queue is not None:
            queue.end_service(organisation, elapsed_seconds if answered else None)
        self._serve_queue(record.service)

    def _serve_queue(self, service: str) -> None:
        queue = self._queues.get(service)
        if queue is not None and len(queue) > 0:
            queue.serve()

    def _find_queue(self, service: Service) -> FairQueue[UpstreamRecord]:
        queue = self._queues.get(service.name)
        if queue is None:
            queue = FairQueue(service.name, service.max_queue, self._clock)
            self._queues[service.name] = queue
        return queue

    def _has_eligible(self, service: str, excluded: frozenset[str]) -> bool:
        for record in self._directory.find_records(service):
            if not record.leaving and record.upstream.name not in excluded:
                return True
        return False

    def _try_reserve(
        self, service: str, excluded: frozenset[str]
    ) -> UpstreamRecord | None:
        """Reserves a slot at an upstream; returns None if none is available."""
        record = self._choose(service, excluded)
        if record is None:
            return None
        self._directory.begin_call(record)
        queue = self._queues.get(service)
        if queue is not None:
            queue.begin_service()
        return record

    def _withdraw(self, record: UpstreamRecord) -> None:
        """Releases a reserved slot that was not used."""
        self._directory.withdraw_call(record)
        queue = self._queues.get(record.service)
        if queue is not None:
            queue.end_service("", None)
        self._serve_queue(record.service)

    async def _confirm_reservation(
        self, record: UpstreamRecord, deadline_at_seconds: float
    ) -> bool:
        """Takes the token that the reserved upstream needs, if it is not warm.

        Releases the slot and returns False if there is no token or if the upstream was
        removed or started to leave after the reservation.
        """
        name = record.upstream.name
        try:
            confirmed = self._is_current(record)
            if confirmed and record.state is not UpstreamState.WARM:
                confirmed = await self._upstream_token_gate.take_token(
                    name, deadline_at_seconds
                )
                if not confirmed:
                    self._delay_cold_retry(name)
                confirmed = confirmed and self._is_current(record)
        except BaseException:
            self._withdraw(record)
            raise
        if not confirmed:
            self._withdraw(record)
        return confirmed

    def _is_current(self, record: UpstreamRecord) -> bool:
        found = self._directory.find_record(record.upstream.name)
        return found is record and not record.leaving

    def _delay_cold_retry(self, name: str) -> None:
        pause_seconds = self._random.uniform(*COLD_RETRY_RANGE_SECONDS)
        now = self._clock.monotonic_seconds()
        self._cold_retry_at_seconds[name] = now + pause_seconds

    def _choose(self, service: str, excluded: frozenset[str]) -> UpstreamRecord | None:
        now = self._clock.monotonic_seconds()
        local: list[UpstreamRecord] = []
        remote: list[UpstreamRecord] = []
        cold: list[UpstreamRecord] = []
        for record in self._directory.find_open_records(service, excluded):
            if record.state is not UpstreamState.WARM:
                retry_at = self._cold_retry_at_seconds.get(record.upstream.name, 0.0)
                if retry_at <= now:
                    cold.append(record)
            elif record.upstream.availability_zone == self._availability_zone:
                local.append(record)
            else:
                remote.append(record)
        # Cold upstreams are tried for only the share of requests that they would get if
        # warm, so that few requests wait for a token while others have free slots.
        share = len(cold) / (len(cold) + len(local) + len(remote) or 1)
        if cold and self._random.random() < share:
            return self._random.choice(cold)
        chosen = self._choose_warm(service, local, remote)
        if chosen is None and cold:
            return self._random.choice(cold)
        return chosen

    def _choose_warm(
        self, service: str, local: list[UpstreamRecord], remote: list[UpstreamRecord]
    ) -> UpstreamRecord | None:
        """Returns a warm upstream with a free slot, or one within the overcommit."""
        busy: list[Candidate] = []
        for records in (local, remote):
            candidates = self._directory.make_candidates(service, records)
            free = [item for item in candidates if item.in_flight < item.slots]
            if free:
                return self._choose_among(free)
            busy += [
                item
                for item in candidates
                if item.in_flight < OVERCOMMIT_RATIO * item.slots
            ]
        return self._choose_among(busy) if busy else None

    def _choose_among(self, candidates: list[Candidate]) -> UpstreamRecord | None:
        return self._directory.find_record(self._chooser.choose(candidates).name)


def _refuse_without_upstream(service: str) -> Refusal:
    return Refusal(
        RefusalReason.NO_UPSTREAM, f"service {service} has no upstream in service"
    )
