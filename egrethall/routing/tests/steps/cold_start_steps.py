import random

import anyio
from behave import given, then, when

from egrethall.routing import ProbeRunner
from egrethall.routing.tests.fixtures import PEER, InstanceFixture, make_configuration
from egrethall.types import (
    ConnectFailedError,
    ConnectionBrokenError,
    LoadReport,
    ManualClock,
    UpstreamFact,
    UpstreamState,
)


class HolderFixture(InstanceFixture):
    """A holder of all shards that records its probes and the rates of "u0"."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.holder_view.held_here = True
        self.rates = []
        self.probes = []
        self.step()

    def step(self):
        self.controller.advance()
        for upstream in self.controller.find_due_probes():
            self.controller.begin_probe(upstream.name)
            self.probes.append((self.clock.monotonic_seconds(), upstream.name))
        rate = round(self.controller.find_limits("u0").rate_per_second)
        if self.state() != "warm" and rate not in self.rates[-1:]:
            self.rates.append(rate)

    def run(self, seconds, action):
        for index in range(round(seconds * 10)):
            action(index)
            self.clock.advance(0.1)
            self.step()


@given("the holder of cold upstreams")
def step_impl(context):
    context.fixture = HolderFixture(make_configuration())


@given("three instances that take turns as the shard's holder")
def step_impl(context):
    clock = ManualClock()
    context.instances = [
        InstanceFixture(make_configuration(), clock=clock) for _ in range(3)
    ]


@when('"{name}" answers successfully for {seconds:d} seconds')
def step_impl(context, name, seconds):
    context.fixture.run(seconds, lambda index: context.fixture.answer(name))


@when('"{name}" answers successfully and fails once in each of {seconds:d} seconds')
def step_impl(context, name, seconds):
    def action(index):
        context.fixture.answer(name)
        if index % 10 == 5:
            context.fixture.fail("failed", name)

    context.fixture.run(seconds, action)


@when("{seconds:d} seconds pass without responses")
def step_impl(context, seconds):
    context.fixture.run(seconds, lambda index: None)


@when('a peer reports "{name}" as "{state}" in each of {seconds:d} seconds')
def step_impl(context, name, state, seconds):
    fact = UpstreamFact(name, UpstreamState(state), "", 1, 0.1)

    def action(index):
        if index % 5 == 2:
            context.fixture.exchange.receive_heartbeat_facts(PEER, [fact])

    context.fixture.run(seconds, action)


@when('a peer\'s heartbeat reports "{name}" as "{state}" with start id "{start}"')
def step_impl(context, name, state, start):
    fact = UpstreamFact(name, UpstreamState(state), start, 0, 3.0)
    context.fixture.holder_view.held_by_peer = False
    context.fixture.exchange.receive_heartbeat_facts(PEER, [fact])


@when('a handover reports "{name}" as "{state}"')
def step_impl(context, name, state):
    fact = UpstreamFact(name, UpstreamState(state), "s1", 0, 0.0)
    context.fixture.exchange.receive_handover_facts([fact])


@when("the instance becomes the holder")
def step_impl(context):
    context.fixture.holder_view.held_here = True
    context.fixture.controller.advance()


@when(
    "the shard changes its holder at random for {seconds:d} seconds with seed {seed:d}"
)
def step_impl(context, seconds, seed):
    source = random.Random(seed)
    context.probes = []
    for index in range(seconds * 20):
        if index % 5 == 0 and source.random() < 0.15:
            holder = source.choice(context.instances)
            for instance in context.instances:
                instance.holder_view.held_here = instance is holder
        for instance in context.instances:
            instance.controller.advance()
            for upstream in instance.controller.find_due_probes():
                instance.controller.begin_probe(upstream.name)
                moment = instance.clock.monotonic_seconds()
                context.probes.append((moment, upstream.name))
                report = LoadReport(0, 4, UpstreamState.WARM, "s1")
                instance.directory.observe_probe(upstream.name, report, 0.005)
        context.instances[0].clock.advance(0.05)


class FakeProber:
    """Answers all probes with the same report or failure."""

    def __init__(self, answer):
        self.answer = answer

    async def probe(self, upstream, timeout_seconds):
        if self.answer == "a refusal":
            raise ConnectFailedError(upstream.name, "refused")
        if self.answer == "a broken connection":
            raise ConnectionBrokenError(upstream.name, "closed")
        state, start = self.answer.split(" with ")
        return LoadReport(0, 4, UpstreamState(state), start)


@when("probes are answered with {answer}")
def step_impl(context, answer):
    fixture = context.fixture
    runner = ProbeRunner(
        fixture.controller, fixture.directory, FakeProber(answer), fixture.clock
    )

    async def run():
        async with anyio.create_task_group() as tasks:
            runner.start_due(tasks)

    fixture.clock.advance(1.0)
    anyio.run(run)


@then('the rates were "{expected}"')
def step_impl(context, expected):
    rates = " ".join(str(rate) for rate in context.fixture.rates)
    assert rates == expected, rates


@then("the rate is {rate:d}")
def step_impl(context, rate):
    limits = context.fixture.controller.find_limits("u0")
    assert limits.rate_per_second == rate, limits


@then("its heartbeat contains {count:d} facts")
def step_impl(context, count):
    facts = context.fixture.exchange.take_heartbeat_facts()
    assert len(facts) == count, facts


@then("no second has more than {count:d} probe of any upstream")
def step_impl(context, count):
    for moment, name in context.probes:
        within = [
            other
            for other in context.probes
            if other[1] == name and moment <= other[0] < moment + 0.999
        ]
        assert len(within) <= count, within


@then("there are at least {count:d} probes of each upstream")
def step_impl(context, count):
    for index in range(4):
        found = sum(name == f"u{index}" for _, name in context.probes)
        assert found >= count, (index, found)


@then('"{name}" was not probed and the others were')
def step_impl(context, name):
    probed = {probe for _, probe in context.fixture.probes}
    assert probed == {"u1", "u2", "u3"}, probed
