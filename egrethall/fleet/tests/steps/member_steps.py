import json
import random
import socket
import time
import zlib
from pathlib import Path

import anyio
import msgpack
from behave import given, then, when

from egrethall.fleet import (
    MEMBERS_PER_HEARTBEAT,
    ROUND_SECONDS,
    CollectorAnswer,
    FleetExchange,
    FleetLevel,
    FleetMembers,
    Heartbeat,
    MalformedMessageError,
    OrganisationUsage,
    PeerServer,
    QuarantineReleases,
    RecordSources,
    UsageReports,
    decode_message,
    encode_message,
    read_records_from_peer,
)
from egrethall.fleet._record_exchange import encode_records
from egrethall.fleet.tests.unlimited_streams import UnlimitedStreams
from egrethall.http1 import ConnectError
from egrethall.records import RecordCache
from egrethall.types import (
    ManualClock,
    Record,
    RecordBatch,
    RecordSourceError,
    SystemClock,
)

STALE_SEED = "10.9.9.9:80"


class SimulatedFleet:
    """Instances whose heartbeats arrive at once, unless the two are disconnected."""

    def __init__(self, count, seeds, stale, zones=1):
        self.zones = zones
        self.clock = ManualClock()
        self.random = random.Random(11)
        self.addresses = [f"10.0.{n // 200}.{n % 200}:80" for n in range(count)]
        self.seeds = tuple(self.addresses[: seeds - stale]) + (STALE_SEED,) * stale
        self.runs = [1] * count
        self.members = [self.make_members(number) for number in range(count)]
        #: Instances that reach no other one.
        self.disconnected = set()
        #: Instances that reach each other but not the rest.
        self.partition = set()
        self.leaving = set()
        self.largest_round = 0
        #: Number of answers to new instances that name others.
        self.introductions = 0
        #: Number of instances that heartbeats named, without those answers.
        self.named_count = 0

    def make_members(self, number):
        return FleetMembers(
            f"entry-{number}",
            self.addresses[number],
            self.seeds,
            ROUND_SECONDS,
            self.clock,
            self.random,
        )

    def find_zone(self, number):
        return f"zone-{number * self.zones // len(self.addresses)}"

    def compose_heartbeat(self, number, max_named=MEMBERS_PER_HEARTBEAT):
        return Heartbeat(
            f"entry-{number}",
            self.runs[number],
            self.addresses[number],
            self.find_zone(number),
            number in self.leaving,
            0,
            members=self.members[number].choose_members(max_named),
            known_count=self.members[number].fleet_size - 1,
        )

    def run(self, seconds):
        for _ in range(round(seconds / ROUND_SECONDS)):
            self.clock.advance(ROUND_SECONDS)
            for number, members in enumerate(self.members):
                members.remove_expired()
                addresses = members.choose_recipients()
                self.largest_round = max(self.largest_round, len(addresses))
                for address in addresses:
                    self.deliver(number, address)

    def deliver(self, number, address):
        if address not in self.addresses or number in self.disconnected:
            return
        other = self.addresses.index(address)
        if other in self.disconnected or (number in self.partition) != (
            other in self.partition
        ):
            return
        uninformed = self.members[number].find_uninformed([address])
        max_named = MEMBERS_PER_HEARTBEAT if uninformed else 0
        self.named_count += max_named
        heartbeat = self.compose_heartbeat(number, max_named)
        if self.members[other].observe(heartbeat):
            named_count = self.members[other].count_introductions(heartbeat)
            self.introductions += named_count > 0
            answer = self.compose_heartbeat(other, named_count)
            self.members[number].observe(answer)
            self.members[other].record_sent(f"entry-{number}")


@given("{count:d} instances with {seeds:d} seeds of which {stale:d} is stale")
def step_impl(context, count, seeds, stale):
    context.fleet = SimulatedFleet(count, seeds, stale)


@given("{count:d} instances in {zones:d} zones with {seeds:d} seeds")
def step_impl(context, count, zones, seeds):
    context.fleet = SimulatedFleet(count, seeds, 0, zones)


@when("instances {first:d} to {last:d} are partitioned from the others")
def step_impl(context, first, last):
    context.fleet.partition = set(range(first, last + 1))


@then("instance 0 finds at least {count:d} silent, all in the other partition")
def step_impl(context, count):
    fleet = context.fleet
    silent = {int(name.split("-")[1]) for name in fleet.members[0].find_silent()}
    assert len(silent) >= count, len(silent)
    other_side = fleet.partition
    if 0 in other_side:
        other_side = set(range(len(fleet.members))) - other_side
    assert silent <= other_side, len(silent - other_side)


