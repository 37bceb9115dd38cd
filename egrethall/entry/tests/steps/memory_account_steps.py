from types import SimpleNamespace

import anyio
from behave import given, then, when

from egrethall.entry._connection_limiter import ConnectionLimiter, ConnectionPhase
from egrethall.entry._memory_account import MemoryAccount, MemoryShortError
from egrethall.entry._process_limits import ProgressLimits
from egrethall.entry.tests.virtual_time import run_in_virtual_time
from egrethall.types import ManualClock

MB = 1_000_000


class SharedRoom:
    """An account and a limiter with a clock of their own."""

    def __init__(self, budget_bytes, connections):
        self.clock = ManualClock()
        self.account = MemoryAccount(budget_bytes)
        self.limiter = ConnectionLimiter(
            connections, self.account, self.clock, ProgressLimits()
        )
        self.account.make_room = self.limiter.make_room
        self.slots = []

    async def try_wait(self, lease, size_bytes):
        try:
            await lease.grow(size_bytes)
        except MemoryShortError:
            return False
        return True

    async def release_while_waiting(self, held_bytes, wanted_bytes):
        holder, waiting = self.account.open_lease(), self.account.open_lease()
        assert holder.try_grow(held_bytes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.try_wait, waiting, wanted_bytes)
            await anyio.sleep(0.2)
            assert not waiting.held_bytes
            holder.release()
        return waiting


@given("{budget:d} MB for at most {connections:d} connections")
def step_impl(context, budget, connections):
    context.room = SharedRoom(budget * MB, connections)


@when("leases grow to {first:d} MB and to {second:d} MB")
def step_impl(context, first, second):
    context.lease = context.room.account.open_lease()
    assert context.lease.try_grow(first * MB)
    other = context.room.account.open_lease()
    context.granted = run_in_virtual_time(context.room.try_wait, other, second * MB)


@then("the growth to {size:d} MB is refused")
def step_impl(context, size):
    assert context.granted is False
    assert context.room.account.refused_count == 1


@then("a lease can grow to {size:d} kB")
def step_impl(context, size):
    assert context.room.account.open_lease().try_grow(size * 1000)


@when("a lease of {held:d} MB is released while another one waits for {wanted:d} MB")
def step_impl(context, held, wanted):
    context.lease = run_in_virtual_time(
        context.room.release_while_waiting, held * MB, wanted * MB
    )


@then("the waiting lease is granted and the account holds {size:d} MB")
def step_impl(context, size):
    assert context.lease.held_bytes == context.room.account.held_bytes == size * MB


@when("a lease of {size:d} MB is dropped")
def step_impl(context, size):
    assert context.room.account.open_lease().try_grow(size * MB)


@then("the account holds {size:d} MB")
def step_impl(context, size):
    assert context.room.account.held_bytes == size * MB


@given("connections in the phases {phases}, without progress for {seconds:d} s")
def step_impl(context, phases, seconds):
    for phase in phases.split():
        slot = context.room.limiter.open_slot(SimpleNamespace(cancel=lambda: None))
        slot.enter(ConnectionPhase[phase])
        context.room.slots.append(slot)
    context.room.clock.advance(seconds)


@when("a connection is closed for another one")
def step_impl(context):
    context.was_closed = context.room.limiter.close_one()


@then("the closed one is number {number:d}")
def step_impl(context, number):
    closing = [slot.is_closing for slot in context.room.slots]
    assert closing == [n == number for n in range(1, len(closing) + 1)], closing
    assert context.was_closed == bool(number)
