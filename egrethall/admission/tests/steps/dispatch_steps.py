from random import Random

import anyio
from behave import given, then, when

from egrethall.admission import AllowanceBorrower, HeldBuckets, organisation_resource
from egrethall.leases import LeaseTenure
from egrethall.types import (
    Configuration,
    InstanceId,
    Loan,
    ManualClock,
    Organisation,
    Plan,
    RefusedError,
)
from standins.allowance_fleet import run_virtual

BORROWER = InstanceId("me", 1)
HOLDER = InstanceId("holder", 1)


class FixedTenures:
    """Leases of an instance that holds all shards or none."""

    def __init__(self, held):
        self.tenure = LeaseTenure(1, 0.0) if held else None

    def is_held(self, shard):
        return self.tenure is not None

    def remaining_seconds(self, shard):
        return 2.0 if self.tenure else 0.0

    def find_tenure(self, shard):
        return self.tenure


class DispatchSubject:
    """A borrower, and the holder of its bucket: the same instance or a peer."""

    def __init__(self, rate, burst, is_holder):
        self.clock = ManualClock()
        configuration = Configuration(
            1,
            1,
            (Organisation("atlas", "plan"),),
            (Plan("plan", rate, burst, frozenset()),),
        )
        self.holder_buckets = HeldBuckets(FixedTenures(True), self.clock)
        self.held_buckets = self.holder_buckets
        if not is_holder:
            self.held_buckets = HeldBuckets(FixedTenures(False), self.clock)
            self.held_buckets.apply_configuration(configuration)
            self.held_buckets.settle_revision(1)
        self.holder_buckets.apply_configuration(configuration)
        self.holder_buckets.settle_revision(1)
        self.clock.advance(burst / rate + 10.0)
        self.borrower = AllowanceBorrower(
            BORROWER, self.held_buckets, self, self, self.clock, Random(1)
        )
        self.borrows = []
        self.is_lending = True
        self.tokens = []
        self.dispatched = 0

    def find_holder(self, shard):
        return HOLDER

    def find_successor(self, shard):
        return HOLDER

    async def request_loan(self, holder, borrow, timeout_seconds):
        self.borrows.append(borrow)
        await anyio.sleep(0.001)
        if not self.is_lending:
            return Loan(borrow.request_id, 0, 0.0, 1.0)
        return self.holder_buckets.lend(BORROWER, borrow)

    async def admit(self):
        deadline = self.clock.monotonic_seconds() + 10.0
        return await self.borrower.admit("atlas", deadline)

    async def dispatch(self, token):
        try:
            await token.confirm(self.clock.monotonic_seconds() + 10.0)
        except RefusedError:
            return
        self.dispatched += 1

    async def dispatch_all(self):
        for token in self.tokens:
            await self.dispatch(token)
        self.tokens = []

    def run(self, script):
        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.borrower.run)
                await anyio.sleep(0.0)
                await script()
                tasks.cancel_scope.cancel()

        run_virtual(self.clock, main)


@given("an allowance of {rate:g} a second and a burst of {burst:d}, held by {place}")
def step_impl(context, rate, burst, place):
    context.dispatch = DispatchSubject(rate, burst, place == "this instance")


@when("{count:d} requests are admitted and wait for {seconds:g} seconds")
def step_impl(context, count, seconds):
    subject = context.dispatch

    async def script():
        subject.tokens = [await subject.admit() for _ in range(count)]
        await anyio.sleep(seconds)

    subject.run(script)


@when("they are dispatched and as many others as possible are admitted")
def step_impl(context):
    subject = context.dispatch

    async def script():
        await subject.dispatch_all()
        try:
            while True:
                await subject.dispatch(await subject.admit())
        except RefusedError:
            return

    subject.run(script)


@when("the peer stops lending")
def step_impl(context):
    context.dispatch.is_lending = False


@then("{count:d} requests were dispatched")
def step_impl(context, count):
    assert context.dispatch.dispatched == count, context.dispatch.dispatched


@then("none of them is dispatched")
def step_impl(context):
    subject = context.dispatch
    subject.run(subject.dispatch_all)
    assert subject.dispatched == 0, subject.dispatched


@then("a borrow sent before their dispatch settles no loan")
def step_impl(context):
    assert read_settled_request_id(context.dispatch) == 0


@then("a borrow sent after their dispatch settles the loan")
def step_impl(context):
    subject = context.dispatch
    subject.run(subject.dispatch_all)
    assert read_settled_request_id(subject) > 0


def read_settled_request_id(subject):
    resource = organisation_resource("atlas", 0)
    pool = subject.borrower._pools["organisation/atlas"]
    source = pool.known_sources[resource]
    return pool.settled_request_id(source, subject.clock.monotonic_seconds())
