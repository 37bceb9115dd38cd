import time

from behave import given, then, when

#: Requests in flight at each instance, so that one upstream has slots for all of them.
CALLERS_PER_INSTANCE = 2

WORK_MS = 50.0


@given("upstreams {names} state a rate limit of {limit:d} requests a second")
@when("upstreams {names} state a rate limit of {limit:d} requests a second")
def step_impl(context, names, limit):
    for name in context.fleet.upstream_names:
        limited = name in names.split()
        context.fleet.set_behaviour(
            name, work_ms=WORK_MS, limit_per_second=limit if limited else 0
        )


@when("requests are sent to all instances without a pause for {seconds:d} s")
def step_impl(context, seconds):
    context.started_at = time.time()
    calls = [
        context.callers.call_continuously(
            entry, "cuka-key", seconds, CALLERS_PER_INSTANCE
        )
        for entry in context.fleet.entry_names
    ]
    for workers, _ in calls:
        for worker in workers:
            worker.join()
    context.replies = [reply for _, replies in calls for reply in replies]


@then("upstreams {names} ran at most {count:d} requests in any {seconds:d} s")
def step_impl(context, names, count, seconds):
    for name in names.split():
        started = [r["started_at_seconds"] for r in context.fleet.read_runs(name)]
        peak = max(
            (sum(start <= at < start + seconds for at in started) for start in started),
            default=0,
        )
        assert peak <= count, (name, peak)


@then("at least {count:d} of 100 requests are answered with status 200")
def step_impl(context, count):
    answered = sum(reply.status == 200 for reply in context.replies)
    assert answered * 100 >= count * len(context.replies), (
        answered,
        len(context.replies),
    )
