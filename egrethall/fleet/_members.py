"""The other instances of the fleet, as far as this one knows them."""

import bisect
from collections.abc import Iterable
from dataclasses import dataclass

from egrethall.fleet._messages import Heartbeat
from egrethall.fleet._silence import (
    MAX_SINGLE_ROUND_RECIPIENTS,
    RECIPIENTS_PER_ROUND,
    count_rounds_per_cycle,
    find_silent,
)
from egrethall.types import Clock, RandomSource, weigh

#: Time after which a silent instance is removed and its shares of the allowances with
#: it. Longer than an availability zone takes to recover, because an instance that is
#: only partitioned from this one goes on using its shares.
EXPIRY_SECONDS = 30.0

#: Time without a heartbeat after which an instance no longer counts as reachable, in
#: cycles. Long enough that lost datagrams alone make no instance unreachable.
REACHABLE_TIMEOUT_CYCLES = 4.0

#: Other instances whose names and addresses a heartbeat carries: in a round, and in the
#: answer to an instance that was not known before.
MEMBERS_PER_HEARTBEAT = 2
MEMBERS_PER_JOIN_ANSWER = 16

#: Share of the known instances that a new one must know to need no introduction. Else
#: each instance of a fleet that starts would introduce all others to it.
INTRODUCED_RATIO = 0.98

#: Instances to which a round sends their first heartbeat, beside those of the cycle.
FIRST_CONTACTS_PER_ROUND = 4

#: Time without a heartbeat after which a reader of the same availability zone counts as
#: stopped, in rounds: readers send one to all of their zone in each round.
READER_TIMEOUT_ROUNDS = 3.0

#: Instances of each other availability zone that announce new records there.
RELAYS_PER_ZONE = 2


@dataclass
class Member:
    """Another instance of the fleet."""

    name: str
    address: str
    availability_zone: str = ""
    run: int = 0
    #: True if it reads the store itself and the store answers.
    reads_store: bool = False
    #: True if it calls the store, even if the store does not answer.
    polls_store: bool = False
    #: False while it reaches no upstream.
    reaches_upstreams: bool = True
    #: Clock reading when its last heartbeat arrived; before the first one, when a
    #: heartbeat of another instance named it.
    last_seen_at_seconds: float = 0.0
    #: False until its first heartbeat.
    confirmed: bool = False
    #: Number of the other instances that it knew at its last heartbeat.
    known_count: int = 0


