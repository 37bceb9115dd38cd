import random

import anyio
from behave import given, then, when

from egrethall.forwarding import (
    CrashQuarantine,
    Forwarder,
    ForwardingEvent,
    RetryBudget,
)
from egrethall.forwarding._hedging import HedgeScheduler
from egrethall.forwarding.tests.fakes import (
    OBSERVATIONS,
    FakeAudit,
    FakeBody,
    FakePeers,
    FakeSelector,
    FakeTransport,
    build_request,
    build_service,
    relay,
    run_guarded,
)
from egrethall.types import ManualClock

#: Time within which a due hedge is sent: several ticks of the hedge scheduler.
HEDGE_WAIT_SECONDS = 0.02


class ForwardingSubject:
    """A forwarder with faked dependencies, and what its caller received."""

    def __init__(self, names):
        self.clock = ManualClock()
        self.service = build_service(names)
        self.selector = FakeSelector()
        self.transport = FakeTransport(self.clock)
        self.budget = RetryBudget()
        self.audit = FakeAudit()
        self.peers = FakePeers()
        self.quarantine = CrashQuarantine(
            self.clock, b"secret", self.peers, self.audit, lambda: 7
        )
        self.forwarder = Forwarder(
            self.selector,
            self.transport,
            self.clock,
            random.Random(1),
            self.budget,
            self.quarantine,
        )
        self.body = FakeBody()
        self.request = None
        self.answer = ""
        self.refusal_error = None

    def build(self, idempotent, target=b"/", deadline_seconds=2.0):
        self.request = build_request(
            self.service,
            self.clock.monotonic_seconds() + deadline_seconds,
            idempotent,
            self.body,
            target,
        )
        return self.request

    async def forward(self, request):
        self.answer, self.refusal_error = await relay(self.forwarder.forward, request)

    def run(self, function, *arguments):
        async def run_with_new_events():
            # An event can be used in only one run of the event loop.
            self.transport.arrived = anyio.Event()
            self.transport.sent_twice = anyio.Event()
            self.transport.gate = anyio.Event()
            await function(*arguments)

        run_guarded(run_with_new_events, background=[self.forwarder.run])

    def find_ticket_outcomes(self):
        tickets = self.selector.tickets
        assert all(len(ticket.outcomes) == 1 for ticket in tickets)
        return " ".join(ticket.outcomes[0].value for ticket in tickets)

    def find_failed_upstreams(self):
        group = self.refusal_error.__cause__
        assert isinstance(group, ExceptionGroup)
        return " ".join(error.upstream for error in group.exceptions)

    def find_counts(self):
        counts = self.forwarder.counts.list_all()
        return " ".join(sorted(f"{item.event.value}={item.count}" for item in counts))

    async def forward_and_release(self, request, wait_for_hedge):
        async with anyio.create_task_group() as group:
            group.start_soon(self.forward, request)
            await self.transport.arrived.wait()
            if wait_for_hedge:
                await self.transport.sent_twice.wait()
            await anyio.sleep(HEDGE_WAIT_SECONDS)
            self.transport.gate.set()

    async def forward_and_cancel(self, request):
        async with anyio.create_task_group() as group:
            group.start_soon(self.forward, request)
            await self.transport.sent_twice.wait()
            group.cancel_scope.cancel()

    async def close_after_first_piece(self, request):
        response = await self.forwarder.forward(request)
        async for _ in response.stream():
            break
        await response.aclose()
        await response.aclose()


OBSERVATIONS.update(
    {
        "answer": lambda context: context.subject.answer,
        "sequence of upstreams": lambda context: (
            " ".join(context.subject.transport.sent_upstreams) or "none"
        ),
        "list of ticket outcomes": lambda context: (
            context.subject.find_ticket_outcomes()
        ),
        "list of failed upstreams": lambda context: (
            context.subject.find_failed_upstreams()
        ),
        "list of attempt timeouts": lambda context: " ".join(
            f"{seconds:.1f}" for seconds in context.subject.transport.timeouts
        ),
        "number of started hedges": lambda context: len(context.started),
        "cancelled upstream": lambda context: " ".join(
            context.subject.transport.cancelled_upstreams
        ),
        "upstream with a fully read and closed response": lambda context: " ".join(
            response.upstream
            for response in context.subject.transport.responses
            if response.read_to_end and response.closed
        ),
        "list of counts": lambda context: context.subject.find_counts(),
        "quarantine state of the request": lambda context: (
            context.subject.quarantine.is_quarantined(
                context.subject.quarantine.compute_fingerprint(context.subject.request)
            )
        ),
    }
)


