import random

from behave import given, then, when

from egrethall.records import RecordCache, RecordFollower, SourceStatus, is_reader
from egrethall.types import ManualClock, RecordSourceError

#: Rounds of heartbeats in which instances settle who reads.
ROUNDS = 10


class ReaderZone:
    """Instances that decide by what the others said in the last round."""

    def __init__(self, names, answered):
        self.names, self.answered = names, answered
        self.reading = set(names)

    def settle(self):
        for _ in range(ROUNDS):
            known = self.reading & self.answered
            self.reading = {
                name for name in self.names if is_reader(name, known - {name})
            }


@given("the instances {names} of a zone, of which the store answers {answered}")
def step_impl(context, names, answered):
    context.zone = ReaderZone(names.split(), set(answered.split()) - {"none"})


@when("they tell each other who reads")
def step_impl(context):
    context.zone.settle()


@then("{names} read the store")
def step_impl(context, names):
    assert context.zone.reading == set(names.split()), context.zone.reading


@given("instance x, which started {age:f} s ago and has heard of {heard}")
def step_impl(context, age, heard):
    near = {"reader a of its zone": ["a"], "reader z of its zone": ["z"]}
    far = {"a reader elsewhere": ["a"]}
    context.reads = is_reader("x", near.get(heard, []), far.get(heard, []), age)


@then("reading is {task}")
def step_impl(context, task):
    assert context.reads == (task == "its own"), context.reads


@when("the follower leaves reading to others and takes it up again")
def step_impl(context):
    context.subject.leaves_and_returns = True


@given("a follower whose source is away")
def step_impl(context):
    clock = ManualClock()
    context.status = SourceStatus(clock)
    context.status.observe_failure(RecordSourceError("no answer"))
    context.follower = RecordFollower(
        None, RecordCache(), context.status, clock, random.Random(3)
    )


@when("it leaves reading to others")
def step_impl(context):
    context.follower.set_reading(False)


@then("removals count as final")
def step_impl(context):
    assert context.status.measure_since_outage() > 2.0
