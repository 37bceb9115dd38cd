from random import Random

from behave import given, then, use_step_matcher, when

from egrethall.admission.tests.allowance_run import AllowanceRun
from egrethall.leases import CLOCK_DRIFT_RATIO

use_step_matcher("parse")


@given("a fleet of {count:d} instances with seed {seed:d}")
def step_impl(context, count, seed):
    context.run = AllowanceRun(count, seed)
    context.sent_per_second = {}


use_step_matcher("re")


@given(
    r'"(?P<name>\w+)" may send (?P<rate>[\d.]+) per second with a burst of '
    r"(?P<burst>\d+) and sends (?P<sent>[\d.]+) for (?P<length>\d+) seconds"
    r"(?: at (?P<count>\d+) instances)?(?P<uneven> unevenly)?"
)
def step_impl(context, name, rate, burst, sent, length, count, uneven):
    run = context.run
    entries = run.uneven_weights() if uneven else run.even_weights()
    if count:
        entries = dict.fromkeys(run.names[: int(count)], 1.0)
    run.add_organisation(name, float(rate), int(burst))
    context.sent_per_second[name] = float(sent)
    context.length = int(length)
    run.add_traffic(name, float(sent), 0.0, context.length, entries)


@then(
    r'(?:each organisation|"(?P<name>\w+)") lost under (?P<percent>[\d.]+) percent '
    r"to wrongful refusals"
)
def step_impl(context, name, percent):
    names = [name] if name else list(context.sent_per_second)
    shares = {name: context.run.wrongful_refusal_ratio(name) for name in names}
    assert all(share < float(percent) / 100.0 for share in shares.values()), shares


use_step_matcher("parse")


@when("the fleet runs")
def step_impl(context):
    context.run.run(context.length)


@when('the holder of "{name}" is paused from second {start:g} to second {end:g}')
def step_impl(context, name, start, end):
    run = context.run
    paused = []

    def pause():
        holder = run.find_holder(name)
        holder.pause()
        paused.append(holder)

    def resume():
        (holder,) = paused
        context.resumed_holder_tokens = sum(
            holder.held_buckets.take(resource) is not None
            for resource in holder.held_buckets.limits.resources()
        )
        context.resumed_holder_shards = holder.table.held_shards()
        holder.paused = False
        for _ in range(20):
            run.fleet.offer(holder.instance.name, name)
        holder.resume()

    context.gap = (name, start, end)
    run.schedule(start, pause)
    run.schedule(end, resume)
    run.run(context.length)


@then("the resumed holder held no shard and no token before it heard from its peers")
def step_impl(context):
    assert context.resumed_holder_shards == 0, f"{context.resumed_holder_shards:b}"
    assert context.resumed_holder_tokens == 0, context.resumed_holder_tokens


@then('"{name}" was served again at most {limit:g} seconds after the pause began')
def step_impl(context, name, limit):
    _, start, end = context.gap
    gap = context.run.longest_gap_seconds(name, start, end)
    assert gap <= limit, gap


@then('"{name}" was served again at most {limit:g} seconds after second {moment:g}')
def step_impl(context, name, limit, moment):
    admitted = context.run.admitted_at_seconds(name, moment + 0.1)
    gap = min(admitted) - context.run.start - moment
    assert gap <= limit, gap


@when(
    "each half of the fleet lists only itself from second {start:g} to second {end:g}"
)
def step_impl(context, start, end):
    run = context.run
    halves = run.names[::2], run.names[1::2]

    def split():
        for member in run.fleet.members:
            other = halves[member.instance.name in halves[0]]
            member.unlisted = frozenset(other)

    def join():
        for member in run.fleet.members:
            member.unlisted = frozenset()

    run.schedule(start, split)
    run.schedule(end, join)
    run.run(context.length)


@when(
    "a partition leaves {count:d} instances on one side "
    "from second {start:g} to second {end:g}"
)
def step_impl(context, count, start, end):
    run = context.run
    names = Random(run.seed).sample(run.names, len(run.names))
    context.sides = set(names[:count]), set(names[count:])
    sides = {name: int(name in context.sides[1]) for name in names}
    run.schedule(start, lambda: run.fleet.carrier.cut(sides))
    run.schedule(end, run.fleet.carrier.heal)
    run.run(context.length)


@when(
    'the holder of "{name}" is cut off '
    "while the last 3 voters that it could reach restart"
)
def step_impl(context, name):
    run = context.run
    voters = []

    def cut_off_last_voters():
        holder = run.find_holder(name).instance.name
        others = [other for other in run.names if other != holder]
        voters.extend(others[:3])
        run.fleet.carrier.cut(dict.fromkeys(others[3:], 1))

    def cut_holder_off():
        holder = run.find_holder(name).instance.name
        run.fleet.carrier.cut({holder: 1})
        for voter in voters:
            run.fleet.stop(run.fleet.find_by_name(voter))
            run.fleet.start(voter)

    run.schedule(1.0, cut_off_last_voters)
    run.schedule(6.0, cut_holder_off)
    run.run(context.length)