class FleetMembers:
    """The other instances, known from their heartbeats and from members named in them.

    Heartbeats also go to the seeds at whose addresses no instance is known.

    :param round_seconds: time between two rounds of heartbeats.
    """

    def __init__(
        self,
        own_name: str,
        own_address: str,
        seeds: tuple[str, ...],
        round_seconds: float,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._own_name = own_name
        self._own_address = own_address
        self.set_seeds(seeds)
        self._round_seconds = round_seconds
        self._clock = clock
        self._random = random_source
        self._members: dict[str, Member] = {}
        #: The other instances in the order of the cycle, by a hash of both names, so
        #: that the heartbeats of all others do not reach one in the same round. The
        #: cycle goes on behind the last recipient, also when instances join or leave.
        self._cycle: list[tuple[bytes, str]] = []
        self._last_recipient = (b"", "")
        #: Names of the other instances to which nothing was sent yet.
        self._unsent: set[str] = set()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own_address)

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Updates the members from a heartbeat; returns True if its sender is new."""
        if heartbeat.name == self._own_name:
            return False
        for name, address in heartbeat.members:
            self.add_named(name, address)
        if heartbeat.leaving:
            self._remove(heartbeat.name)
            return False
        member = self._members.get(heartbeat.name)
        is_new = member is None or member.run != heartbeat.run
        if member is None:
            member = Member(heartbeat.name, heartbeat.address)
            self._add(member)
        member.address = heartbeat.address
        member.availability_zone = heartbeat.availability_zone
        member.run = heartbeat.run
        member.reads_store = heartbeat.reads_store
        member.polls_store = heartbeat.polls_store
        member.reaches_upstreams = heartbeat.reaches_upstreams
        member.last_seen_at_seconds = self._clock.monotonic_seconds()
        member.confirmed = True
        member.known_count = heartbeat.known_count
        return is_new

    def add_named(self, name: str, address: str) -> None:
        """Adds an instance that another one has named, unless it is known."""
        if name == self._own_name or name in self._members:
            return
        self._add(
            Member(name, address, last_seen_at_seconds=self._clock.monotonic_seconds())
        )

    def remove_expired(self) -> None:
        """Removes the instances without a heartbeat for :data:`EXPIRY_SECONDS`.

        An instance to which more than half of the fleet is silent is probably
        partitioned itself and removes none.
        """
        oldest_seconds = self._clock.monotonic_seconds() - EXPIRY_SECONDS
        expired = [
            member.name
            for member in self._members.values()
            if member.last_seen_at_seconds < oldest_seconds
        ]
        if not expired or len(self.find_silent()) * 2 > len(self._members) + 1:
            return
        for name in expired:
            self._remove(name)

    def choose_recipients(self) -> list[str]:
        """Returns the addresses to which the next round sends heartbeats."""
        names = set(self._members)
        if len(names) > MAX_SINGLE_ROUND_RECIPIENTS:
            names = set(self._take_from_cycle(RECIPIENTS_PER_ROUND))
            unsent = sorted(self._unsent - names)
            count = min(FIRST_CONTACTS_PER_ROUND, len(unsent))
            names.update(self._random.sample(unsent, count))
        self._unsent -= names
        addresses = [self._members[name].address for name in sorted(names)]
        return addresses + self.find_unconfirmed_seeds()

    def find_uninformed(self, addresses: Iterable[str]) -> frozenset[str]:
        """Returns those of ``addresses`` whose heartbeats are to name other instances.

        Instances that know as many as this one need no names, which would make up a
        quarter of the bytes of a heartbeat.
        """
        informed = {
            member.address
            for member in self._members.values()
            if member.confirmed and member.known_count >= len(self._members)
        }
        return frozenset(addresses) - informed

    def record_sent(self, name: str) -> None:
        """Records that a heartbeat was sent to an instance outside of the rounds."""
        self._unsent.discard(name)

    def _take_from_cycle(self, count: int) -> list[str]:
        start = bisect.bisect_right(self._cycle, self._last_recipient)
        taken = [self._cycle[(start + n) % len(self._cycle)] for n in range(count)]
        self._last_recipient = taken[-1]
        return [name for _, name in taken]

    def _find_cycle_position(self, name: str) -> tuple[bytes, str]:
        return weigh(self._own_name, name), name

    def choose_members(self, max_count: int) -> tuple[tuple[str, str], ...]:
        """Returns the names and addresses of at most ``max_count`` random instances."""
        confirmed = [member for member in self._members.values() if member.confirmed]
        count = min(max_count, len(confirmed))
        chosen = (self._random.choice(confirmed) for _ in range(count))
        return tuple({member.name: member.address for member in chosen}.items())

    def find_confirmed(self) -> list[Member]:
        """Returns the instances that have sent a heartbeat, silent ones included."""
        return [member for member in self._members.values() if member.confirmed]

    def find_reachable(self) -> list[Member]:
        """Returns the instances whose heartbeats arrive."""
        timeout_seconds = REACHABLE_TIMEOUT_CYCLES * self.cycle_seconds
        oldest_seconds = self._clock.monotonic_seconds() - timeout_seconds
        return [
            member
            for member in self._members.values()
            if member.confirmed and member.last_seen_at_seconds >= oldest_seconds
        ]

    def find_names(self) -> frozenset[str]:
        """Returns the names of all known instances, silent ones included."""
        return frozenset(self._members)

    def find_silent(self) -> frozenset[str]:
        """Returns the names of the known instances that are silent."""
        return find_silent(
            {
                member.name: (member.availability_zone, member.last_seen_at_seconds)
                for member in self._members.values()
            },
            self._clock.monotonic_seconds(),
            self._round_seconds,
        )

    def find_readers(self, silent: frozenset[str]) -> list[Member]:
        """Returns the other instances that read the store; without ``silent`` ones."""
        return [
            member
            for member in self._members.values()
            if member.reads_store and member.name not in silent
        ]

    def find_zone_pollers(self, zone: str) -> list[Member]:
        """Returns the instances of a zone that call the store, whether it answers."""
        oldest_seconds = (
            self._clock.monotonic_seconds()
            - READER_TIMEOUT_ROUNDS * self._round_seconds
        )
        return [
            member
            for member in self._members.values()
            if member.polls_store
            and member.availability_zone == zone
            and member.last_seen_at_seconds >= oldest_seconds
        ]

    def find_zone_names(self, zone: str, silent: frozenset[str]) -> list[str]:
        """Returns the names of the other instances of a zone; without ``silent``."""
        return [
            member.name
            for member in self._members.values()
            if member.availability_zone == zone and member.name not in silent
        ]

    def choose_relays(self, own_zone: str) -> list[str]:
        """Returns the addresses of a few random instances of each other zone."""
        by_zone: dict[str, list[str]] = {}
        for member in self._members.values():
            if member.confirmed and member.availability_zone != own_zone:
                by_zone.setdefault(member.availability_zone, []).append(member.address)
        return [
            self._random.choice(addresses)
            for addresses in by_zone.values()
            for _ in range(RELAYS_PER_ZONE)
        ]

    def count_introductions(self, heartbeat: Heartbeat) -> int:
        """Returns how many others the answer to a new instance names.

        It names none to an instance that knows nearly as many as this one.
        """
        is_introduced = heartbeat.known_count >= INTRODUCED_RATIO * len(self._members)
        return 0 if is_introduced else MEMBERS_PER_JOIN_ANSWER

    def find_seeds(self) -> frozenset[str]:
        """Returns the names of the known instances at the addresses of the seeds."""
        return frozenset(
            member.name
            for member in self._members.values()
            if member.confirmed and member.address in self._seeds
        )

    def find_unconfirmed_seeds(self) -> list[str]:
        """Returns the addresses of the seeds from which no heartbeat has arrived."""
        confirmed = {member.address for member in self.find_confirmed()}
        return [seed for seed in self._seeds if seed not in confirmed]

    def find_address(self, name: str) -> str | None:
        """Returns the address of an instance, or None if it is not known."""
        member = self._members.get(name)
        return None if member is None else member.address

    def find_zone_addresses(self, zone: str) -> list[str]:
        """Returns the addresses of the other instances of an availability zone."""
        return [
            member.address
            for member in self._members.values()
            if member.availability_zone == zone
        ]

    @property
    def cycle_seconds(self) -> float:
        """Duration of one cycle, in which each instance is sent one heartbeat."""
        return count_rounds_per_cycle(len(self._members)) * self._round_seconds

    def count_sending(self) -> int:
        """Returns the number of instances that reach upstreams, this one included."""
        return 1 + sum(member.reaches_upstreams for member in self._members.values())

    @property
    def fleet_size(self) -> int:
        """Number of known instances, this one and silent ones included."""
        return 1 + len(self._members)

    def _add(self, member: Member) -> None:
        self._members[member.name] = member
        self._unsent.add(member.name)
        bisect.insort(self._cycle, self._find_cycle_position(member.name))

    def _remove(self, name: str) -> None:
        if self._members.pop(name, None) is not None:
            self._unsent.discard(name)
            self._cycle.remove(self._find_cycle_position(name))
