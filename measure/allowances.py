"""Measures three ways to share an allowance on the same seeded traffic.

Run as ``python -m measure.allowances``; prints one line of key=value pairs for each
scenario, way and seed.
"""

import argparse
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from functools import partial
from random import Random

from egrethall.leases import LEASE_SECONDS, choose_holder, shard_of
from egrethall.types import Configuration, InstanceId, Organisation, Plan
from standins.allowance_fleet import AllowanceFleet
from standins.exact_bucket import (
    ExactBucket,
    LimitPeriod,
    Outcome,
    compare_outcomes,
    count_excess,
)

INSTANCES = 18
NAMES = tuple(f"entry-{number}" for number in range(INSTANCES))

#: Time from the start of the fleet to the traffic; all buckets are full after it.
WARM_UP_SECONDS = 20.0

#: Time between the loss of an instance and the start of its replacement.
REPLACEMENT_SECONDS = 3.0

#: Validity of a grant in the way with one owner per organisation.
GRANT_SECONDS = 1.0

#: Time after which an instance that has used up its grant asks for another.
GRANT_RETRY_SECONDS = 0.1

#: Surplus over the last period's demand that an owner's grant covers.
GRANT_SURPLUS = 1.2


@dataclass(frozen=True)
class Offer:
    """The traffic of one organisation."""

    plan: Plan
    requests_per_second: float
    #: Weight of each entry instance.
    weights: tuple[float, ...]


@dataclass(frozen=True)
class Scenario:
    """Traffic and faults of one measurement."""

    name: str
    length_seconds: float
    offers: tuple[Offer, ...]
    #: Time at which an instance is killed, None for no fault.
    killed_at_seconds: float | None = None


@dataclass(frozen=True)
class Arrival:
    """One request of the seeded traffic."""

    at_seconds: float
    organisation: str
    entry: str


@dataclass(frozen=True)
class WayResult:
    """The outcomes of one way, with times from the start of the traffic."""

    outcomes: list[Outcome]
    allowance_messages: int
    lease_messages: int


def make_plan(name: str, rate_per_second: float, burst: int) -> Plan:
    """Returns the plan of the organisation that has the same name."""
    return Plan(name, rate_per_second, burst, frozenset())


EVEN = (1.0,) * INSTANCES
UNEVEN = tuple(1.0 / (rank + 1) for rank in range(INSTANCES))
TWO_ENTRIES = (1.0, 1.0) + (0.0,) * (INSTANCES - 2)

LARGE = make_plan("large", 200.0, 100)
MEDIUM = make_plan("medium", 50.0, 40)
SMALL = make_plan("small", 5.0, 10)
TINY = make_plan("tiny", 0.5, 3)

STEADY = (
    Offer(LARGE, 170.0, UNEVEN),
    Offer(MEDIUM, 42.0, UNEVEN),
    Offer(SMALL, 3.5, EVEN),
    Offer(TINY, 0.3, EVEN),
)

SCENARIOS = (
    Scenario("steady-uneven", 60.0, STEADY),
    Scenario(
        "two-entries", 30.0, (Offer(LARGE, 170.0, TWO_ENTRIES), Offer(TINY, 0.3, EVEN))
    ),
    Scenario("instance-killed", 60.0, STEADY, killed_at_seconds=10.0),
    Scenario(
        "overload", 60.0, (Offer(LARGE, 1000.0, UNEVEN), Offer(MEDIUM, 42.0, UNEVEN))
    ),
)


def make_traffic(scenario: Scenario, seed: int) -> tuple[list[Arrival], str | None]:
    """Returns the arrivals, and the name of the instance that is killed."""
    random = Random(seed)
    arrivals = []
    for offer in scenario.offers:
        moment = random.expovariate(offer.requests_per_second)
        while moment < scenario.length_seconds:
            (entry,) = random.choices(NAMES, offer.weights)
            arrivals.append(Arrival(moment, offer.plan.name, entry))
            moment += random.expovariate(offer.requests_per_second)
    arrivals.sort(key=lambda arrival: arrival.at_seconds)
    killed_at = scenario.killed_at_seconds
    if killed_at is None:
        return arrivals, None
    killed = random.choice(NAMES)
    # The platform's balancer sends the callers of a lost instance to another one.
    others = [name for name in NAMES if name != killed]
    gap = killed_at, killed_at + REPLACEMENT_SECONDS
    return [
        Arrival(a.at_seconds, a.organisation, random.choice(others))
        if a.entry == killed and gap[0] <= a.at_seconds < gap[1]
        else a
        for a in arrivals
    ], killed