def find_outcomes(context, entries, start, end):
    run = context.run
    return [
        outcome
        for outcome in run.fleet.outcomes
        if outcome.entry in entries
        and start <= outcome.ended_at_seconds - run.start < end
    ]


@then(
    'the {count:d} instances admitted most of the rate of "{name}" '
    "from second {start:g} to second {end:g}"
)
def step_impl(context, count, name, start, end):
    outcomes = find_outcomes(context, context.sides[0], start, end)
    admitted = sum(not outcome.refusal for outcome in outcomes)
    rate = context.run.plans[name].rate_per_second
    assert admitted >= 0.9 * rate * (end - start), (admitted, len(outcomes))


@then(
    'the other side refused all requests with "{code}" '
    "from second {start:g} to second {end:g}"
)
def step_impl(context, code, start, end):
    outcomes = find_outcomes(context, context.sides[1], start, end)
    assert {outcome.refusal for outcome in outcomes} == {code}


@then("no side admitted a request from second {start:g} to second {end:g}")
def step_impl(context, start, end):
    outcomes = find_outcomes(context, context.run.names, start, end)
    assert outcomes
    assert all(outcome.refusal for outcome in outcomes)


@when('the holder of "{name}" is replaced at second {moment:g} after it was {way}')
def step_impl(context, name, moment, way):
    run = context.run
    replaced = []

    def remove_holder():
        holder = run.find_holder(name)
        replaced.append(holder.instance.name)
        if way == "killed":
            run.fleet.stop(holder)
            return
        holder.leave()
        run.leaving_holder = holder

    def stop():
        if way == "stopped":
            run.fleet.stop(run.leaving_holder)

    run.schedule(moment, remove_holder)
    run.schedule(moment + 1.0, stop)
    run.schedule(moment + 3.0, lambda: run.fleet.start(replaced[0]))
    run.run(context.length)


@then("all organisations together lost under {percent:g} percent to wrongful refusals")
def step_impl(context, percent):
    run = context.run
    total = sum(context.sent_per_second.values())
    share = sum(
        run.wrongful_refusal_ratio(name) * sent / total
        for name, sent in context.sent_per_second.items()
    )
    assert share < percent / 100.0, share


@when("all instances are restarted at second {moment:g}")
def step_impl(context, moment):
    run = context.run

    def restart():
        for member in list(run.fleet.members):
            run.fleet.stop(member)
        for name in run.names:
            run.fleet.start(name)

    run.schedule(moment, restart)
    run.run(context.length)


def run_plan_change(context, rate, burst, start, choose_delays, spread):
    run = context.run

    def change():
        run.change_plan("atlas", rate, burst, choose_delays(run), spread)

    run.schedule(start, change)
    run.run(context.length)


@when(
    "its plan becomes {rate:g} per second with a burst of {burst:d} "
    "from second {start:g} to {end:g}, last at holders of {kind}"
)
def step_impl(context, rate, burst, start, end, kind):
    def choose_delays(run):
        first, *others = run.find_bucket_holders("atlas")
        late = {"the first bucket": [first], "a bucket": [first, *others]}.get(
            kind, others or [first]
        )
        return {name: end - start if name in late else 0.0 for name in run.names}

    run_plan_change(context, rate, burst, start, choose_delays, end - start)


@when(
    "its plan becomes {rate:g} per second with a burst of {burst:d} "
    "at second {start:g}, which no holder of its buckets receives"
)
def step_impl(context, rate, burst, start):
    def choose_delays(run):
        late = run.find_bucket_holders("atlas")
        assert len(run.names) - len(late) > len(run.names) // 2, late
        return {name: 0.0 for name in run.names if name not in late}

    run_plan_change(context, rate, burst, start, choose_delays, 0.0)


@when(
    "its burst is {burst:d} from second {start:g}, and {old:d} again {gap:g} seconds "
    "later, and the first holder receives only the last"
)
def step_impl(context, burst, start, old, gap):
    run = context.run
    first = []

    def raise_burst():
        first.append(run.find_bucket_holders("atlas")[0])
        delays = {name: 0.0 for name in run.names if name not in first}
        run.change_plan("atlas", 80.0, burst, delays, 0.0)

    def lower_burst():
        delays = {name: 0.0 if name in first else 4.0 for name in run.names}
        run.change_plan("atlas", 80.0, old, delays, 4.0)

    run.schedule(start, raise_burst)
    run.schedule(start + gap, lower_burst)
    run.run(context.length)


@then(
    '"{name}" was admitted most of {rate:g} per second '
    "from second {start:g} to second {end:g}"
)
def step_impl(context, name, rate, start, end):
    admitted = len(context.run.admitted_at_seconds(name, start, end))
    assert admitted >= 0.9 * rate * (end - start), admitted


@then("no organisation got more than an exact bucket allows")
def step_impl(context):
    excess = {
        name: context.run.excess_requests(name) for name in context.sent_per_second
    }
    assert not any(excess.values()), excess
    assert all(
        context.run.admitted_at_seconds(name) for name in context.sent_per_second
    )


