from behave import given, then, when

from egrethall.admission import (
    MAX_LOAN_SECONDS,
    HeldBuckets,
    organisation_resource,
)
from egrethall.leases import LeaseTenure
from egrethall.types import (
    Borrow,
    BucketState,
    Configuration,
    Handover,
    InstanceId,
    ManualClock,
    Organisation,
    Plan,
    Service,
    Upstream,
)

PEER = InstanceId("peer", 1)
RESOURCE = organisation_resource("atlas", 0)


class HeldBucketsSubject:
    """The buckets of an instance whose single lease the test sets."""

    def __init__(self, plans=(), services=()):
        self.clock = ManualClock()
        self.tenure = None
        self.held_until_seconds = 0.0
        self.held_buckets = HeldBuckets(self, self.clock)
        organisations = tuple(Organisation("atlas", plan.name) for plan in plans)
        self.held_buckets.apply_configuration(
            Configuration(1, 5, organisations, tuple(plans), services)
        )
        self.held_buckets.settle_revision(1)
        self.clock.advance(100.0)

    def is_held(self, shard):
        return self.clock.monotonic_seconds() < self.held_until_seconds

    def remaining_seconds(self, shard):
        return max(0.0, self.held_until_seconds - self.clock.monotonic_seconds())

    def find_tenure(self, shard):
        return self.tenure if self.is_held(shard) else None

    def acquire(self, previous_end_seconds=0.0, length=1000.0):
        number = self.tenure.number + 1 if self.tenure else 1
        now = self.clock.monotonic_seconds()
        self.tenure = LeaseTenure(number, now, previous_end_seconds)
        self.held_until_seconds = now + length

    def borrow(self, request_id, amount, seconds=0.25, settled=0):
        borrow = Borrow(request_id, RESOURCE, amount, 0, settled, seconds)
        return self.held_buckets.lend(PEER, borrow)

    def spend_one(self, resource=RESOURCE):
        """Takes and spends one token; returns whether there was one."""
        token = self.held_buckets.take(resource)
        if token is not None:
            token.spend()
        return token is not None

    def drain(self, resource=RESOURCE):
        """Spends all tokens of the bucket and returns their number."""
        tokens = 0
        while self.spend_one(resource):
            tokens += 1
        return tokens


def subject_with_plan(rate, burst):
    return HeldBucketsSubject([Plan("plan", rate, burst, frozenset())])


@given("a newly held bucket with {rate:g} tokens per second and a burst of {burst:d}")
def step_impl(context, rate, burst):
    context.subject = subject_with_plan(rate, burst)
    context.subject.acquire()


@given(
    "a held bucket with {rate:g} tokens per second and a burst of {burst:d} "
    "that is full"
)
def step_impl(context, rate, burst):
    context.subject = subject_with_plan(rate, burst)
    context.subject.acquire()
    context.subject.clock.advance(burst / rate + 2.0 * MAX_LOAN_SECONDS)


@when("the same borrow of {amount:d} tokens arrives twice")
def step_impl(context, amount):
    context.loans = [context.subject.borrow(1, amount) for _ in range(2)]


@then("only the first gets tokens, and the level is {level:d} with {lent:d} lent")
def step_impl(context, level, lent):
    assert [loan.amount for loan in context.loans] == [lent, 0]
    (state,) = context.subject.held_buckets.export_handover(
        context.subject.held_buckets.find_shard(RESOURCE)
    )
    assert (round(state.level, 6), state.lent) == (level, lent)


@when("borrow 2 arrives before borrow 1")
def step_impl(context):
    context.loans = [context.subject.borrow(number, 3) for number in (2, 1)]


@then("only borrow 2 gets tokens")
def step_impl(context):
    assert [loan.amount for loan in context.loans] == [3, 0]


@when("a peer borrows {amount:d} tokens for {seconds:g} seconds")
def step_impl(context, amount, seconds):
    assert context.subject.borrow(1, amount, seconds).amount == amount


@then("the bucket refills only after the loan has expired")
def step_impl(context):
    context.subject.clock.advance(0.249)
    assert context.subject.drain() == 0
    context.subject.clock.advance(0.201)
    assert context.subject.drain() == 2


@when("it settles that loan {seconds:g} seconds later")
def step_impl(context, seconds):
    context.subject.clock.advance(seconds)
    context.subject.borrow(2, 0, settled=1)


@then("the bucket has 1 token 0.1 seconds after that")
def step_impl(context):
    context.subject.clock.advance(0.1)
    assert context.subject.drain() == 1


@when("a loan expires, another is made, and the settlement of the first arrives")
def step_impl(context):
    subject = context.subject
    subject.borrow(1, 5, 0.1)
    subject.clock.advance(0.15)
    assert subject.borrow(2, 5, 1.0).amount == 5
    subject.borrow(3, 0, settled=1)


@then("the tokens of the newer loan still count as lent")
def step_impl(context):
    shard = context.subject.held_buckets.find_shard(RESOURCE)
    (state,) = context.subject.held_buckets.export_handover(shard)
    assert state.lent == 5


