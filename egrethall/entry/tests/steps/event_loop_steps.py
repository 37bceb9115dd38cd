import asyncio
import selectors
import socket

from behave import given, then, when

from egrethall.entry._event_loop import ReducedPollingSelector, make_event_loop


@given("a selector and a socket with bytes to read")
def step_impl(context):
    context.near, context.far = socket.socketpair()
    context.add_cleanup(context.near.close)
    context.add_cleanup(context.far.close)
    context.selector = ReducedPollingSelector()
    context.add_cleanup(context.selector.close)
    context.selector.register(context.near, selectors.EVENT_READ)
    context.far.send(b"x")


@when("{count:d} rounds ask for what is ready at once")
def step_impl(context, count):
    context.shown = [bool(context.selector.select(0)) for _ in range(count)]


@then("{count:d} of them show the socket, the first one after {others:d} others")
def step_impl(context, count, others):
    assert sum(context.shown) == count, context.shown
    assert context.shown.index(True) == others, context.shown


@when("a round waits up to {seconds:d} s")
def step_impl(context, seconds):
    context.shown = context.selector.select(seconds)


@then("it shows the socket")
def step_impl(context):
    assert context.shown


@given("the event loop of an entry instance")
def step_impl(context):
    context.loop = make_event_loop()
    context.add_cleanup(context.loop.close)


@when("a callback schedules itself without end while bytes arrive")
def step_impl(context):
    near, far = socket.socketpair()
    context.add_cleanup(near.close)
    context.add_cleanup(far.close)
    near.setblocking(False)

    async def read():
        loop = asyncio.get_running_loop()

        def spin():
            loop.call_soon(spin)

        spin()
        far.send(b"x")
        return await asyncio.wait_for(loop.sock_recv(near, 1), 1.0)

    context.read = context.loop.run_until_complete(read())


@then("they are read within {seconds:d} s")
def step_impl(context, seconds):
    assert context.read == b"x"
