"""Prometheus metrics of one instance."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from egrethall.operators._state import StateSource, UpstreamStatus
from egrethall.types import AttemptOutcome, CallResult, RefusalReason, UpstreamState

#: Upper bounds of the histogram buckets. Added latency is a fraction of a
#: millisecond, and deadlines reach ten minutes.
DURATION_BUCKETS_SECONDS = (
    *(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0),
)

#: Label value for an unknown organisation or service.
UNKNOWN_LABEL = "-"

#: Codes of the refusals that are due to an organisation's plan or allowance.
ADMISSION_REFUSAL_CODES = frozenset(
    {
        RefusalReason.SERVICE_NOT_IN_PLAN.code,
        RefusalReason.RATE_EXCEEDED.code,
        RefusalReason.ALLOWANCE_UNAVAILABLE.code,
    }
)

_REFUSAL_CODES = frozenset(reason.code for reason in RefusalReason)


@dataclass
class OrganisationTally:
    """Request counts of one organisation since the instance started."""

    calls: int = 0
    #: Number of refusals by code.
    refused: dict[str, int] = field(default_factory=dict)

    @property
    def admitted(self) -> int:
        """Number of requests not refused because of plan or allowance."""
        return self.calls - sum(
            count
            for code, count in self.refused.items()
            if code in ADMISSION_REFUSAL_CODES
        )


class Metrics:
    """Counters and histograms that the components of an instance update.

    Each request is recorded once: by :meth:`observe_start` and :meth:`observe_end`,
    by :meth:`record_call` alone, or by :meth:`record_refusal` if there is no
    :class:`CallResult`.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=True)
        self._tallies: dict[str, OrganisationTally] = {}
        self._calls_in_flight = 0
        #: Time series by label values, cached because ``labels()`` takes longer than
        #: the update itself.
        self._service_histograms: dict[str, tuple[Histogram, Histogram]] = {}
        self._call_counters: dict[tuple[str, str, str], Counter] = {}
        self._calls = self._create_counter(
            "calls",
            "Requests by the class of the status or the reason of the refusal",
            ("organisation", "service", "outcome"),
        )
        self._refusals = self._create_counter(
            "refusals", "Refused requests", ("reason", "organisation")
        )
        self._attempts = self._create_counter(
            "attempts",
            "Attempts at upstreams; kind is first, retry or hedge",
            ("service", "kind", "outcome"),
        )
        self._headers_seconds = self._create_histogram(
            "headers_seconds", "Time from a request's arrival to the response headers"
        )
        self._total_seconds = self._create_histogram(
            "total_seconds", "Time from a request's arrival to the end of its response"
        )
        self._queue_seconds = self._create_histogram(
            "queue_seconds", "Time that requests waited for an upstream"
        )
        self._tokens = self._create_counter(
            "tokens",
            "Tokens that others asked this instance for; outcome is lent or refused",
            ("organisation", "outcome"),
        )
        self._peer_messages = self._create_counter(
            "peer_messages", "Messages between instances", ("direction", "kind")
        )
        self._peer_bytes = self._create_counter(
            "peer_bytes", "Bytes between instances, framing included", ("direction",)
        )
        self._rejected_peers = self._create_counter(
            "rejected_peers", "Connections dropped as malformed or not authentic", ()
        )
        self._probes = self._create_counter(
            "probes", "Load probes sent to upstreams", ("service", "outcome")
        )

    def watch_state(self, state: StateSource) -> None:
        """Registers gauges whose values are read from ``state`` at each scrape."""
        self.registry.register(_StateCollector(state))

    def expose(self) -> bytes:
        """Returns all metrics in Prometheus text format."""
        return generate_latest(self.registry)

    def tally_of(self, organisation: str) -> OrganisationTally:
        """Returns the request counts of an organisation."""
        return self._tallies.get(organisation, OrganisationTally())

    @property
    def calls_in_flight(self) -> int:
        """Number of callers' requests that have arrived and not ended."""
        return self._calls_in_flight

    def observe_start(self) -> None:
        """Records the arrival of a request."""
        self._calls_in_flight += 1

    def observe_end(self, result: CallResult) -> None:
        """Records the end of a request; called once for each :meth:`observe_start`."""
        self._calls_in_flight -= 1
        self.record_call(result)

    def record_call(self, result: CallResult) -> None:
        """Counts a request that reached forwarding, whether answered or refused."""
        service = result.service or UNKNOWN_LABEL
        histograms = self._service_histograms.get(service)
        if histograms is None:
            histograms = self._service_histograms[service] = (
                self._total_seconds.labels(service),
                self._queue_seconds.labels(service),
            )
        total, queue = histograms
        total.observe(result.total_ms / 1000.0)
        queue.observe(result.queue_ms / 1000.0)
        self._count_call(result.organisation, result.service, result.outcome)

    def record_refusal(
        self, reason: RefusalReason, organisation: str = "", service: str = ""
    ) -> None:
        """Counts a request that was refused before forwarding."""
        self._count_call(organisation, service, reason.code)

    def record_attempt(self, service: str, kind: str, outcome: AttemptOutcome) -> None:
        """Counts an attempt; ``kind`` is ``first``, ``retry`` or ``hedge``."""
        self._attempts.labels(service, kind, outcome.value).inc()

    def record_headers(self, service: str, elapsed_seconds: float) -> None:
        """Records the time from a request's arrival to its response headers."""
        self._headers_seconds.labels(service).observe(elapsed_seconds)

    def record_tokens_lent(self, organisation: str, amount: int) -> None:
        """Counts tokens that this instance lent to another."""
        self._tokens.labels(organisation, "lent").inc(amount)

    def record_tokens_refused(self, organisation: str, amount: int) -> None:
        """Counts tokens that another instance requested and did not receive."""
        self._tokens.labels(organisation, "refused").inc(amount)

    def record_peer_message(self, direction: str, kind: str, size_bytes: int) -> None:
        """Counts a peer message; ``direction`` is ``sent`` or ``received``."""
        self._peer_messages.labels(direction, kind).inc()
        self._peer_bytes.labels(direction).inc(size_bytes)

    def record_rejected_peer(self) -> None:
        """Counts a peer connection dropped as malformed or not authentic."""
        self._rejected_peers.inc()

    def record_probe(self, service: str, succeeded: bool) -> None:
        """Counts a load probe sent to an upstream."""
        self._probes.labels(service, "answered" if succeeded else "failed").inc()

    def _count_call(self, organisation: str, service: str, outcome: str) -> None:
        organisation_label = organisation or UNKNOWN_LABEL
        is_refusal = outcome in _REFUSAL_CODES
        outcome_label = outcome if is_refusal else _classify_status(outcome)
        key = (organisation_label, service or UNKNOWN_LABEL, outcome_label)
        counter = self._call_counters.get(key)
        if counter is None:
            counter = self._call_counters[key] = self._calls.labels(*key)
        counter.inc()
        if is_refusal:
            self._refusals.labels(outcome, organisation_label).inc()
        if not organisation:
            return
        tally = self._tallies.setdefault(organisation, OrganisationTally())
        tally.calls += 1
        if is_refusal:
            tally.refused[outcome] = tally.refused.get(outcome, 0) + 1

    def _create_counter(
        self, name: str, help_text: str, labels: tuple[str, ...]
    ) -> Counter:
        return Counter(f"egrethall_{name}", help_text, labels, registry=self.registry)

    def _create_histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            f"egrethall_{name}",
            help_text,
            ("service",),
            registry=self.registry,
            buckets=DURATION_BUCKETS_SECONDS,
        )