@given('a forwarder over the upstreams "{names}"')
def step_impl(context, names):
    context.subject = ForwardingSubject(names.split())


@given('the upstream "{name}" will "{behaviours}"')
def step_impl(context, name, behaviours):
    context.subject.transport.scripts[name] = behaviours.split(", ")


@given('every upstream will "{behaviour}"')
def step_impl(context, behaviour):
    for upstream in context.subject.service.upstreams:
        context.subject.transport.scripts[upstream.name] = [behaviour]


@given("the retry budget has tokens")
def step_impl(context):
    for _ in range(100):
        context.subject.budget.record_call("lookup")


@given("the retry budget is empty")
def step_impl(context):
    while context.subject.budget.take_token("lookup"):
        pass


@given("the service is overloaded")
def step_impl(context):
    context.subject.selector.overloaded = True


@given("the body is not fully buffered")
def step_impl(context):
    context.subject.body = FakeBody(complete=False)


@given("{count:d} requests have been answered")
def step_impl(context, count):
    subject = context.subject
    for _ in range(count):
        subject.run(subject.forward, subject.build(idempotent=False))
        assert subject.answer == "200"
    subject.selector.tickets.clear()
    subject.transport.sent_upstreams.clear()


@when("a request that is not idempotent is forwarded")
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward, subject.build(idempotent=False))


@when("an idempotent request is forwarded")
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward, subject.build(idempotent=True))


@when("a hedge due in 100 s is added and then one due at once")
def step_impl(context):
    clock = ManualClock()
    scheduler = HedgeScheduler(clock)
    context.started = []

    class Attempt:
        async def run_hedge(self):
            context.started.append(self)

    async def add_both():
        scheduler.add(clock.monotonic_seconds() + 100.0, Attempt())
        await anyio.wait_all_tasks_blocked()
        scheduler.add(clock.monotonic_seconds(), Attempt())
        await anyio.sleep(HEDGE_WAIT_SECONDS)

    run_guarded(add_both, background=[scheduler.run])


@when("a request whose deadline has passed is forwarded")
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward, subject.build(False, deadline_seconds=0.0))


@when('an idempotent request is forwarded and "b" is sent its hedge before "a" answers')
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward_and_release, subject.build(True), True)
    assert subject.transport.sent_upstreams == ["a", "b"]


@when("an idempotent request is answered only after a hedge is due")
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward_and_release, subject.build(True), False)


@when("a request that is not idempotent is answered only after a hedge is due")
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward_and_release, subject.build(False), False)


@when("an idempotent request is forwarded and its caller disconnects")
def step_impl(context):
    subject = context.subject
    subject.run(subject.forward_and_cancel, subject.build(True))


@when("a response is closed after its first piece")
def step_impl(context):
    subject = context.subject
    subject.run(subject.close_after_first_piece, subject.build(False))


@when("{count:d} different idempotent requests are forwarded")
def step_impl(context, count):
    subject = context.subject

    async def forward_all():
        for index in range(count):
            await subject.forward(subject.build(True, target=b"/%d" % index))

    subject.run(forward_all)


@then("at most {count:d} attempts were made")
def step_impl(context, count):
    sent = len(context.subject.transport.sent_upstreams)
    # Fewer than one retry in twenty calls would mean that the budget is not used.
    assert 1050 <= sent <= count, sent


@then("there are as many attempts as calls and retries")
def step_impl(context):
    counts = {
        item.event: item.count for item in context.subject.forwarder.counts.list_all()
    }
    sent = len(context.subject.transport.sent_upstreams)
    assert counts[ForwardingEvent.ATTEMPT] == sent
    assert counts[ForwardingEvent.STRIKE] == sent
    calls = counts[ForwardingEvent.CALL]
    assert calls + counts[ForwardingEvent.RETRY] == sent
    assert counts[ForwardingEvent.BUDGET_EMPTY] == 2 * calls - sent
