"""What an entry instance shows to operators."""

import math

from egrethall.admission import MAX_LOAN_SECONDS
from egrethall.daemon._parts import FleetParts, Surroundings, UpstreamParts
from egrethall.ingress import IngressApplication
from egrethall.leases import SHARD_COUNT, extend_by_drift, iterate_shards
from egrethall.operators import (
    BucketStatus,
    InstanceStatus,
    Metrics,
    OrganisationExplanation,
    PeerStatus,
    QueueStatus,
    Readiness,
    UpstreamStatus,
)
from egrethall.types import Configuration, Organisation, Plan


class InstanceState:
    """The :class:`~egrethall.operators.StateSource` of an entry instance."""

    def __init__(
        self,
        outside: Surroundings,
        fleet: FleetParts,
        upstreams: UpstreamParts,
        ingress: IngressApplication,
        metrics: Metrics,
    ) -> None:
        self._instance = outside.instance
        self._availability_zone = outside.settings.availability_zone
        self._clock = outside.clock
        self._store = fleet.store
        self._membership = fleet.membership
        self._leases = fleet.leases
        self._settlement = fleet.settlement
        self._held_buckets = fleet.held_buckets
        self._directory = upstreams.directory
        self._selector = upstreams.selector
        self._ingress = ingress
        self._metrics = metrics
        self._started_at_seconds = self._clock.monotonic_seconds()
        self._served_since_seconds: float | None = None
        self.stopping = False

    def has_majority(self) -> bool:
        """Returns whether enough instances are reachable to hold leases."""
        reachable = sum(
            member.is_reachable for member in self._membership.list_members()
        )
        majority = self._settlement.majority
        return 0 < majority <= reachable + 1

    def read_readiness(self) -> Readiness:
        """Returns whether callers should be sent here, and why not."""
        reasons = []
        if self._store.current is None:
            reasons.append("no configuration has been accepted yet")
        elif not self._settlement.settled_revision:
            reasons.append("no revision is settled among a majority of instances yet")
        elif not self.has_majority():
            reasons.append("fewer than a majority of instances are reachable")
        elif not self._is_authority_settled():
            reasons.append("not every shard has had a holder for long enough yet")
        if self._membership.is_own_out_of_service:
            reasons.append("the instance or its availability zone is out of service")
        if self.stopping:
            reasons.append("the instance is stopping")
        return Readiness(not reasons, tuple(reasons))

    def _is_authority_settled(self) -> bool:
        """Returns whether buckets were once ready to lend since the start.

        Only a start waits for this: a later loss of a holder concerns a few shards,
        and a not ready instance would turn away the callers of all others.
        """
        now = self._clock.monotonic_seconds()
        if self._served_since_seconds is None:
            holders = map(self._membership.find_claimed_holder, range(SHARD_COUNT))
            if not all(holders):
                return False
            self._served_since_seconds = now
        return now >= self._served_since_seconds + extend_by_drift(MAX_LOAN_SECONDS)

    def read_status(self) -> InstanceStatus:
        """Returns the state of the instance at this moment."""
        age_seconds = self._store.confirmed_age_seconds()
        return InstanceStatus(
            name=self._instance.name,
            availability_zone=self._availability_zone,
            incarnation=self._instance.incarnation,
            readiness=self.read_readiness(),
            stopping=self.stopping,
            revision=self._store.revision,
            confirmed_age_seconds=age_seconds,
            uptime_seconds=self._clock.monotonic_seconds() - self._started_at_seconds,
            in_flight=self._ingress.running_calls,
            held_shards=tuple(iterate_shards(self._leases.held_shards())),
            has_majority=self.has_majority(),
            peers=self._read_peers(),
            upstreams=self._read_upstreams(),
            queues=self._read_queues(),
        )

    def explain_organisation(self, organisation: str) -> OrganisationExplanation | None:
        """Returns what is known of an organisation, None if there is none so named."""
        configuration = self._store.current
        if configuration is None:
            return None
        found = _find_organisation(configuration, organisation)
        if found is None:
            return None
        plan = _find_plan(configuration, found.plan)
        tally = self._metrics.tally_of(organisation)
        return OrganisationExplanation(
            organisation=organisation,
            plan=plan.name,
            rate_per_second=plan.rate_per_second,
            burst=plan.burst,
            services=tuple(sorted(plan.services)),
            key_ids=tuple(key.key_id for key in found.keys),
            admitted=tally.admitted,
            refused=tally.refused,
            buckets=self._read_buckets(organisation),
            remarks=self._find_remarks(),
        )

    def _find_remarks(self) -> tuple[str, ...]:
        remarks = list(self.read_readiness().reasons)
        settled = self._settlement.settled_revision
        if settled < self._store.revision:
            remarks.append(
                f"increases of revision {self._store.revision} are not in force yet; "
                f"revision {settled} is settled"
            )
        return tuple(remarks)

    def _read_buckets(self, organisation: str) -> tuple[BucketStatus, ...]:
        held = {
            reading.resource: reading
            for reading in self._held_buckets.snapshot_buckets()
        }
        statuses = []
        for resource in self._held_buckets.limits.organisation_buckets(organisation):
            shard = self._held_buckets.find_shard(resource)
            holder = self._membership.find_holder(shard)
            reading = held.get(resource)
            statuses.append(
                BucketStatus(
                    resource=resource,
                    shard=shard,
                    holder=None if holder is None else holder.name,
                    level=None if reading is None else reading.level,
                    lent=None if reading is None else reading.lent,
                )
            )
        return tuple(statuses)

    def _read_peers(self) -> tuple[PeerStatus, ...]:
        return tuple(
            PeerStatus(
                name=member.instance.name,
                availability_zone=member.availability_zone,
                connected=member.is_reachable,
                leaving=member.is_leaving,
                revision=member.revision,
                heard_age_seconds=member.heard_age_seconds,
            )
            for member in self._membership.list_members()
        )

    def _read_upstreams(self) -> tuple[UpstreamStatus, ...]:
        now = self._clock.monotonic_seconds()
        statuses = []
        for record in self._directory.find_records():
            reading = record.reading
            latency_seconds = record.learned_latency_seconds
            statuses.append(
                UpstreamStatus(
                    name=record.upstream.name,
                    service=record.service,
                    availability_zone=record.upstream.availability_zone,
                    state=record.state,
                    in_flight=record.own_in_flight,
                    reported_in_flight=None if reading is None else reading.in_flight,
                    reading_age_seconds=None
                    if reading is None
                    else now - reading.taken_at_seconds,
                    latency_ms=None
                    if latency_seconds is None or math.isinf(latency_seconds)
                    else latency_seconds * 1000.0,
                    ejected=self._directory.is_ejected(record.upstream.name),
                    out_of_service=bool(record.leaving),
                )
            )
        return tuple(statuses)

    def _read_queues(self) -> tuple[QueueStatus, ...]:
        configuration = self._store.current
        if configuration is None:
            return ()
        return tuple(
            QueueStatus(
                service=service.name,
                waiting=self._selector.count_waiting(service.name),
                max_queue=service.max_queue,
            )
            for service in configuration.services
        )


def _find_organisation(configuration: Configuration, name: str) -> Organisation | None:
    for organisation in configuration.organisations:
        if organisation.name == name:
            return organisation
    return None


def _find_plan(configuration: Configuration, name: str) -> Plan:
    return next(plan for plan in configuration.plans if plan.name == name)
