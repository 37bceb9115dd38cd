import asyncio
import random
from collections import Counter, defaultdict

import anyio
from behave import given, then, when

from egrethall.admission._fair_queue import FairQueue
from egrethall.routing.tests.fixtures import make_configuration
from egrethall.types import AttemptOutcome, ManualClock, RefusedError


async def settle():
    """Runs all tasks until they wait."""
    for _ in range(5):
        await anyio.lowlevel.checkpoint()


class QueueFixture:
    """A queue for a single slot, where each request takes 10 ms."""

    def __init__(self, capacity, quantum=1.0):
        self.clock = ManualClock()
        self.queue = FairQueue("lookup", capacity, self.clock, quantum)
        self.free = 1
        self.order = []
        self.waits = defaultdict(list)
        self.refused = []
        self.queue.begin_service()
        self.queue.observe_answer(0.010)
        self.queue.end_service("", 0.010)

    def take(self):
        if not self.free:
            return None
        self.free -= 1
        return object()

    async def enter(self, organisation, seconds=100.0, cost=1.0, take=None):
        entered = self.clock.monotonic_seconds()
        try:
            await self.queue.wait(
                organisation,
                entered + seconds,
                take or self.take,
                lambda grant: None,
                cost,
                is_skippable=take is not None,
            )
        except RefusedError as error:
            moment = self.clock.monotonic_seconds()
            self.refused.append((organisation, error.refusal.reason.code, moment))
            return
        self.queue.begin_service()
        self.order.append((organisation, cost))
        self.waits[organisation].append(self.clock.monotonic_seconds() - entered)

    async def serve(self, steps):
        for _ in range(steps):
            self.queue.serve()
            await settle()
            self.clock.advance(0.010)
            if not self.free:
                self.queue.end_service("", 0.010)
            self.free = 1

    def count_refused(self, organisation, reason):
        return sum(item[:2] == (organisation, reason) for item in self.refused)


class IdealFairQueue:
    """Ideal fair queuing, which serves all organisations at once in equal parts."""

    def __init__(self, backlog):
        self.left = Counter(backlog)
        self.served = Counter()

    def serve(self, amount):
        while amount > 1e-9:
            waiting = [name for name, left in self.left.items() if left > 1e-9]
            share = min(amount / len(waiting), *(self.left[name] for name in waiting))
            for name in waiting:
                self.left[name] -= share
                self.served[name] += share
            amount -= share * len(waiting)


@when("{count:d} requests of {groups:d} organisations are served with seed {seed:d}")
def step_impl(context, count, groups, seed):
    source = random.Random(seed)
    fixture = QueueFixture(count)
    entries = [
        (f"org{min(source.randrange(groups), source.randrange(groups))}", cost)
        for cost in (source.uniform(0.2, 3.0) for _ in range(count))
    ]
    backlog = Counter()
    for name, cost in entries:
        backlog[name] += cost

    async def run():
        async with anyio.create_task_group() as tasks:
            for name, cost in entries:
                tasks.start_soon(fixture.enter, name, 1e6, cost)
            await settle()
            await fixture.serve(count)

    anyio.run(run)
    assert len(fixture.order) == count
    ideal, served = IdealFairQueue(backlog), Counter()
    context.lead = 0.0
    for name, cost in fixture.order:
        served[name] += cost
        ideal.serve(cost)
        lead = max(served[other] - ideal.served[other] for other in backlog)
        context.lead = max(context.lead, lead)


@then(
    "no organisation is ever ahead of ideal fair queuing "
    "by more than {count:d} times the largest cost"
)
def step_impl(context, count):
    assert 0 < context.lead <= count * 3.0, context.lead


@given("a queue with capacity {capacity:d} that serves one request at a time in 10 ms")
def step_impl(context, capacity):
    context.fixture = QueueFixture(capacity)