@when("a peer borrows 1 token 0.02 seconds before the lease ends")
def step_impl(context):
    subject = context.subject
    subject.held_until_seconds = subject.clock.monotonic_seconds() + 0.02
    context.loan = subject.borrow(1, 1)


@then("the loan expires before the lease, and nothing is lent after the lease")
def step_impl(context):
    assert context.loan.amount == 1
    assert 0.0 < context.loan.valid_for_seconds < 0.02
    context.subject.clock.advance(0.02)
    loan = context.subject.borrow(2, 1)
    assert (loan.amount, loan.is_holder) == (0, False)
    assert context.subject.drain() == 0


@then(
    "it does not refill for the longest validity of a loan and then refills at its rate"
)
def step_impl(context):
    context.subject.clock.advance(MAX_LOAN_SECONDS)
    assert context.subject.drain() == 0
    context.subject.clock.advance(0.5)
    assert 4 <= context.subject.drain() <= 5


@given(
    "a handed-over bucket of {level:d} tokens with {lent:d} lent, "
    "made {age:g} seconds before the lease"
)
def step_impl(context, level, lent, age):
    context.subject = subject_with_plan(10.0, 10)
    context.acquired_at_seconds = context.subject.clock.monotonic_seconds() + 5.0
    context.created_after_seconds = context.acquired_at_seconds - age
    context.previous_end_seconds = 0.0
    shard = context.subject.held_buckets.find_shard(RESOURCE)
    state = BucketState(RESOURCE, float(level), float(lent), 0.3)
    context.handover = Handover(shard, (state,))


def deliver_handover(context, moment):
    subject = context.subject
    for target, action in sorted(
        [(context.acquired_at_seconds, True), (moment, False)]
    ):
        subject.clock.advance(max(0.0, target - subject.clock.monotonic_seconds()))
        if not action:
            subject.held_buckets.accept_handover(
                context.handover, context.created_after_seconds
            )
        else:
            subject.acquire(context.previous_end_seconds)


@when("the handover arrives {arrival:g} seconds after the lease began")
def step_impl(context, arrival):
    deliver_handover(context, context.acquired_at_seconds + arrival)


@then("the bucket has {level:d} tokens right after that")
def step_impl(context, level):
    assert context.subject.drain() == level


@when("the handover arrives, 5 tokens are used, and it arrives again")
def step_impl(context):
    deliver_handover(context, context.acquired_at_seconds + 0.1)
    assert all(context.subject.spend_one() for _ in range(5))
    context.subject.held_buckets.accept_handover(
        context.handover, context.created_after_seconds
    )


@when("the instance held the shard itself 0.3 seconds before the lease")
def step_impl(context):
    context.previous_end_seconds = context.acquired_at_seconds - 0.3


@when("it is handed over with 4 tokens lent")
def step_impl(context):
    subject = context.subject
    subject.borrow(1, 4)
    context.states = subject.held_buckets.export_handover(
        subject.held_buckets.find_shard(RESOURCE)
    )


@then("the state says {level:d} tokens and {lent:d} lent")
def step_impl(context, level, lent):
    (state,) = context.states
    assert (state.resource, round(state.level, 6), state.lent) == (
        RESOURCE,
        level,
        lent,
    )
    assert 0.0 < state.lent_for_seconds <= 0.25


@then("the instance takes and lends nothing although the lease still runs")
def step_impl(context):
    assert context.subject.drain() == 0
    assert context.subject.borrow(2, 1).amount == 0
    context.subject.clock.advance(50.0)
    assert context.subject.drain() == 0


@given(
    "an upstream with a cold rate of {rate:g} and a burst of {burst:d} "
    "whose shard is held"
)
def step_impl(context, rate, burst):
    upstream = Upstream("lookup-1", "127.0.0.1:9001", "a", 6, 200, rate, burst)
    service = Service("lookup", 1000, 1000, 10, (), (upstream,))
    context.subject = HeldBucketsSubject(services=(service,))
    context.subject.acquire()
    context.subject.clock.advance(10.0)


@when("its rate is set to {rate:g}")
def step_impl(context, rate):
    context.subject.held_buckets.set_upstream_rate("lookup-1", rate)


def measure_tokens_per_second(subject):
    subject.drain("upstream/lookup-1")
    tokens = 0
    for _ in range(200):
        subject.clock.advance(0.01)
        tokens += subject.drain("upstream/lookup-1")
    return tokens / 2.0


@then("it gets {rate:d} tokens per second")
def step_impl(context, rate):
    assert abs(measure_tokens_per_second(context.subject) - rate) <= 0.5


@then("after another acquisition it gets {rate:d} tokens per second")
def step_impl(context, rate):
    context.subject.acquire()
    context.subject.clock.advance(10.0)
    assert abs(measure_tokens_per_second(context.subject) - rate) <= 0.5
