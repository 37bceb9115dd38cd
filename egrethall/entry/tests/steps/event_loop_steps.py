import asyncio
import selectors
import socket

from behave import given, then, when

from egrethall.entry._event_loop import ReducedPollingSelector, make_event_loop


@given("a selector and a socket with bytes to read")
def step_impl(context):
    context.local, context.remote = socket.socketpair()
    context.add_cleanup(context.local.close)
    context.add_cleanup(context.remote.close)
    context.selector = ReducedPollingSelector()
    context.add_cleanup(context.selector.close)
    context.selector.register(context.local, selectors.EVENT_READ)
    context.remote.send(b"x")


@when("the selector is polled {count:d} times without waiting")
def step_impl(context, count):
    context.returned = [bool(context.selector.select(0)) for _ in range(count)]


@then(
    "{count:d} polls return the socket, the first one after {skipped:d} skipped polls"
)
def step_impl(context, count, skipped):
    assert sum(context.returned) == count, context.returned
    assert context.returned.index(True) == skipped, context.returned


@when("the selector is polled with a timeout of {seconds:d} s")
def step_impl(context, seconds):
    context.returned = context.selector.select(seconds)


@then("the poll returns the socket")
def step_impl(context):
    assert context.returned


@given("the event loop of an entry instance")
def step_impl(context):
    context.loop = make_event_loop()
    context.add_cleanup(context.loop.close)


@when("a callback reschedules itself endlessly while bytes arrive")
def step_impl(context):
    local, remote = socket.socketpair()
    context.add_cleanup(local.close)
    context.add_cleanup(remote.close)
    local.setblocking(False)

    async def read():
        loop = asyncio.get_running_loop()

        def reschedule():
            loop.call_soon(reschedule)

        reschedule()
        remote.send(b"x")
        return await asyncio.wait_for(loop.sock_recv(local, 1), 1.0)

    context.read = context.loop.run_until_complete(read())


@then("the bytes are read within {seconds:d} s")
def step_impl(context, seconds):
    assert context.read == b"x"
