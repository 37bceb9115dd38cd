"""The task that keeps leases, buckets and cold starts of held shards moving."""

from egrethall.daemon._parts import FleetParts, Surroundings, UpstreamParts
from egrethall.forwarding import IdempotencyRegistry
from egrethall.leases import HEARTBEAT_SECONDS, DueHandover
from egrethall.types import AuditEvent, Handover, InstanceId

#: Interval of the keeper; a small part of a lease.
KEEPER_SECONDS = 0.1

#: Time that the messages of a planned stop get to leave.
FLUSH_SECONDS = 1.0


class ShardKeeper:
    """Takes, hands over and gives up shards as the membership changes."""

    def __init__(
        self,
        outside: Surroundings,
        fleet: FleetParts,
        upstreams: UpstreamParts,
        registry: IdempotencyRegistry,
    ) -> None:
        self._instance = outside.instance
        self._audit = outside.audit
        self._membership = fleet.membership
        self._voter = fleet.voter
        self._leases = fleet.leases
        self._settlement = fleet.settlement
        self._held_buckets = fleet.held_buckets
        self._peers = fleet.peers
        self._handler = fleet.handler
        self._directory = upstreams.directory
        self._rates = upstreams.rates
        self._exchange = upstreams.exchange
        self._shards = upstreams.shards
        self._registry = registry
        self._held_shards = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self.update()
            await self._handler.wait_for_change(KEEPER_SECONDS)

    def update(self) -> None:
        """Brings leases, buckets and rates up to date once."""
        self._settlement.update()
        self._held_buckets.settle_revision(
            self._settlement.settled_revision, self._settlement.is_complete
        )
        self._voter.set_listed_live(self._membership.listed_live_count)
        self._leases.set_members(self._find_members())
        for due in self._leases.due_handovers():
            self._hand_over(due)
        release = self._leases.take_release()
        if release is not None:
            self._peers.broadcast_notice(release)
        self._rates.update_all()
        self._handler.renew_lease_request(HEARTBEAT_SECONDS)
        if release is not None or self._handler.has_urgent_change():
            self._handler.renew_for_all()
            self._peers.send_heartbeats()
        self._audit_held_shards()

    async def leave(self) -> None:
        """Hands all shards over, for a planned stop."""
        self._membership.set_own_leaving(True)
        self._leases.start_leaving()
        self._handler.start_leaving()
        self.update()
        self._peers.send_heartbeats()
        await self._peers.flush(FLUSH_SECONDS)

    def _find_members(self) -> frozenset[InstanceId]:
        candidates = set(self._membership.list_candidates())
        members = {
            member.instance
            for member in self._membership.list_members()
            if member.instance.name in candidates
        }
        if self._instance.name in candidates:
            members.add(self._instance)
        return frozenset(members)

    def _hand_over(self, due: DueHandover) -> None:
        # State out, lease given up and message queued without an await in between,
        # so that nothing acts on the state after it was copied.
        upstreams = [
            record.upstream.name
            for record in self._directory.find_records()
            if self._shards.find_shard(record.upstream.name) == due.shard
        ]
        handover = Handover(
            shard=due.shard,
            buckets=self._held_buckets.export_handover(due.shard),
            upstream_facts=self._exchange.find_handover_facts(upstreams),
            idempotency_records=self._registry.export_records(due.shard),
            heard_sequence=self._voter.heard_sequence(due.successor),
        )
        self._leases.give_up(1 << due.shard)
        self._peers.send_notice(due.successor, handover)

    def _audit_held_shards(self) -> None:
        held = self._leases.held_shards()
        if held == self._held_shards:
            return
        before, self._held_shards = self._held_shards, held
        self._audit.record(
            AuditEvent(
                kind="shards-held",
                actor=self._instance.name,
                subject="shards",
                before=f"{before:016x}",
                after=f"{held:016x}",
                revision=self._settlement.adopted_revision,
            )
        )
