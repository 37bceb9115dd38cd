"""Fixtures of the routing tests: one instance's routing, a manual clock and fakes."""

import random

from egrethall.routing import (
    ColdStartController,
    UpstreamDirectory,
    UpstreamFactExchange,
    UpstreamSelectorService,
    describe_upstreams,
    make_default_chooser,
)
from egrethall.types import (
    AttemptOutcome,
    Configuration,
    InstanceId,
    LoadReport,
    ManualClock,
    Service,
    Upstream,
    UpstreamFact,
    UpstreamState,
)

PEER = InstanceId("peer", 1)


def make_configuration(count=4, zones="ab", slots=4, connections=200, **changes):
    upstreams = tuple(
        Upstream(
            f"u{index}",
            f"127.0.0.1:{9000 + index}",
            zones[index % len(zones)],
            slots,
            connections,
            cold_rate_per_second=5.0,
            cold_burst=1,
        )
        for index in range(count)
    )
    service = Service("lookup", 2000, 1024, changes.pop("max_queue", 50), (), upstreams)
    return Configuration(changes.pop("revision", 1), 18, services=(service,), **changes)


class Recorder:
    """A fact publisher and audit trail that store what they receive."""

    def __init__(self):
        self.facts = []
        self.events = []

    def publish_fact(self, fact):
        self.facts.append(fact)

    def record(self, event):
        self.events.append(event)


class FakeHolderView:
    """A holder view whose answers the test sets for all shards."""

    def __init__(self):
        self.directory = None
        self.held_here = False
        self.held_by_peer = True

    def is_held_here(self, upstream):
        return self.held_here

    def find_held(self):
        if not self.held_here:
            return []
        return [record.upstream.name for record in self.directory.find_records()]

    def is_held_by(self, upstream, instance):
        return self.held_by_peer


class FakeTokenGate:
    """Records granted tokens, and grants as many as the test allows."""

    def __init__(self):
        self.allowed = 1_000_000
        self.taken = []

    async def take_token(self, upstream, deadline_at_seconds):
        if self.allowed <= 0:
            return False
        self.allowed -= 1
        self.taken.append(upstream)
        return True


class InstanceFixture:
    """The routing of one entry instance in availability zone "a"."""

    def __init__(self, configuration, seed=1, chooser=None, clock=None):
        self.clock = clock or ManualClock()
        self.random = random.Random(seed)
        self.recorder = Recorder()
        self.holder_view = FakeHolderView()
        self.token_gate = FakeTokenGate()
        self.directory = UpstreamDirectory(
            self.clock, self.random, self.recorder, self.recorder
        )
        self.holder_view.directory = self.directory
        self.controller = ColdStartController(
            self.directory, self.holder_view, self.clock
        )
        self.exchange = UpstreamFactExchange(
            self.directory, self.controller, self.holder_view, self.clock
        )
        self.selector = UpstreamSelectorService(
            self.directory,
            chooser or make_default_chooser(self.random),
            self.token_gate,
            "a",
            self.clock,
            self.random,
        )
        self.apply(configuration)

    def apply(self, configuration):
        self.configuration = configuration
        self.directory.apply_configuration(configuration)
        self.selector.apply_configuration(configuration)

    @property
    def service(self):
        return self.configuration.services[0]

    def record(self, name="u0"):
        return self.directory.find_record(name)

    def state(self, name="u0"):
        return self.record(name).state.value

    def describe(self, name):
        statuses = describe_upstreams(
            self.directory, self.controller, self.holder_view, self.clock
        )
        return next(status for status in statuses if status.name == name)

    def make_warm(self, start_id="s1"):
        """Merges facts from the holder that all upstreams are warm."""
        for record in self.directory.find_records():
            name = record.upstream.name
            fact = UpstreamFact(name, UpstreamState.WARM, start_id, 0, 0.0)
            self.directory.merge_fact(fact, from_holder=True)
            assert record.state is UpstreamState.WARM

    def answer(self, name="u0", state="warm", start="s1", in_flight=1, latency=0.01):
        """Runs one call to an upstream that succeeds."""
        record = self.record(name)
        self.directory.begin_call(record)
        report = LoadReport(in_flight, 4, UpstreamState(state), start)
        self.directory.observe_response(record, report, latency)
        self.directory.observe_success(record)

    def fail(self, outcome, name="u0", elapsed=0.001):
        """Runs one call to an upstream that ends with a failure outcome."""
        record = self.record(name)
        self.directory.begin_call(record)
        self.directory.observe_failure(record, AttemptOutcome(outcome), elapsed)

    def receive(self, state, start="s1", age=0.0, holder=True, in_flight=-1, name="u0"):
        """Merges a fact from a peer, by default from the shard's holder."""
        fact = UpstreamFact(name, UpstreamState(state), start, in_flight, age)
        self.directory.merge_fact(fact, from_holder=holder)
