import random
from dataclasses import replace

from behave import given, then, when

from egrethall.fleet import (
    JOINING_INTERVAL_SECONDS,
    MEMBERS_PER_HEARTBEAT,
    ROUND_SECONDS,
    CollectorAnswer,
    FleetMembers,
    Heartbeat,
    UsageReports,
)
from egrethall.quota import ExcessTolerance, FleetAllowances
from egrethall.types import (
    CallerLimits,
    ManualClock,
    PublishedConfiguration,
    PublishedOrganisation,
    RefusedError,
)

EXCESS = ExcessTolerance(window_seconds=5.0, ratio=0.25, slack_requests=20.0)

TICK_SECONDS = 0.01

SEEDS = 3

#: Time that a restarted process takes until it serves.
DOWN_SECONDS = 0.6

#: Time from the signal to stop to the end of a process.
STOP_SECONDS = 3.0

#: Time for which the organisation sends its usual requests before it sends more, and
#: for which all is played after a restart.
SECONDS_BEFORE = 6.0
SECONDS_AFTER = 7.0


class Instance:
    """The members and allowances of one process."""

    def __init__(self, fleet, number, run, full):
        self.fleet = fleet
        self.name = f"entry-{number}"
        self.address = fleet.addresses[number]
        self.run = run
        self.sequence = 0
        self.members = FleetMembers(
            self.name,
            self.address,
            tuple(fleet.addresses[:SEEDS]),
            ROUND_SECONDS,
            fleet.clock,
            fleet.random,
        )
        self.allowances = FleetAllowances(
            EXCESS, full, fleet.clock, fleet.random, self.name
        )
        self.allowances.apply_configuration(fleet.configuration)

    def compose_heartbeat(self, max_named):
        self.sequence += 1
        return Heartbeat(
            self.name,
            self.run,
            self.address,
            "east",
            self.name in self.fleet.leaving,
            1,
            usage=self.allowances.build_usage(),
            members=self.members.choose_members(max_named),
            sequence=self.sequence,
            known_count=self.members.fleet_size - 1,
        )


