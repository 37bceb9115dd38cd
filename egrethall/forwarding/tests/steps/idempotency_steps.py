import dataclasses
import random

import anyio
from behave import given, then, when

from egrethall.forwarding import IdempotencyGuard, IdempotencyRegistry
from egrethall.forwarding.tests.fakes import (
    OBSERVATIONS,
    FakeLeases,
    FakePeers,
    FakeResponse,
    build_request,
    build_service,
    relay,
    run_guarded,
)
from egrethall.types import (
    InstanceId,
    ManualClock,
    Organisation,
    Refusal,
    RefusalReason,
    RefusedError,
)

SHARD = 0

#: Shorter than the pause in the search for a holder, which takes real time.
DEADLINE_SECONDS = 0.04


class IdempotencySubject:
    """Instances that share one shard, and the runs of each key."""

    def __init__(self, names):
        self.clock = ManualClock()
        self.names = names
        self.holders = {}
        self.incarnations = {}
        self.successor = None
        self.leases = {}
        self.registries = {}
        self.peers = {}
        self.guards = {}
        self.runs = []
        self.outcomes = []
        self.answer = None
        self.repeat_answer = None
        self.during_run = None
        for name in names:
            self.start(name)

    def start(self, name):
        """Starts an instance, or restarts it without its records."""
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        own = self.build_instance_id(name)
        self.leases[name] = FakeLeases(own, self.holders, self.successor)
        self.peers[name] = FakePeers(name)
        self.peers[name].receivers = self.registries
        arguments = (
            self.leases[name],
            self.leases[name],
            self.peers[name],
            lambda resource: SHARD,
            own,
        )
        self.registries[name] = IdempotencyRegistry(
            self.clock, *arguments, max_records=100
        )
        self.guards[name] = IdempotencyGuard(
            self.clock, random.Random(name), *arguments, self.registries[name]
        )

    def build_instance_id(self, name):
        return InstanceId(name, self.incarnations[name])

    def hold(self, holder, successor):
        self.holders[SHARD] = self.build_instance_id(holder) if holder else None
        self.successor = self.build_instance_id(successor)
        for leases in self.leases.values():
            leases.successor = self.successor

    def build(self, key, idempotent=False):
        deadline_at_seconds = self.clock.monotonic_seconds() + DEADLINE_SECONDS
        return build_request(
            build_service("a"), deadline_at_seconds, idempotent, key=key.encode()
        )

    async def run_request(self, request):
        name = (request.organisation.name, request.idempotency_key)
        self.runs.append((name, self.clock.monotonic_seconds()))
        if self.during_run is not None:
            during, self.during_run = self.during_run, None
            await during()
        outcome = self.outcomes.pop(0) if self.outcomes else "201"
        if outcome == "upstream-failed":
            raise RuntimeError("a fault of the forwarder")
        if not outcome.isdigit():
            reason = next(item for item in RefusalReason if item.code == outcome)
            raise RefusedError(Refusal(reason, "scripted"))
        return FakeResponse("a", status=int(outcome))

    async def forward(self, name, request):
        def forward(request):
            return self.guards[name].forward(request, self.run_request)

        try:
            return (await relay(forward, request))[0]
        except RuntimeError:
            return "fault"

    def send(self, name, request):
        self.answer = run_guarded(self.forward, name, request)

    def hand_over(self, old, new):
        records = self.registries[old].export_records(SHARD)
        self.registries[new].import_records(records)

    async def cancel_when(self, name, request, started):
        async with anyio.create_task_group() as group:
            group.start_soon(self.forward, name, request)
            await started.wait()
            group.cancel_scope.cancel()

    def send_while_moving(self, source, keys, requests):
        """Loses instances and hands the shard over, between and during requests."""

        async def move():
            holder = self.holders[SHARD].name
            others = [name for name in self.names if name != holder]
            match source.choice(("stay", "stay", "lose", "lose next", "hand over")):
                case "lose":
                    new = self.successor.name
                    self.clock.advance(2.1)
                    self.start(holder)
                    self.hold(new, source.choice([n for n in self.names if n != new]))
                case "lose next":
                    lost = self.successor.name
                    self.start(lost)
                    self.hold(holder, source.choice(others))
                case "hand over":
                    new = source.choice(others)
                    self.hand_over(holder, new)
                    # Requests may still reach the old holder until its lease ends.
                    if source.random() < 0.5:
                        await self.forward(holder, self.build(source.choice(keys)))
                    self.hold(new, source.choice([n for n in self.names if n != new]))
            for registry in self.registries.values():
                registry.copy_to_successors()

        async def drive():
            for _ in range(requests):
                self.during_run = move if source.random() < 0.3 else None
                self.outcomes = [source.choice(("201", "500", "outcome-unknown"))]
                await self.forward(
                    source.choice(self.names), self.build(source.choice(keys))
                )
                self.during_run = None
                await move()

        run_guarded(drive)


