import dataclasses
import random

import anyio
from behave import given, then, when

from egrethall.forwarding import (
    CrashQuarantine,
    Forwarder,
    MalformedResponseError,
    RetryBudget,
)
from egrethall.forwarding.tests.fakes import (
    OBSERVATIONS,
    FakeAudit,
    FakeBody,
    FakePeers,
    FakeResponse,
    FakeSelector,
    build_request,
    build_service,
    relay,
    run_guarded,
)
from egrethall.types import (
    ConnectionBrokenError,
    CrashReport,
    ManualClock,
    Organisation,
)

#: Time until a crash breaks the connection: several ticks of the hedge scheduler.
CRASH_DELAY_SECONDS = 0.02


class CrashingUpstreams:
    """A transport whose upstreams crash on one target and restart at once."""

    def __init__(self):
        self.bad_target = None
        self.crashed = []
        self.in_flight = {}
        self.most_in_flight = 0
        self.release_event = None
        self.crashing = set()

    async def send(self, upstream, request, timeout_seconds):
        name = upstream.name
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight[name])
        try:
            if request.target == self.bad_target:
                # The delay lets a hedge be sent before the crash.
                await anyio.sleep(CRASH_DELAY_SECONDS)
                self.crashed.append(name)
                raise ConnectionBrokenError(name, "reset")
            if self.release_event is not None:
                await self.release_event.wait()
            if request.target == b"/malformed":
                raise MalformedResponseError(name, "not HTTP")
            if name in self.crashing:
                raise ConnectionBrokenError(name, "reset")
            return FakeResponse(name)
        finally:
            self.in_flight[name] -= 1


class FleetSubject:
    """Instances that share upstreams and report crashes to each other."""

    def __init__(self, count, names):
        self.clock = ManualClock()
        self.service = build_service(names)
        self.upstreams = CrashingUpstreams()
        self.audits = [FakeAudit() for _ in range(count)]
        peers = [FakePeers() for _ in range(count)]
        self.quarantines = [
            CrashQuarantine(self.clock, b"secret", peer, audit, lambda: 7)
            for peer, audit in zip(peers, self.audits, strict=True)
        ]
        for index, peer in enumerate(peers):
            peer.receivers = dict(enumerate(self.quarantines))
            del peer.receivers[index]
        self.budgets = [RetryBudget() for _ in range(count)]
        self.forwarders = [
            Forwarder(
                FakeSelector(),
                self.upstreams,
                self.clock,
                random.Random(index),
                self.budgets[index],
                self.quarantines[index],
            )
            for index in range(count)
        ]
        self.answers = []
        self.refusal = None

    async def send(self, index, target, idempotent=False):
        deadline_at_seconds = self.clock.monotonic_seconds() + 2.0
        request = build_request(
            self.service, deadline_at_seconds, idempotent, target=target
        )
        answer, error = await relay(self.forwarders[index].forward, request)
        self.refusal = error.refusal if error else None
        self.answers.append(answer)

    def send_concurrently(self, count, crash):
        async def send_all():
            self.upstreams.release_event = anyio.Event()
            async with anyio.create_task_group() as group:
                for index in range(count):
                    group.start_soon(self.send, 0, b"/%d" % index)
                # Now every request that got an upstream is in flight.
                await anyio.wait_all_tasks_blocked()
                self.upstreams.crashing = crash
                self.upstreams.release_event.set()
            self.upstreams.release_event = None
            self.upstreams.crashing = set()

        self.run(send_all)

    def run(self, function, *arguments):
        background = [forwarder.run for forwarder in self.forwarders]
        run_guarded(function, *arguments, background=background)


class QuarantineSubject:
    """A crash quarantine that receives reports from peers."""

    def __init__(self):
        self.clock = ManualClock()
        self.quarantine = self.build(b"secret")

    def build(self, secret):
        return CrashQuarantine(self.clock, secret, FakePeers(), FakeAudit(), lambda: 1)

    def report(self, fingerprint, strikes, quarantine=None):
        quarantine = quarantine or self.quarantine
        for strike in strikes.split(", "):
            if strike.endswith("s later"):
                self.clock.advance(float(strike.split()[0]))
                continue
            cleared = strike == "cleared"
            upstream, _, alone = strike.partition(" ")
            quarantine.receive_report(
                CrashReport(fingerprint, upstream, alone == "alone", cleared)
            )


OBSERVATIONS.update(
    {
        "number of crashed upstreams": lambda context: len(
            set(context.fleet.upstreams.crashed)
        ),
        "number of suspects": lambda context: (
            context.fleet.quarantines[0].suspect_count
        ),
        "number of quarantines": lambda context: (
            context.fleet.quarantines[0].quarantined_count
        ),
        "largest number of requests on an upstream": lambda context: (
            context.fleet.upstreams.most_in_flight
        ),
        "number of answers": lambda context: len(context.fleet.answers),
        "set of answers": lambda context: ", ".join(sorted(set(context.fleet.answers))),
        "last answer": lambda context: context.fleet.answers[-1],
        "retry-after": lambda context: context.fleet.refusal.retry_after_seconds,
        "quarantine state of the fingerprint": lambda context: (
            context.subject.quarantine.is_quarantined(b"fingerprint")
        ),
        "quarantine state at the new instance": lambda context: (
            context.new_quarantine.is_quarantined(b"fingerprint")
        ),
    }
)