@when('"flood" queues {flood:d} requests and "small" queues one every 50 ms')
def step_impl(context, flood):
    async def run():
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                for _ in range(flood // 20):
                    tasks.start_soon(context.fixture.enter, "flood")
                tasks.start_soon(context.fixture.enter, "small")
                await settle()
                await context.fixture.serve(5)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when('"flood" queues {flood:d} requests and "small" queues {small:d}')
def step_impl(context, flood, small):
    async def run():
        async with anyio.create_task_group() as tasks:
            for name in ["flood"] * flood + ["small"] * small:
                tasks.start_soon(context.fixture.enter, name)
            await settle()
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when(
    '"{name}" queues {count:d} requests with {seconds:f} seconds to their deadlines',
)
def step_impl(context, name, count, seconds):
    async def run():
        context.fixture.queue.begin_service()
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(context.fixture.enter, name, seconds)
            await settle()
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when("calls run for 60 seconds after responses that begin in 10 ms")
def step_impl(context):
    context.fixture.queue.begin_service()
    context.fixture.queue.end_service("", 60.0)
    context.fixture.queue.begin_service()


@when(
    "{count:d} requests of organisations whose calls take "
    "{slow:d} and {fast:d} ms are served"
)
def step_impl(context, count, slow, fast):
    queue = context.fixture.queue
    for _ in range(60):
        for name, milliseconds in (("slow", slow), ("fast", fast)):
            queue.begin_service()
            queue.end_service(name, milliseconds / 1000)

    async def run():
        async with anyio.create_task_group() as tasks:
            for name in ["slow"] * count + ["fast"] * count:
                cost = queue.estimate_cost(name)
                tasks.start_soon(context.fixture.enter, name, 100.0, cost)
            await settle()
            await context.fixture.serve(count)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then('"{one}" is served {factor:d} times as often as "{other}", within {margin:d}')
def step_impl(context, one, factor, other, margin):
    counts = Counter(name for name, _ in context.fixture.order)
    assert abs(counts[one] - factor * counts[other]) <= margin, counts


@when('a skippable request of "{first}" is queued before one of "{second}"')
def step_impl(context, first, second):
    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.fixture.enter, first, 100.0, 1.0, lambda: None)
            await settle()
            tasks.start_soon(context.fixture.enter, second)
            await settle()
            await context.fixture.serve(1)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when(
    "{count:d} calls with seed {seed:d} are cancelled, time out, "
    "fail or succeed at random"
)
def step_impl(context, count, seed):
    fixture, source = context.fixture, random.Random(seed)
    context.max_in_flight = 0

    async def call(scope):
        with scope:
            now = fixture.clock.monotonic_seconds()
            deadline = now + source.choice((0.001, 0.005, 2.0))
            excluded = frozenset(source.sample(["u0", "u1"], source.randint(0, 1)))
            ticket = await fixture.selector.acquire(
                fixture.service, source.choice("abc"), deadline, excluded
            )
            in_flight = sum(r.own_in_flight for r in fixture.directory.find_records())
            context.max_in_flight = max(context.max_in_flight, in_flight)
            outcome = AttemptOutcome.CANCELLED
            try:
                await anyio.sleep(source.uniform(0, 0.01))
                outcome = source.choice(list(AttemptOutcome))
            finally:
                ticket.finish(outcome)

    async def call_unless_refused(scope):
        try:
            await call(scope)
        except RefusedError:
            return

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.selector.run)
            async with anyio.create_task_group() as calls:
                scopes = [anyio.CancelScope() for _ in range(count)]
                for scope in scopes:
                    calls.start_soon(call_unless_refused, scope)
                    if source.random() < 0.3:
                        await settle()
                        source.choice(scopes).cancel()
                    fixture.clock.advance(0.0005)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def take_all(fixture):
    async def take():
        deadline = fixture.clock.monotonic_seconds() + 1.0
        return [
            await fixture.selector.acquire(fixture.service, "atlas", deadline)
            for _ in range(16)
        ]

    return take()


@when("a waiting request is cancelled just as it is granted a slot")
def step_impl(context):
    fixture = context.fixture

    async def run():
        tickets = await take_all(fixture)
        deadline = fixture.clock.monotonic_seconds() + 1.0
        # The HTTP server cancels tasks through asyncio, which can raise in a task whose
        # wait has already ended; an anyio cancel scope would not.
        waiting = asyncio.ensure_future(
            fixture.selector.acquire(fixture.service, "atlas", deadline)
        )
        await settle()
        tickets[0].finish(AttemptOutcome.ANSWERED)
        assert fixture.selector.count_waiting("lookup") == 0
        waiting.cancel()
        await asyncio.wait([waiting])
        assert waiting.cancelled()
        for ticket in tickets[1:]:
            ticket.finish(AttemptOutcome.ANSWERED)

    anyio.run(run)


