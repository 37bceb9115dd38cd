"""Counts and latencies of requests, and the page that shows them."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.core import Metric

#: Bounds of latencies, around the objectives of today's routes (seconds).
LATENCY_BUCKETS_SECONDS = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 3.0)


class LatencyCounts:
    """How many latencies fell between the bounds, and their sum."""

    def __init__(self) -> None:
        self._counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.sum_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Counts one latency."""
        self._counts[bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds

    def find_buckets(self) -> list[tuple[str, float]]:
        """Returns each bound with the number of latencies up to it."""
        bounds = (*map(str, LATENCY_BUCKETS_SECONDS), "+Inf")
        return list(zip(bounds, accumulate(self._counts), strict=True))


class RequestMetrics:
    """What an instance counts of its requests.

    A process is replaced often and asked for its metrics rarely. ``prometheus_client``
    takes a sixth of the imports of a start, so it is imported with the first page.
    """

    def __init__(self) -> None:
        #: By service and outcome.
        self.requests: Counter[tuple[str, str]] = Counter()
        #: By service.
        self.attempts: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}
        self.placing = LatencyCounts()
        self.lines_left_out = 0
        #: Requests that have not been answered.
        self.running = 0

    def observe_latency(self, service: str, seconds: float) -> None:
        """Counts the time from the head of a request to its answer."""
        counts = self.latencies.get(service)
        if counts is None:
            counts = self.latencies[service] = LatencyCounts()
        counts.observe(seconds)

    def collect(self) -> Iterator["Metric"]:
        """Yields the metrics for a registry of ``prometheus_client``."""
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
        latencies = HistogramMetricFamily(
            "egrethall_request_seconds",
            "Time from the head of a request to its answer.",
            labels=["service"],
        )
        for service, counts in self.latencies.items():
            latencies.add_metric([service], counts.find_buckets(), counts.sum_seconds)
        yield latencies
        yield HistogramMetricFamily(
            "egrethall_placing_seconds",
            "Time spent on finding an upstream.",
            buckets=self.placing.find_buckets(),
            sum_value=self.placing.sum_seconds,
        )
        yield CounterMetricFamily(
            "egrethall_log_lines_left_out",
            "Lines about requests that were not written.",
            value=self.lines_left_out,
        )
        yield GaugeMetricFamily(
            "egrethall_running_requests",
            "Requests that have not been answered.",
            value=self.running,
        )

    def render(self) -> bytes:
        """Returns the page in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return bytes(generate_latest(registry))