def run_static_shares(
    scenario: Scenario, arrivals: list[Arrival], killed: str | None, seed: int
) -> WayResult:
    """Gives each instance an equal part of rate and burst, and at least one token."""
    plans = {offer.plan.name: offer.plan for offer in scenario.offers}
    buckets: dict[tuple[str, str], ExactBucket] = {}
    outcomes = []
    replaced = False
    replaced_at = (scenario.killed_at_seconds or 0.0) + REPLACEMENT_SECONDS
    for arrival in arrivals:
        if killed is not None and not replaced and arrival.at_seconds >= replaced_at:
            replaced = True
            buckets = {key: b for key, b in buckets.items() if key[0] != killed}
        key = arrival.entry, arrival.organisation
        plan = plans[arrival.organisation]
        if key not in buckets:
            buckets[key] = ExactBucket(
                plan.rate_per_second / INSTANCES,
                max(1.0, plan.burst / INSTANCES),
                0.0 if not replaced else arrival.at_seconds,
            )
        admitted = buckets[key].take(arrival.at_seconds)
        outcomes.append(_outcome(arrival, admitted))
    return WayResult(outcomes, 0, 0)


def run_owner_grants(
    scenario: Scenario, arrivals: list[Arrival], killed: str | None, seed: int
) -> WayResult:
    """Lets one owner per organisation grant tokens for a period to each instance.

    An instance asks for a surplus over its demand in the last period. It asks again
    when the grant has ended, or was used up and some time has passed. Unused tokens are
    lost at the end of the period.
    """
    plans = {offer.plan.name: offer.plan for offer in scenario.offers}
    owners = {
        name: ExactBucket(p.rate_per_second, p.burst, 0.0) for name, p in plans.items()
    }
    members = [InstanceId(name, 0) for name in NAMES]
    grants: dict[tuple[str, str], list[float]] = {}
    outcomes = []
    messages = 0
    killed_at = scenario.killed_at_seconds
    lost = {
        name
        for name in plans
        if choose_holder(shard_of(f"organisation/{name}/0"), members)
        == InstanceId(killed or "", 0)
    }
    for arrival in arrivals:
        now, name = arrival.at_seconds, arrival.organisation
        ownerless = (
            killed_at is not None
            and name in lost
            and killed_at <= now < killed_at + LEASE_SECONDS
        )
        if name in lost and killed_at is not None and now >= killed_at + LEASE_SECONDS:
            lost.discard(name)
            plan = plans[name]
            owners[name] = ExactBucket(plan.rate_per_second, plan.burst, now)
            while owners[name].take(now):
                pass
        # Tokens left, start of the period, and requests seen in it.
        grant = grants.setdefault((arrival.entry, name), [0.0, -GRANT_SECONDS, 0.0])
        age = now - grant[1]
        used_up = grant[0] < 1.0 and age >= GRANT_RETRY_SECONDS
        if (age >= GRANT_SECONDS or used_up) and not ownerless:
            demand = grant[2] * GRANT_SECONDS / age
            wanted = max(1, round(demand * GRANT_SURPLUS))
            messages += 2
            granted = 0
            while granted < wanted and owners[name].take(now):
                granted += 1
            grant[:] = [granted, now, 0.0]
        grant[2] += 1.0
        admitted = grant[0] >= 1.0 and now - grant[1] < GRANT_SECONDS
        grant[0] -= admitted
        outcomes.append(_outcome(arrival, admitted))
    return WayResult(outcomes, messages, 0)


