"""Which instances there are, as far as this one has heard."""

import itertools
from dataclasses import dataclass

from egrethall.fleet._messages import Heartbeat
from egrethall.fleet._silence import (
    MAX_RECIPIENTS,
    RECIPIENTS_IN_TURN,
    count_turn_rounds,
    find_silent,
)
from egrethall.types import Clock, RandomSource

#: A silent instance keeps its shares for this long. Longer than a zone takes to come
#: back, because an instance that is only cut off goes on using them.
FORGET_SECONDS = 30.0

#: Names and addresses of others that a heartbeat of a round carries, and one to an
#: instance that was not known before.
NAMED_IN_ROUND = 2
NAMED_TO_NEWCOMER = 16


@dataclass
class Member:
    """Another instance."""

    name: str
    address: str
    availability_zone: str = ""
    run: int = 0
    #: True if it reads the store itself and is answered.
    reading: bool = False
    #: Clock reading of its last heartbeat, or of when it was first heard of.
    heard_at_seconds: float = 0.0
    #: False until its first heartbeat.
    confirmed: bool = False


class FleetMembers:
    """The other instances, from seeds, heartbeats and what heartbeats name.

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
        # Instances begin their turns at different places, so that nobody hears of all
        # the others in the same round.
        self._first_recipient = random_source.getrandbits(16)
        #: Recipients of all rounds so far.
        self._told = 0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the addresses at which instances are looked for."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own_address)

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Learns from a heartbeat; returns True if its sender is new."""
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
        member.reading = heartbeat.reading
        member.heard_at_seconds = self._clock.monotonic_seconds()
        member.confirmed = True
        return is_new

    def forget_expired(self) -> None:
        """Drops the instances that have been silent for long.

        An instance that hears less than half of those it knows is probably cut off
        itself and keeps all of them.
        """
        oldest_seconds = self._clock.monotonic_seconds() - FORGET_SECONDS
        expired = [
            member.name
            for member in self._members.values()
            if member.heard_at_seconds < oldest_seconds
        ]
        if not expired or len(self.find_silent()) * 2 > len(self._members) + 1:
            return
        for name in expired:
            del self._members[name]

    def choose_recipients(self) -> list[str]:
        """Returns the addresses of the next round of heartbeats."""
        addresses = sorted(member.address for member in self._members.values())
        unknown = [seed for seed in self._seeds if seed not in addresses]
        if len(addresses) > MAX_RECIPIENTS:
            start = (self._first_recipient + self._told) % len(addresses)
            end = start + RECIPIENTS_IN_TURN
            self._told += RECIPIENTS_IN_TURN
            turn = itertools.islice(itertools.cycle(addresses), start, end)
            addresses = list(turn)
        return addresses + unknown

    def name_some(self, most: int) -> tuple[tuple[str, str], ...]:
        """Returns names and addresses of a few instances for a heartbeat."""
        confirmed = [member for member in self._members.values() if member.confirmed]
        count = min(most, len(confirmed))
        chosen = (self._random.choice(confirmed) for _ in range(count))
        return tuple({member.name: member.address for member in chosen}.items())

    def find_all(self) -> list[Member]:
        """Returns the instances that were heard, silent ones included."""
        return [member for member in self._members.values() if member.confirmed]

    def find_known(self) -> frozenset[str]:
        """Returns the names of the instances that count, silent ones included."""
        return frozenset(self._members)

    def find_silent(self) -> frozenset[str]:
        """Returns the names of instances that were heard and have fallen silent."""
        return find_silent(
            {
                member.name: (member.availability_zone, member.heard_at_seconds)
                for member in self._members.values()
            },
            self._clock.monotonic_seconds(),
            self._round_seconds,
        )

    def find_readers(
        self, zone: str, silent: frozenset[str]
    ) -> tuple[list[str], list[str]]:
        """Returns the names of the other instances that read the store.

        The first list has those of ``zone``, the second one those of other zones.
        Those in ``silent`` are left out.
        """
        near: list[str] = []
        far: list[str] = []
        for member in self._members.values():
            if member.reading and member.name not in silent:
                (near if member.availability_zone == zone else far).append(member.name)
        return near, far

    def find_address(self, name: str) -> str | None:
        """Returns the address of an instance, or None if it is not known."""
        member = self._members.get(name)
        return None if member is None else member.address

    def find_addresses(self, zone: str) -> list[str]:
        """Returns the addresses of the other instances of a zone."""
        return [
            member.address
            for member in self._members.values()
            if member.availability_zone == zone
        ]

    @property
    def turn_seconds(self) -> float:
        """Time in which a heartbeat goes to each instance once."""
        return count_turn_rounds(len(self._members)) * self._round_seconds

    @property
    def fleet_size(self) -> int:
        """The number of instances, this one and silent ones included."""
        return 1 + len(self._members)

    def _add_named(self, name: str, address: str) -> None:
        if name == self._own_name or name in self._members:
            return
        self._members[name] = Member(
            name, address, heard_at_seconds=self._clock.monotonic_seconds()
        )
