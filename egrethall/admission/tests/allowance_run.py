"""A simulated fleet run with traffic, faults and checks of the outcomes."""

from dataclasses import replace
from functools import partial
from itertools import pairwise
from random import Random

from egrethall.admission import organisation_resource
from egrethall.leases import LEASE_SECONDS, shard_of
from egrethall.types import Configuration, Organisation, Plan
from standins.allowance_fleet import AllowanceFleet
from standins.exact_bucket import LimitPeriod, compare_outcomes, count_excess


class AllowanceRun:
    """A simulated fleet under load, whose admissions an exact bucket checks."""

    def __init__(self, instances, seed):
        self.names = [f"entry-{number}" for number in range(instances)]
        self.seed = seed
        self.random = Random(seed)
        self.plans = {}
        self.organisations = {}
        self.revision = 0
        self.traffic = []
        self.actions = []
        self.periods = {}
        self.clock_rates = {}
        self.shared_shard_count = 0
        self.length_seconds = 0.0
        self.fleet = AllowanceFleet(seed, self.next_configuration())

    def add_organisation(self, name, rate, burst):
        self.plans[name] = Plan(name, rate, burst, frozenset())
        self.organisations[name] = Organisation(name, name)
        self.fleet.configuration = self.next_configuration()
        start = self.fleet.clock.monotonic_seconds()
        self.periods[name] = [LimitPeriod(start, rate, burst)]

    def next_configuration(self):
        self.revision += 1
        return Configuration(
            self.revision,
            len(self.names),
            tuple(self.organisations.values()),
            tuple(self.plans.values()),
        )

    def add_traffic(self, organisation, rate, start, end, entries):
        """Adds Poisson arrivals; ``entries`` maps instance names to weights."""
        names, weights = list(entries), list(entries.values())
        moment = start + self.random.expovariate(rate)
        while moment < end:
            entry = self.random.choices(names, weights)[0]
            offer = partial(self.fleet.offer, entry, organisation)
            self.traffic.append((moment, offer))
            moment += self.random.expovariate(rate)

    def uneven_weights(self):
        return {name: 1.0 / (rank + 1) for rank, name in enumerate(self.names)}

    def even_weights(self):
        return dict.fromkeys(self.names, 1.0)

    def schedule(self, moment, action):
        self.actions.append((moment, action))

    def run(self, length):
        self.length_seconds = length
        checks = [
            (0.01 * n, self.count_shared_shards) for n in range(int(100 * length))
        ]
        rates = {name: self.clock_rates.get(name, 1.0) for name in self.names}
        self.fleet.play(rates, self.actions + self.traffic + checks)
        self.start = self.fleet.started_at_seconds

    def count_shared_shards(self):
        held = 0
        for member in self.fleet.members:
            mine = member.table.held_shards()
            self.shared_shard_count += bool(held & mine)
            held |= mine

    def find_holder(self, organisation, index=0):
        shard = shard_of(organisation_resource(organisation, index))
        holders = self.fleet.find_holders(shard)
        return holders[0] if holders else None

    def find_bucket_holders(self, organisation):
        """Returns the names of the instances that hold buckets of ``organisation``."""
        resources = self.fleet.members[0].held_buckets.limits.organisation_buckets(
            organisation
        )
        shards = {shard_of(resource) for resource in resources}
        holders = [self.fleet.find_holders(shard)[0] for shard in sorted(shards)]
        return list(dict.fromkeys(holder.instance.name for holder in holders))

    def change_plan(self, organisation, rate, burst, delays, spread):
        """Publishes a plan that each instance accepts after its delay.

        Instances without a delay never receive it. The old limits may stay in use for
        ``spread`` seconds, until a majority has accepted the plan, and from then on
        until the last holder with the old revision has lost its lease, with which its
        loans expire.
        """
        old = self.plans[organisation]
        self.plans[organisation] = replace(old, rate_per_second=rate, burst=burst)
        now = self.fleet.clock.monotonic_seconds()
        higher = max(rate, old.rate_per_second), max(burst, old.burst)
        self.periods[organisation] += [
            LimitPeriod(now, *higher),
            LimitPeriod(now + spread + LEASE_SECONDS * 1.05, rate, burst),
        ]
        self.fleet.publish(self.next_configuration(), delays)

    def admitted_at_seconds(self, organisation, start=0.0, end=float("inf")):
        return [
            outcome.ended_at_seconds
            for outcome in self.fleet.outcomes
            if outcome.organisation == organisation
            and not outcome.refusal
            and start <= outcome.ended_at_seconds - self.start < end
        ]

    def excess_requests(self, organisation, rate_ratio=1.0):
        periods = [
            replace(period, rate_per_second=period.rate_per_second * rate_ratio)
            for period in self.periods[organisation]
        ]
        return count_excess(self.admitted_at_seconds(organisation), periods)

    def wrongful_refusal_ratio(self, organisation):
        """Returns the share of requests refused that an exact bucket would admit."""
        plan = self.plans[organisation]
        outcomes = (o for o in self.fleet.outcomes if o.organisation == organisation)
        compared = compare_outcomes(
            outcomes, plan.rate_per_second, plan.burst, self.start
        )
        return compared.wrongful / compared.requests

    def longest_wait_seconds(self):
        return max(
            o.ended_at_seconds - o.arrived_at_seconds for o in self.fleet.outcomes
        )

    def longest_gap_seconds(self, organisation, start, end):
        moments = [
            self.start + start,
            *self.admitted_at_seconds(organisation, start, end),
        ]
        moments.append(self.start + end)
        return max(later - earlier for earlier, later in pairwise(sorted(moments)))
