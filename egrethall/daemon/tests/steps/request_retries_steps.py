import itertools
import time
from collections import Counter

from behave import given, then, when

from egrethall.daemon.tests.request_fleet import FleetPlan, ServicePlan, share_fleet

LOOKUP = ServicePlan("lookup", 6, {"slots": 16, "work_ms": 10.0})
PLANS = {"retries": FleetPlan((LOOKUP,))}

#: Share of an instance's calls that may be sent again (section 5.7).
BUDGET_RATIO = 0.1

#: Difference of two readings of the time by processes of a busy machine.
CLOCK_MARGIN_MS = 20


class RetrySubject:
    """GETs under faults, and how often each ran."""

    def __init__(self, fleet):
        self.fleet = fleet

    def send(self, count, seconds):
        calls = self.fleet.plan_calls(count, "/lookup/{n}", count / seconds)
        self.answers = self.fleet.run(calls)
        self.fleet.links.heal()
        time.sleep(0.3)
        self.ledger = self.fleet.assert_truthful(self.answers)

    def find_runs(self):
        return [self.ledger.find_runs(answer.call.echo) for answer in self.answers]

    def find_busiest(self):
        """Returns the upstream that ran most of the GETs sent last.

        An instance may send none of a few hundred GETs to a given upstream.
        """
        runs = itertools.chain.from_iterable(self.find_runs())
        ((name, _),) = Counter(run["upstream"] for run in runs).most_common(1)
        return name

    def find_repeated(self):
        return [
            answer
            for answer in self.answers
            if len(self.ledger.find_runs(answer.call.echo)) > 1
        ]

    def check_budget(self):
        # Whatever was saved before is a tenth of earlier calls, of which the fleet
        # repeated some.
        repeated = Counter(answer.call.instance for answer in self.find_repeated())
        for name, count in repeated.items():
            own = sum(answer.call.instance == name for answer in self.answers)
            saved = 10
            assert count <= BUDGET_RATIO * own + saved, f"{name}: {count} of {own}"
        return sum(repeated.values())


@given('the fleet "retries" serves idempotent requests')
def step_impl(context):
    fleet = share_fleet(context, "retries", PLANS)
    fleet.recover("lookup")
    context.subject = RetrySubject(fleet)


@when('{count:d} GETs are sent in {seconds:d} seconds while "{name}" loses each answer')
def step_impl(context, count, seconds, name):
    context.subject.fleet.links.set_faults(name, cut_after_bytes=0)
    context.subject.send(count, seconds)


@when(
    "{count:d} GETs are sent in {n:d} seconds while the upstream with most runs"
    " loses each answer"
)
def step_impl(context, count, n):
    name = context.subject.find_busiest()
    context.subject.fleet.links.set_faults(name, cut_after_bytes=0)
    context.subject.send(count, n)


@when(
    "{count:d} GETs are sent in {n:d} seconds while the upstream with most runs"
    " is {ms:d} ms slower"
)
def step_impl(context, count, n, ms):
    name = context.subject.find_busiest()
    # Only answers are late, so that each first attempt has run when it is given up.
    context.subject.fleet.links.set_faults(name, answer_delay_seconds=ms / 1000)
    context.subject.send(count, n)


@given("{count:d} GETs were sent in {seconds:d} seconds without faults")
@when("{count:d} GETs are sent in {seconds:d} seconds without faults")
def step_impl(context, count, seconds):
    context.subject.send(count, seconds)


@then("no GET ran more than twice")
def step_impl(context):
    assert all(len(runs) <= 2 for runs in context.subject.find_runs())


@then("some GETs ran twice, at most the budget of each instance")
def step_impl(context):
    assert context.subject.check_budget() > 0


@then("at most the budget of each instance ran twice")
def step_impl(context):
    context.subject.check_budget()


@then("the second run of a GET has less time left than the first")
def step_impl(context):
    for runs in context.subject.find_runs():
        if len(runs) < 2:
            continue
        first, second = runs
        passed = second["started_at_seconds"] - first["started_at_seconds"]
        left = int(first["timeout_ms"]) - passed * 1000
        assert int(second["timeout_ms"]) <= left + CLOCK_MARGIN_MS, str(runs)


@then('every GET that ran is answered with status {status:d} and run "{run}"')
def step_impl(context, status, run):
    for answer in context.subject.answers:
        if context.subject.ledger.find_runs(answer.call.echo):
            assert (answer.status, answer.run) == (status, run), str(answer)


@then("the runs of a GET differ in the time left")
def step_impl(context):
    # Each attempt is told the time that is left when it is sent.
    for runs in context.subject.find_runs():
        left = {run["timeout_ms"] for run in runs}
        assert len(left) == len(runs), str(runs)


@then("every GET is answered whole")
def step_impl(context):
    context.subject.fleet.assert_served(context.subject.answers)


@then("every run began with at most {most:d} ms left")
def step_impl(context, most):
    for runs in context.subject.find_runs():
        for run in runs:
            assert 0 < int(run["timeout_ms"]) <= most, str(run)
