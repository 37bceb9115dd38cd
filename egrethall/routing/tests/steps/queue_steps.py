import asyncio
import random
from collections import Counter, defaultdict

import anyio
from behave import given, then, when

from egrethall.admission._fair_queue import FairQueue
from egrethall.routing.tests.fleet import make_configuration
from egrethall.types import AttemptOutcome, ManualClock, RefusedError


async def settle():
    """Lets all tasks run until they wait."""
    for _ in range(5):
        await anyio.lowlevel.checkpoint()


class QueueSubject:
    """A queue before one server that takes 10 ms for each request."""

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


class ExactFairQueue:
    """Serves all waiting organisations at the same time in equal parts."""

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
    subject = QueueSubject(count)
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
                tasks.start_soon(subject.enter, name, 1e6, cost)
            await settle()
            await subject.serve(count)

    anyio.run(run)
    assert len(subject.order) == count
    exact, served = ExactFairQueue(backlog), Counter()
    context.lead = 0.0
    for name, cost in subject.order:
        served[name] += cost
        exact.serve(cost)
        lead = max(served[other] - exact.served[other] for other in backlog)
        context.lead = max(context.lead, lead)


@then(
    "no organisation is ever ahead of an exact fair queue "
    "by more than {count:d} largest costs"
)
def step_impl(context, count):
    assert 0 < context.lead <= count * 3.0, context.lead


@given("a queue of {places:d} places that serves one request at a time in 10 ms")
def step_impl(context, places):
    context.subject = QueueSubject(places)


@when('"flood" enters {flood:d} requests and "small" enters one each 50 ms')
def step_impl(context, flood):
    async def run():
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                for _ in range(flood // 20):
                    tasks.start_soon(context.subject.enter, "flood")
                tasks.start_soon(context.subject.enter, "small")
                await settle()
                await context.subject.serve(5)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when('"flood" enters {flood:d} requests and "small" enters {small:d}')
def step_impl(context, flood, small):
    async def run():
        async with anyio.create_task_group() as tasks:
            for name in ["flood"] * flood + ["small"] * small:
                tasks.start_soon(context.subject.enter, name)
            await settle()
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when(
    '"{name}" enters {count:d} requests with {seconds:f} seconds to their deadlines',
)
def step_impl(context, name, count, seconds):
    async def run():
        context.subject.queue.begin_service()
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(context.subject.enter, name, seconds)
            await settle()
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when("places are held for 60 seconds after answers that begin in 10 ms")
def step_impl(context):
    context.subject.queue.begin_service()
    context.subject.queue.end_service("", 60.0)
    context.subject.queue.begin_service()


@when("{count:d} waiters of organisations with {slow:d} and {fast:d} ms are served")
def step_impl(context, count, slow, fast):
    queue = context.subject.queue
    for _ in range(60):
        for name, milliseconds in (("slow", slow), ("fast", fast)):
            queue.begin_service()
            queue.end_service(name, milliseconds / 1000)

    async def run():
        async with anyio.create_task_group() as tasks:
            for name in ["slow"] * count + ["fast"] * count:
                cost = queue.estimate_cost(name)
                tasks.start_soon(context.subject.enter, name, 100.0, cost)
            await settle()
            await context.subject.serve(count)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then('"{one}" gets {factor:d} times as many places as "{other}" within {margin:d}')
def step_impl(context, one, factor, other, margin):
    counts = Counter(name for name, _ in context.subject.order)
    assert abs(counts[one] - factor * counts[other]) <= margin, counts


@when('a restricted request of "{first}" waits before one of "{second}"')
def step_impl(context, first, second):
    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.subject.enter, first, 100.0, 1.0, lambda: None)
            await settle()
            tasks.start_soon(context.subject.enter, second)
            await settle()
            await context.subject.serve(1)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when(
    "{count:d} calls with seed {seed:d} are cancelled, time out, "
    "fail or succeed at random"
)
def step_impl(context, count, seed):
    subject, source = context.subject, random.Random(seed)
    context.most = 0

    async def call(scope):
        with scope:
            now = subject.clock.monotonic_seconds()
            deadline = now + source.choice((0.001, 0.005, 2.0))
            excluded = frozenset(source.sample(["u0", "u1"], source.randint(0, 1)))
            ticket = await subject.selector.acquire(
                subject.service, source.choice("abc"), deadline, excluded
            )
            held = sum(r.own_in_flight for r in subject.directory.find_records())
            context.most = max(context.most, held)
            outcome = AttemptOutcome.CANCELLED
            try:
                await anyio.sleep(source.uniform(0, 0.01))
                outcome = source.choice(list(AttemptOutcome))
            finally:
                ticket.finish(outcome)

    async def guarded(scope):
        try:
            await call(scope)
        except RefusedError:
            return

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(subject.selector.run)
            async with anyio.create_task_group() as calls:
                scopes = [anyio.CancelScope() for _ in range(count)]
                for scope in scopes:
                    calls.start_soon(guarded, scope)
                    if source.random() < 0.3:
                        await settle()
                        source.choice(scopes).cancel()
                    subject.clock.advance(0.0005)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def take_all(subject):
    async def take():
        deadline = subject.clock.monotonic_seconds() + 1.0
        return [
            await subject.selector.acquire(subject.service, "atlas", deadline)
            for _ in range(16)
        ]

    return take()