class RestartedFleet:
    """Instances that discover each other again; messages arrive at once."""

    def __init__(self, count, rate, burst):
        self.clock = ManualClock(100.0)
        self.random = random.Random(1)
        self.rate = rate
        organisation = PublishedOrganisation(
            "atlas", frozenset({"key"}), None, rate, burst
        )
        self.configuration = PublishedConfiguration(
            1, (), (), (organisation,), CallerLimits(1000, 1000, 1.0, 1.0)
        )
        self.addresses = [f"10.0.{n // 200}.{n % 200}:80" for n in range(count)]
        self.numbers = {address: n for n, address in enumerate(self.addresses)}
        #: The running processes; None while one is down.
        self.instances = [Instance(self, n, 1, True) for n in range(count)]
        self.next_round_at_seconds = [0.0] * count
        #: Numbers of the instances that receive requests of the organisation.
        self.called = range(count)
        self.start_at_seconds = {}
        #: Names of the instances that were told to stop.
        self.leaving = set()
        self.admitted_at_seconds = []
        self.refused_at_seconds = []

    def introduce_all(self):
        heartbeats = [instance.compose_heartbeat(0) for instance in self.instances]
        for instance in self.instances:
            for heartbeat in heartbeats:
                instance.members.observe(heartbeat)
                instance.members.record_sent(heartbeat.name)

    def seed(self, seed):
        self.random.seed(seed)
        self.introduce_all()
        now_seconds = self.clock.monotonic_seconds()
        self.next_round_at_seconds = [
            now_seconds + self.random.random() * ROUND_SECONDS for _ in self.instances
        ]

    def restart(self, share):
        """Ends a share of the processes within a second, each for a moment."""
        count = round(len(self.instances) * share)
        for number in self.random.sample(range(len(self.instances)), count):
            self.start_at_seconds[number] = (
                self.clock.monotonic_seconds() + self.random.random() + DOWN_SECONDS
            )

    def replace_one(self, number, wait_seconds):
        """Ends a process after a wait, and starts it again."""
        self.start_at_seconds[number] = (
            self.clock.monotonic_seconds() + wait_seconds + DOWN_SECONDS
        )

    def find_collector(self):
        return self.instances[0].allowances._collector_selector.select("atlas")

    def run(self, demand, seconds):
        end_seconds = self.clock.monotonic_seconds() + seconds
        while self.clock.monotonic_seconds() < end_seconds:
            self.clock.advance(TICK_SECONDS)
            now_seconds = self.clock.monotonic_seconds()
            for number, start_at_seconds in tuple(self.start_at_seconds.items()):
                if now_seconds >= start_at_seconds:
                    del self.start_at_seconds[number]
                    self.instances[number] = Instance(self, number, 2, False)
                    self.leaving.discard(self.instances[number].name)
                    self.next_round_at_seconds[number] = now_seconds
                elif now_seconds >= start_at_seconds - DOWN_SECONDS:
                    self.instances[number] = None
            for number, instance in enumerate(self.instances):
                if now_seconds >= self.next_round_at_seconds[number]:
                    self.next_round_at_seconds[number] += ROUND_SECONDS
                    if instance is not None:
                        self.run_round(instance)
                elif self.is_joining_step_due(number, now_seconds):
                    self.run_joining_step(instance)
            mean = demand * TICK_SECONDS
            arrivals = int(mean) + (self.random.random() < mean - int(mean))
            for _ in range(arrivals):
                self.send_request(self.instances[self.random.choice(self.called)])

    def is_joining_step_due(self, number, now_seconds):
        instance = self.instances[number]
        if instance is None or not instance.allowances.joining:
            return False
        until_round_seconds = self.next_round_at_seconds[number] - now_seconds
        steps = until_round_seconds / JOINING_INTERVAL_SECONDS
        return abs(steps - round(steps)) < TICK_SECONDS / JOINING_INTERVAL_SECONDS / 2

    def run_round(self, instance):
        members, allowances = instance.members, instance.allowances
        members.remove_expired()
        allowances.begin_round(
            members.find_names(), members.find_silent(), members.cycle_seconds
        )
        heartbeat = instance.compose_heartbeat(MEMBERS_PER_HEARTBEAT)
        for address in members.choose_recipients():
            self.deliver(instance, address, heartbeat)
        self.report(instance)

    def run_joining_step(self, instance):
        members, allowances = instance.members, instance.allowances
        allowances.set_seeds(members.find_seeds())
        for address in members.find_unconfirmed_seeds():
            heartbeat = instance.compose_heartbeat(MEMBERS_PER_HEARTBEAT)
            self.deliver(instance, address, heartbeat)
        self.report(instance)

    def report(self, instance):
        members, allowances = instance.members, instance.allowances
        instance.sequence += 1
        for collector, usage in allowances.build_reports().items():
            reports = UsageReports(
                instance.name,
                instance.run,
                instance.address,
                instance.sequence,
                usage,
                collector,
                allowances.excluded_collectors,
            )
            self.send_reports(instance, reports, members.find_address(collector))

    def send_reports(self, sender, reports, address):
        """Delivers reports of one organisation, which may be forwarded."""
        receiver = self.find(address)
        if receiver is None:
            return
        for collector in receiver.allowances.find_forwards(reports):
            if collector == sender.name:
                sender.allowances.adopt_levels(
                    CollectorAnswer(receiver.name, {}, "", reports.recipient)
                )
                return
            self.send_reports(sender, reports, receiver.members.find_address(collector))
            return
        levels = receiver.allowances.charge_reports(reports)
        sender.members.add_named(receiver.name, receiver.address)
        sender.allowances.adopt_levels(
            CollectorAnswer(
                receiver.name,
                levels,
                receiver.address,
                reports.recipient,
                receiver.name in self.leaving,
            )
        )

    def find(self, address):
        number = self.numbers.get(address)
        return None if number is None else self.instances[number]

    def deliver(self, sender, address, heartbeat):
        receiver = self.find(address)
        if receiver is None:
            return
        is_new = receiver.members.observe(heartbeat)
        receiver.allowances.charge_heartbeat(heartbeat)
        if not is_new:
            return
        named_count = receiver.members.count_introductions(heartbeat)
        answer = receiver.compose_heartbeat(named_count)
        receiver.members.record_sent(sender.name)
        sender.members.observe(answer)
        sender.allowances.charge_heartbeat(replace(answer))

    def send_request(self, instance):
        if instance is None:
            return
        try:
            instance.allowances.admit("atlas")
        except RefusedError:
            self.refused_at_seconds.append(self.clock.monotonic_seconds())
        else:
            self.admitted_at_seconds.append(self.clock.monotonic_seconds())

    def count_since(self, times, begin_seconds):
        return sum(at >= begin_seconds for at in times)


