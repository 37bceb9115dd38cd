import json

import anyio
import structlog
from behave import given, then, when

from egrethall.operators import AuditRing, Metrics, OperatorApplication
from egrethall.operators.tests.state_fake import FakeState
from egrethall.types import (
    AttemptOutcome,
    AuditEvent,
    CallResult,
    ManualClock,
    RefusalReason,
)

KEY = "egk_1f2e3d4c_" + "s" * 43
PATHS = ("/healthz", "/readyz", "/metrics", "/state", "/audit", "/explain/atlas")


class OperatorFixture:
    """An application with its data sources, called without a server."""

    def __init__(self):
        self.clock = ManualClock()
        self.state = FakeState()
        self.metrics = Metrics()
        self.metrics.watch_state(self.state)
        self.audit = AuditRing(self.clock)
        self.application = OperatorApplication(self.state, self.metrics, self.audit)
        self.status = 0
        self.body = ""
        self.headers = {}

    def request(self, target, method="GET"):
        path, _, query = target.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode("utf-8"),
        }
        sent = []

        async def send(message):
            sent.append(message)

        async def receive():
            raise AssertionError("the interface reads no request body")

        anyio.run(self.application, scope, receive, send)
        start, body = sent
        self.status = start["status"]
        self.headers = dict(start["headers"])
        self.body = body["body"].decode("utf-8")
        assert int(self.headers[b"content-length"]) == len(body["body"])


def make_event(**changes):
    fields = {
        "kind": "configuration",
        "actor": "test",
        "subject": "revision",
        "before": "6",
        "after": "7",
        "revision": 7,
        **changes,
    }
    return AuditEvent(**fields)


@given("the operators' interface of an instance")
def step_impl(context):
    context.log_events = []

    def capture(logger, method, event):
        context.log_events.append(event)
        raise structlog.DropEvent

    structlog.configure(processors=[structlog.processors.format_exc_info, capture])
    context.add_cleanup(structlog.reset_defaults)
    context.fixture = OperatorFixture()


@given('the instance is not ready because "{reason}"')
def step_impl(context, reason):
    context.fixture.state.reasons = (reason,)


@given("the state of the instance cannot be read")
def step_impl(context):
    context.fixture.state.failing = True


@given("keys in the audit trail, a readiness reason, a remark and a metric")
def step_impl(context):
    fixture = context.fixture
    fixture.state.remark = f"refused {KEY} just now"
    fixture.state.reasons = (f"the key {KEY.upper()} is unknown",)
    fixture.audit.record(make_event(after=f"Bearer {KEY}", subject=f"x={KEY}"))
    fixture.metrics.record_refusal(RefusalReason.KEY_UNKNOWN, KEY, KEY)


@given("{count:d} audit events of two kinds")
def step_impl(context, count):
    for number in range(1, count + 1):
        context.fixture.clock.advance(1.0)
        kind = "odd" if number % 2 else "even"
        context.fixture.audit.record(make_event(kind=kind, after=str(number)))


@when("operators get every path")
def step_impl(context):
    context.bodies = []
    for path in PATHS:
        context.fixture.request(path)
        assert context.fixture.status in (200, 503), path
        context.bodies.append(context.fixture.body)


@when("operators get {target}")
def step_impl(context, target):
    context.fixture.request(target)


@when("operators send {method} to {target}")
def step_impl(context, method, target):
    context.fixture.request(target, method)


@when('calls and refusals of "{organisation}" are recorded')
def step_impl(context, organisation):
    metrics = context.fixture.metrics
    for outcome in ("200", "204", RefusalReason.OVERLOADED.code):
        result = CallResult("r", organisation, "lookup", "u", 1, outcome, 1.0, 5.0)
        metrics.observe_start()
        assert metrics.calls_in_flight == 1
        metrics.observe_end(result)
        assert metrics.calls_in_flight == 0
    for _ in range(2):
        metrics.record_refusal(RefusalReason.RATE_EXCEEDED, organisation, "lookup")
    metrics.record_refusal(RefusalReason.KEY_UNKNOWN)
    metrics.record_attempt("lookup", "hedge", AttemptOutcome.CANCELLED)
    context.tally = metrics.tally_of(organisation)


@then("the status is {status:d} and the body contains {text}")
def step_impl(context, status, text):
    assert context.fixture.status == status, context.fixture.status
    assert text in context.fixture.body, context.fixture.body


@then("no response and no log line contains the key")
def step_impl(context):
    texts = [*context.bodies, *(str(event) for event in context.log_events)]
    assert any("egk_[removed]" in text for text in texts)
    leaks = [text for text in texts if KEY.lower() in text.lower() or "sss" in text]
    assert not leaks, leaks


@then("the events {first:d} and {second:d} are shown, with their times")
def step_impl(context, first, second):
    events = json.loads(context.fixture.body)["events"]
    assert [item["event"]["after"] for item in events] == [str(first), str(second)]
    assert [item["number"] for item in events] == [first, second]
    # The manual clock starts at 1000 seconds and advances by one second for each event.
    assert events[0]["at"] == "2026-01-01T00:33:25.000+00:00", events[0]


@then("{kept:d} events are kept and {logged:d} lines were logged")
def step_impl(context, kept, logged):
    assert len(context.fixture.audit.select_newest(5000)) == kept
    assert (
        len([event for event in context.log_events if event["event"] == "audit"])
        == logged
    )


@then(
    "the tally is {calls:d} calls, {admitted:d} admitted, and {refused:d} refusals "
    'for "{reason}"'
)
def step_impl(context, calls, admitted, refused, reason):
    assert context.tally.calls == calls
    assert context.tally.admitted == admitted
    assert context.tally.refused[reason] == refused


@then(
    'the metrics count {answered:d} "2xx", {overloaded:d} "overloaded" and {refused:d} '
    '"rate-exceeded"'
)
def step_impl(context, answered, overloaded, refused):
    context.fixture.request("/metrics")
    lines = context.fixture.body.splitlines()
    expected = {"2xx": answered, "overloaded": overloaded, "rate-exceeded": refused}
    for outcome, count in expected.items():
        labels = f'organisation="atlas",outcome="{outcome}",service="lookup"'
        assert f"egrethall_calls_total{{{labels}}} {float(count)}" in lines, outcome
    assert 'egrethall_total_seconds_count{service="lookup"} 3.0' in lines
    attempt = 'kind="hedge",outcome="cancelled",service="lookup"'
    assert any(line.startswith("egrethall_attempts_total{") for line in lines)
    assert any(attempt in line for line in lines)
