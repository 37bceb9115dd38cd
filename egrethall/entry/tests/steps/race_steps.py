from types import SimpleNamespace

import anyio
from behave import given, then, when

from egrethall.entry._race import AttemptRace
from egrethall.entry._request import SendOutcome, SendResult
from egrethall.placement import HedgePolicy

RESULTS = {"answers": SendResult.ANSWERED, "breaks": SendResult.BROKEN}

#: The first look of a hedge comes at 0.35 of it, after 140 ms.
OBJECTIVE_SECONDS = 0.4


class RaceSubject:
    """Two upstreams with scripted outcomes."""

    def __init__(self, first, second):
        self.script = {"u-0": first, "u-1": second}
        self.hedges = 0
        self.together = False

    async def attempt(self, request, probe):
        word, milliseconds = self.script[probe.state.name]
        if not self.together:
            await anyio.sleep(milliseconds / 1000)
        elif probe.state.name == "u-0":
            await self.both_sent.wait()
        else:
            # The first attempt goes on in the same cycle of the event loop.
            self.both_sent.set()
            await anyio.lowlevel.checkpoint()
        return SendOutcome(RESULTS[word], word, probe.state.name)

    async def place_hedge(self, request, state, sent):
        self.hedges += 1
        return SimpleNamespace(state=SimpleNamespace(name="u-1"))

    def run(self, repeatable):
        async def race():
            self.both_sent = anyio.Event()
            route = SimpleNamespace(objective_seconds=OBJECTIVE_SECONDS)
            request = SimpleNamespace(repeatable=repeatable, route=route)
            probe = SimpleNamespace(state=SimpleNamespace(name="u-0"))
            contest = AttemptRace(
                request, self.attempt, self.place_hedge, HedgePolicy()
            )
            return await contest.run(probe, 0)

        return anyio.run(race)


@given(
    "an upstream that {first} after {first_ms:d} ms"
    " and a hedge that {second} after {second_ms:d} ms"
)
def step_impl(context, first, first_ms, second, second_ms):
    context.subject = RaceSubject((first, first_ms), (second, second_ms))


@given("both attempts end together, one with an answer and then one without")
def step_impl(context):
    context.subject = RaceSubject(("answers", 0), ("breaks", 0))
    context.subject.together = True


@when("a repeatable request is sent")
def step_impl(context):
    context.outcome = context.subject.run(repeatable=True)


@when("a request that may run once is sent")
def step_impl(context):
    context.outcome = context.subject.run(repeatable=False)


@then("the outcome is {result} of {upstream}")
def step_impl(context, result, upstream):
    found = (context.outcome.result.value, context.outcome.upstream)
    assert found == (result, upstream), found


@then("nothing was asked of the hedge")
def step_impl(context):
    assert context.subject.hedges == 0