@then("no instance finds another one silent")
def step_impl(context):
    silent = [len(members.find_silent()) for members in context.fleet.members]
    assert not any(silent), silent


@when("heartbeats are exchanged for {seconds:f} s")
@when("heartbeats are exchanged for {seconds:d} s")
def step_impl(context, seconds):
    context.fleet.run(seconds)


@when("instance {number:d} is replaced by a new run")
def step_impl(context, number):
    context.fleet.runs[number] += 1
    context.fleet.members[number] = context.fleet.make_members(number)


@when("instance {number:d} is replaced by a run with a lower number")
def step_impl(context, number):
    # The number of a run is the time of day at which it started.
    context.fleet.runs[number] -= 1
    context.fleet.members[number] = context.fleet.make_members(number)


@when("instance {number:d} leaves")
def step_impl(context, number):
    context.fleet.leaving.add(number)


@when("instances {numbers} are disconnected")
def step_impl(context, numbers):
    context.fleet.disconnected = {int(number) for number in numbers.split()}


@then("every instance knows the {count:d} others")
def step_impl(context, count):
    known = [len(members.find_confirmed()) for members in context.fleet.members]
    assert known == [count] * len(known), known


@then("every instance but instance {number:d} knows the {count:d} others")
def step_impl(context, number, count):
    for index, members in enumerate(context.fleet.members):
        assert index == number or len(members.find_confirmed()) == count, index


@then("heartbeats exchanged for another {seconds:d} s name no instance")
def step_impl(context, seconds):
    context.fleet.named_count = 0
    context.fleet.run(seconds)
    assert not context.fleet.named_count, context.fleet.named_count


@then("each instance was introduced to the others at most {count:d} times")
def step_impl(context, count):
    fleet = context.fleet
    assert fleet.introductions <= count * len(fleet.addresses), fleet.introductions


@then("no instance sent more than {count:d} heartbeats in a round")
def step_impl(context, count):
    assert context.fleet.largest_round <= count, context.fleet.largest_round


@then("instance 0 knows {known:d} others of whom {silent:d} are silent")
def step_impl(context, known, silent):
    members = context.fleet.members[0]
    assert len(members.find_confirmed()) == known, members.find_confirmed()
    assert len(members.find_silent()) == silent, members.find_silent()


MESSAGES = {
    "a heartbeat with usage, crashes and members": Heartbeat(
        "entry-1",
        7,
        "10.0.0.1:80",
        "east",
        True,
        412,
        reads_store=True,
        since_outage_seconds=0.5,
        usage={"cuka": OrganisationUsage(12, 3.5, -4.0, 3)},
        polls_store=True,
        crashes=((b"12345678", "i-1"),),
        members=(("entry-2", "10.0.0.2:80"),),
        sequence=9,
        known_count=300,
        relay_requested=True,
        settled=False,
    ),
    "a report to a collector": UsageReports(
        "entry-1",
        7,
        "10.0.0.1:80",
        9,
        {"cuka": OrganisationUsage(12, 3.5, -4.0, 3, 7)},
        "entry-3",
        ("entry-4",),
    ),
    "a collector's answer": CollectorAnswer(
        "entry-2",
        {"cuka": FleetLevel(-4.0, 3.5, 12, 3)},
        "10.0.0.2:80",
        "entry-3",
        True,
    ),
    "the end of a quarantine": QuarantineReleases((b"12345678", b"23456789")),
}

#: Datagrams of ``MESSAGES`` as commit b87b8cb encodes them, in hexadecimal.
EARLIER_DATAGRAMS = {
    name: bytes.fromhex(datagram)
    for name, datagram in json.loads(
        (Path(__file__).parents[1] / "messages_b87b8cb.json").read_text()
    ).items()
}


@when("{message} is encoded and decoded")
def step_impl(context, message):
    context.message = MESSAGES[message]
    context.decoded = decode_message(encode_message(context.message))


@when("{message} of the release b87b8cb is decoded")
def step_impl(context, message):
    context.message = MESSAGES[message]
    context.decoded = decode_message(EARLIER_DATAGRAMS[message])


@when("{message} of a later release with more fields is decoded")
def step_impl(context, message):
    context.message = MESSAGES[message]
    fields = msgpack.unpackb(encode_message(context.message))
    context.decoded = decode_message(msgpack.packb([*fields, "more", {"a": 1}]))


