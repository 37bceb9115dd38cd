"""The holding side of shard leases: votes that this instance has received."""

from collections import OrderedDict

from egrethall.leases._records import (
    DueHandover,
    LeaseRequest,
    LeaseTenure,
    ShardLease,
)
from egrethall.leases._settlement import RevisionSettlement
from egrethall.leases._shards import SHARD_COUNT, choose_holder, iterate_shards
from egrethall.leases._timing import (
    HEARTBEAT_SECONDS,
    LEASE_SECONDS,
)
from egrethall.leases._voter import LeaseVoter
from egrethall.types import Clock, HeartbeatAck, InstanceId, RandomSource, Release

#: Time without a majority after which a candidate releases its votes.
MAX_CANDIDACY_SECONDS = 0.7

#: Shortest interval between two heartbeats, used when shards change holders.
MIN_HEARTBEAT_INTERVAL_SECONDS = 0.02

#: Range of the random back-off after a release, also after a failed candidacy.
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.2

#: Time for which an instance must have been a member before it is assigned shards.
#: A new process has no settled revision and does not vote during a lease period and
#: the heartbeat before it, so shards assigned to it earlier would have no holder.
MIN_MEMBER_AGE_SECONDS = LEASE_SECONDS + 3 * HEARTBEAT_SECONDS

#: Number of latest heartbeats whose sending time is kept; answers to heartbeats
#: older than a lease period are ignored.
MAX_TRACKED_HEARTBEATS = 256


