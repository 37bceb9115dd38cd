import math
import random

import anyio
from behave import given, then, when

from egrethall.daemon._platform_watches import WATCH_WAIT_SECONDS
from egrethall.discovery import WatchStatus, watch_configuration, watch_instances
from egrethall.discovery._http import RESPONSE_MARGIN_SECONDS
from egrethall.discovery.tests.fakes import (
    FakeConfigurationService,
    FakeInstanceList,
    Script,
    ScriptEndedError,
)
from egrethall.types import ManualClock


class WatchFixture:
    """Runs one watch against scripted responses and records what it did."""

    def __init__(self, in_force=0, receiver_fails=False):
        self.in_force = in_force
        self.receiver_fails = receiver_fails
        self.clock = ManualClock()
        self.status = WatchStatus()
        self.delivered_revisions = []
        self.pauses = []

    async def receive(self, value):
        self.delivered_revisions.append(value.revision)
        if self.receiver_fails:
            raise RuntimeError("receiver failed")

    async def sleep(self, seconds):
        self.pauses.append(seconds)
        self.clock.advance(seconds)

    async def run(self, service, responses):
        self.script = Script(self.clock, responses)
        common = (self.clock, random.Random(11), self.status)
        try:
            if service == "instance list":
                await watch_instances(
                    FakeInstanceList(self.script),
                    self.receive,
                    *common,
                    sleep=self.sleep,
                )
            await watch_configuration(
                FakeConfigurationService(self.script),
                self.receive,
                lambda: self.in_force,
                *common,
                sleep=self.sleep,
            )
        except ScriptEndedError:
            return


def parse_response(text):
    seconds, response = text.split(":")
    if response in ("none", "error"):
        return float(seconds), None if response == "none" else response
    return float(seconds), int(response)


def run_watch(context, service, responses):
    if "watch" not in context:
        context.watch = WatchFixture()
    anyio.run(context.watch.run, service, responses)


@given("the revision in force is {revision:d}")
def step_impl(context, revision):
    context.watch = WatchFixture(in_force=revision)


@given("a receiver that raises an exception")
def step_impl(context):
    context.watch = WatchFixture(receiver_fails=True)


@when("the configuration service responds {responses}")
def step_impl(context, responses):
    run_watch(context, "", [parse_response(response) for response in responses.split()])


@when("the {service} gives {count:d} times the response {response}")
def step_impl(context, service, count, response):
    run_watch(context, service, [parse_response(response)] * count)


@when("the configuration service gives {count:d} new revisions at once")
def step_impl(context, count):
    run_watch(context, "", [(0.0, revision) for revision in range(1, count + 1)])


@when("each of {count:d} calls of an instance fails for lack of an answer")
def step_impl(context, count):
    context.call_seconds = WATCH_WAIT_SECONDS + RESPONSE_MARGIN_SECONDS
    response = f"{context.call_seconds}:error"
    run_watch(context, "", [parse_response(response)] * count)


@then(
    "a call that began just before the end of the outage and the next one"
    " take at most {seconds:d} s"
)
def step_impl(context, seconds):
    assert context.call_seconds + max(context.watch.pauses) <= seconds


@then("the revisions {revisions} were delivered")
def step_impl(context, revisions):
    assert context.watch.delivered_revisions == [
        int(part) for part in revisions.split()
    ]


@then("the watch requested revisions above {revisions}")
def step_impl(context, revisions):
    assert context.watch.script.after_revisions == [
        int(part) for part in revisions.split()
    ]


@then("the watch counted {counted}")
def step_impl(context, counted):
    counters = context.watch.status.read_counters()
    for part in counted.split():
        name, value = part.split("=")
        assert getattr(counters, name) == int(value), counters


@then("{count:d} revisions were delivered")
def step_impl(context, count):
    assert context.watch.delivered_revisions == list(range(1, count + 1))


@then("it paused {count:d} times for {low:f} to {high:f} s")
def step_impl(context, count, low, high):
    assert len(context.watch.pauses) == count, context.watch.pauses
    assert all(low <= pause <= high for pause in context.watch.pauses)


@then("the longest pause exceeded {seconds:f} s and no two were equal")
def step_impl(context, seconds):
    assert max(context.watch.pauses) > seconds
    assert len(set(context.watch.pauses)) == len(context.watch.pauses)


@then("the last confirmation is {seconds:d} s old")
def step_impl(context, seconds):
    status, now = context.watch.status, context.watch.clock.monotonic_seconds()
    assert status.confirmed_age_seconds(0, now) == seconds
    assert status.confirmed_age_seconds(1, now) == math.inf