@then("each message of the release b87b8cb is encoded as it was there")
def step_impl(context):
    for name, datagram in EARLIER_DATAGRAMS.items():
        assert encode_message(MESSAGES[name]) == datagram, name


@then("the decoded message equals the original")
def step_impl(context):
    assert context.decoded == context.message, context.decoded


@when("{count:d} corrupted copies of {message} are decoded")
def step_impl(context, count, message):
    source = random.Random(5)
    datagram = encode_message(MESSAGES[message])
    context.unexpected = []
    for _ in range(count):
        data = bytearray(datagram)
        for _ in range(source.randint(1, 4)):
            data[source.randrange(len(data))] = source.randrange(256)
        try:
            decode_message(bytes(data[: source.randint(0, len(data))]))
        except MalformedMessageError:
            continue
        except Exception as error:
            context.unexpected.append(error)


@then("each is either decoded or rejected as malformed")
def step_impl(context):
    assert not context.unexpected, context.unexpected


@given("an instance of zone east with records up to revision {revision:d}")
def step_impl(context, revision):
    context.clock = ManualClock()
    context.revision = revision
    context.sources = RecordSources("east", context.clock)


@when(
    "an instance of {zone} announces revision {revision:d}, {seconds:f} s after the"
    " first newer revision"
)
def step_impl(context, zone, seconds, revision):
    if seconds:
        first = Heartbeat("a", 1, "10.0.0.1:80", "west", False, revision - 1)
        context.sources.observe(first, context.revision)
        context.clock.advance(seconds)
    zone, _, request = zone.partition(",")
    heartbeat = Heartbeat(
        "b", 1, "10.0.0.2:80", zone, False, revision, relay_requested=bool(request)
    )
    context.read = context.sources.observe(heartbeat, context.revision)


@then("records are read from it: {read}")
def step_impl(context, read):
    assert context.read == (read == "yes")
    assert (context.sources.take_source(context.revision) is not None) == context.read


@then("the next round of each instance goes to {count:d} recipients")
def step_impl(context, count):
    for members in context.fleet.members:
        assert len(set(members.choose_recipients())) == count


def open_udp(context, host):
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    udp = socket.socket(family, socket.SOCK_DGRAM)
    context.add_cleanup(udp.close)
    udp.bind((host.strip("[]"), 0))
    return udp, f"{host}:{udp.getsockname()[1]}"


class StubParticipant:
    """Composes the same heartbeat in each round, and reports to one collector."""

    def __init__(self, name, address, collector=None):
        self.name = name
        self.address = address
        self.collector = collector
        #: Address to which it forwards all reports; None if it is the collector.
        self.forward_address = None
        self.answers = []
        self.answered = anyio.Event()

    @property
    def joining(self):
        return False

    def begin_round(self):
        """Does nothing before a round."""

    def begin_joining_step(self):
        """Does nothing before a step."""

    def find_forwards(self, reports):
        return {self.forward_address: reports} if self.forward_address else {}

    def compose_heartbeat(self, max_named):
        return Heartbeat(self.name, 1, self.address, "east", False, 0)

    def compose_reports(self):
        if self.collector is None:
            return {}
        usage = {"cuka": OrganisationUsage(3, 1.5)}
        return {self.collector: UsageReports(self.name, 1, self.address, 1, usage)}

    def receive_heartbeat(self, heartbeat):
        """Ignores heartbeats."""

    def receive_reports(self, reports):
        admitted = reports.usage["cuka"].admitted
        return CollectorAnswer(
            self.name, {"cuka": FleetLevel(7.0, 1.5, admitted, 0)}, self.address
        )

    def compose_releases(self):
        return None

    def receive_releases(self, releases):
        raise AssertionError("no releases are sent here")

    def receive_answer(self, answer):
        self.answers.append(answer)
        self.answered.set()


def make_exchange(context, name, host, seeds=(), collector=None):
    own, address = open_udp(context, host)
    own.close()
    members = FleetMembers(name, address, seeds, ROUND_SECONDS, SystemClock(), random)
    participant = StubParticipant(name, address, collector)
    return FleetExchange(address, members, participant), participant


@given("a fleet exchange at {host} with a seed at the same host")
def step_impl(context, host):
    context.seed, seed = open_udp(context, host)
    context.exchange, _ = make_exchange(context, "entry-1", host, (seed,))


