from random import Random

import anyio
from behave import given, then, use_step_matcher, when

from egrethall.admission import AllowanceBorrower, HeldBuckets, organisation_resource
from egrethall.leases import shard_of
from egrethall.types import (
    Configuration,
    InstanceId,
    Loan,
    ManualClock,
    Organisation,
    PeerUnavailableError,
    Plan,
    RefusedError,
    Service,
    Upstream,
)
from standins.allowance_fleet import run_virtual

BORROWER = InstanceId("me", 1)
HOLDER = InstanceId("holder", 1)
UNRESPONSIVE = InstanceId("silent", 1)


class BorrowerSubject:
    """A borrower whose bucket holders answer as the test sets."""

    def __init__(self, burst=20):
        self.clock = ManualClock()
        plan = Plan("plan", 10.0, burst, frozenset())
        upstream = Upstream("lookup-1", "127.0.0.1:9001", "a", 6, 200, 5.0, 1)
        service = Service("lookup", 1000, 1000, 10, (), (upstream,))
        self.held_buckets = HeldBuckets(self, self.clock)
        self.held_buckets.apply_configuration(
            Configuration(1, 5, (Organisation("atlas", "plan"),), (plan,), (service,))
        )
        self.held_buckets.settle_revision(1)
        self.borrower = AllowanceBorrower(
            BORROWER, self.held_buckets, self, self, self.clock, Random(1)
        )
        self.answer = (0, 0.0, 0.0, True)
        self.delay_seconds = 0.001
        self.unresponsive_shards = set()
        self.borrows = []
        self.results = []

    def is_held(self, shard):
        return False

    def remaining_seconds(self, shard):
        return 0.0

    def find_tenure(self, shard):
        return None

    def find_holder(self, shard):
        return UNRESPONSIVE if shard in self.unresponsive_shards else HOLDER

    def find_successor(self, shard):
        return self.find_holder(shard)

    async def request_loan(self, holder, borrow, timeout_seconds):
        self.borrows.append(borrow)
        if holder == UNRESPONSIVE:
            await anyio.sleep(timeout_seconds)
            raise PeerUnavailableError("silent")
        await anyio.sleep(self.delay_seconds)
        amount, valid, retry, is_holder = self.answer
        return Loan(borrow.request_id, amount, valid, retry, is_holder)

    async def call(self, organisation="atlas", left=2.0):
        started = self.clock.monotonic_seconds()
        refusal = None
        try:
            token = await self.borrower.admit(organisation, started + left)
            await token.confirm(started + left)
        except RefusedError as error:
            refusal = error.refusal
        self.results.append((refusal, self.clock.monotonic_seconds() - started))

    def run(self, script):
        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.borrower.run)
                await anyio.sleep(0.0)
                await script(tasks)
                tasks.cancel_scope.cancel()

        run_virtual(self.clock, main)

    def refusals(self):
        return [refusal for refusal, _ in self.results if refusal is not None]


use_step_matcher("re")


@given(
    r"a borrower with one bucket whose holder lends (?P<amount>\d+) tokens?"
    r"(?: for (?P<valid>[\d.]+) seconds)?(?: after (?P<delay>\d+) milliseconds)?"
)
def step_impl(context, amount, valid, delay):
    context.subject = BorrowerSubject()
    context.subject.answer = (int(amount), float(valid or 0.5), 0.0, True)
    context.subject.delay_seconds = float(delay or 1) / 1000.0


@then(r"(?P<count>\d+) are admitted with (?P<bound>at most )?(?P<borrows>\d+) borrows")
def step_impl(context, count, bound, borrows):
    assert len(context.subject.results) == int(count)
    assert not context.subject.refusals()
    sent = len(context.subject.borrows)
    assert sent <= int(borrows) if bound else sent == int(borrows), sent


@then(
    r'(?P<who>it|the next request) is refused with "(?P<code>[\w-]+)" '
    r"after (?P<bound>less than )?(?P<wait>\d+) milliseconds"
)
def step_impl(context, who, code, bound, wait):
    if who != "it":
        context.subject.run(lambda tasks: context.subject.call())
    refusal, waited = context.subject.results[-1]
    assert refusal.reason.code == code
    limit = int(wait) / 1000.0
    assert waited < limit if bound else abs(waited - limit) < 1e-6, waited


use_step_matcher("parse")


@given("a borrower with one bucket whose holder never answers")
def step_impl(context):
    context.subject = BorrowerSubject()
    context.subject.unresponsive_shards = set(range(64))


@given("a borrower with two buckets of which one holder never answers")
def step_impl(context):
    context.subject = BorrowerSubject(burst=32)
    context.subject.answer = (1, 0.5, 0.0, True)
    # The borrower's random start index makes it borrow from this bucket first.
    resources = [organisation_resource("atlas", index) for index in range(2)]
    first = resources[Random(1).getrandbits(8) % 2]
    context.subject.unresponsive_shards = {shard_of(first)}