class _StateCollector(Collector):
    """Gauges that are read from a :class:`StateSource` at each scrape."""

    def __init__(self, state: StateSource) -> None:
        self._state = state

    def describe(self) -> Iterator[Metric]:
        """Yields nothing, because at registration the state need not exist yet."""
        yield from ()

    def collect(self) -> Iterator[Metric]:
        """Yields gauges with the current values."""
        status = self._state.read_status()
        yield _create_gauge("ready", "1 if ready", float(status.readiness.ready))
        yield _create_gauge(
            "stopping", "1 once a stop has begun", float(status.stopping)
        )
        yield _create_gauge(
            "in_flight", "Requests of callers in progress", status.in_flight
        )
        yield _create_gauge(
            "configuration_revision", "Revision in force", float(status.revision)
        )
        yield _create_gauge(
            "configuration_age_seconds",
            "Age of the newest proof that the revision is current",
            status.confirmed_age_seconds,
        )
        yield _create_gauge(
            "leases_held", "Shards held", float(len(status.held_shards))
        )
        yield _create_gauge(
            "has_majority", "1 if enough peers are heard", float(status.has_majority)
        )
        connected_count = sum(peer.connected for peer in status.peers)
        yield _create_gauge(
            "connected_peers", "Peers connected", float(connected_count)
        )
        yield _create_gauge("known_peers", "Peers known", float(len(status.peers)))
        queue_length = _create_labelled_gauge(
            "queue_length", "Requests waiting", ("service",)
        )
        for queue in status.queues:
            queue_length.add_metric([queue.service], queue.waiting)
        yield queue_length
        yield from _collect_upstreams(status.upstreams)


def _collect_upstreams(upstreams: tuple[UpstreamStatus, ...]) -> Iterator[Metric]:
    labels = ("service", "upstream")
    in_flight = _create_labelled_gauge(
        "upstream_in_flight", "Requests of this instance at an upstream", labels
    )
    state = _create_labelled_gauge(
        "upstream_state", "1 for the state of an upstream", (*labels, "state")
    )
    ejected = _create_labelled_gauge(
        "upstream_ejected", "1 while ejected after failures", labels
    )
    out_of_service = _create_labelled_gauge(
        "upstream_out_of_service", "1 while out of service", labels
    )
    for upstream in upstreams:
        label_values = [upstream.service, upstream.name]
        in_flight.add_metric(label_values, upstream.in_flight)
        ejected.add_metric(label_values, float(upstream.ejected))
        out_of_service.add_metric(label_values, float(upstream.out_of_service))
        for candidate in UpstreamState:
            value = float(candidate is upstream.state)
            state.add_metric([*label_values, candidate.value], value)
    yield from (in_flight, state, ejected, out_of_service)


def _create_gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"egrethall_{name}", help_text, value=value)


def _create_labelled_gauge(
    name: str, help_text: str, labels: tuple[str, ...]
) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"egrethall_{name}", help_text, labels=labels)


def _classify_status(outcome: str) -> str:
    """Returns the class of a status, for example ``2xx``, or ``other``.

    Classes instead of codes limit the number of time series.
    """
    if len(outcome) == 3 and outcome.isdecimal():
        return f"{outcome[0]}xx"
    return "other"