@given('{count:d} instances over the upstreams "{names}"')
def step_impl(context, count, names):
    context.fleet = FleetSubject(count, names.split())


@given('every upstream crashes on the request "{target}"')
def step_impl(context, target):
    context.fleet.upstreams.bad_target = target.encode()


@given("nothing was sent before")
def step_impl(context):
    pass


@given("retries and hedges are possible")
def step_impl(context):
    fleet = context.fleet
    for index, budget in enumerate(fleet.budgets):
        for _ in range(100):
            budget.record_call("lookup")
        for _ in range(40):
            fleet.run(fleet.send, index, b"/good")


@when('the {kind} request "{target}" is sent {count:d} times, to each instance in turn')
def step_impl(context, kind, target, count):
    fleet = context.fleet
    for index in range(count):
        instance = index % len(fleet.forwarders)
        fleet.run(fleet.send, instance, target.encode(), kind == "idempotent")


@when('{count:d} requests are on "{name}" while it crashes')
def step_impl(context, count, name):
    context.fleet.send_concurrently(count, {name})
    context.fleet.upstreams.most_in_flight = 0
    context.fleet.answers.clear()


@when("a request gets a malformed response")
def step_impl(context):
    context.fleet.run(context.fleet.send, 0, b"/malformed")
    assert context.fleet.answers == ["outcome-unknown unknown"]


@when("each of them is sent again")
def step_impl(context):
    for index in range(50):
        context.fleet.run(context.fleet.send, 0, b"/%d" % index)


@when("all of them are sent again at the same time")
def step_impl(context):
    context.fleet.send_concurrently(50, set())


@when('all of them are sent again while "{name}" crashes')
def step_impl(context, name):
    context.fleet.send_concurrently(50, {name})


@then("each instance has one audit event of the quarantine at revision {revision:d}")
def step_impl(context, revision):
    for audit in context.fleet.audits:
        assert [event.kind for event in audit.events] == ["request-quarantine"]
        assert audit.events[0].revision == revision


@given("a quarantine")
def step_impl(context):
    context.subject = QuarantineSubject()


@when('the strikes "{strikes}" are reported')
def step_impl(context, strikes):
    context.subject.report(b"fingerprint", strikes)


@when("{seconds:d} s pass")
def step_impl(context, seconds):
    context.subject.clock.advance(seconds)


@when('{count:d} requests get the strikes "{strikes}"')
def step_impl(context, count, strikes):
    for index in range(count):
        context.subject.report(b"q%d" % index, strikes)


@when('{count:d} other requests get the strikes "{strikes}"')
def step_impl(context, count, strikes):
    for index in range(count):
        context.subject.report(b"s%d" % index, strikes)


@when('a new instance gets the reports of its peer and the strikes "{strikes}"')
def step_impl(context, strikes):
    subject = context.subject
    context.new_quarantine = subject.build(b"secret")
    for report in subject.quarantine.build_reports():
        context.new_quarantine.receive_report(report)
    if strikes != "none":
        subject.report(b"fingerprint", strikes, context.new_quarantine)


@then("at most {suspects:d} suspects and {quarantines:d} quarantines are kept")
def step_impl(context, suspects, quarantines):
    assert context.subject.quarantine.suspect_count == suspects
    assert context.subject.quarantine.quarantined_count == quarantines


@then("requests that differ in one part have different fingerprints")
def step_impl(context):
    compute = context.subject.quarantine.compute_fingerprint
    base = build_request(build_service("a"), 0.0, idempotent=False)
    others = [
        dataclasses.replace(base, method="PUT"),
        dataclasses.replace(base, target=b"/other"),
        dataclasses.replace(base, content_length=5),
        dataclasses.replace(base, body=FakeBody(b"other")),
        dataclasses.replace(base, organisation=Organisation("boreal", "large")),
        dataclasses.replace(base, organisation=None),
    ]
    fingerprints = {compute(request) for request in [base, *others]}
    assert len(fingerprints) == len(others) + 1
    assert compute(base) == compute(dataclasses.replace(base, request_id="r2"))


@then("moving a byte from the target to the body changes the fingerprint")
def step_impl(context):
    compute = context.subject.quarantine.compute_fingerprint
    service = build_service("a")
    first = build_request(service, 0.0, False, FakeBody(b"bc"), b"/a")
    second = dataclasses.replace(
        first, target=b"/ab", body=FakeBody(b"c"), content_length=2
    )
    assert compute(first) != compute(second)


@then("another shared secret gives another fingerprint")
def step_impl(context):
    request = build_request(build_service("a"), 0.0, False)
    subject = context.subject
    other = subject.build(b"other").compute_fingerprint(request)
    assert other != subject.quarantine.compute_fingerprint(request)
    assert subject.build(b"secret").compute_fingerprint(request) == (
        subject.quarantine.compute_fingerprint(request)
    )
