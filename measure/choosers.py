"""Compares the policies that choose an upstream on one small queueing model.

Upstreams of four and six slots serve in order of arrival at speeds that change every
few milliseconds. Eighteen choosers with the product's readings, each fed only by its
own answers, send the same seeded load by each policy. Run: python -m measure.choosers
"""

import argparse
import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from multiprocessing import get_context

from egrethall.routing import (
    HotColdChooser,
    LeastInFlightChooser,
    RandomChooser,
    RoundRobinChooser,
    TwoChoicesChooser,
    UpstreamChooser,
    UpstreamDirectory,
)
from egrethall.types import (
    AuditEvent,
    Configuration,
    LoadReport,
    ManualClock,
    Service,
    Upstream,
    UpstreamFact,
    UpstreamState,
)

CHOOSERS = 18
UPSTREAMS = 16
SEGMENT_SECONDS = 0.004
MEAN_WORK_SECONDS = 0.010
NETWORK_SECONDS = 0.001
PROBE_SECONDS = 0.005
#: Share of a run's beginning that is not counted.
WARM_UP_SHARE = 0.1

POLICIES: dict[str, Callable[[random.Random], UpstreamChooser]] = {
    "random": RandomChooser,
    "round-robin": lambda _: RoundRobinChooser(),
    "least-in-flight": LeastInFlightChooser,
    "two-choices": TwoChoicesChooser,
    "hot-cold": HotColdChooser,
}


@dataclass(frozen=True)
class Case:
    """One run of the model."""

    policy: str
    load: float
    #: Upstreams that run at a third of their speed throughout.
    slow: int
    #: True if upstreams believed to be full are left out, as the selector does.
    tiers: bool
    seed: int
    requests: int


@dataclass(frozen=True)
class Result:
    """Latency quantiles in seconds, and probes' share of the slots' time."""

    p50: float
    p99: float
    p999: float
    probe_share: float


class NoAudience:
    """Drops facts and audit events."""

    def publish_fact(self, fact: UpstreamFact) -> None:
        """Drops a fact."""

    def record(self, event: AuditEvent) -> None:
        """Drops an event."""


class ModelUpstream:
    """A queue in order of arrival before a number of slots."""

    def __init__(self, slots: int, speed: float, source: random.Random) -> None:
        self.slots = slots
        self.speed = speed
        self.busy = 0
        self.waiting: deque[int] = deque()
        self.last_reading_at = 0.0
        self._speeds = self._iterate_speeds(source)
        self._path: list[float] = []

    def find_end(self, start: float, work: float) -> float:
        """Returns when ``work`` that begins at ``start`` is done."""
        now = start
        while True:
            segment = int(now / SEGMENT_SECONDS + 1e-9)
            while len(self._path) <= segment:
                self._path.append(self.speed * next(self._speeds))
            left = (segment + 1) * SEGMENT_SECONDS - now
            if work <= left * self._path[segment]:
                return now + work / self._path[segment]
            work -= left * self._path[segment]
            now = (segment + 1) * SEGMENT_SECONDS

    @staticmethod
    def _iterate_speeds(source: random.Random) -> Iterator[float]:
        """Yields a speed for each segment: a slow drift with short deep dips."""
        base, dipped = 1.0, False
        for segment in itertools.count():
            if segment % 64 == 0:
                base = source.uniform(0.6, 1.4)
            dipped = source.random() < (0.75 if dipped else 0.04)
            yield base * (0.3 if dipped else 1.0)


