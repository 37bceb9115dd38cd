import random
from collections import Counter
from dataclasses import dataclass

import anyio
from behave import given, then, when

from egrethall.entry._placer import PlacementRequest, Placer
from egrethall.entry._prober import ProbeResult
from egrethall.entry.tests.virtual_time import LoopClock, run_in_virtual_time
from egrethall.placement import (
    ColdStartShares,
    ProbeAllowance,
    RateLimitShares,
    UpstreamTable,
    WaitingLine,
)
from egrethall.types import (
    ManualClock,
    PublishedService,
    RefusedError,
    RequestKind,
    UpstreamEntry,
    UpstreamReading,
)

SERVICE = PublishedService("read-svc", "/health", 100, 5.0)

#: Rank of urgent requests and of others.
PRIORITIES = {"urgent": 0, "other": 5}

DEFAULT_OBJECTIVE_SECONDS = 1.0

#: Probes per second that upstreams accept unless a scenario limits them.
UNLIMITED_PROBES_PER_SECOND = 1e6


@dataclass(frozen=True)
class Result:
    """How the placement of one request ended."""

    kind: str
    served: bool
    waited_seconds: float


class SimulatedUpstreams:
    """Upstreams that serve as many requests at once as they have slots."""

    def __init__(self, count, slots, work_seconds):
        self.slots, self.work_seconds = slots, work_seconds
        self.random = random.Random(13)
        self.occupied = Counter()
        self.limiters = {
            f"u-{number}": anyio.Semaphore(slots) for number in range(count)
        }
        self.probe_count = 0
        self.tasks = None

    def start_probes(self, states, health_path, batch):
        for state in states:
            batch.pending += 1
            batch.probed_names.add(state.name)
            self.probe_count += 1
            self.tasks.start_soon(self.respond, state, batch)

    async def respond(self, state, batch):
        await anyio.sleep(0.001)
        occupied = self.occupied[state.name]
        reading = UpstreamReading(
            min(occupied, self.slots), max(0, occupied - self.slots), self.slots
        )
        batch.record_result(
            ProbeResult(state, None, reading, True, False, None, state.sent_requests)
        )

    async def release(self, probe):
        pass

    async def work(self, name):
        async with self.limiters[name]:
            # Neighbours on the same machine let work take longer at times.
            factor = self.random.choice((0.5, 0.5, 1.0, 2.0))
            await anyio.sleep(self.work_seconds * factor)
        self.occupied[name] -= 1


class OverloadedService:
    """Requests of two ranks through one placer, evenly spread over time."""

    def __init__(self, count, slots, work_seconds):
        self.shape = count, slots, work_seconds
        self.probes_per_second = UNLIMITED_PROBES_PER_SECOND
        self.objective_seconds = DEFAULT_OBJECTIVE_SECONDS
        #: Times from the arrival of each served request to its response.
        self.response_seconds = []
        self.results = []

    def find_peer_names(self):
        return []

    def find_reachable_peers(self):
        return []

    async def run(self, kinds, seconds):
        self.clock = LoopClock()
        table = UpstreamTable(self.clock, random.Random(3))
        self.upstreams = SimulatedUpstreams(*self.shape)
        for name in self.upstreams.limiters:
            table.set_entry(
                UpstreamEntry(
                    name=name,
                    service=SERVICE.name,
                    address="127.0.0.1:1",
                    availability_zone="east",
                    slots=self.upstreams.slots,
                    draining=False,
                    cold_seconds=0.0,
                    started_at_ms=1,
                )
            )
        self.placer = Placer(
            "east",
            table,
            self.upstreams,
            ColdStartShares("entry-0", self.clock),
            RateLimitShares("entry-0", "east", self, self.clock),
            ProbeAllowance(self.probes_per_second, lambda: 1, self.clock),
            self,
            self.clock,
            random.Random(3),
        )
        async with anyio.create_task_group() as self.upstreams.tasks:
            for kind in kinds:
                self.upstreams.tasks.start_soon(self.send, kind)
                await anyio.sleep(seconds / len(kinds))

    async def send(self, kind):
        started_at_seconds = self.clock.monotonic_seconds()
        request = PlacementRequest(
            SERVICE,
            RequestKind.IDEMPOTENT,
            self.objective_seconds,
            started_at_seconds + 2 * self.objective_seconds,
            frozenset(),
            priority=PRIORITIES[kind],
        )
        try:
            probe = await self.placer.place(request)
        except RefusedError:
            probe = None
        waited_seconds = self.clock.monotonic_seconds() - started_at_seconds
        self.results.append(Result(kind, probe is not None, waited_seconds))
        if probe is not None:
            self.upstreams.occupied[probe.state.name] += 1
            await self.upstreams.work(probe.state.name)
            self.response_seconds.append(
                self.clock.monotonic_seconds() - started_at_seconds
            )

    def count_served(self, kind=None):
        return sum(r.served and kind in (None, r.kind) for r in self.results)