@when("the exchange runs")
def step_impl(context):
    async def run():
        with anyio.move_on_after(ROUND_SECONDS / 2):
            await context.exchange.run()

    anyio.run(run)


@then("the seed receives a heartbeat within {seconds:d} s")
def step_impl(context, seconds):
    context.seed.settimeout(seconds)
    assert decode_message(context.seed.recv(4096)).name == "entry-1"


@given("two fleet exchanges on loopback")
def step_impl(context):
    collecting, context.collector = make_exchange(context, "entry-2", "127.0.0.1")
    reporting, context.participant = make_exchange(
        context, "entry-1", "127.0.0.1", collector=context.collector.address
    )
    context.exchanges = [collecting, reporting]


@given("a third one that forwards reports to their collector")
def step_impl(context):
    forwarding, forwarder = make_exchange(context, "entry-3", "127.0.0.1")
    forwarder.forward_address = context.collector.address
    context.participant.collector = forwarder.address
    context.exchanges.append(forwarding)


@when("one of them sends reports to the other")
def step_impl(context):
    """All run in the next step, which waits for the answer."""


@then("the sender receives the answer within {seconds:d} s")
def step_impl(context, seconds):
    async def run():
        async with anyio.create_task_group() as tasks:
            for exchange in context.exchanges:
                tasks.start_soon(exchange.run)
            with anyio.fail_after(seconds):
                await context.participant.answered.wait()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    levels = {"cuka": FleetLevel(7.0, 1.5, 3, 0)}
    answer = CollectorAnswer("entry-2", levels, context.collector.address)
    assert context.participant.answers[0] == answer, context.participant.answers


def serve_records(context, serve):
    """Reads records in the next step from an instance that runs ``serve``."""

    async def read(own):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            with anyio.fail_after(5):
                while True:
                    try:
                        own.apply(await read_records_from_peer(context.address, 0))
                        break
                    except RecordSourceError as error:
                        context.error = error
                        if not isinstance(error.__cause__, ConnectError):
                            break
                        await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    context.read_records = read


@given("an instance that serves {count:d} records")
def step_impl(context, count):
    own, context.address = open_udp(context, "127.0.0.1")
    own.close()
    context.cache = RecordCache()
    value = b'{"service": "lookup", "zone": "east", "state": "ready", "number": %d}'
    records = tuple(Record(f"servers/{n}", n + 1, value % n) for n in range(count))
    context.cache.apply(RecordBatch(count, records, whole=True))
    context.value_bytes = sum(len(record.value) for record in records)
    server = PeerServer(context.address, context.cache, None, UnlimitedStreams())
    serve_records(context, server.run)


@given("an instance that serves records that are {fault}")
def step_impl(context, fault):
    own, context.address = open_udp(context, "127.0.0.1")
    own.close()
    message = msgpack.packb([1, True, []])
    if fault == "cut off":
        message = zlib.compress(message)[:-4]

    async def answer(stream):
        async with stream:
            await stream.receive()
            await stream.send(len(message).to_bytes(4, "big") + message)

    async def serve():
        host, port = context.address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        await listener.serve(answer)

    serve_records(context, serve)


@when("another one reads them")
def step_impl(context):
    context.read = RecordCache()
    context.error = None
    anyio.run(context.read_records, context.read)


@given("an instance that accepts connections and sends nothing")
def step_impl(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"


@when("an instance that lacks changes reads from it")
def step_impl(context):
    async def read():
        try:
            await read_records_from_peer(context.address, 1)
        except RecordSourceError as error:
            context.error = error

    started_at = time.monotonic()
    anyio.run(read)
    context.read_seconds = time.monotonic() - started_at


@then("the read fails within {seconds:d} s")
def step_impl(context, seconds):
    assert context.error is not None
    assert context.read_seconds < seconds, context.read_seconds


@then("it has the same records")
def step_impl(context):
    assert context.read.find_changes(0) == context.cache.find_changes(0)


@then("a third of their bytes or less were sent")
def step_impl(context):
    sent_bytes = len(encode_records(context.cache.find_changes(0)))
    assert sent_bytes <= context.value_bytes / 3, sent_bytes


@then("the read fails")
def step_impl(context):
    assert context.error is not None
    assert not context.read.revision


@then("instance 0 can reach {count:d} others")
def step_impl(context, count):
    reachable = context.fleet.members[0].find_reachable()
    assert len(reachable) == count, reachable