OBSERVATIONS.update(
    {
        "caller's answer": lambda context: context.keys.answer,
        "answer to the repeated request": lambda context: context.keys.repeat_answer,
        "number of runs": lambda context: len(context.keys.runs),
    }
)


@given('the instances "{names}": shard holder "{holder}", successor "{successor}"')
def step_impl(context, names, holder, successor):
    context.keys = IdempotencySubject(names.split())
    context.keys.hold(holder, successor)


@given('the first request will end with "{outcome}"')
def step_impl(context, outcome):
    context.keys.outcomes = [outcome]


@given('"{name}" forwards a request with the key "{key}"')
@when('"{name}" forwards a request with the key "{key}"')
def step_impl(context, name, key):
    context.keys.send(name, context.keys.build(key))


@when('"{name}" forwards a request with the key "{key}" for another organisation')
def step_impl(context, name, key):
    request = context.keys.build(key)
    other = Organisation("boreal", "large")
    context.keys.send(name, dataclasses.replace(request, organisation=other))


@when('"{name}" forwards an idempotent request with the key "{key}"')
def step_impl(context, name, key):
    context.keys.send(name, context.keys.build(key, idempotent=True))


@when('"{name}" forwards a request with the key "{key}" and "{other}" repeats it')
def step_impl(context, name, key, other):
    subject = context.keys

    async def repeat():
        subject.repeat_answer = await subject.forward(other, subject.build(key))

    subject.during_run = repeat
    subject.send(name, subject.build(key))
    assert subject.answer == "201"


@given("no instance holds the shard")
def step_impl(context):
    context.keys.hold(None, "y")


@given('"{name}" does not answer')
def step_impl(context, name):
    for peers in context.keys.peers.values():
        peers.unreachable.add(name)


@given('"{name}" loses the shard while it sends the copy')
def step_impl(context, name):
    context.keys.peers[name].before_reply = lambda: context.keys.hold(None, "y")


@given('the table of "{name}" is full')
def step_impl(context, name):
    registry = context.keys.registries[name]
    registry._max_records = registry.record_count


@when('"{lost}" is lost and "{successor}" holds all shards')
def step_impl(context, lost, successor):
    for peers in context.keys.peers.values():
        peers.unreachable.add(lost)
    context.keys.hold(successor, "z")


@when('"{old}" hands all shards over to "{new}"')
def step_impl(context, old, new):
    context.keys.hand_over(old, new)
    context.keys.hold(new, old)


@when('"{name}" exports all shards')
def step_impl(context, name):
    context.keys.registries[name].export_records(SHARD)


@when('"{old}" exports all shards to "{new}" while a request with the key "{key}" runs')
def step_impl(context, old, new, key):
    subject = context.keys

    async def move():
        subject.hand_over(old, new)

    subject.during_run = move
    subject.send("z", subject.build(key))
    assert subject.answer == "201"


@when('a caller disconnects while "{name}" reserves the key "{key}"')
def step_impl(context, name, key):
    subject = context.keys

    async def disconnect():
        reserving = anyio.Event()
        subject.peers[name].before_reply = reserving.set
        with anyio.CancelScope() as scope:
            scope.cancel()
            await subject.forward(name, subject.build(key))
        assert reserving.is_set()

    run_guarded(disconnect)
    assert subject.runs == []
    subject.peers[name].before_reply = None


@when('a caller disconnects while the request with the key "{key}" runs')
def step_impl(context, key):
    subject = context.keys

    async def disconnect():
        running = anyio.Event()

        async def hang():
            running.set()
            await anyio.sleep_forever()

        subject.during_run = hang
        await subject.cancel_when("z", subject.build(key), running)

    run_guarded(disconnect)


@when("{seconds:d} s pass for the records")
def step_impl(context, seconds):
    context.keys.clock.advance(seconds)


@when("{count:d} requests with {keys:d} keys are sent while shards move, seed {seed:d}")
def step_impl(context, count, keys, seed):
    names = [f"k{index}" for index in range(keys)]
    context.keys.send_while_moving(random.Random(seed), names, count)


@then('"{name}" had a copy when the request ran')
def step_impl(context, name):
    assert context.keys.registries[name].record_count == 1
    receiver, message = context.keys.peers["x"].notices[0]
    assert (receiver, message.status, message.copy) == (name, 201, True)


@then("no key ran twice")
def step_impl(context):
    last_run = {}
    for name, at_seconds in context.keys.runs:
        assert at_seconds - last_run.get(name, 0.0) >= 600.0, name
        last_run[name] = at_seconds


@then("at least {count:d} keys ran")
def step_impl(context, count):
    assert len(context.keys.runs) >= count, len(context.keys.runs)
