"""The voting side of shard leases: votes that this instance gives."""

from dataclasses import dataclass

import structlog

from egrethall.leases._shards import SHARD_COUNT, iterate_shards
from egrethall.leases._timing import LEASE_SECONDS, extend_by_drift
from egrethall.types import (
    AuditEvent,
    AuditTrail,
    Clock,
    Heartbeat,
    HeartbeatAck,
    InstanceId,
    Release,
)

logger = structlog.get_logger(__name__)


@dataclass
class _Vote:
    holder: InstanceId
    #: Sequence number of the latest heartbeat that the vote answers.
    sequence: int
    expires_at_seconds: float


class LeaseVoter:
    """Votes for at most one holder of each shard at a time.

    It gives no votes during the first lease period after its creation, because an
    earlier process of the same instance may have given votes that are still valid.
    """

    def __init__(
        self, instance: InstanceId, clock: Clock, audit: AuditTrail | None = None
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._audit = audit
        self._revision = 0
        self._max_entry_instances = 0
        self._listed_live_count = 0
        self._silent_until_seconds = clock.monotonic_seconds() + extend_by_drift(
            LEASE_SECONDS
        )
        self._votes: list[_Vote | None] = [None] * SHARD_COUNT
        self._highest_released_sequences: dict[InstanceId, int] = {}
        self._highest_heard_sequences: dict[InstanceId, int] = {}

    def set_revision(self, revision: int, max_entry_instances: int) -> None:
        """Sets the revision in force; instances at a lower one are not voted for."""
        self._revision = max(revision, self._revision)
        self._set_instance_counts(max_entry_instances, self._listed_live_count)

    def set_listed_live(self, listed_live: int) -> None:
        """Sets the number of live instances in the platform's list."""
        self._set_instance_counts(self._max_entry_instances, listed_live)

    def answer_heartbeat(
        self, sender: InstanceId, heartbeat: Heartbeat
    ) -> HeartbeatAck:
        """Votes on the shards that a peer's heartbeat asks for."""
        heard = self._highest_heard_sequences.get(sender, 0)
        self._highest_heard_sequences[sender] = max(heard, heartbeat.sequence)
        granted = 0
        # A release cancels the requests of earlier heartbeats that arrive after it.
        if heartbeat.sequence > self._highest_released_sequences.get(sender, 0):
            granted = self.grant(
                sender, heartbeat.revision, heartbeat.sequence, heartbeat.wanted_shards
            )
        return HeartbeatAck(heartbeat.sequence, self._revision, granted)

    def grant(
        self, candidate: InstanceId, revision: int, sequence: int, wanted_shards: int
    ) -> int:
        """Votes for ``candidate`` on all free shards and returns the set of them."""
        if not self.is_voting() or revision < self._revision:
            return 0
        now = self._clock.monotonic_seconds()
        expires_at = now + extend_by_drift(LEASE_SECONDS)
        granted = 0
        for shard in iterate_shards(wanted_shards):
            if shard >= SHARD_COUNT:
                break
            vote = self._votes[shard]
            if vote is None or now >= vote.expires_at_seconds:
                vote = _Vote(candidate, sequence, expires_at)
                self._votes[shard] = vote
            elif vote.holder != candidate:
                continue
            vote.sequence = max(vote.sequence, sequence)
            vote.expires_at_seconds = expires_at
            granted |= 1 << shard
        return granted

    def accept_release(self, sender: InstanceId, release: Release) -> None:
        """Frees shards that ``sender`` gives back.

        Messages may be reordered. A vote that answers a heartbeat sent after the
        release stays in force, because the sender relies on it.
        """
        known = self._highest_released_sequences.get(sender, 0)
        self._highest_released_sequences[sender] = max(known, release.sequence)
        for shard in iterate_shards(release.shards):
            if shard >= SHARD_COUNT:
                break
            vote = self._votes[shard]
            if vote is None or vote.holder != sender:
                continue
            if vote.sequence <= release.sequence:
                self._votes[shard] = None

    def forget(self, peer: InstanceId) -> None:
        """Discards the sequence numbers of a process that has left permanently.

        Its votes stay until they expire, since it may only be partitioned.
        """
        self._highest_released_sequences.pop(peer, None)
        self._highest_heard_sequences.pop(peer, None)

    def is_voting(self) -> bool:
        """Returns whether this instance gives votes now."""
        if self._max_entry_instances < 1 or self._exceeds_instance_limit():
            return False
        return self._clock.monotonic_seconds() >= self._silent_until_seconds

    def is_free_for(self, shard: int, candidate: InstanceId) -> bool:
        """Returns whether no valid vote is for an instance other than ``candidate``."""
        vote = self._votes[shard]
        if vote is None or vote.holder == candidate:
            return True
        return self._clock.monotonic_seconds() >= vote.expires_at_seconds

    def heard_sequence(self, peer: InstanceId) -> int:
        """Returns the highest heartbeat sequence received from ``peer``, 0 if none."""
        return self._highest_heard_sequences.get(peer, 0)

    def _exceeds_instance_limit(self) -> bool:
        return self._listed_live_count > self._max_entry_instances

    def _set_instance_counts(self, max_entry_instances: int, listed_live: int) -> None:
        before = self._exceeds_instance_limit()
        self._max_entry_instances = max_entry_instances
        self._listed_live_count = listed_live
        if self._exceeds_instance_limit() == before or max_entry_instances < 1:
            return
        state = "does not vote" if self._exceeds_instance_limit() else "votes"
        logger.warning(
            "votes on shard leases changed",
            state=state,
            listed_live=listed_live,
            max_entry_instances=max_entry_instances,
        )
        if self._audit is None:
            return
        self._audit.record(
            AuditEvent(
                kind="lease-votes",
                actor=self._instance.name,
                subject=f"{listed_live} live instances of {max_entry_instances}",
                before="does not vote" if before else "votes",
                after=state,
                revision=self._revision,
            )
        )
