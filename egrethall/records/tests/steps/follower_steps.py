import random

import anyio
from behave import then, when

from egrethall.records import RecordCache, RecordFollower, SourceStatus
from egrethall.types import (
    HistoryLostError,
    ManualClock,
    RecordBatch,
    RecordSourceError,
)


class ScriptedSource:
    """Gives scripted answers and then falls silent."""

    def __init__(self, script):
        self.script = script.split()
        self.calls = []
        self.silent = anyio.Event()

    async def read_all(self):
        self.calls.append("all")
        return await self.answer(whole=True)

    async def wait_for_changes(self, after_revision):
        self.calls.append(f"after:{after_revision}")
        return await self.answer(whole=False)

    async def answer(self, whole):
        answer = self.script.pop(0) if self.script else "silence"
        if answer == "lost":
            raise HistoryLostError("the history is gone")
        if answer == "error":
            raise RecordSourceError("no answer")
        if answer == "silence":
            self.silent.set()
            await anyio.sleep_forever()
        return RecordBatch(int(answer.split(":")[1]), (), whole)


class FollowerSubject:
    """Runs a follower over a script, with pauses that take no time."""

    def __init__(self, script):
        self.clock = ManualClock()
        self.cache = RecordCache()
        self.status = SourceStatus(self.clock)
        self.pauses = []
        self.script = script
        self.peer_revision = 0
        self.leaves_and_returns = False

    async def sleep(self, seconds):
        self.pauses.append(seconds)
        await anyio.lowlevel.checkpoint()

    async def run(self):
        self.source = ScriptedSource(self.script)
        follower = RecordFollower(
            self.source,
            self.cache,
            self.status,
            self.clock,
            random.Random(3),
            self.sleep,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                await self.source.silent.wait()
                if self.peer_revision:
                    self.source.silent = anyio.Event()
                    follower.observe_peer_revision(self.peer_revision)
                    self.clock.advance(2.0)
                    follower.observe_peer_revision(self.peer_revision)
                    await self.source.silent.wait()
                if self.leaves_and_returns:
                    self.source.silent = anyio.Event()
                    follower.set_reading(False)
                    await anyio.wait_all_tasks_blocked()
                    follower.set_reading(True)
                    await self.source.silent.wait()
            tasks.cancel_scope.cancel()


@when("the source answers {script}")
def step_impl(context, script):
    context.subject = FollowerSubject(script)


@when("another instance is known to be at revision {revision:d} for 2 s")
def step_impl(context, revision):
    context.subject.peer_revision = revision


@then("the calls were {calls}")
def step_impl(context, calls):
    anyio.run(context.subject.run)
    assert context.subject.source.calls == calls.split(), context.subject.source.calls


@then("the copy is complete up to revision {revision:d}")
def step_impl(context, revision):
    assert context.subject.cache.revision == revision


@then("the pauses after the errors grew from at least {low:f} to at most {high:f} s")
def step_impl(context, low, high):
    anyio.run(context.subject.run)
    pauses = context.subject.pauses[1:6]
    assert all(low <= pause <= high for pause in pauses), pauses
    assert pauses[-1] > pauses[0], pauses


@then("the source is known to answer again")
def step_impl(context):
    assert context.subject.status.available