def run_refused(context, disruption):
    """Runs one request, changes the upstreams meanwhile and stores the refusal."""
    fixture = context.fixture
    context.reasons = []

    async def acquire():
        deadline = fixture.clock.monotonic_seconds() + 1.0
        try:
            await fixture.selector.acquire(fixture.service, "atlas", deadline)
        except RefusedError as error:
            context.reasons.append(error.refusal.reason.code)

    async def run():
        await disruption.prepare()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire)
            await settle()
            disruption.change()

    anyio.run(run)


class LeaveDuringWait:
    """Takes all availability zones out of service while a request waits."""

    def __init__(self, fixture, prepare):
        self.fixture = fixture
        self.prepare = prepare

    def change(self):
        out = frozenset("ab")
        self.fixture.apply(make_configuration(zones_out_of_service=out))
        self.fixture.selector.serve_waiting()
        self.fixture.token_gate.release.set()


@when(
    'all slots are taken and availability zones "a" and "b" leave service '
    "while a request waits"
)
def step_impl(context):
    context.fixture.token_gate.release = anyio.Event()
    run_refused(
        context, LeaveDuringWait(context.fixture, lambda: take_all(context.fixture))
    )


@when("all upstreams turn cold and leave service while a request waits for a token")
def step_impl(context):
    fixture = context.fixture

    async def prepare():
        fixture.token_gate.release = anyio.Event()
        for record in fixture.directory.find_records():
            fixture.answer(record.upstream.name, "cold")

    async def take_token(upstream, deadline):
        await fixture.token_gate.release.wait()
        return True

    fixture.token_gate.take_token = take_token
    run_refused(context, LeaveDuringWait(fixture, prepare))


@when(
    "all upstreams turn cold and {count:d} requests arrive "
    "while there are {tokens:d} tokens"
)
def step_impl(context, count, tokens):
    fixture = context.fixture
    for record in fixture.directory.find_records():
        fixture.answer(record.upstream.name, "cold")
    fixture.token_gate.allowed = tokens
    context.reasons = []
    context.sent = 0

    async def call():
        deadline = fixture.clock.monotonic_seconds() + 0.2
        try:
            await fixture.selector.acquire(fixture.service, "atlas", deadline)
        except RefusedError as error:
            context.reasons.append(error.refusal.reason.code)
            return
        context.sent += 1

    async def run():
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(call)
            for _ in range(10):
                await settle()
                fixture.clock.advance(0.05)
                fixture.selector.serve_waiting()

    anyio.run(run)


@then('no request of "{name}" waits more than {milliseconds:d} ms')
def step_impl(context, name, milliseconds):
    waits = context.fixture.waits[name]
    assert len(waits) == 20, len(waits)
    assert max(waits) <= milliseconds / 1000 + 1e-9, max(waits)


@then('no request of "{name}" is refused')
def step_impl(context, name):
    assert context.fixture.count_refused(name, "overloaded") == 0


@then(
    '{first:d} requests of "{one}" and {second:d} of "{other}" '
    'are refused as "{reason}"'
)
def step_impl(context, first, one, second, other, reason):
    assert context.fixture.count_refused(one, reason) == first, context.fixture.refused
    assert context.fixture.count_refused(other, reason) == second


@then("all refusals come before any time passes")
def step_impl(context):
    moments = {moment for _, _, moment in context.fixture.refused}
    assert moments == {context.fixture.clock.monotonic_seconds()}


@then('the request of "{name}" is served first')
def step_impl(context, name):
    assert context.fixture.order == [(name, 1.0)], context.fixture.order


@then("no call is in flight and no request is queued")
def step_impl(context):
    fixture = context.fixture
    assert fixture.selector.count_waiting("lookup") == 0
    for record in fixture.directory.find_records():
        assert record.own_in_flight == 0, record


@then("the calls in flight never exceeded the slots")
def step_impl(context):
    assert 0 < context.max_in_flight <= 16, context.max_in_flight


@then("all slots are free")
def step_impl(context):
    records = context.fixture.directory.find_records()
    assert [record.own_in_flight for record in records] == [0, 0, 0, 0]
    assert context.fixture.selector.count_waiting("lookup") == 0


@then('it is refused as "{reason}"')
def step_impl(context, reason):
    assert context.reasons == [reason], context.reasons


@then('{sent:d} requests are sent and the others are refused as "{reason}"')
def step_impl(context, sent, reason):
    assert context.sent == sent, context.sent
    assert set(context.reasons) == {reason}, context.reasons
    assert len(context.reasons) == 20 - sent
