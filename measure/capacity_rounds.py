"""Slopes of what happens again and again: choices, heartbeats, ticks, scrapes."""

import random
from dataclasses import replace
from functools import partial
from itertools import count, cycle

from egrethall.admission import upstream_resource
from egrethall.configuration import parse_revision
from egrethall.leases import HEARTBEAT_SECONDS, SHARD_COUNT, choose_holder, shard_of
from egrethall.peers import decode_message, encode_message
from egrethall.routing import (
    ColdStartController,
    SelectedUpstreamTicket,
    UpstreamFactExchange,
    UpstreamSelectorService,
    make_default_chooser,
)
from egrethall.types import (
    AttemptOutcome,
    Heartbeat,
    InstanceId,
    LoadReport,
    ManualClock,
    Service,
    SystemClock,
    UpstreamFact,
    UpstreamState,
)
from measure.capacity_report import (
    Slope,
    print_line,
    run_at_once,
    time_calls,
)
from measure.capacity_shapes import build_text
from measure.capacity_state import (
    OWN,
    UPSTREAM_SIZES,
    build_directory,
    build_leases,
)

#: Upstreams of one service; 13 is the mean at the larger size.
SERVICE_SIZES = (6, 13, 52, 208)
FLEET_SIZES = (6, 18, 50, 100)
FACT_SIZES = (0, 3, 13, 41)
#: Instances among which the shards of the measured ticks are spread.
HOLDERS = 18
WARM_REPORT = LoadReport(2, 6, UpstreamState.WARM, "ab12")


class NoTokens:
    """A token gate of upstreams that are all warm."""

    async def take_token(self, upstream: str, deadline_at_seconds: float) -> bool:
        """Has no token."""
        return False


class WarmService:
    """Calls through the selector to one service of warm upstreams."""

    def __init__(self, size: int) -> None:
        configuration = parse_revision(build_text(1, 13))
        service = configuration.services[0]
        first = service.upstreams[0]
        self._clock = SystemClock()
        self._service: Service = replace(
            service,
            upstreams=tuple(replace(first, name=f"u-{n}") for n in range(size)),
        )
        directory = build_directory(
            self._clock, replace(configuration, services=(self._service,))
        )
        for record in directory.find_records():
            # An unknown start id would turn the upstream cold at its first answer.
            directory.observe_response(record, WARM_REPORT, 0.002)
            directory.declare_state(
                record.upstream.name, UpstreamState.WARM, "measurement"
            )
        self._selector = UpstreamSelectorService(
            directory,
            make_default_chooser(random.Random(1)),
            NoTokens(),
            first.availability_zone,
            self._clock,
            random.Random(1),
        )

    def call(self) -> None:
        """Chooses an upstream and accounts for its answer."""
        deadline = self._clock.monotonic_seconds() + 1.0
        ticket: SelectedUpstreamTicket = run_at_once(
            self._selector.acquire(self._service, "atlas", deadline)
        )
        ticket.observe_response(WARM_REPORT, 0.002)
        ticket.finish(AttemptOutcome.ANSWERED)


def measure_choice(runs: int) -> None:
    """The choice of an upstream, by the length of the chooser's list."""
    choice = Slope("choice", "upstreams_of_service", "us")
    for size in SERVICE_SIZES:
        choice.add(size, time_calls(WarmService(size).call, runs))
    choice.finish(13, 1300)


class OwnShards:
    """Every 18th upstream is held here; the others by somebody else."""

    def __init__(self, names: list[str]) -> None:
        self._held = frozenset(names[::HOLDERS])

    def is_held_here(self, upstream: str) -> bool:
        """Returns whether the upstream is among those held here."""
        return upstream in self._held

    def find_held(self) -> frozenset[str]:
        """Returns the upstreams that are held here."""
        return self._held

    def is_held_by(self, upstream: str, instance: InstanceId) -> bool:
        """Returns whether the upstream is not held here."""
        return upstream not in self._held


def measure_ticks(runs: int) -> None:
    """The loops over all upstreams: facts twice, cold starts 10 times a second."""
    facts = Slope("tick-facts", "upstreams", "us")
    probes = Slope("tick-probes", "upstreams", "us")
    for size in UPSTREAM_SIZES:
        clock = SystemClock()
        directory = build_directory(clock, parse_revision(build_text(1, size)))
        names = [record.upstream.name for record in directory.find_records()]
        for name in names:
            directory.declare_state(name, UpstreamState.WARM, "measurement")
        view = OwnShards(names)
        controller = ColdStartController(directory, view, clock)
        exchange = UpstreamFactExchange(directory, controller, view, clock)
        facts.add(size, time_calls(exchange.take_heartbeat_facts, runs))
        tick = partial(_advance_probes, controller)
        probes.add(size, time_calls(tick, runs))
    facts.finish(46, 1300)
    probes.finish(46, 1300)


