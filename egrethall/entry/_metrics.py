"""Request counters and latency histograms, exposed in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING

from egrethall.entry._client_limits import ClientLimits
from egrethall.placement import CrashGuard, UpstreamPath, ZoneOverflow
from egrethall.records import SourceStatus

if TYPE_CHECKING:
    from prometheus_client.core import Metric

#: Upper bounds of the histogram buckets, around the latency objectives of the routes.
LATENCY_BUCKETS_SECONDS = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 3.0)


class LatencyHistogram:
    """A latency histogram with the buckets of :data:`LATENCY_BUCKETS_SECONDS`."""

    def __init__(self) -> None:
        self._counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.sum_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Records one latency."""
        self._counts[bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds

    def accumulate_buckets(self) -> list[tuple[str, float]]:
        """Returns each upper bound with the cumulative count of latencies up to it."""
        bounds = (*map(str, LATENCY_BUCKETS_SECONDS), "+Inf")
        return list(zip(bounds, accumulate(self._counts), strict=True))


class RequestMetrics:
    """Counters, histograms and gauges of the requests of one instance.

    ``prometheus_client`` takes a sixth of the import time at startup. Processes are
    replaced often and scraped rarely, so it is imported by the first scrape.
    """

    def __init__(
        self,
        source_status: SourceStatus,
        path: UpstreamPath,
        crashes: CrashGuard,
        limits: ClientLimits,
        overflow: ZoneOverflow | None = None,
    ) -> None:
        self._source_status = source_status
        self._path = path
        self._crashes = crashes
        self._limits = limits
        self._overflow = overflow
        #: Completed requests by service and outcome.
        self.requests: Counter[tuple[str, str]] = Counter()
        #: Attempts by service, retries and hedged attempts included.
        self.attempts: Counter[str] = Counter()
        #: Probes of upstreams by service, those without a response included.
        self.probes: Counter[str] = Counter()
        #: Connections opened to upstreams, by service.
        self.opened_connections: Counter[str] = Counter()
        #: Requests whose last upstream stated a rate limit, by service.
        self.limited_requests: Counter[str] = Counter()
        #: Requests forwarded to other instances ("sent") and by them ("received"), by
        #: direction and outcome.
        self.forwarded_requests: Counter[tuple[str, str]] = Counter()
        #: Time from a request's head to its response, by service.
        self.latencies: dict[str, LatencyHistogram] = {}
        #: Time spent on selecting upstreams.
        self.placing_latency = LatencyHistogram()
        #: Request log lines suppressed by the rate limit.
        self.suppressed_log_lines = 0
        #: Requests in flight.
        self.running = 0

    def observe_latency(self, service: str, seconds: float) -> None:
        """Records the time from a request's head to its response."""
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = self.latencies[service] = LatencyHistogram()
        histogram.observe(seconds)

    def collect(self) -> Iterator["Metric"]:
        """Yields the metric families; called by the ``prometheus_client`` registry."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        requests = CounterMetricFamily(
            "egrethall_requests", "Requests by outcome.", labels=["service", "outcome"]
        )
        for labels, count in self.requests.items():
            requests.add_metric(labels, count)
        yield requests
        attempts = CounterMetricFamily(
            "egrethall_attempts",
            "Requests sent to upstreams, repeats included.",
            labels=["service"],
        )
        for service, count in self.attempts.items():
            attempts.add_metric([service], count)
        yield attempts
        yield from self._collect_upstream_traffic()
        limited = CounterMetricFamily(
            "egrethall_limited_requests",
            "Requests sent to upstreams that state a rate limit.",
            labels=["service"],
        )
        for service, count in self.limited_requests.items():
            limited.add_metric([service], count)
        yield limited
        forwarded = CounterMetricFamily(
            "egrethall_forwarded_requests",
            "Requests forwarded to other instances (sent) or by them (received).",
            labels=["direction", "outcome"],
        )
        for labels, count in self.forwarded_requests.items():
            forwarded.add_metric(labels, count)
        yield forwarded
        yield from _collect_source_metrics(self._source_status)
        yield GaugeMetricFamily(
            "egrethall_upstream_path_available",
            "1 while this instance reaches upstreams, 0 while it reaches none.",
            value=int(self._path.available),
        )
        yield GaugeMetricFamily(
            "egrethall_quarantined_requests",
            "Requests that are not sent since they have crashed upstreams.",
            value=self._crashes.quarantined_count,
        )
        yield CounterMetricFamily(
            "egrethall_quarantine_refusals",
            "Repetitions of such requests that were refused.",
            value=self._crashes.refused_count,
        )
        yield from _collect_client_metrics(self._limits)
        if self._overflow is not None:
            yield from _collect_overflow_metrics(self._overflow)
        latencies = HistogramMetricFamily(
            "egrethall_request_seconds",
            "Time from the head of a request to its answer.",
            labels=["service"],
        )
        for service, histogram in self.latencies.items():
            latencies.add_metric(
                [service], histogram.accumulate_buckets(), histogram.sum_seconds
            )
        yield latencies
        yield HistogramMetricFamily(
            "egrethall_placing_seconds",
            "Time spent on finding an upstream.",
            buckets=self.placing_latency.accumulate_buckets(),
            sum_value=self.placing_latency.sum_seconds,
        )
        yield CounterMetricFamily(
            "egrethall_log_lines_left_out",
            "Lines about requests that were not written.",
            value=self.suppressed_log_lines,
        )
        yield GaugeMetricFamily(
            "egrethall_running_requests",
            "Requests that have not been answered.",
            value=self.running,
        )

    def _collect_upstream_traffic(self) -> Iterator["Metric"]:
        from prometheus_client.core import CounterMetricFamily

        for name, documentation, counts in (
            ("egrethall_probes", "Probes of upstreams.", self.probes),
            (
                "egrethall_upstream_connections_opened",
                "Connections opened to upstreams.",
                self.opened_connections,
            ),
        ):
            family = CounterMetricFamily(name, documentation, labels=["service"])
            for service, count in counts.items():
                family.add_metric([service], count)
            yield family

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return bytes(generate_latest(registry))


def _collect_source_metrics(status: SourceStatus) -> Iterator["Metric"]:
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    calls = CounterMetricFamily(
        "egrethall_record_source_calls",
        "Calls to the record source by outcome.",
        labels=["outcome"],
    )
    for outcome, count in status.calls.items():
        calls.add_metric([outcome], count)
    yield calls
    yield GaugeMetricFamily(
        "egrethall_record_source_open_call_seconds",
        "Age of the call to the record source in progress; 0 without one.",
        value=status.measure_open_call_seconds(),
    )
    yield GaugeMetricFamily(
        "egrethall_record_source_answer_age_seconds",
        "Time since the record source last answered this instance.",
        value=status.measure_seconds_since_answer(),
    )


def _collect_client_metrics(limits: ClientLimits) -> Iterator["Metric"]:
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    limited = CounterMetricFamily(
        "egrethall_limited_clients",
        "Requests refused and connections closed for lack of room, by kind.",
        labels=["listener", "kind"],
    )
    for (listener, kind), count in limits.count_events().items():
        limited.add_metric([listener, kind], count)
    yield limited
    connections = GaugeMetricFamily(
        "egrethall_client_connections",
        "Open connections of clients.",
        labels=["listener"],
    )
    for listener, limiter in limits.limiters.items():
        connections.add_metric([listener], limiter.open_count)
    yield connections
    yield GaugeMetricFamily(
        "egrethall_client_memory_bytes",
        "Memory reserved for connections, requests and responses.",
        value=limits.account.held_bytes,
    )


def _collect_overflow_metrics(overflow: ZoneOverflow) -> Iterator["Metric"]:
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    shares = GaugeMetricFamily(
        "egrethall_other_zone_share",
        "Share of the requests that consider other availability zones first.",
        labels=["service"],
    )
    for service, share in overflow.find_shares().items():
        shares.add_metric([service], share)
    yield shares
    requests = CounterMetricFamily(
        "egrethall_other_zone_requests",
        "Requests sent to upstreams of other availability zones.",
        labels=["service"],
    )
    for service, count in overflow.bytes.requests.items():
        requests.add_metric([service], count)
    yield requests
    size = CounterMetricFamily(
        "egrethall_other_zone_response_bytes",
        "Bytes of the responses of other availability zones.",
        labels=["service"],
    )
    for service, count in overflow.bytes.response_bytes.items():
        size.add_metric([service], count)
    yield size