def run_conserved_tokens(
    scenario: Scenario, arrivals: list[Arrival], killed: str | None, seed: int
) -> WayResult:
    """Runs egrethall's leases and allowances over simulated messages."""
    plans = tuple(offer.plan for offer in scenario.offers)
    organisations = tuple(Organisation(plan.name, plan.name) for plan in plans)
    fleet = AllowanceFleet(seed, Configuration(1, INSTANCES, organisations, plans))
    events: list[tuple[float, Callable[[], object]]] = [
        (a.at_seconds, partial(fleet.offer, a.entry, a.organisation)) for a in arrivals
    ]
    killed_at = scenario.killed_at_seconds
    if killed is not None and killed_at is not None:
        events.append((killed_at, partial(_kill, fleet, killed)))
        events.append((killed_at + REPLACEMENT_SECONDS, partial(fleet.start, killed)))
    fleet.play(dict.fromkeys(NAMES, 1.0), events, WARM_UP_SECONDS)
    start = fleet.started_at_seconds
    counts = fleet.carrier.counts
    allowance_messages = counts["Borrow"] + counts["Loan"]
    outcomes = [
        Outcome(
            outcome.arrived_at_seconds - start,
            outcome.ended_at_seconds - start,
            outcome.organisation,
            outcome.entry,
            outcome.refusal,
        )
        for outcome in fleet.outcomes
    ]
    lease_messages = counts.total() - allowance_messages
    return WayResult(outcomes, allowance_messages, lease_messages)


def _kill(fleet: AllowanceFleet, name: str) -> None:
    member = fleet.find_by_name(name)
    if member is not None:
        fleet.stop(member)


def _outcome(arrival: Arrival, admitted: bool) -> Outcome:
    refusal = "" if admitted else "rate-exceeded"
    at = arrival.at_seconds
    return Outcome(at, at, arrival.organisation, arrival.entry, refusal)


WAYS = {
    "static-shares": ("naive", run_static_shares),
    "owner-grants": ("naive", run_owner_grants),
    "conserved-tokens": ("egrethall", run_conserved_tokens),
}


def describe(scenario: Scenario, way: str, seed: int) -> list[str]:
    """Runs one way and returns a line for each organisation and one for all."""
    balancer, run = WAYS[way]
    arrivals, killed = make_traffic(scenario, seed)
    result = run(scenario, arrivals, killed, seed)
    lines = []
    totals = Counter[str]()
    for offer in scenario.offers:
        figures = _count(offer.plan, result.outcomes)
        totals.update(figures)
        lines.append(_format(scenario, balancer, way, seed, offer.plan.name, figures))
    line = _format(scenario, balancer, way, seed, "all", totals)
    seconds = scenario.length_seconds
    lines.append(
        f"{line} messages_per_second={result.allowance_messages / seconds:.1f}"
        f" lease_messages_per_second={result.lease_messages / seconds:.1f}"
    )
    return lines


def _count(plan: Plan, outcomes: list[Outcome]) -> Counter[str]:
    own = [outcome for outcome in outcomes if outcome.organisation == plan.name]
    compared = compare_outcomes(own, plan.rate_per_second, plan.burst, 0.0)
    admitted = [outcome.ended_at_seconds for outcome in own if not outcome.refusal]
    period = LimitPeriod(0.0, plan.rate_per_second, plan.burst)
    figures = Counter[str](asdict(compared))
    figures["excess"] = count_excess(admitted, [period])
    return figures


def _format(
    scenario: Scenario,
    balancer: str,
    way: str,
    seed: int,
    organisation: str,
    figures: Counter[str],
) -> str:
    requests = figures["requests"]
    return (
        f"scenario=allowance-{scenario.name} balancer={balancer} way={way} seed={seed}"
        f" organisation={organisation} requests={requests}"
        f" wrongful_refusal_share={figures['wrongful'] / requests:.5f}"
        f" usable_share={figures['admitted'] / figures['usable']:.4f}"
        f" over_allowance_count={figures['excess']}"
    )


def main() -> None:
    """Prints the figures of all scenarios, ways and seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=3, help="parallel processes")
    arguments = parser.parse_args()
    with ProcessPoolExecutor(arguments.jobs) as pool:
        runs = [
            pool.submit(describe, scenario, way, seed)
            for scenario in SCENARIOS
            for seed in range(1, arguments.seeds + 1)
            for way in WAYS
        ]
        for run in runs:
            print("\n".join(run.result()), flush=True)


if __name__ == "__main__":
    main()
