"""Tracks which entry instances are reachable and which shards they hold."""

import math
from collections.abc import Callable, Collection, Sequence

from egrethall.leases import SHARD_COUNT, iterate_shards
from egrethall.peers._link import SILENCE_SECONDS
from egrethall.peers._members import Member, MemberView
from egrethall.types import (
    Clock,
    Heartbeat,
    InstanceId,
    InstanceListing,
    InstanceState,
    LeaseView,
    ShardDirectory,
)

#: Sorts instance names by their rendezvous hash with a shard, the wanted holder first.
HolderRanking = Callable[[int, Sequence[str]], Sequence[str]]
#: Returns the shard that a resource belongs to.
ShardFunction = Callable[[str], int]


class Membership(ShardDirectory):
    """The entry instances of the fleet as seen by this instance.

    Only messages received from a peer decide whether it is reachable. The platform's
    instance list lags behind and only adds which instances are leaving.
    """

    def __init__(
        self,
        own: InstanceId,
        availability_zone: str,
        clock: Clock,
        shard_of: ShardFunction,
        rank_holders: HolderRanking,
    ) -> None:
        """Starts with no peers.

        :param own: This run of this instance.
        :param availability_zone: The availability zone of this instance.
        :param clock: Measures how long ago a peer was heard.
        :param shard_of: ``egrethall.leases.shard_of``.
        :param rank_holders: ``egrethall.leases.rank_holders``.
        """
        self._own = own
        self._availability_zone = availability_zone
        self._clock = clock
        self._shard_of = shard_of
        self._rank_holders = rank_holders
        self._leases: LeaseView | None = None
        self._members: dict[str, Member] = {}
        self._claims: dict[int, InstanceId] = {}
        #: Incremented whenever a claim changes; most heartbeats change none.
        self._claims_version = 0
        self._listed: dict[str, InstanceState] = {}
        self._is_own_leaving = False
        self._zones_out_of_service: frozenset[str] = frozenset()
        self._instances_out_of_service: frozenset[str] = frozenset()
        self._candidates: tuple[str, ...] | None = None
        self._candidates_expire_seconds = 0.0
        self._ranked_names: tuple[str, ...] = ()
        self._rankings: dict[int, tuple[str, ...]] = {}
        self._own_wanted_shards: int | None = None

    @property
    def own_instance(self) -> InstanceId:
        """This run of this instance."""
        return self._own

    @property
    def is_own_listed_leaving(self) -> bool:
        """True if the platform lists this instance as leaving."""
        return self._listed.get(self._own.name) is InstanceState.LEAVING

    @property
    def is_own_out_of_service(self) -> bool:
        """True if this instance or its availability zone is out of service."""
        return self._is_out_of_service(self._own.name, self._availability_zone)

    @property
    def listed_live_count(self) -> int:
        """Number of instances that the platform lists as live."""
        return sum(state is InstanceState.LIVE for state in self._listed.values())

    def attach_leases(self, leases: LeaseView) -> None:
        """Sets the view that tells which shards this instance holds."""
        self._leases = leases

    def set_own_leaving(self, is_leaving: bool) -> None:
        """Removes this instance from the shard candidates, or adds it again."""
        self._is_own_leaving = is_leaving
        self._candidates = None

    def set_out_of_service(
        self, availability_zones: Collection[str], instances: Collection[str]
    ) -> None:
        """Sets what operators took out of service in the current revision."""
        self._zones_out_of_service = frozenset(availability_zones)
        self._instances_out_of_service = frozenset(instances)
        self._candidates = None

    def apply_listing(self, listing: InstanceListing) -> None:
        """Applies the platform's list; removes unreachable peers that are not on it."""
        self._listed = {item.name: item.state for item in listing.instances}
        self._candidates = None
        for member in tuple(self._members.values()):
            name = member.instance.name
            if name not in self._listed and not self._is_reachable(member):
                del self._members[name]

    def record_contact(self, peer: InstanceId, availability_zone: str) -> None:
        """Records that a message of ``peer`` has just arrived."""
        now_seconds = self._clock.monotonic_seconds()
        member = self._members.get(peer.name)
        if member is None or member.instance != peer:
            self._members[peer.name] = Member(peer, availability_zone, now_seconds)
            self._candidates = None
            return
        if now_seconds - member.last_heard_seconds >= SILENCE_SECONDS:
            self._candidates = None
        member.last_heard_seconds = now_seconds

    def record_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        """Records the revision, leaving state and shard claims in a heartbeat."""
        member = self._members.get(peer.name)
        if member is None or member.instance != peer:
            return
        member.revision = heartbeat.revision
        if member.is_leaving != heartbeat.leaving:
            member.is_leaving = heartbeat.leaving
            self._candidates = None
        is_unchanged = heartbeat.held_shards == member.held_shards
        if is_unchanged and member.claims_version == self._claims_version:
            return
        self._apply_claims(peer, member.held_shards, heartbeat.held_shards)
        member.held_shards = heartbeat.held_shards
        member.claims_version = self._claims_version

    def _apply_claims(self, peer: InstanceId, before: int, after: int) -> None:
        for shard in iterate_shards(before & ~after):
            if self._claims.get(shard) == peer:
                del self._claims[shard]
                self._claims_version += 1
        for shard in iterate_shards(after):
            if self._claims.get(shard) != peer:
                self._claims[shard] = peer
                self._claims_version += 1

    def record_revision(self, peer: InstanceId, revision: int) -> None:
        """Records the revision in a heartbeat answer of ``peer``."""
        member = self._members.get(peer.name)
        if member is not None and member.instance == peer:
            member.revision = revision

    def list_members(self) -> tuple[MemberView, ...]:
        """Returns all known peers, ordered by name."""
        now_seconds = self._clock.monotonic_seconds()
        return tuple(
            MemberView(
                instance=member.instance,
                availability_zone=member.availability_zone,
                is_reachable=self._is_reachable(member),
                is_leaving=self._is_leaving(member),
                is_out_of_service=self._is_out_of_service(
                    name, member.availability_zone
                ),
                revision=member.revision,
                held_shards=member.held_shards,
                heard_age_seconds=now_seconds - member.last_heard_seconds,
            )
            for name, member in sorted(self._members.items())
        )

    def is_reachable(self, peer: InstanceId) -> bool:
        """Returns whether a message of this run of ``peer`` arrived within 1.5 s."""
        member = self._members.get(peer.name)
        return (
            member is not None
            and member.instance == peer
            and self._is_reachable(member)
        )

    def list_candidates(self) -> tuple[str, ...]:
        """Returns the sorted names of the instances that may hold shards.

        Candidates are reachable, not leaving and not out of service. This instance is
        included under the same conditions.
        """
        now_seconds = self._clock.monotonic_seconds()
        if self._candidates is None or now_seconds >= self._candidates_expire_seconds:
            self._candidates, self._candidates_expire_seconds = self._find_candidates()
        return self._candidates

    def _find_candidates(self) -> tuple[tuple[str, ...], float]:
        members = [
            member
            for name, member in self._members.items()
            if self._is_reachable(member)
            and not self._is_leaving(member)
            and not self._is_out_of_service(name, member.availability_zone)
        ]
        names = [member.instance.name for member in members]
        is_own_leaving = self._is_own_leaving or self.is_own_listed_leaving
        if not is_own_leaving and not self.is_own_out_of_service:
            names.append(self._own.name)
        # The earliest time at which one of them can become unreachable.
        expire_seconds = SILENCE_SECONDS + min(
            (member.last_heard_seconds for member in members), default=math.inf
        )
        return tuple(sorted(names)), expire_seconds

    def find_wanted_holder(self, shard: int) -> InstanceId | None:
        """Returns the candidate that should hold ``shard``; None without candidates."""
        ranked = self._get_current_ranking(shard)
        return self._find_instance(ranked[0]) if ranked else None

    def find_own_wanted_shards(self) -> int:
        """Returns the shards that this instance should hold, one bit each."""
        self._refresh_rankings()
        if self._own_wanted_shards is None:
            self._own_wanted_shards = sum(
                1 << shard
                for shard in range(SHARD_COUNT)
                if self._get_ranking(shard)[:1] == (self._own.name,)
            )
        return self._own_wanted_shards

    def find_holder(self, shard: int) -> InstanceId | None:
        """Returns the last known holder of ``shard``; may be this instance.

        While no reachable instance claims the shard, the best guess is the peer that
        should hold it, because its claim arrives up to one heartbeat after its lease.
        """
        holder = self.find_claimed_holder(shard)
        if holder is not None:
            return holder
        wanted = self.find_wanted_holder(shard)
        return None if wanted == self._own else wanted

    def find_claimed_holder(self, shard: int) -> InstanceId | None:
        """Returns the reachable instance that claims to hold ``shard``, if any."""
        if self._leases is not None and self._leases.is_held(shard):
            return self._own
        holder = self._claims.get(shard)
        return holder if holder is not None and self.is_reachable(holder) else None

    def find_resource_holder(self, resource: str) -> InstanceId | None:
        """Returns the holder of the shard that ``resource`` belongs to."""
        return self.find_holder(self._shard_of(resource))

    def find_successor(self, shard: int) -> InstanceId | None:
        """Returns the first candidate for ``shard`` that is not its holder."""
        holder = self.find_holder(shard)
        for name in self._get_current_ranking(shard):
            if holder is None or name != holder.name:
                return self._find_instance(name)
        return None

    def _refresh_rankings(self) -> None:
        names = self.list_candidates()
        if names != self._ranked_names:
            self._ranked_names = names
            self._rankings = {}
            self._own_wanted_shards = None

    def _get_current_ranking(self, shard: int) -> tuple[str, ...]:
        self._refresh_rankings()
        return self._get_ranking(shard)

    def _get_ranking(self, shard: int) -> tuple[str, ...]:
        ranked = self._rankings.get(shard)
        if ranked is None:
            ranked = tuple(self._rank_holders(shard, self._ranked_names))
            self._rankings[shard] = ranked
        return ranked

    def _find_instance(self, name: str) -> InstanceId | None:
        if name == self._own.name:
            return self._own
        member = self._members.get(name)
        return None if member is None else member.instance

    def _is_reachable(self, member: Member) -> bool:
        silence_seconds = self._clock.monotonic_seconds() - member.last_heard_seconds
        return silence_seconds < SILENCE_SECONDS

    def _is_leaving(self, member: Member) -> bool:
        listed = self._listed.get(member.instance.name)
        return member.is_leaving or listed is InstanceState.LEAVING

    def _is_out_of_service(self, name: str, availability_zone: str) -> bool:
        return (
            name in self._instances_out_of_service
            or availability_zone in self._zones_out_of_service
        )