@given("a borrower with one bucket whose holder has no token for {seconds:g} seconds")
def step_impl(context, seconds):
    context.subject = BorrowerSubject()
    context.subject.answer = (0, 0.1, seconds, True)


@given("a borrower with one bucket whose supposed holder reports not to hold it")
def step_impl(context):
    context.subject = BorrowerSubject()
    context.subject.answer = (0, 0.0, 0.0, False)


@when("a request arrives")
def step_impl(context):
    context.subject.run(lambda tasks: context.subject.call())


@when("a request with {left:d} milliseconds left arrives")
def step_impl(context, left):
    context.subject.run(lambda tasks: context.subject.call(left=left / 1000.0))


@when("a request of an unknown organisation arrives")
def step_impl(context):
    context.subject.run(lambda tasks: context.subject.call("nobody"))


@when("{count:d} requests arrive one after the other")
def step_impl(context, count):
    async def script(tasks):
        for _ in range(count):
            await context.subject.call()

    context.subject.run(script)


@when("{count:d} requests arrive within {seconds:g} seconds")
def step_impl(context, count, seconds):
    async def script(tasks):
        for _ in range(count):
            await context.subject.call()
            await anyio.sleep(seconds / count)

    context.subject.run(script)


@when("{count:d} requests arrive at once")
def step_impl(context, count):
    async def script(tasks):
        for _ in range(count):
            tasks.start_soon(context.subject.call)
        await anyio.sleep(0.1)

    context.subject.run(script)


@when("2 requests arrive at once and the first caller is cancelled")
def step_impl(context):
    subject = context.subject

    async def script(tasks):
        async def first():
            with anyio.move_on_after(0.005):
                await subject.call()

        tasks.start_soon(first)
        await anyio.sleep(0.001)
        tasks.start_soon(subject.call)
        await anyio.sleep(0.1)

    subject.run(script)


@when("a request arrives and the process pauses for {seconds:g} seconds")
def step_impl(context, seconds):
    async def script(tasks):
        await context.subject.call()
        context.subject.clock.advance(seconds)
        await context.subject.call()

    context.subject.run(script)


@when("{count:d} tokens of the upstream are taken")
def step_impl(context, count):
    async def script(tasks):
        for _ in range(count):
            deadline = context.subject.clock.monotonic_seconds() + 1.0
            assert await context.subject.borrower.take_token("lookup-1", deadline)

    context.subject.run(script)


@then("each was borrowed separately")
def step_impl(context):
    assert [borrow.amount for borrow in context.subject.borrows] == [1, 1, 1]


@then("the other request is admitted")
def step_impl(context):
    ((refusal, waited),) = context.subject.results
    assert refusal is None
    assert waited < 0.05


@then("it is admitted within {limit:d} milliseconds")
def step_impl(context, limit):
    ((refusal, waited),) = context.subject.results
    assert refusal is None
    assert waited <= limit / 1000.0


@then("it is refused")
def step_impl(context):
    assert len(context.subject.refusals()) == 1


@then('all are refused with "{code}" after 1 borrow, with the time until the retry')
def step_impl(context, code):
    subject = context.subject
    assert {refusal.reason.code for refusal in subject.refusals()} == {code}
    assert len(subject.refusals()) == len(subject.results)
    assert len(subject.borrows) == 1
    waits = [refusal.retry_after_seconds for refusal in subject.refusals()]
    assert waits == sorted(waits, reverse=True)
    assert 0.0 < waits[-1] < waits[0] <= 0.4


@then("a request after 0.4 seconds leads to another borrow")
def step_impl(context):
    context.subject.clock.advance(0.4)
    context.subject.run(lambda tasks: context.subject.call())
    assert len(context.subject.borrows) == 2


@then("the next request leads to another borrow")
def step_impl(context):
    assert len(context.subject.borrows) == 2


@then("the second borrow settles the first loan and reports 3 spent tokens")
def step_impl(context):
    first, second = context.subject.borrows
    assert second.settled_request_id == first.request_id
    assert second.spent == 3


@when("a request arrives and the shard has a holder after {wait:d} milliseconds")
def step_impl(context, wait):
    subject = context.subject

    async def script(tasks):
        tasks.start_soon(subject.call)
        await anyio.sleep(wait / 1000.0)
        subject.answer = (1, 0.5, 0.0, True)
        await anyio.sleep(1.0)

    subject.run(script)


@then("at most {count:d} borrows were sent")
def step_impl(context, count):
    assert len(context.subject.borrows) <= count, len(context.subject.borrows)