@given(
    "{count:d} upstreams with {slots:d} slots each that work for {ms:d} ms on a request"
)
def step_impl(context, count, slots, ms):
    context.service = OverloadedService(count, slots, ms / 1000)


@given("upstreams that accept {count:d} probes per second each")
def step_impl(context, count):
    context.service.probes_per_second = count


@when(
    "{urgent:d} urgent and {others:d} other requests arrive evenly within {seconds:d} s"
)
def step_impl(context, urgent, others, seconds):
    kinds = ["urgent"] * urgent + ["other"] * others
    random.Random(7).shuffle(kinds)
    run_in_virtual_time(context.service.run, kinds, seconds)


@then("at least {count:d} urgent requests are served")
def step_impl(context, count):
    served = context.service.count_served("urgent")
    assert served >= count, served


@then("at least {count:d} requests are served")
def step_impl(context, count):
    served = context.service.count_served()
    assert served >= count, served


@given("an objective of {ms:d} ms")
def step_impl(context, ms):
    context.service.objective_seconds = ms / 1000


@then("at least {count:d} requests are served within the objective")
def step_impl(context, count):
    service = context.service
    in_time = sum(s <= service.objective_seconds for s in service.response_seconds)
    assert in_time >= count, sorted(service.response_seconds)


@then("at most {count:d} requests are served later")
def step_impl(context, count):
    service = context.service
    late = sum(s > service.objective_seconds for s in service.response_seconds)
    assert late <= count, sorted(service.response_seconds)


@then("at most a third as many other requests are served")
def step_impl(context):
    urgent = context.service.count_served("urgent")
    others = context.service.count_served("other")
    assert others * 3 <= urgent, (urgent, others)


@then("each refused request waited for at most {ms:d} ms")
def step_impl(context, ms):
    refused = [r.waited_seconds for r in context.service.results if not r.served]
    assert max(refused) <= ms / 1000, max(refused)


@then("the upstreams got at most {count:d} probes")
def step_impl(context, count):
    assert context.service.upstreams.probe_count <= count, (
        context.service.upstreams.probe_count
    )


@given(
    "upstreams of which {upstreams:d} accept {bound:d} probes per second from"
    " {instances:d} instances"
)
def step_impl(context, upstreams, bound, instances):
    context.clock = ManualClock()
    context.upstream_count = upstreams
    context.allowance = ProbeAllowance(bound, lambda: instances, context.clock)


@when("an instance probes as long as it is allowed to for {seconds:d} s")
def step_impl(context, seconds):
    context.probe_count = 0
    for _ in range(seconds * 100):
        context.clock.advance(0.01)
        while context.allowance.allows_more("read-svc", context.upstream_count):
            context.allowance.record_probes("read-svc", context.upstream_count, 5)
            context.probe_count += 5


@then("it sent {least:d} to {most:d} probes")
def step_impl(context, least, most):
    assert least <= context.probe_count <= most, context.probe_count


@given("requests with priorities {priorities} wait in a line")
def step_impl(context, priorities):
    async def run():
        line = WaitingLine()

        async def wait(number, priority):
            with line.join(priority, 10.0 + number) as place:
                await anyio.sleep(0.01)
                await line.wait_for_turn(place)
                context.turns.append((priority, number))

        async with anyio.create_task_group() as tasks:
            for number, priority in enumerate(priorities.split()):
                tasks.start_soon(wait, number, int(priority))

    context.turns = []
    run_in_virtual_time(run)


@then(
    "their turns come in the order {priorities} by priority, the longer waiting first"
)
def step_impl(context, priorities):
    assert context.turns == sorted(context.turns), context.turns
    assert [p for p, _ in context.turns] == [int(p) for p in priorities.split()]
