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
    """Returns scripted responses; a call blocks at ``silence`` and after the last."""

    def __init__(self, script):
        self.script = script.split()
        self.calls = []
        self.closed_count = 0
        self.call_blocked = anyio.Event()

    async def read_all(self, response_timeout_seconds):
        self.calls.append("all")
        return await self.respond(whole=True)

    async def wait_for_changes(
        self, after_revision, wait_seconds, response_timeout_seconds
    ):
        self.calls.append(f"after:{after_revision}")
        return await self.respond(whole=False)

    async def close(self):
        self.closed_count += 1

    async def respond(self, whole):
        response = self.script.pop(0) if self.script else "silence"
        if response == "lost":
            raise HistoryLostError("the history was compacted")
        if response == "error":
            raise RecordSourceError("no response")
        if response == "silence":
            self.call_blocked.set()
            await anyio.sleep_forever()
        return RecordBatch(int(response.split(":")[1]), (), whole)


class FollowerSubject:
    """Runs a follower against a scripted source, with pauses that take no time."""

    def __init__(self, script):
        self.clock = ManualClock()
        self.cache = RecordCache()
        self.status = SourceStatus(self.clock)
        self.pauses = []
        self.script = script
        self.peer_revision = 0
        self.restarts_reading = False
        self.is_backup = False

    async def sleep(self, seconds):
        self.pauses.append(seconds)
        await anyio.lowlevel.checkpoint()

    async def run(self):
        self.source = ScriptedSource(self.script)
        self.follower = follower = RecordFollower(
            self.source,
            self.cache,
            self.status,
            self.clock,
            random.Random(3),
            self.sleep,
        )
        follower.set_backup(self.is_backup)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                await self.source.call_blocked.wait()
                if self.peer_revision:
                    self.source.call_blocked = anyio.Event()
                    follower.observe_peer_revision(self.peer_revision)
                    self.clock.advance(2.0)
                    follower.observe_peer_revision(self.peer_revision)
                    await self.source.call_blocked.wait()
                if self.restarts_reading:
                    self.source.call_blocked = anyio.Event()
                    follower.set_reading_enabled(False)
                    await anyio.wait_all_tasks_blocked()
                    follower.set_reading_enabled(True)
                    await self.source.call_blocked.wait()
            tasks.cancel_scope.cancel()


@when("the source responds with {script}")
def step_impl(context, script):
    context.subject = FollowerSubject(script)


@when("another instance reports revision {revision:d} for 2 s")
def step_impl(context, revision):
    context.subject.peer_revision = revision


@then("the calls were {calls}")
def step_impl(context, calls):
    anyio.run(context.subject.run)
    assert context.subject.source.calls == calls.split(), context.subject.source.calls


@then("the cache is complete up to revision {revision:d}")
def step_impl(context, revision):
    assert context.subject.cache.revision == revision


@then("the pauses after the errors grew from at least {low:f} to at most {high:f} s")
def step_impl(context, low, high):
    anyio.run(context.subject.run)
    pauses = context.subject.pauses[1:6]
    assert all(low <= pause <= high for pause in pauses), pauses
    assert pauses[-1] > pauses[0], pauses


@then("the source counts as available")
def step_impl(context):
    assert context.subject.status.available
