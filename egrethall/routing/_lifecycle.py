"""Lifecycle state changes of upstreams and the facts that announce them to peers."""

from typing import Protocol

from egrethall.routing._records import LeavingSignal, UpstreamRecord
from egrethall.types import (
    AuditEvent,
    AuditTrail,
    Clock,
    LoadReport,
    UpstreamFact,
    UpstreamState,
)

#: Time after an upstream was observed to be cold or draining in which a holder's fact
#: that it has recovered is ignored: the holder may not have known of the observation.
RECOVERY_HOLD_OFF_SECONDS = 1.0

#: Minimum interval between published facts about an upstream in the same state.
PUBLISH_INTERVAL_SECONDS = 0.5

#: Time window in which connection failures at several upstreams count as one fault.
LOCAL_FAULT_WINDOW_SECONDS = 2.0

#: Connection failures at more than this share of all upstreams indicate a fault in
#: this instance's own network, which must not be published as cold starts.
LOCAL_FAULT_RATIO = 0.5


class FactPublisher(Protocol):
    """Publishes facts to all peers without waiting for the next heartbeat."""

    def publish_fact(self, fact: UpstreamFact) -> None:
        """Queues an :class:`~egrethall.types.UpstreamEvent` for every peer."""
        ...


class UpstreamLifecycle:
    """Applies observed and reported lifecycle states to upstream records.

    Cold and draining apply at once, whichever instance observed them. Warming and
    warm apply only if the holder of the upstream's shard reports them for the current
    start id.
    """

    def __init__(
        self, clock: Clock, audit_trail: AuditTrail, publisher: FactPublisher
    ) -> None:
        self._clock = clock
        self._audit_trail = audit_trail
        self._publisher = publisher
        self._published_at_seconds: dict[str, float] = {}
        self._connect_failed_at_seconds: dict[str, float] = {}
        #: Configuration revision, included in audit events.
        self.revision = 0

    def set_state(
        self, record: UpstreamRecord, state: UpstreamState, actor: str
    ) -> None:
        """Sets the state and records a change in the audit trail."""
        if record.state is state:
            return
        before, record.state = record.state, state
        self._audit_trail.record(
            AuditEvent(
                kind="upstream-state",
                actor=actor,
                subject=record.upstream.name,
                before=before.value,
                after=state.value,
                revision=self.revision,
            )
        )

    def add_leaving_signal(
        self, record: UpstreamRecord, signal: LeavingSignal, actor: str
    ) -> None:
        """Adds a leaving signal, which stops new requests to the upstream at once."""
        if signal in record.leaving:
            return
        record.leaving.add(signal)
        if signal is LeavingSignal.DRAINING:
            record.draining_since_seconds = self._clock.monotonic_seconds()
        self.set_state(record, UpstreamState.DRAINING, actor)

    def remove_leaving_signal(
        self, record: UpstreamRecord, signal: LeavingSignal, actor: str
    ) -> None:
        """Removes a leaving signal; after the last one the upstream returns as cold."""
        if signal not in record.leaving:
            return
        record.leaving.remove(signal)
        if not record.leaving:
            self._mark_cold(record, actor, self._clock.monotonic_seconds())

    def observe_report(
        self, record: UpstreamRecord, report: LoadReport, sent_at_seconds: float
    ) -> None:
        """Applies an upstream's load report from a response or a probe.

        :param sent_at_seconds: when the request or probe was sent.
        """
        now = self._clock.monotonic_seconds()
        if report.start_id != record.start_id:
            if record.start_id and sent_at_seconds < record.start_seen_at_seconds:
                # The two start ids prove a restart, but not which run is newer, so
                # the known start id stays and the upstream becomes cold.
                self._observe_cold(record, "start-id", now)
                return
            self._adopt_start_id(record, report.start_id, now, "start-id", publish=True)
        record.store_report(report, now)
        if report.state is UpstreamState.DRAINING:
            self._observe_draining(record)
            return
        if sent_at_seconds > record.draining_since_seconds:
            self.remove_leaving_signal(record, LeavingSignal.DRAINING, "load-report")
        if report.state is UpstreamState.COLD:
            self._observe_cold(record, "load-report", now)
        elif record.state is UpstreamState.WARM:
            record.warm_seen_at_seconds = now

    def observe_connect_failure(self, record: UpstreamRecord, total: int) -> None:
        """Marks an upstream as cold after a failed connection attempt.

        :param total: number of configured upstreams.
        """
        now = self._clock.monotonic_seconds()
        self._connect_failed_at_seconds[record.upstream.name] = now
        recent = sum(
            now - failed_at < LOCAL_FAULT_WINDOW_SECONDS
            for failed_at in self._connect_failed_at_seconds.values()
        )
        is_local_fault = recent > max(1.0, LOCAL_FAULT_RATIO * total)
        self._observe_cold(record, "connect-failure", now, publish=not is_local_fault)

    def merge_fact(
        self, record: UpstreamRecord, fact: UpstreamFact, from_holder: bool
    ) -> None:
        """Applies a peer's fact; see :meth:`UpstreamDirectory.merge_fact`."""
        now = self._clock.monotonic_seconds()
        observed_at = now - max(0.0, fact.age_seconds)
        if fact.start_id and fact.start_id != record.start_id:
            if record.start_id and observed_at < record.start_seen_at_seconds:
                return
            restarted = bool(record.start_id)
            self._adopt_start_id(
                record, fact.start_id, observed_at, "peer", publish=False
            )
            if restarted and fact.state is not UpstreamState.DRAINING:
                return
        if fact.in_flight >= 0:
            record.store_reading(fact.in_flight, observed_at)
        if from_holder:
            record.holder_reported_at_seconds = now
        if fact.state is UpstreamState.DRAINING:
            self.add_leaving_signal(record, LeavingSignal.DRAINING, "peer")
        elif from_holder:
            self._apply_holder_state(record, fact, observed_at)
        elif fact.state is UpstreamState.COLD:
            self._observe_cold(record, "peer", observed_at, publish=False)
        elif fact.state is UpstreamState.WARM and self._accepts_recovery(record, fact):
            record.warm_seen_at_seconds = now

    def make_fact(self, record: UpstreamRecord) -> UpstreamFact:
        """Returns this instance's fact about the upstream."""
        now = self._clock.monotonic_seconds()
        reading = record.reading
        return UpstreamFact(
            upstream=record.upstream.name,
            state=self._find_observed_state(record),
            start_id=record.start_id,
            in_flight=reading.in_flight if reading else -1,
            age_seconds=max(0.0, now - reading.taken_at_seconds) if reading else 0.0,
        )

    @staticmethod
    def _find_observed_state(record: UpstreamRecord) -> UpstreamState:
        """Returns the state without regard to the configuration and instance list.

        Each instance applies both itself, and learns only from them when an upstream
        that they took out of service returns.
        """
        if record.state is not UpstreamState.DRAINING:
            return record.state
        if LeavingSignal.DRAINING in record.leaving:
            return UpstreamState.DRAINING
        return UpstreamState.COLD

    def _apply_holder_state(
        self, record: UpstreamRecord, fact: UpstreamFact, observed_at_seconds: float
    ) -> None:
        now = self._clock.monotonic_seconds()
        drained_for_seconds = now - record.draining_since_seconds
        is_newer = observed_at_seconds > record.draining_since_seconds
        if is_newer and drained_for_seconds >= RECOVERY_HOLD_OFF_SECONDS:
            self.remove_leaving_signal(record, LeavingSignal.DRAINING, "holder")
        if record.leaving:
            return
        if fact.state in (UpstreamState.UNKNOWN, UpstreamState.COLD):
            if record.state is not UpstreamState.UNKNOWN:
                self.set_state(record, UpstreamState.COLD, "holder")
            return
        if not self._accepts_recovery(record, fact):
            return
        self.set_state(record, fact.state, "holder")
        if fact.state is UpstreamState.WARM:
            record.warm_seen_at_seconds = now

    def _accepts_recovery(self, record: UpstreamRecord, fact: UpstreamFact) -> bool:
        """Returns whether a fact may set the upstream to warming or warm.

        It must name the current start id, and the hold-off must be over.
        """
        cold_for_seconds = self._clock.monotonic_seconds() - record.cold_seen_at_seconds
        return (
            cold_for_seconds >= RECOVERY_HOLD_OFF_SECONDS
            and fact.start_id == record.start_id
        )

    def _adopt_start_id(
        self,
        record: UpstreamRecord,
        start_id: str,
        seen_at_seconds: float,
        actor: str,
        publish: bool,
    ) -> None:
        known = bool(record.start_id)
        record.start_id = start_id
        record.start_seen_at_seconds = seen_at_seconds
        if not known and record.state in (UpstreamState.UNKNOWN, UpstreamState.COLD):
            if not record.leaving:
                self.set_state(record, UpstreamState.COLD, actor)
            return
        record.reset_load()
        self.remove_leaving_signal(record, LeavingSignal.DRAINING, actor)
        self._mark_cold(record, actor, seen_at_seconds)
        if publish:
            self._publish(record, UpstreamState.COLD)

    def _observe_cold(
        self,
        record: UpstreamRecord,
        actor: str,
        seen_at_seconds: float,
        publish: bool = True,
    ) -> None:
        was_cold = record.state is UpstreamState.COLD
        self._mark_cold(record, actor, seen_at_seconds)
        if not publish or record.leaving:
            return
        last = self._published_at_seconds.get(record.upstream.name, float("-inf"))
        if not was_cold or seen_at_seconds - last >= PUBLISH_INTERVAL_SECONDS:
            self._publish(record, UpstreamState.COLD)

    def _observe_draining(self, record: UpstreamRecord) -> None:
        if LeavingSignal.DRAINING in record.leaving:
            record.draining_since_seconds = self._clock.monotonic_seconds()
            return
        self.add_leaving_signal(record, LeavingSignal.DRAINING, "load-report")
        self._publish(record, UpstreamState.DRAINING)

    def _mark_cold(
        self, record: UpstreamRecord, actor: str, seen_at_seconds: float
    ) -> None:
        record.cold_observation_count += 1
        record.cold_seen_at_seconds = max(record.cold_seen_at_seconds, seen_at_seconds)
        record.warm_seen_at_seconds = float("-inf")
        if not record.leaving:
            self.set_state(record, UpstreamState.COLD, actor)

    def _publish(self, record: UpstreamRecord, state: UpstreamState) -> None:
        now = self._clock.monotonic_seconds()
        self._published_at_seconds[record.upstream.name] = now
        self._publisher.publish_fact(
            UpstreamFact(record.upstream.name, state, record.start_id, -1, 0.0)
        )