class Model:
    """One run: the upstreams, the choosers and the events between them."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.clock = ManualClock(0.0)
        slots = [4 if index % 2 else 6 for index in range(UPSTREAMS)]
        self.upstreams = [
            ModelUpstream(
                count,
                1 / 3 if index < case.slow else 1.0,
                random.Random(f"{case.seed}/speed/{index}"),
            )
            for index, count in enumerate(slots)
        ]
        configured = tuple(
            Upstream(f"u{index}", f"127.0.0.1:{9000 + index}", "a", count, 200, 5.0, 1)
            for index, count in enumerate(slots)
        )
        service = Service("lookup", 2000, 1024, 100, (), configured)
        configuration = Configuration(1, CHOOSERS, services=(service,))
        source = random.Random(f"{case.seed}/choice")
        audience = NoAudience()
        self.directories = [
            UpstreamDirectory(self.clock, source, audience, audience)
            for _ in range(CHOOSERS)
        ]
        for directory in self.directories:
            directory.apply_configuration(configuration)
            for upstream in configured:
                fact = UpstreamFact(upstream.name, UpstreamState.WARM, "s", 0, 0.0)
                directory.merge_fact(fact, from_holder=True)
        self.choosers = [POLICIES[case.policy](source) for _ in range(CHOOSERS)]
        self.events: list[tuple[float, int, str, int]] = []
        self.numbers = itertools.count()
        #: For each request: arrival, chooser, upstream, work.
        self.requests: dict[int, tuple[float, int, int, float]] = {}
        self.latencies: list[float] = []
        self.probes = 0

    def run(self) -> Result:
        """Runs the load and returns its result."""
        source = random.Random(f"{self.case.seed}/load")
        slots = sum(upstream.slots for upstream in self.upstreams)
        # Mean of the speeds above: the dips take about 0.138 of the time.
        mean_speed = 1.0 - 0.7 * 0.04 / (0.04 + 0.25)
        capacity = sum(item.slots * item.speed for item in self.upstreams) * mean_speed
        rate = self.case.load * capacity / MEAN_WORK_SECONDS
        arrival = 0.0
        for number in range(self.case.requests):
            arrival += source.expovariate(rate)
            work = source.expovariate(1.0 / MEAN_WORK_SECONDS)
            chooser = source.randrange(CHOOSERS)
            self.requests[number] = (arrival, chooser, 0, work)
            self._push(arrival, "arrive", number)
        for index in range(UPSTREAMS):
            self._push(1.0, "probe", index)
        while len(self.latencies) < self.case.requests:
            moment, _, kind, number = heapq.heappop(self.events)
            self.clock.advance(max(0.0, moment - self.clock.monotonic_seconds()))
            getattr(self, f"_{kind}")(moment, number)
        counted = sorted(self.latencies[int(WARM_UP_SHARE * len(self.latencies)) :])
        cost = self.probes * PROBE_SECONDS / (slots * self.clock.monotonic_seconds())
        p50, p99, p999 = (counted[int(q * len(counted))] for q in (0.5, 0.99, 0.999))
        return Result(p50, p99, p999, cost)

    def _push(self, moment: float, kind: str, number: int) -> None:
        heapq.heappush(self.events, (moment, next(self.numbers), kind, number))

    def _arrive(self, moment: float, number: int) -> None:
        arrival, chooser, _, work = self.requests[number]
        directory = self.directories[chooser]
        records = [
            record for record in directory.find_records() if record.count_free_slots()
        ] or list(directory.find_records())
        candidates = directory.make_candidates("lookup", records)
        if self.case.tiers:
            free = [item for item in candidates if item.in_flight < item.slots]
            candidates = free or candidates
        name = self.choosers[chooser].choose(candidates).name
        record = directory.find_record(name)
        assert record is not None
        directory.begin_call(record)
        self.requests[number] = (arrival, chooser, int(name[1:]), work)
        self._push(moment + NETWORK_SECONDS, "reach", number)

    def _reach(self, moment: float, number: int) -> None:
        upstream = self.upstreams[self.requests[number][2]]
        if upstream.busy >= upstream.slots:
            upstream.waiting.append(number)
            return
        upstream.busy += 1
        self._push(upstream.find_end(moment, self.requests[number][3]), "end", number)

    def _end(self, moment: float, number: int) -> None:
        upstream = self.upstreams[self.requests[number][2]]
        upstream.busy -= 1
        in_flight = upstream.busy + len(upstream.waiting)
        if upstream.waiting:
            following = upstream.waiting.popleft()
            upstream.busy += 1
            work = self.requests[following][3]
            self._push(upstream.find_end(moment, work), "end", following)
        # The report travels in the number of an event of its own.
        self._push(moment + NETWORK_SECONDS, "answer", number * 1000 + in_flight)

    def _answer(self, moment: float, packed: int) -> None:
        number, in_flight = divmod(packed, 1000)
        arrival, chooser, index, _ = self.requests[number]
        directory = self.directories[chooser]
        record = directory.find_record(f"u{index}")
        assert record is not None
        slots = self.upstreams[index].slots
        report = LoadReport(in_flight, slots, UpstreamState.WARM, "s")
        directory.observe_response(record, report, moment - arrival)
        directory.observe_success(record)
        self.upstreams[index].last_reading_at = moment
        self.latencies.append(moment - arrival)

    def _probe(self, moment: float, index: int) -> None:
        """Probes as the holder of the upstream's shard, if its reading is old."""
        directory = self.directories[index % CHOOSERS]
        record = directory.find_record(f"u{index}")
        assert record is not None
        if record.measure_reading_age(moment) > 1.0:
            self.probes += 1
            upstream = self.upstreams[index]
            in_flight = upstream.busy + len(upstream.waiting)
            report = LoadReport(in_flight, upstream.slots, UpstreamState.WARM, "s")
            directory.observe_probe(f"u{index}", report, PROBE_SECONDS)
        self._push(moment + 1.0, "probe", index)


def run_case(case: Case) -> Result:
    """Runs one case; a function of the module so that processes can share work."""
    return Model(case).run()


def describe(name: str, values: list[float]) -> str:
    """Returns the median of some ratios, and their lowest and highest."""
    return (
        f"{name}={statistics.median(values):.3f} "
        f"{name}_spread={min(values):.3f}..{max(values):.3f}"
    )


def print_group(own: list[Case], results: dict[Case, Result]) -> None:
    """Prints the ratios of one policy's runs to those of random."""
    case = own[0]
    pairs = [
        (results[item], results[replace(item, policy="random", tiers=False)])
        for item in own
    ]
    print(
        f"load={case.load} slow={case.slow} tiers={'yes' if case.tiers else 'no'}",
        f"policy={case.policy}",
        describe("p50", [new.p50 / old.p50 for new, old in pairs]),
        describe("p99", [new.p99 / old.p99 for new, old in pairs]),
        describe("p99.9", [new.p999 / old.p999 for new, old in pairs]),
        f"probe_share={max(new.probe_share for new, _ in pairs):.6f} seeds={len(own)}",
        flush=True,
    )


def main() -> None:
    """Runs all cases and prints one line for each load and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=20_000)
    loads = [0.02, 0.2, 0.5, 0.7, 0.9]
    parser.add_argument("--loads", type=float, nargs="+", default=loads)
    parser.add_argument("--slow", type=int, nargs="+", default=[0, 2])
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    cases = [
        Case(policy, load, slow, tiers, seed, arguments.requests)
        for slow in arguments.slow
        for load in arguments.loads
        for tiers in (False, True)
        for policy in POLICIES
        for seed in range(arguments.seeds)
    ]
    results: dict[Case, Result] = {}
    own: list[Case] = []
    with get_context("spawn").Pool(arguments.jobs) as pool:
        for case, result in zip(cases, pool.imap(run_case, cases), strict=True):
            results[case] = result
            own.append(case)
            if len(own) == arguments.seeds:
                print_group(own, results)
                own = []


if __name__ == "__main__":
    main()
