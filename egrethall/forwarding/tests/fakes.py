"""Fakes of the interfaces that the forwarding package depends on."""

import anyio
from behave import then

from egrethall.types import (
    AttemptTimeoutError,
    CallRequest,
    ConnectFailedError,
    ConnectionBrokenError,
    Organisation,
    PeerUnavailableError,
    Refusal,
    RefusalReason,
    RefusedError,
    Route,
    Service,
    Upstream,
)

#: Limit on one coroutine that a step runs, so that a fault cannot hang the tests.
STEP_TIMEOUT_SECONDS = 20.0

#: Values that scenarios compare with a text, as functions of the context, by name.
OBSERVATIONS = {}


@then('the {name} is "{expected}"')
def step_impl(context, name, expected):
    actual = str(OBSERVATIONS[name](context))
    assert actual == expected, actual


def run_guarded(function, *arguments, background=(), use_uvloop=False):
    """Runs a coroutine function with background tasks, under a timeout.

    The background tasks start before it and are cancelled when it returns.
    """

    async def guarded():
        with anyio.fail_after(STEP_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                for task in background:
                    group.start_soon(task)
                await anyio.wait_all_tasks_blocked()
                result = await function(*arguments)
                group.cancel_scope.cancel()
        return result

    return anyio.run(guarded, backend_options={"use_uvloop": use_uvloop})


async def relay(forward, request):
    """Forwards a request; returns what its caller gets and the refusal, if any."""
    try:
        response = await forward(request)
    except RefusedError as error:
        reason = error.refusal.reason
        return f"{reason.code} {reason.run.value}", error
    try:
        pieces = [piece async for piece in response.stream()]
        assert pieces == [b"one", b"two"], pieces
        return str(response.status), None
    except ConnectionBrokenError:
        return "broken body", None
    finally:
        await response.aclose()


class FakeBody:
    """A request body with a buffered prefix."""

    def __init__(self, prefix=b"body", complete=True):
        self.prefix = prefix
        self.complete = complete

    async def stream(self):
        yield self.prefix


class FakeTicket:
    """A ticket that records each outcome with which it is finished."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.outcomes = []

    def observe_response(self, report, latency_seconds):
        self.latency_seconds = latency_seconds

    def finish(self, outcome):
        self.outcomes.append(outcome)


class FakeSelector:
    """Selects the first upstream that is not excluded."""

    def __init__(self):
        self.tickets = []
        self.overloaded = False

    async def acquire(self, service, organisation, deadline_at_seconds, excluded=()):
        for upstream in service.upstreams:
            if upstream.name not in excluded:
                ticket = FakeTicket(upstream)
                self.tickets.append(ticket)
                return ticket
        raise RefusedError(Refusal(RefusalReason.NO_UPSTREAM, "none is left"))

    def is_overloaded(self, service):
        return self.overloaded


class FakeResponse:
    """A response with a body of two pieces."""

    def __init__(self, upstream, status=200, not_run=False, cut=False):
        self.upstream = upstream
        self.status = status
        self.headers = ()
        self.load_report = None
        self.not_run = not_run
        self.cut = cut
        self.closed = False
        self.read_to_end = False

    async def stream(self):
        yield b"one"
        if self.cut:
            raise ConnectionBrokenError(self.upstream, "cut")
        yield b"two"
        self.read_to_end = True

    async def aclose(self):
        self.closed = True


class FakeTransport:
    """Follows a list of behaviours for each upstream; the last one repeats."""

    def __init__(self, clock):
        self.clock = clock
        self.scripts = {}
        self.sent_upstreams = []
        self.timeouts = []
        self.responses = []
        self.cancelled_upstreams = []
        self.arrived = anyio.Event()
        self.sent_twice = anyio.Event()
        self.gate = anyio.Event()

    async def send(self, upstream, request, timeout_seconds):
        name = upstream.name
        self.sent_upstreams.append(name)
        self.timeouts.append(timeout_seconds)
        if len(self.sent_upstreams) == 2:
            self.sent_twice.set()
        script = self.scripts.get(name, ["answer"])
        behaviour = script.pop(0) if len(script) > 1 else script[0]
        try:
            return await self.perform(name, behaviour)
        except anyio.get_cancelled_exc_class():
            self.cancelled_upstreams.append(name)
            raise

    async def perform(self, name, behaviour):
        if behaviour.startswith("gated "):
            self.arrived.set()
            await self.gate.wait()
            behaviour = behaviour.removeprefix("gated ")
        match behaviour:
            case "hang":
                self.arrived.set()
                await anyio.sleep_forever()
            case "refuse connection":
                raise ConnectFailedError(name, "refused")
            case "break":
                raise ConnectionBrokenError(name, "reset")
            case "time out":
                self.clock.advance(self.timeouts[-1])
                raise AttemptTimeoutError(name, "silent")
            case "take 1.5 s to say not run":
                self.clock.advance(1.5)
        response = FakeResponse(
            name,
            status=503
            if "not run" in behaviour
            else 500
            if behaviour == "fail"
            else 200,
            not_run="not run" in behaviour,
            cut=behaviour == "cut",
        )
        self.responses.append(response)
        return response


class FakePeers:
    """Delivers messages directly to the objects of other instances."""

    def __init__(self, sender="own"):
        self.sender = sender
        self.receivers = {}
        self.notices = []
        self.unreachable = set()
        self.before_reply = None

    async def request_reservation(self, holder, reserve, timeout_seconds):
        if holder.name in self.unreachable:
            raise PeerUnavailableError(f"{holder.name} is silent")
        reply = await self.receivers[holder.name].reserve(reserve)
        if self.before_reply is not None:
            self.before_reply()
        return reply

    def send_notice(self, receiver, message):
        self.notices.append((receiver.name, message))
        if receiver.name in self.receivers and receiver.name not in self.unreachable:
            self.receivers[receiver.name].complete(message)

    def broadcast_notice(self, message):
        self.notices.append(("all", message))
        for receiver in self.receivers.values():
            receiver.receive_report(message)


class FakeAudit:
    """Records audit events."""

    def __init__(self):
        self.events = []

    def record(self, event):
        self.events.append(event)


class FakeLeases:
    """The leases of one instance and a consistent shard directory."""

    def __init__(self, own, holders, successor=None):
        self.own = own
        self.holders = holders
        self.successor = successor

    def is_held(self, shard):
        return self.holders.get(shard) == self.own

    def remaining_seconds(self, shard):
        return 2.0 if self.is_held(shard) else 0.0

    def find_holder(self, shard):
        return self.holders.get(shard)

    def find_successor(self, shard):
        return self.successor


def build_service(names):
    """Returns a service with one upstream for each name."""
    upstreams = tuple(
        Upstream(name, f"127.0.0.1:{9001 + index}", "a", 4, 100, 5.0, 1)
        for index, name in enumerate(names)
    )
    route = Route("/", frozenset({"GET", "POST"}), frozenset({"GET"}))
    return Service("lookup", 2000, 1 << 20, 100, (route,), upstreams)


def build_request(
    service, deadline_at_seconds, idempotent, body=None, target=b"/", key=None
):
    """Returns a request of the organisation atlas."""
    body = body or FakeBody()
    return CallRequest(
        request_id="r1",
        organisation=Organisation("atlas", "large"),
        service=service,
        route=service.routes[0],
        method="GET" if idempotent else "POST",
        target=target,
        headers=(),
        content_length=len(body.prefix),
        body=body,
        deadline_at_seconds=deadline_at_seconds,
        idempotent=idempotent,
        idempotency_key=key,
    )
