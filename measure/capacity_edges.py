"""Slopes of the operators' side and of the prober."""

import time
from dataclasses import replace
from functools import partial
from itertools import cycle

import anyio

from egrethall.configuration import parse_revision
from egrethall.forwarding.transport import HttpUpstreamProber
from egrethall.operators import (
    AuditRing,
    InstanceStatus,
    Metrics,
    Readiness,
    UpstreamStatus,
)
from egrethall.types import (
    AttemptOutcome,
    AuditEvent,
    CallResult,
    SystemClock,
    Upstream,
    UpstreamState,
)
from measure.capacity_report import Slope, measure_memory, time_calls
from measure.capacity_shapes import build_text
from standins.fleet import Fleet

UPSTREAM_SIZES = (46, 650, 1300)
EVENT_SIZES = (100, 500, 1000)
ORGANISATION_SIZES = (8, 80, 400)
SERVICES_PER_ORGANISATION = 4
SERVICE_COUNT = 98
#: Upstreams that one instance probes: 1,300 over 100 and over 18 instances are 13
#: and 72.
PROBED_SIZES = (6, 12, 48)
PROBES_PER_RUN = 240
PROBE_TIMEOUT_SECONDS = 5.0


def build_ring(events: int) -> AuditRing:
    """Returns an audit ring with some events."""
    ring = AuditRing(SystemClock())
    for number in range(events):
        name = f"service-{number % 98}-{number}"
        ring.record(AuditEvent("upstream-state", "ramp", name, "cold", "warm", number))
    return ring


def build_metrics(organisations: int) -> Metrics:
    """Returns metrics after calls of each organisation to 4 of 98 services."""
    metrics = Metrics()
    for number in range(organisations):
        for offset in range(SERVICES_PER_ORGANISATION):
            service = f"service-{(number * 7 + offset) % SERVICE_COUNT}"
            name = f"organisation-{number}"
            metrics.record_call(
                CallResult("id", name, service, "u", 1, "200", 0.1, 1.0)
            )
            metrics.record_headers(service, 0.001)
            metrics.record_attempt(service, "first", AttemptOutcome.ANSWERED)
    return metrics


def measure_operators(runs: int) -> None:
    """The audit ring, and the metrics without the gauges of upstreams."""
    ring = Slope("audit-ring-memory", "events", "bytes")
    for size in EVENT_SIZES:
        ring.add(size, [measure_memory(partial(build_ring, size))])
    ring.finish(1000)
    length = Slope("metrics-scrape", "organisations", "bytes")
    elapsed = Slope("metrics-scrape-time", "organisations", "us")
    kept = Slope("metrics-memory", "organisations", "bytes")
    for size in ORGANISATION_SIZES:
        metrics = build_metrics(size)
        length.add(size, [float(len(metrics.expose()))])
        elapsed.add(size, time_calls(metrics.expose, runs))
        kept.add(size, [measure_memory(partial(build_metrics, size))])
    for slope in (length, elapsed, kept):
        slope.finish(8, 800)


class ManyUpstreams:
    """The state of an instance with many upstreams and no peers."""

    def __init__(self, count: int) -> None:
        self._status = InstanceStatus(
            name="entry-1",
            availability_zone="a",
            incarnation=1,
            readiness=self.read_readiness(),
            stopping=False,
            revision=1,
            confirmed_age_seconds=0.5,
            uptime_seconds=1.0,
            in_flight=0,
            held_shards=(),
            has_majority=True,
            upstreams=tuple(
                UpstreamStatus(
                    name=f"service-{number // 13}-{number}",
                    service=f"service-{number // 13}",
                    availability_zone="a",
                    state=UpstreamState.WARM,
                    in_flight=0,
                    reported_in_flight=3,
                    reading_age_seconds=0.5,
                    latency_ms=2.0,
                    ejected=False,
                    out_of_service=False,
                )
                for number in range(count)
            ),
        )

    def read_readiness(self) -> Readiness:
        """Is ready."""
        return Readiness(True)

    def read_status(self) -> InstanceStatus:
        """Returns the same status each time."""
        return self._status

    def explain_organisation(self, organisation: str) -> None:
        """Knows no organisation."""


def measure_upstream_gauges(runs: int) -> None:
    """The gauges of upstreams in a scrape."""
    length = Slope("metrics-gauges", "upstreams", "bytes")
    elapsed = Slope("metrics-gauges-time", "upstreams", "us")
    for size in UPSTREAM_SIZES:
        metrics = Metrics()
        metrics.watch_state(ManyUpstreams(size))
        length.add(size, [float(len(metrics.expose()))])
        elapsed.add(size, time_calls(metrics.expose, runs))
    length.finish(46, 1300)
    elapsed.finish(46, 1300)


def measure_probes(runs: int) -> None:
    """Processor time of a probe, by the upstreams that are probed in turn."""
    probe = Slope("probe", "upstreams", "us")
    with Fleet() as fleet:
        upstreams = fleet.build_upstreams("probed", max(PROBED_SIZES))
        fleet.start_upstreams(upstreams)
        template = parse_revision(build_text(1, 1)).services[0].upstreams[0]
        probed = [
            replace(template, name=item.name, address=f"127.0.0.1:{item.port}")
            for item in upstreams
        ]
        for size in PROBED_SIZES:
            probe.add(size, anyio.run(time_probes, probed[:size], runs))
    probe.finish(26, 72)


async def time_probes(upstreams: list[Upstream], runs: int) -> list[float]:
    """Returns the processor time of one probe in microseconds, from each run."""
    prober = HttpUpstreamProber()
    for upstream in upstreams:
        await prober.probe(upstream, PROBE_TIMEOUT_SECONDS)
    turns = cycle(upstreams)
    times = []
    for _ in range(runs):
        started = time.process_time()
        for _ in range(PROBES_PER_RUN):
            await prober.probe(next(turns), PROBE_TIMEOUT_SECONDS)
        times.append((time.process_time() - started) / PROBES_PER_RUN * 1e6)
    await prober.aclose()
    return times
