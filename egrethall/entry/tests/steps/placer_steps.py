import random

import anyio
from behave import given, then, when

from egrethall.entry._placer import PlacementRequest, Placer
from egrethall.entry._prober import Probe
from egrethall.placement import ColdStartShares, UpstreamTable
from egrethall.types import (
    PublishedService,
    RequestKind,
    SystemClock,
    UpstreamEntry,
    UpstreamReading,
)

SERVICE = PublishedService("read-svc", "/health", 100, 5.0)

#: Slots of each upstream, all free.
SLOTS = 6


class ScriptedProber:
    """Answers probes as the scenario says, in tasks of its own."""

    def __init__(self, script):
        self.script = script
        self.asked = []
        self.tasks = None

    def start_round(self, states, health_path, into):
        for state in states:
            into.pending += 1
            into.asked.add(state.name)
            self.asked[-1].append(state.name)
            self.tasks.start_soon(self.answer, state, into)

    async def answer(self, state, into):
        wait_seconds, slowness = self.script[state.name]
        await anyio.sleep(wait_seconds)
        reading = UpstreamReading(0, 0, SLOTS, slowness)
        into.finish_one(Probe(state, None, reading, True, False, None, state.sent))

    async def release(self, probe):
        pass


class PlacerSubject:
    """A placer over scripted upstreams of one zone."""

    def __init__(self):
        self.script = {}
        self.chosen = []
        self.seconds = []

    def run(self, count):
        anyio.run(self.place, count)

    async def place(self, count):
        clock = SystemClock()
        table = UpstreamTable(clock, random.Random(3))
        for name in self.script:
            entry = UpstreamEntry(
                name=name,
                service=SERVICE.name,
                address="127.0.0.1:1",
                availability_zone="east",
                slots=SLOTS,
                draining=False,
                cold_seconds=0.0,
                started_at_ms=1,
            )
            table.set_entry(entry)
        prober = ScriptedProber(self.script)
        self.asked = prober.asked
        placer = Placer(
            "east",
            table,
            prober,
            ColdStartShares("entry-0", clock),
            self,
            clock,
            random.Random(3),
        )
        async with anyio.create_task_group() as prober.tasks:
            for _ in range(count):
                self.asked.append([])
                started_at_seconds = clock.monotonic_seconds()
                deadline_at_seconds = started_at_seconds + 10.0
                request = PlacementRequest(
                    SERVICE,
                    RequestKind.IDEMPOTENT,
                    1.0,
                    deadline_at_seconds,
                    frozenset(),
                )
                probe = await placer.place(request)
                self.seconds.append(clock.monotonic_seconds() - started_at_seconds)
                self.chosen.append(probe.state.name)
            prober.tasks.cancel_scope.cancel()

    def find_names(self):
        return []


@given("upstreams with these answers to probes")
def step_impl(context):
    context.subject = PlacerSubject()
    for row in context.table:
        wait = row["answers after ms"]
        seconds = 60.0 if wait == "never" else int(wait) / 1000
        context.subject.script[row["upstream"]] = (seconds, float(row["slowness"]))


@given("{count:d} more that answer after {ms:d} ms with slowness {slowness:f}")
def step_impl(context, count, ms, slowness):
    for number in range(count):
        context.subject.script[f"more-{number}"] = (ms / 1000, slowness)


@when("a request is placed {count:d} times")
def step_impl(context, count):
    context.subject.run(count)


@then("no upstream was asked twice for the same request")
def step_impl(context):
    for names in context.subject.asked:
        assert len(set(names)) == len(names), names


@then("it went to {name} at least {count:d} times")
def step_impl(context, name, count):
    assert context.subject.chosen.count(name) >= count, context.subject.chosen


@then("each was placed within {ms:d} ms")
def step_impl(context, ms):
    assert max(context.subject.seconds) <= ms / 1000, context.subject.seconds
