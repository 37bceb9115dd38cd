import random

from behave import given, then, when

from egrethall.records import RecordCache, RecordFollower, SourceStatus, is_reader
from egrethall.types import ManualClock, RecordSourceError

#: Rounds of heartbeats after which the set of readers is stable.
ROUNDS = 10


class ReaderZone:
    """Instances that select readers by the heartbeats of the previous round."""

    def __init__(self, names, connected):
        self.names, self.connected = names, connected
        self.reading = set(names)

    def settle(self):
        for _ in range(ROUNDS):
            known = self.reading & self.connected
            self.reading = {
                name for name in self.names if is_reader(name, known - {name})
            }


@given(
    "instances {names} of an availability zone, of which {connected} reach the source"
)
def step_impl(context, names, connected):
    context.zone = ReaderZone(names.split(), set(connected.split()) - {"none"})


@when("they tell each other which of them read")
def step_impl(context):
    context.zone.settle()


@then("{names} read the record source")
def step_impl(context, names):
    assert context.zone.reading == set(names.split()), context.zone.reading


@given("instance x, which started {age:f} s ago and knows of {known}")
def step_impl(context, age, known):
    same_zone = {"reader a of its zone": ["a"], "reader z of its zone": ["z"]}
    other_zone = {"a reader elsewhere": ["a"]}
    context.reads = is_reader(
        "x", same_zone.get(known, []), other_zone.get(known, []), age
    )


@then("reading is {task}")
def step_impl(context, task):
    assert context.reads == (task == "its own"), context.reads


@when("the follower stops reading and starts again")
def step_impl(context):
    context.subject.restarts_reading = True


@given("a follower during an outage of its source")
def step_impl(context):
    clock = ManualClock()
    context.status = SourceStatus(clock)
    context.status.observe_failure(RecordSourceError("no response"))
    context.follower = RecordFollower(
        None, RecordCache(), context.status, clock, random.Random(3)
    )


@when("it stops reading")
def step_impl(context):
    context.follower.set_reading(False)


@then("removals are not attributed to an outage")
def step_impl(context):
    assert context.status.measure_since_outage() > 2.0