@when("a waiting request is cancelled in the moment of its grant")
def step_impl(context):
    subject = context.subject

    async def run():
        tickets = await take_all(subject)
        deadline = subject.clock.monotonic_seconds() + 1.0
        # The HTTP server cancels by asyncio, which may throw into a task whose wait
        # is already over; a cancel scope would not.
        waiting = asyncio.ensure_future(
            subject.selector.acquire(subject.service, "atlas", deadline)
        )
        await settle()
        tickets[0].finish(AttemptOutcome.ANSWERED)
        assert subject.selector.count_waiting("lookup") == 0
        waiting.cancel()
        await asyncio.wait([waiting])
        assert waiting.cancelled()
        for ticket in tickets[1:]:
            ticket.finish(AttemptOutcome.ANSWERED)

    anyio.run(run)


def run_refused(context, act):
    """Runs one request and ``act`` beside it, and keeps the request's refusal."""
    subject = context.subject
    context.reasons = []

    async def acquire():
        deadline = subject.clock.monotonic_seconds() + 1.0
        try:
            await subject.selector.acquire(subject.service, "atlas", deadline)
        except RefusedError as error:
            context.reasons.append(error.refusal.reason.code)

    async def run():
        await act.prepare()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire)
            await settle()
            act.change()

    anyio.run(run)


class LeavingWhile:
    """Takes all zones out of service while a request waits."""

    def __init__(self, subject, prepare):
        self.subject = subject
        self.prepare = prepare

    def change(self):
        out = frozenset("ab")
        self.subject.apply(make_configuration(zones_out_of_service=out))
        self.subject.selector.serve_waiting()
        self.subject.gate.release.set()


@when('all places are taken and zones "a" and "b" leave while a request waits')
def step_impl(context):
    context.subject.gate.release = anyio.Event()
    run_refused(
        context, LeavingWhile(context.subject, lambda: take_all(context.subject))
    )


@when("all turn cold and leave while a request waits for a token")
def step_impl(context):
    subject = context.subject

    async def prepare():
        subject.gate.release = anyio.Event()
        for record in subject.directory.find_records():
            subject.answer(record.upstream.name, "cold")

    async def take_token(upstream, deadline):
        await subject.gate.release.wait()
        return True

    subject.gate.take_token = take_token
    run_refused(context, LeavingWhile(subject, prepare))


@when("all turn cold and {count:d} requests come while there are {tokens:d} tokens")
def step_impl(context, count, tokens):
    subject = context.subject
    for record in subject.directory.find_records():
        subject.answer(record.upstream.name, "cold")
    subject.gate.allowed = tokens
    context.reasons = []
    context.sent = 0

    async def call():
        deadline = subject.clock.monotonic_seconds() + 0.2
        try:
            await subject.selector.acquire(subject.service, "atlas", deadline)
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
                subject.clock.advance(0.05)
                subject.selector.serve_waiting()

    anyio.run(run)


@then('no request of "{name}" waits more than {milliseconds:d} ms')
def step_impl(context, name, milliseconds):
    waits = context.subject.waits[name]
    assert len(waits) == 20, len(waits)
    assert max(waits) <= milliseconds / 1000 + 1e-9, max(waits)


@then('no request of "{name}" is refused')
def step_impl(context, name):
    assert context.subject.count_refused(name, "overloaded") == 0


@then(
    '{first:d} requests of "{one}" and {second:d} of "{other}" '
    'are refused as "{reason}"'
)
def step_impl(context, first, one, second, other, reason):
    assert context.subject.count_refused(one, reason) == first, context.subject.refused
    assert context.subject.count_refused(other, reason) == second


@then("all refusals come before any time passes")
def step_impl(context):
    moments = {moment for _, _, moment in context.subject.refused}
    assert moments == {context.subject.clock.monotonic_seconds()}


@then('the one of "{name}" is served first')
def step_impl(context, name):
    assert context.subject.order == [(name, 1.0)], context.subject.order


@then("no call, place or waiter is left")
def step_impl(context):
    subject = context.subject
    assert subject.selector.count_waiting("lookup") == 0
    for record in subject.directory.find_records():
        assert record.own_in_flight == 0, record


@then("never more calls ran than places exist")
def step_impl(context):
    assert 0 < context.most <= 16, context.most


@then("the place is free again")
def step_impl(context):
    records = context.subject.directory.find_records()
    assert [record.own_in_flight for record in records] == [0, 0, 0, 0]
    assert context.subject.selector.count_waiting("lookup") == 0


@then('it is refused as "{reason}"')
def step_impl(context, reason):
    assert context.reasons == [reason], context.reasons


@then('{sent:d} requests are sent and the others are refused as "{reason}"')
def step_impl(context, sent, reason):
    assert context.sent == sent, context.sent
    assert set(context.reasons) == {reason}, context.reasons
    assert len(context.reasons) == 20 - sent
