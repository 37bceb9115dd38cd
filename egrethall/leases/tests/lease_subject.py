"""The leases of one instance, with peers whose answers the test supplies."""

from random import Random

from egrethall.leases import LeaseTable, LeaseVoter, RevisionSettlement, choose_holder
from egrethall.types import (
    Heartbeat,
    HeartbeatAck,
    InstanceId,
    ManualClock,
    Release,
)

#: Longer than the lease period with its drift and than the minimum member age.
WARM_UP_SECONDS = 10.0


class LeaseSubject:
    """The voter, settlement and lease table of one instance, with four peers."""

    def __init__(self, max_entry_instances=5):
        self.clock = ManualClock()
        self.instance = InstanceId("me", 1)
        self.peers = [InstanceId(f"peer-{number}", 1) for number in range(4)]
        self.audit_events = []
        self.voter = LeaseVoter(self.instance, self.clock, self)
        self.settlement = RevisionSettlement(self.instance, self.clock)
        self.table = LeaseTable(
            self.instance, self.voter, self.settlement, self.clock, Random(1)
        )
        self.adopt(1, max_entry_instances)
        self.members = frozenset([self.instance, *self.peers])
        self.shard = next(
            shard
            for shard in range(64)
            if choose_holder(shard, self.members) == self.instance
        )
        self.table.set_members(self.members)
        self.requests = []
        self.sequences = {}

    def record(self, event):
        self.audit_events.append(event)

    def adopt(self, revision, max_entry_instances):
        self.revision = revision
        self.settlement.adopt(revision, max_entry_instances)
        self.voter.set_revision(revision, max_entry_instances)

    def settle_revision(self, seconds=WARM_UP_SECONDS):
        """Confirms the revision for all peers and advances the clock."""
        for peer in self.peers:
            self.settlement.observe(peer, self.revision)
        self.clock.advance(seconds)
        self.settlement.update()

    def prepare_heartbeat(self):
        request = self.table.prepare_heartbeat(self.revision)
        self.requests.append(request)
        return request

    def acknowledge(self, peers, request):
        for peer in peers:
            self.table.accept_ack(
                peer, HeartbeatAck(request.sequence, self.revision, 1 << self.shard)
            )

    def request_vote(self, peer, shard=0, revision=1, sequence=None):
        """Returns whether the voter votes for ``peer`` as holder of ``shard``."""
        if sequence is None:
            sequence = self.sequences.get(peer, 0) + 1
        self.sequences[peer] = max(sequence, self.sequences.get(peer, 0))
        heartbeat = Heartbeat(sequence, revision, 0, 1 << shard, False, 0.0)
        return bool(self.voter.answer_heartbeat(peer, heartbeat).granted_shards)

    def release(self, peer, sequence, shard=0):
        self.voter.accept_release(peer, Release(1 << shard, sequence))

    @property
    def holds_shard(self):
        return self.table.is_held(self.shard)