@given("{count:d} instances that share a rate and a burst of {rate:d} at {used:d}")
def step_impl(context, count, rate, used):
    context.fleet = RestartedFleet(count, rate, rate)
    context.used = used


@given("random arrivals and phases with seed {seed:d}")
def step_impl(context, seed):
    fleet = context.fleet
    fleet.seed(seed)
    fleet.called = fleet.random.sample(range(len(fleet.instances)), context.used)


@when(
    "the organisation sends {usual:d}, then {demand:d} requests a second"
    " and {after:d} s later {share:d} % of the instances are restarted within 1 s"
)
def step_impl(context, usual, demand, after, share):
    fleet = context.fleet
    fleet.run(usual, SECONDS_BEFORE)
    fleet.run(demand, after)
    context.restarted_at_seconds = fleet.clock.monotonic_seconds()
    fleet.restart(share / 100)
    fleet.run(demand, SECONDS_AFTER)


@when(
    "the organisation sends {usual:d}, then {demand:d} requests a second, and its"
    " collector {event} {after:f} s later"
)
def step_impl(context, usual, demand, event, after):
    fleet = context.fleet
    fleet.run(usual, SECONDS_BEFORE)
    fleet.run(demand, after)
    context.restarted_at_seconds = fleet.clock.monotonic_seconds()
    collector = fleet.find_collector()
    number = next(n for n, i in enumerate(fleet.instances) if i.name == collector)
    if event == "stops":
        fleet.leaving.add(collector)
    fleet.replace_one(number, STOP_SECONDS if event == "stops" else 0.0)
    fleet.run(demand, SECONDS_AFTER)


@then("no window of 5 s holds more admitted requests than are tolerated")
def step_impl(context):
    fleet = context.fleet
    admitted = fleet.admitted_at_seconds
    fullest = max(
        sum(start <= at < start + EXCESS.window_seconds for at in admitted)
        for start in admitted
    )
    allowed = fleet.rate * EXCESS.window_seconds + fleet.rate
    bound = allowed + EXCESS.compute_requests(fleet.rate, fleet.rate)
    assert fullest <= bound, (fullest, bound)


@then("from {seconds:d} s after the restart at least half of the rate is used")
def step_impl(context, seconds):
    fleet = context.fleet
    begin_seconds = context.restarted_at_seconds + seconds
    admitted = fleet.count_since(fleet.admitted_at_seconds, begin_seconds)
    due = fleet.rate / 2 * (fleet.clock.monotonic_seconds() - begin_seconds)
    assert admitted >= due, (admitted, due)


@then("at most {count:d} requests were refused after the restart")
def step_impl(context, count):
    fleet = context.fleet
    refused = fleet.count_since(fleet.refused_at_seconds, context.restarted_at_seconds)
    assert refused <= count, refused