def _advance_probes(controller: ColdStartController) -> None:
    controller.advance()
    controller.find_due_probes()


class LeaseRounds:
    """Heartbeat rounds of one instance with all others of a fleet."""

    def __init__(self, size: int) -> None:
        self._clock = ManualClock()
        self._voter, self._settlement, self._table = build_leases(self._clock, size)
        self._peers = [InstanceId(f"entry-{n}", 1) for n in range(1, size)]
        members = [OWN, *self._peers]
        self._wanted = dict.fromkeys(members, 0)
        for shard in range(SHARD_COUNT):
            holder = choose_holder(shard, members)
            if holder is not None:
                self._wanted[holder] |= 1 << shard
        self._numbers = count(1)
        self._members = cycle(
            [frozenset(members), frozenset(member for member in members[:-1])]
        )
        for _ in range(20):
            self.beat()
        if not self._table.held_shards() and self._wanted[OWN]:
            raise RuntimeError("the instance does not hold its shards")

    def beat(self) -> None:
        """Asks all others for votes and votes on their shards."""
        self._clock.advance(HEARTBEAT_SECONDS)
        self._table.set_members(frozenset([OWN, *self._peers]))
        request = self._table.prepare_heartbeat(1)
        number = next(self._numbers)
        ack = Heartbeat(number, 1, 0, 0, False, 0.1)
        for peer in self._peers:
            wanted = self._wanted[peer]
            heartbeat = replace(ack, held_shards=wanted, wanted_shards=wanted)
            self._settlement.observe(peer, 1)
            answer = self._voter.answer_heartbeat(peer, heartbeat)
            self._settlement.observe(peer, 1)
            self._table.accept_ack(
                peer,
                replace(
                    answer,
                    sequence=request.sequence,
                    granted_shards=request.wanted_shards,
                ),
            )

    def change_members(self) -> None:
        """Loses or regains a member and ranks the holders of all shards anew."""
        self._table.set_members(next(self._members))
        self._clock.advance(4.0)
        self._table.due_handovers()


def measure_leases(runs: int) -> None:
    """One heartbeat round, and one change of the members, by the fleet's size."""
    rounds = Slope("lease-round", "instances", "us")
    changes = Slope("lease-member-change", "instances", "us")
    for size in FLEET_SIZES:
        fleet = LeaseRounds(size)
        rounds.add(size, time_calls(fleet.beat, runs))
        changes.add(size, time_calls(fleet.change_members, runs))
    rounds.finish(18, 100, 500)
    changes.finish(18, 100, 500)


def measure_heartbeats(runs: int) -> None:
    """Bytes and codec time of a heartbeat, by the facts that it carries."""
    length = Slope("heartbeat-bytes", "facts", "bytes")
    codec = Slope("heartbeat-codec", "facts", "us")
    for size in FACT_SIZES:
        facts = tuple(
            UpstreamFact(f"service-{n}-{n}", UpstreamState.WARM, "ab12cd34", 3, 0.25)
            for n in range(size)
        )
        heartbeat = Heartbeat(100_000, 1500, 1 << 63, 1 << 63, False, 0.125, facts)
        length.add(size, [float(len(encode_message(heartbeat)) + 4)])
        codec.add(size, time_calls(partial(_exchange, heartbeat), runs))
    length.finish(3, 13)
    codec.finish(3, 13)


def _exchange(heartbeat: Heartbeat) -> None:
    decode_message(encode_message(heartbeat))


def measure_spread(runs: int) -> None:
    """Upstreams and instances by shard: 64 shards are a coarse unit."""
    names = [f"service-{n // 13}-{n}" for n in range(max(UPSTREAM_SIZES))]
    for size in FLEET_SIZES:
        members = [InstanceId(f"entry-{n}", 1) for n in range(size)]
        held = dict.fromkeys(members, 0)
        holders = [choose_holder(shard, members) for shard in range(SHARD_COUNT)]
        for name in names:
            holder = holders[shard_of(upstream_resource(name))]
            if holder is not None:
                held[holder] += 1
        print_line(
            measure="shard-spread",
            instances=size,
            without_shard=sum(member not in holders for member in members),
            most_shards=max(holders.count(member) for member in members),
            most_upstreams=max(held.values()),
            mean_upstreams=len(names) / size,
        )
