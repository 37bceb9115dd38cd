from behave import given, then, when

from egrethall.routing.tests.fixtures import InstanceFixture, make_configuration
from egrethall.types import InstanceListing, InstanceState, ListedInstance


@given("an instance with {count:d} warm upstreams")
def step_impl(context, count):
    context.fixture = InstanceFixture(make_configuration(count))
    context.fixture.make_warm()
    context.fixture.clock.advance(0.02)


def apply_listing(context, items):
    listed = tuple(ListedInstance(name, "", "a", state) for name, state in items)
    context.fixture.directory.apply_listing(InstanceListing(1, listed))


@when('the instance list marks "{name}" as {state}')
def step_impl(context, name, state):
    apply_listing(context, [(name, InstanceState(state))])


@when("the instance list is empty")
def step_impl(context):
    apply_listing(context, [])


@when('availability zone "{zone}" is taken out of service')
def step_impl(context, zone):
    context.fixture.apply(make_configuration(zones_out_of_service=frozenset({zone})))


@when('availability zone "{zone}" returns to service')
def step_impl(context, zone):
    context.fixture.apply(make_configuration())


@when("{seconds:f} seconds pass")
def step_impl(context, seconds):
    context.fixture.clock.advance(seconds)


@when('"{name}" answers in state "{state}"')
def step_impl(context, name, state):
    context.fixture.answer(name, state)


@when('"{name}" answers in state "{state}" after {seconds:f} seconds')
def step_impl(context, name, state, seconds):
    context.fixture.answer(name, state, latency=seconds)


@when('"{name}" answers with the start id "{start}"')
def step_impl(context, name, start):
    context.fixture.answer(name, start=start)


@when('"{name}" answers with the start id "{start}" after {seconds:f} seconds')
def step_impl(context, name, start, seconds):
    context.fixture.answer(name, start=start, latency=seconds)


@when('a call to "{name}" ends with {outcome}')
def step_impl(context, name, outcome):
    context.fixture.fail(outcome, name)


@when("calls to all upstreams end with {outcome}")
def step_impl(context, outcome):
    for record in list(context.fixture.directory.find_records()):
        context.fixture.fail(outcome, record.upstream.name)


@when('calls to "{name}" fail until it is ejected')
def step_impl(context, name):
    for _ in range(3):
        context.fixture.fail("failed", name)


@then('the status of "{name}" is "{state}" because of "{signals}"')
def step_impl(context, name, state, signals):
    status = context.fixture.describe(name)
    assert (status.state.value, " ".join(status.leaving)) == (state, signals), status


@then('the status of "{name}" is "{state}" and ejected')
def step_impl(context, name, state):
    status = context.fixture.describe(name)
    assert (status.state.value, status.ejected) == (state, True), status
    assert status.latency_seconds > 0.5 and status.own_in_flight == 0, status


@when('"{name}" answers in state "{state}" {count:d} times in one second')
def step_impl(context, name, state, count):
    for _ in range(count):
        context.fixture.answer(name, state)
        context.fixture.clock.advance(1.0 / count)


@when(
    '{sender} reports "{name}" as "{state}" with start id "{start}", '
    "read {age:f} seconds ago"
)
def step_impl(context, sender, name, state, start, age):
    context.fixture.receive(state, start, age, sender == "the holder", name=name)


@then('"{name}" is "{state}" and gets {which} requests')
def step_impl(context, name, state, which):
    assert context.fixture.state(name) == state, context.fixture.state(name)
    assert context.fixture.directory.is_eligible(name) == (which == "new")


@then('"{name}" needs a token')
def step_impl(context, name):
    assert context.fixture.directory.needs_cold_token(name)


@then('"{name}" has the start id "{start}"')
def step_impl(context, name, start):
    assert context.fixture.record(name).start_id == start


@then('the published facts are "{expected}"')
def step_impl(context, expected):
    facts = [f"{f.upstream} {f.state.value}" for f in context.fixture.recorder.facts]
    assert facts == expected.split(", "), facts


@then("no facts are published")
def step_impl(context):
    assert context.fixture.recorder.facts == []


@then("{low:d} or {high:d} facts are published")
def step_impl(context, low, high):
    assert low <= len(context.fixture.recorder.facts) <= high


@then("at most {count:d} facts are published")
def step_impl(context, count):
    assert len(context.fixture.recorder.facts) <= count


@then('the audit trail ends with "{expected}"')
def step_impl(context, expected):
    event = context.fixture.recorder.events[-1]
    assert event.kind == "upstream-state"
    assert f"{event.subject} {event.before} {event.after}" == expected, event