@then("no organisation got more than an exact bucket allows by the fastest clock")
def step_impl(context):
    fastest = max(context.run.clock_rates.values())
    excess = {
        name: context.run.excess_requests(name, fastest)
        for name in context.sent_per_second
    }
    assert not any(excess.values()), excess
    assert all(
        context.run.admitted_at_seconds(name) for name in context.sent_per_second
    )


@then("no shard had two holders")
def step_impl(context):
    assert context.run.shared_shard_count == 0, context.run.shared_shard_count


@then('"{name}" got at least {percent:g} percent of its allowance')
def step_impl(context, name, percent):
    plan = context.run.plans[name]
    allowance = plan.burst + plan.rate_per_second * context.length
    admitted = len(context.run.admitted_at_seconds(name))
    assert admitted >= allowance * percent / 100.0, (admitted, allowance)


@then("no request waited longer than {limit:d} milliseconds")
def step_impl(context, limit):
    waited = context.run.longest_wait_seconds()
    assert waited <= limit / 1000.0 + 1e-6, waited


@then("at four times that load it borrows at most {ratio:g} times as often")
def step_impl(context, ratio):
    run = context.run
    again = AllowanceRun(len(run.names), run.seed)
    for name, plan in run.plans.items():
        again.add_organisation(name, plan.rate_per_second, plan.burst)
        sent = 4 * context.sent_per_second[name]
        again.add_traffic(name, sent, 0.0, context.length, again.even_weights())
    again.run(context.length)
    borrows = [each.fleet.carrier.counts["Borrow"] for each in (run, again)]
    assert borrows[1] <= ratio * borrows[0], borrows


@when("messages are lost, repeated and delayed, clocks drift, and random faults occur")
def step_impl(context):
    run = context.run
    random = Random(run.seed)
    carrier = run.fleet.carrier
    carrier.lost_share = 0.03
    carrier.repeated_share = 0.05
    carrier.late_share = 0.03
    carrier.max_late_seconds = 3.0
    half = CLOCK_DRIFT_RATIO / 2.01
    run.clock_rates = {
        name: random.uniform(1.0 - half, 1.0 + half) for name in run.names
    }
    moment = 1.0
    while moment < context.length:
        run.schedule(moment, FaultInjection(run, random, context.length, moment).strike)
        moment += random.uniform(1.0, 4.0)
    run.run(context.length)


class FaultInjection:
    """One random fault that starts at a given moment and ends after a pause."""

    def __init__(self, run, random, length, moment):
        self.run = run
        self.random = random
        self.pause_seconds = random.choice([0.05, 0.7, 2.1, 10.0])
        self.kind = random.choice(
            ["pause", "kill", "leave", "cut", "views", "plan", "restart"]
        )
        run.schedule(moment + self.pause_seconds, self.end)
        self.member = None

    def strike(self):
        members = [m for m in self.run.fleet.members if not m.paused and not m.leaving]
        if not members:
            return
        self.member = self.random.choice(members)
        getattr(self, f"strike_{self.kind}")()

    def strike_pause(self):
        self.member.pause()

    def strike_kill(self):
        self.run.fleet.stop(self.member)

    def strike_leave(self):
        self.member.leave()

    def strike_cut(self):
        names = self.run.names
        self.run.fleet.carrier.cut({name: self.random.getrandbits(1) for name in names})

    def strike_views(self):
        hidden = self.random.sample(self.run.names, 3)
        self.member.unlisted = frozenset(hidden)

    def strike_plan(self):
        # At most two revisions overlap, as when operators publish them.
        if self.run.fleet.clock.monotonic_seconds() < getattr(
            self.run, "next_plan_change_at_seconds", 0.0
        ):
            return
        self.run.next_plan_change_at_seconds = (
            self.run.fleet.clock.monotonic_seconds() + 8.0
        )
        rate, burst = self.random.choice([(40, 40), (20, 20), (60, 100), (40, 130)])
        delays = {name: self.random.uniform(0.0, 2.0) for name in self.run.names}
        self.run.change_plan("atlas", rate, burst, delays, 2.0)

    def strike_restart(self):
        if self.random.random() < 0.3:
            for member in list(self.run.fleet.members):
                self.run.fleet.stop(member)
                self.run.fleet.start(
                    member.instance.name, self.run.clock_rates[member.instance.name]
                )

    def end(self):
        self.run.fleet.carrier.heal()
        if self.member is None:
            return
        self.member.unlisted = frozenset()
        name = self.member.instance.name
        if self.member.paused and not self.member.stopped:
            self.member.resume()
        elif self.kind in ("kill", "leave") and self.member in self.run.fleet.members:
            self.run.fleet.stop(self.member)
        if self.kind in ("kill", "leave") and self.run.fleet.find_by_name(name) is None:
            self.run.fleet.start(name, self.run.clock_rates[name])
