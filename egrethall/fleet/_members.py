"""The other instances of the fleet, as far as this one knows them."""

import itertools
from dataclasses import dataclass

from egrethall.fleet._messages import Heartbeat
from egrethall.fleet._silence import (
    MAX_SINGLE_ROUND_RECIPIENTS,
    RECIPIENTS_PER_ROUND,
    count_rounds_per_cycle,
    find_silent,
)
from egrethall.types import Clock, RandomSource

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


@dataclass
class Member:
    """Another instance of the fleet."""

    name: str
    address: str
    availability_zone: str = ""
    run: int = 0
    #: True if it reads the store itself and the store answers.
    reads_store: bool = False
    #: Clock reading when its last heartbeat arrived; before the first one, when a
    #: heartbeat of another instance named it.
    last_seen_at_seconds: float = 0.0
    #: False until its first heartbeat.
    confirmed: bool = False


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
        #: Where the cycle of recipients begins. It is random, so that the heartbeats of
        #: all others do not reach an instance in the same round.
        self._cycle_offset = random_source.getrandbits(16)
        #: Number of recipients in all rounds so far.
        self._recipient_count = 0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own_address)

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Updates the members from a heartbeat; returns True if its sender is new."""
        if heartbeat.name == self._own_name:
            return False
        for name, address in heartbeat.members:
            self._add_named(name, address)
        if heartbeat.leaving:
            self._members.pop(heartbeat.name, None)
            return False
        member = self._members.get(heartbeat.name)
        is_new = member is None or member.run != heartbeat.run
        if member is None:
            member = Member(heartbeat.name, heartbeat.address)
            self._members[heartbeat.name] = member
        member.address = heartbeat.address
        member.availability_zone = heartbeat.availability_zone
        member.run = heartbeat.run
        member.reads_store = heartbeat.reads_store
        member.last_seen_at_seconds = self._clock.monotonic_seconds()
        member.confirmed = True
        return is_new

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
            del self._members[name]

    def choose_recipients(self) -> list[str]:
        """Returns the addresses to which the next round sends heartbeats."""
        addresses = sorted(member.address for member in self._members.values())
        unknown_seeds = [seed for seed in self._seeds if seed not in addresses]
        if len(addresses) > MAX_SINGLE_ROUND_RECIPIENTS:
            start = (self._cycle_offset + self._recipient_count) % len(addresses)
            end = start + RECIPIENTS_PER_ROUND
            self._recipient_count += RECIPIENTS_PER_ROUND
            selected = itertools.islice(itertools.cycle(addresses), start, end)
            addresses = list(selected)
        return addresses + unknown_seeds

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

    def find_readers(
        self, zone: str, silent: frozenset[str]
    ) -> tuple[list[str], list[str]]:
        """Returns the names of the other instances that read the store.

        The first list has those of the availability zone ``zone``, the second one those
        of other zones. Those in ``silent`` are left out.
        """
        in_zone: list[str] = []
        elsewhere: list[str] = []
        for member in self._members.values():
            if member.reads_store and member.name not in silent:
                (in_zone if member.availability_zone == zone else elsewhere).append(
                    member.name
                )
        return in_zone, elsewhere

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

    @property
    def fleet_size(self) -> int:
        """Number of known instances, this one and silent ones included."""
        return 1 + len(self._members)

    def _add_named(self, name: str, address: str) -> None:
        if name == self._own_name or name in self._members:
            return
        self._members[name] = Member(
            name, address, last_seen_at_seconds=self._clock.monotonic_seconds()
        )
