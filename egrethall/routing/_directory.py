"""The upstreams of all services and their current state."""

from __future__ import annotations

from collections.abc import Iterable

from egrethall.routing._lifecycle import FactPublisher, UpstreamLifecycle
from egrethall.routing._records import (
    PENALTY_LATENCY_SECONDS,
    SHED_PENALTY_RATIO,
    Candidate,
    LeavingSignal,
    UpstreamRecord,
)
from egrethall.routing._service_entries import DEFAULT_LATENCY_SECONDS, ServiceEntry
from egrethall.types import (
    AttemptOutcome,
    AuditTrail,
    Clock,
    Configuration,
    InstanceListing,
    InstanceState,
    LoadReport,
    RandomSource,
    Service,
    Upstream,
    UpstreamFact,
    UpstreamState,
)

#: Outcomes that count towards ejection. A "not run" refusal only indicates load.
_EJECTING_OUTCOMES = frozenset(
    {
        AttemptOutcome.FAILED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.BROKEN,
        AttemptOutcome.TIMED_OUT,
    }
)


class UpstreamDirectory:
    """The lifecycle states, loads, calls and ejections of all upstreams.

    Commands update it from configurations, responses, failures and peers' facts.
    Queries provide what upstream selection needs. All calls must come from one thread.

    :param publisher: publishes state changes that all instances must know at once.
    """

    def __init__(
        self,
        clock: Clock,
        random: RandomSource,
        audit_trail: AuditTrail,
        publisher: FactPublisher,
    ) -> None:
        self._clock = clock
        self._random = random
        self._lifecycle = UpstreamLifecycle(clock, audit_trail, publisher)
        self._records: dict[str, UpstreamRecord] = {}
        self._services: dict[str, ServiceEntry] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Adds, changes and removes upstreams, and applies what is out of service.

        An upstream whose address changed counts as new. Calls still in flight to
        removed upstreams end on records that queries no longer return.
        """
        self._lifecycle.revision = configuration.revision
        records: dict[str, UpstreamRecord] = {}
        services: dict[str, ServiceEntry] = {}
        for service in configuration.services:
            entry = self._services.get(service.name) or ServiceEntry(self._random)
            entry.set_records(
                tuple(
                    self._apply_upstream(configuration, service, upstream)
                    for upstream in service.upstreams
                )
            )
            services[service.name] = entry
            records.update((record.upstream.name, record) for record in entry.records)
        self._records = records
        self._services = services
        for record in records.values():
            self._apply_out_of_service(configuration, record)
            self._apply_listed(record)

    def apply_listing(self, listing: InstanceListing) -> None:
        """Stops new requests to upstreams that the instance list marks as leaving.

        An upstream that is then missing from the list stays marked as leaving until
        it is listed as live.
        """
        leaving = {
            item.name
            for item in listing.instances
            if item.state is InstanceState.LEAVING
        }
        live = {item.name for item in listing.instances} - leaving
        self._listed_leaving = frozenset((self._listed_leaving - live) | leaving)
        for record in self._records.values():
            self._apply_listed(record)

    def begin_call(self, record: UpstreamRecord) -> None:
        """Counts a call as in flight; to be called before it is sent."""
        record.begin_call()
        entry = self._services.get(record.service)
        if entry is not None:
            now = self._clock.monotonic_seconds()
            entry.ejection.begin_trial(record.upstream.name, now)

    def withdraw_call(self, record: UpstreamRecord) -> None:
        """Removes a counted call that was not sent."""
        record.end_call()
        self._cancel_trial(record)

    def observe_response(
        self, record: UpstreamRecord, report: LoadReport | None, latency_seconds: float
    ) -> None:
        """Records response headers that arrived after ``latency_seconds``."""
        now = self._clock.monotonic_seconds()
        if report is not None:
            self._lifecycle.observe_report(record, report, now - latency_seconds)
        record.add_latency(latency_seconds, now)

    def observe_probe(
        self, name: str, report: LoadReport, latency_seconds: float
    ) -> None:
        """Records a probe's report; its latency is not representative of calls."""
        record = self._records.get(name)
        if record is not None:
            sent_at = self._clock.monotonic_seconds() - latency_seconds
            self._lifecycle.observe_report(record, report, sent_at)

    def observe_success(self, record: UpstreamRecord) -> None:
        """Records the end of a call that was answered."""
        record.end_call()
        record.successes += 1
        entry = self._services.get(record.service)
        if entry is None:
            return
        if entry.ejection.is_on_trial(record.upstream.name):
            # The penalties of earlier failures would exclude it for much longer.
            record.reset_latency()
        entry.ejection.record_success(record.upstream.name)

    def observe_failure(
        self, record: UpstreamRecord, outcome: AttemptOutcome, elapsed_seconds: float
    ) -> None:
        """Records the end of a call that was cancelled, refused or failed."""
        record.end_call()
        if outcome is AttemptOutcome.CANCELLED:
            self._cancel_trial(record)
            return
        now = self._clock.monotonic_seconds()
        record.failures += 1
        penalty_seconds = PENALTY_LATENCY_SECONDS
        if outcome is AttemptOutcome.REFUSED:
            median_seconds = self.find_median_latency_seconds(record.service)
            penalty_seconds = SHED_PENALTY_RATIO * median_seconds
        record.add_penalty(max(elapsed_seconds, penalty_seconds), now)
        if outcome is AttemptOutcome.CONNECT_FAILED:
            self._lifecycle.observe_connect_failure(record, len(self._records))
        if outcome is AttemptOutcome.REFUSED:
            self._cancel_trial(record)
            return
        entry = self._services.get(record.service)
        if entry is not None and outcome in _EJECTING_OUTCOMES:
            entry.ejection.record_failure(record.upstream.name, now)

    def observe_probe_failure(self, name: str, connected: bool) -> None:
        """Records a failed probe; a failed connection marks the upstream as cold."""
        record = self._records.get(name)
        if record is not None and not connected:
            self._lifecycle.observe_connect_failure(record, len(self._records))

    def merge_fact(self, fact: UpstreamFact, from_holder: bool) -> None:
        """Applies a fact received from a peer.

        Cold and draining are accepted from any peer, warming and warm only from the
        holder of the upstream's shard. Facts about an earlier run are ignored.

        :param from_holder: True if the sender holds the upstream's shard.
        """
        record = self._records.get(fact.upstream)
        if record is not None:
            self._lifecycle.merge_fact(record, fact, from_holder)

    def declare_state(self, name: str, state: UpstreamState, actor: str) -> None:
        """Sets the state that this instance decided on as the shard's holder."""
        record = self._records.get(name)
        if record is not None and not record.leaving:
            self._lifecycle.set_state(record, state, actor)

    def find_record(self, name: str) -> UpstreamRecord | None:
        """Returns the record of an upstream, or None if it is not configured."""
        return self._records.get(name)

    def find_records(self, service: str | None = None) -> Iterable[UpstreamRecord]:
        """Returns the records of one service, or of all services."""
        if service is None:
            return self._records.values()
        entry = self._services.get(service)
        return entry.records if entry is not None else ()

    def is_eligible(self, name: str) -> bool:
        """Returns whether the upstream may get new requests, free slots aside."""
        record = self._records.get(name)
        if record is None or record.leaving:
            return False
        ejection = self._services[record.service].ejection
        return not ejection.is_ejected(name, self._clock.monotonic_seconds())

    def is_ejected(self, name: str) -> bool:
        """Returns whether the upstream is ejected after failures."""
        record = self._records.get(name)
        if record is None:
            return False
        ejection = self._services[record.service].ejection
        return ejection.is_ejected(name, self._clock.monotonic_seconds())

    def needs_cold_token(self, name: str) -> bool:
        """Returns whether a call to the upstream needs a cold-start token."""
        record = self._records.get(name)
        return record is None or record.state is not UpstreamState.WARM

    def count_free_slots(self, name: str) -> int:
        """Returns how many more calls this instance may have in flight to it."""
        record = self._records.get(name)
        return 0 if record is None else record.count_free_slots()

    def find_median_latency_seconds(self, service: str) -> float:
        """Returns the median of the average latencies of the service's upstreams."""
        entry = self._services.get(service)
        if entry is None:
            return DEFAULT_LATENCY_SECONDS
        return entry.find_median_latency_seconds(self._clock.monotonic_seconds())

    def find_open_records(
        self, service: str, excluded: frozenset[str] = frozenset()
    ) -> list[UpstreamRecord]:
        """Returns the eligible upstreams of a service that have a free slot.

        Upstreams in ``excluded`` are left out.
        """
        entry = self._services.get(service)
        if entry is None:
            return []
        return entry.find_open_records(self._clock.monotonic_seconds(), excluded)

    def make_candidates(
        self, service: str, records: Iterable[UpstreamRecord]
    ) -> list[Candidate]:
        """Returns the current candidates for the given upstreams of a service."""
        now = self._clock.monotonic_seconds()
        median_seconds = self.find_median_latency_seconds(service)
        return [record.make_candidate(now, median_seconds) for record in records]

    def make_fact(self, record: UpstreamRecord) -> UpstreamFact:
        """Returns this instance's fact about the upstream, for its peers."""
        return self._lifecycle.make_fact(record)

    def _apply_upstream(
        self, configuration: Configuration, service: Service, upstream: Upstream
    ) -> UpstreamRecord:
        limit = max(1, upstream.max_connections // configuration.max_entry_instances)
        record = self._records.get(upstream.name)
        if record is None or record.upstream.address != upstream.address:
            return UpstreamRecord(upstream, service.name, limit)
        record.upstream = upstream
        record.service = service.name
        record.connection_limit = limit
        return record

    def _apply_out_of_service(
        self, configuration: Configuration, record: UpstreamRecord
    ) -> None:
        upstream = record.upstream
        if (
            upstream.availability_zone in configuration.zones_out_of_service
            or upstream.name in configuration.instances_out_of_service
        ):
            self._lifecycle.add_leaving_signal(
                record, LeavingSignal.OUT_OF_SERVICE, "configuration"
            )
            return
        self._lifecycle.remove_leaving_signal(
            record, LeavingSignal.OUT_OF_SERVICE, "configuration"
        )

    def _apply_listed(self, record: UpstreamRecord) -> None:
        if record.upstream.name in self._listed_leaving:
            self._lifecycle.add_leaving_signal(
                record, LeavingSignal.LISTED_LEAVING, "instance-list"
            )
            return
        self._lifecycle.remove_leaving_signal(
            record, LeavingSignal.LISTED_LEAVING, "instance-list"
        )

    def _cancel_trial(self, record: UpstreamRecord) -> None:
        entry = self._services.get(record.service)
        if entry is not None:
            entry.ejection.cancel_trial(record.upstream.name)
