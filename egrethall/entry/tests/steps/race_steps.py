from types import SimpleNamespace

import anyio
from behave import given, then, when

from egrethall.entry._race import AttemptRace
from egrethall.entry._request import SendOutcome, SendResult
from egrethall.placement import HedgePolicy

RESULTS = {"answers": SendResult.ANSWERED, "breaks": SendResult.BROKEN}

#: Whether to hedge is first checked after 0.35 of it, at 140 ms.
OBJECTIVE_SECONDS = 0.4
MAX_ATTEMPTS = 2


class RaceSubject:
    """A request to two upstreams with scripted outcomes; u-1 gets the hedge."""

    def __init__(self, first, second):
        self.script = {"u-0": first, "u-1": second}
        self.hedge_count = 0
        self.abandoned_ms = 10_000
        self.ends_in_one_cycle = False

    async def attempt(self, request, probe):
        outcome, delay_ms = self.script[probe.state.name]
        if not self.ends_in_one_cycle:
            await anyio.sleep(delay_ms / 1000)
        elif probe.state.name == "u-0":
            await self.both_started.wait()
        else:
            # Wakes the first attempt, which then ends in this cycle of the event loop.
            self.both_started.set()
            await anyio.lowlevel.checkpoint()
        return SendOutcome(RESULTS[outcome], outcome, probe.state.name)

    async def wait(self):
        await anyio.sleep(self.abandoned_ms / 1000)

    def claim(self, possible_runs):
        return possible_runs < MAX_ATTEMPTS

    async def place_hedge(self, request, state, attempts):
        self.hedge_count += 1
        return SimpleNamespace(state=SimpleNamespace(name="u-1"))

    def run(self, repeatable):
        async def run_race():
            self.both_started = anyio.Event()
            route = SimpleNamespace(objective_seconds=OBJECTIVE_SECONDS)
            request = SimpleNamespace(repeatable=repeatable, route=route)
            probe = SimpleNamespace(state=SimpleNamespace(name="u-0"))
            race = AttemptRace(
                request,
                self.attempt,
                self.place_hedge,
                HedgePolicy(),
                self,
            )
            return await race.run(probe, 0)

        return anyio.run(run_race)


@given(
    "an upstream that {first} after {first_ms:d} ms"
    " and a hedged attempt that {second} after {second_ms:d} ms"
)
def step_impl(context, first, first_ms, second, second_ms):
    context.subject = RaceSubject((first, first_ms), (second, second_ms))


@given(
    "both attempts end in one event loop cycle, the first with a response,"
    " the hedged one without"
)
def step_impl(context):
    context.subject = RaceSubject(("answers", 0), ("breaks", 0))
    context.subject.ends_in_one_cycle = True


@given("it is abandoned after {ms:d} ms")
def step_impl(context, ms):
    context.subject.abandoned_ms = ms


@when("a repeatable request is sent")
def step_impl(context):
    context.outcome = context.subject.run(repeatable=True)


@when("a request that must not run twice is sent")
def step_impl(context):
    context.outcome = context.subject.run(repeatable=False)


@then("the outcome is {result} from {upstream}")
def step_impl(context, result, upstream):
    found = (context.outcome.result.value, context.outcome.upstream)
    assert found == (result, upstream), found


@then("no upstream was selected for a hedged attempt")
def step_impl(context):
    assert context.subject.hedge_count == 0