class LeaseTable:
    """The shards whose lease this instance holds; implements :class:`LeaseView`.

    The validity of a vote counts from the time at which the heartbeat that requested
    it was sent, so a late, duplicated or reordered answer cannot extend it.
    """

    def __init__(
        self,
        instance: InstanceId,
        voter: LeaseVoter,
        settlement: RevisionSettlement,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._instance = instance
        self._voter = voter
        self._settlement = settlement
        self._clock = clock
        self._random = random
        self._leases = [ShardLease() for _ in range(SHARD_COUNT)]
        self._sequence = 0
        self._sent_heartbeats: OrderedDict[int, tuple[float, int]] = OrderedDict()
        self._majority = 0
        self._member_since_seconds: dict[InstanceId, float] = {}
        self._eligible_members: list[InstanceId] = []
        self._preferred_holders: list[InstanceId | None] = [None] * SHARD_COUNT
        self._leaving = False
        self._pending_release_shards = 0
        self._pending_release_sequence = 0
        self._urgent_since_seconds: float | None = None
        self._last_heartbeat_at_seconds = clock.monotonic_seconds() - HEARTBEAT_SECONDS

    def is_held(self, shard: int) -> bool:
        """Returns whether this instance holds an unexpired lease of ``shard``."""
        lease = self._leases[shard]
        return self._clock.monotonic_seconds() < lease.held_until_seconds

    def remaining_seconds(self, shard: int) -> float:
        """Returns the remaining time of the lease of ``shard``, 0 if not held."""
        lease = self._leases[shard]
        return max(0.0, lease.held_until_seconds - self._clock.monotonic_seconds())

    def find_tenure(self, shard: int) -> LeaseTenure | None:
        """Returns the current tenure of ``shard``, or None if it is not held.

        State of a shard is valid only during the tenure in which it was created.
        """
        return self._leases[shard].tenure if self.is_held(shard) else None

    def held_shards(self) -> int:
        """Returns the set of shards that are held now."""
        # The shard keeper calls this several times per tick, so the clock is read once.
        now = self._clock.monotonic_seconds()
        held = 0
        for shard, lease in enumerate(self._leases):
            if now < lease.held_until_seconds:
                held |= 1 << shard
        return held

    def sent_at(self, sequence: int) -> float | None:
        """Returns when heartbeat ``sequence`` was prepared, None if not tracked."""
        request = self._sent_heartbeats.get(sequence)
        return None if request is None else request[0]

    def next_heartbeat_in_seconds(self) -> float:
        """Returns the time until the next heartbeat should be sent.

        It is short after an urgent change: this instance acquired a shard, or a shard
        that it should hold was released. Related changes that follow within
        :data:`MIN_HEARTBEAT_INTERVAL_SECONDS` go into the same heartbeat.
        """
        due_at = self._last_heartbeat_at_seconds + HEARTBEAT_SECONDS
        if self._urgent_since_seconds is not None:
            window_start = max(
                self._last_heartbeat_at_seconds, self._urgent_since_seconds
            )
            due_at = min(due_at, window_start + MIN_HEARTBEAT_INTERVAL_SECONDS)
        return max(0.0, due_at - self._clock.monotonic_seconds())

    def is_heartbeat_urgent(self) -> bool:
        """Returns whether the next heartbeat is due ahead of the regular interval."""
        return self._urgent_since_seconds is not None

    def note_release(self, sender: InstanceId, shards: int) -> None:
        """Makes the next heartbeat urgent if a released shard should be held here.

        The sender does not count as a member here: if it is leaving, the heartbeat
        that says so may arrive after the release.
        """
        self._refresh_preferred_holders()
        others = [member for member in self._eligible_members if member != sender]
        if any(
            choose_holder(shard, others) == self._instance
            for shard in iterate_shards(shards)
            if shard < SHARD_COUNT
        ):
            self._mark_urgent()

    def set_members(self, members: frozenset[InstanceId]) -> None:
        """Sets the instances that may hold shards, this one included if it may.

        These are the members that were heard from recently, are not leaving and are
        not out of service.
        """
        now = self._clock.monotonic_seconds()
        self._member_since_seconds = {
            member: self._member_since_seconds.get(member, now)
            for member in sorted(members)
        }

    def start_leaving(self) -> None:
        """Stops requesting shards and makes all held ones due for handover."""
        self._leaving = True

    def prepare_heartbeat(self, revision: int) -> LeaseRequest:
        """Starts the next heartbeat and counts this instance's own votes for it."""
        self._refresh_majority()
        now = self._clock.monotonic_seconds()
        self._refresh_preferred_holders()
        held = self.held_shards()
        wanted = held
        for shard in range(SHARD_COUNT):
            if not held >> shard & 1 and self._should_request(shard, now):
                wanted |= 1 << shard
        self._sequence += 1
        self._sent_heartbeats[self._sequence] = (now, wanted)
        while len(self._sent_heartbeats) > MAX_TRACKED_HEARTBEATS:
            self._sent_heartbeats.popitem(last=False)
        granted = self._voter.grant(self._instance, revision, self._sequence, wanted)
        self._count_votes(self._instance.name, self._sequence, granted)
        held = self.held_shards()
        self._urgent_since_seconds = None
        self._last_heartbeat_at_seconds = now
        return LeaseRequest(self._sequence, held, wanted)

    def accept_ack(self, voter: InstanceId, ack: HeartbeatAck) -> None:
        """Counts the votes in a peer's acknowledgement."""
        self._refresh_majority()
        if voter.name != self._instance.name:
            self._count_votes(voter.name, ack.sequence, ack.granted_shards)

    def due_handovers(self) -> tuple[DueHandover, ...]:
        """Returns the held shards whose preferred holder is another instance."""
        self._refresh_preferred_holders()
        due = []
        for shard in iterate_shards(self.held_shards()):
            successor = self._preferred_holders[shard]
            if successor is not None and successor != self._instance:
                due.append(DueHandover(shard, successor))
        return tuple(due)

    def give_up(self, shards: int) -> None:
        """Stops acting for ``shards`` at once and queues their release.

        The owner of the shards' state must extract it first, with no await between
        that and this call.
        """
        now = self._clock.monotonic_seconds()
        for shard in iterate_shards(shards):
            lease = self._leases[shard]
            lease.vote_expiries_seconds.clear()
            if now < lease.held_until_seconds:
                lease.given_up_at_seconds = now
            lease.held_until_seconds = 0.0
            lease.first_valid_sequence = self._sequence + 1
            lease.candidate_since_seconds = None
            lease.backoff_until_seconds = now + self._draw_backoff_seconds()
        self._pending_release_shards |= shards
        self._pending_release_sequence = self._sequence
        self._voter.accept_release(self._instance, Release(shards, self._sequence))

    def take_release(self) -> Release | None:
        """Returns and clears the pending release to send to all peers, None if none."""
        if not self._pending_release_shards:
            return None
        release = Release(self._pending_release_shards, self._pending_release_sequence)
        self._pending_release_shards = 0
        return release

    def _refresh_preferred_holders(self) -> None:
        """Recomputes the preferred holder of each shard if eligible members changed."""
        now = self._clock.monotonic_seconds()
        members = [
            member
            for member, since in self._member_since_seconds.items()
            if now - since >= MIN_MEMBER_AGE_SECONDS
            and not (self._leaving and member == self._instance)
        ]
        if members == self._eligible_members:
            return
        self._eligible_members = members
        self._preferred_holders = [
            choose_holder(shard, members) for shard in range(SHARD_COUNT)
        ]

    def _should_request(self, shard: int, now: float) -> bool:
        lease = self._leases[shard]
        if self._preferred_holders[shard] != self._instance:
            self._withdraw_candidacy(shard)
            return False
        if not self._settlement.settled_revision or not self._voter.is_voting():
            return False
        # A release that has not been sent yet would revoke the new votes.
        if (
            now < lease.backoff_until_seconds
            or self._pending_release_shards >> shard & 1
        ):
            return False
        if not self._voter.is_free_for(shard, self._instance):
            return False
        if lease.candidate_since_seconds is None:
            lease.candidate_since_seconds = now
        elif now - lease.candidate_since_seconds >= MAX_CANDIDACY_SECONDS:
            # Another candidate may need just these votes for its majority.
            self.give_up(1 << shard)
            return False
        return True

    def _withdraw_candidacy(self, shard: int) -> None:
        if self._leases[shard].candidate_since_seconds is not None:
            self.give_up(1 << shard)

    def _count_votes(self, voter: str, sequence: int, granted: int) -> None:
        request = self._sent_heartbeats.get(sequence)
        if request is None:
            return
        sent_at, wanted = request
        expires_at = sent_at + LEASE_SECONDS
        if self._clock.monotonic_seconds() >= expires_at:
            return
        for shard in iterate_shards(granted & wanted):
            lease = self._leases[shard]
            if sequence < lease.first_valid_sequence:
                continue
            if expires_at > lease.vote_expiries_seconds.get(voter, 0.0):
                lease.vote_expiries_seconds[voter] = expires_at
                self._extend_lease(lease)

    def _extend_lease(self, lease: ShardLease) -> None:
        if not 0 < self._majority <= len(lease.vote_expiries_seconds):
            return
        expiries = sorted(lease.vote_expiries_seconds.values(), reverse=True)
        held_until = expiries[self._majority - 1]
        now = self._clock.monotonic_seconds()
        if held_until <= now:
            return
        # Each replacement instance may have a new name, so the dict would keep growing.
        lease.vote_expiries_seconds = {
            name: expiry
            for name, expiry in lease.vote_expiries_seconds.items()
            if expiry > now
        }
        if now >= lease.held_until_seconds:
            # The lease had expired, so another instance may have held the shard.
            previous_end = max(lease.held_until_seconds, lease.given_up_at_seconds)
            number = lease.tenure.number + 1
            lease.tenure = LeaseTenure(number, now, previous_end)
            lease.candidate_since_seconds = None
            self._mark_urgent()
        lease.held_until_seconds = max(held_until, lease.held_until_seconds)

    def _refresh_majority(self) -> None:
        self._settlement.update()
        majority = self._settlement.majority
        if majority == self._majority:
            return
        rises = majority > self._majority
        self._majority = majority
        if not rises:
            return
        for lease in self._leases:
            expiries = sorted(lease.vote_expiries_seconds.values(), reverse=True)
            enough = majority <= len(expiries)
            supported_until = expiries[majority - 1] if enough else 0.0
            lease.held_until_seconds = min(lease.held_until_seconds, supported_until)

    def _mark_urgent(self) -> None:
        if self._urgent_since_seconds is None:
            self._urgent_since_seconds = self._clock.monotonic_seconds()

    def _draw_backoff_seconds(self) -> float:
        return self._random.uniform(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
