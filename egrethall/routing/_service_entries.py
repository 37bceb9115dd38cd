"""Per-service state: upstream records, ejections and the median latency."""

import statistics

from egrethall.routing._ejection import EjectionPolicy
from egrethall.routing._records import UpstreamRecord
from egrethall.types import RandomSource

#: Maximum age of a service's cached median latency.
MEDIAN_MAX_AGE_SECONDS = 0.1

#: Latency assumed before the first measurement.
DEFAULT_LATENCY_SECONDS = 0.02


class ServiceEntry:
    """The upstream records, ejections and median latency of one service."""

    def __init__(self, random: RandomSource) -> None:
        #: In configuration order.
        self.records: tuple[UpstreamRecord, ...] = ()
        self.ejection = EjectionPolicy(random)
        self._median_seconds = DEFAULT_LATENCY_SECONDS
        self._median_computed_at_seconds = float("-inf")

    def set_records(self, records: tuple[UpstreamRecord, ...]) -> None:
        """Replaces the upstreams and drops the ejections of removed ones."""
        self.records = records
        names = frozenset(record.upstream.name for record in records)
        self.ejection.set_upstreams(names)

    def find_median_latency_seconds(self, now_seconds: float) -> float:
        """Returns the median of the upstreams' average latencies.

        Every selection needs it, so it is recomputed at most once per
        :data:`MEDIAN_MAX_AGE_SECONDS`.
        """
        if now_seconds - self._median_computed_at_seconds < MEDIAN_MAX_AGE_SECONDS:
            return self._median_seconds
        averages = [
            record.learned_latency_seconds
            for record in self.records
            if record.learned_latency_seconds is not None
        ]
        if averages:
            self._median_seconds = statistics.median_low(averages)
        self._median_computed_at_seconds = now_seconds
        return self._median_seconds

    def find_open_records(
        self, now_seconds: float, excluded: frozenset[str]
    ) -> list[UpstreamRecord]:
        """Returns the upstreams not in ``excluded`` that may get a call now.

        They are neither leaving nor ejected and have a free slot.
        """
        is_ejected = self.ejection.is_ejected
        return [
            record
            for record in self.records
            if not record.leaving
            and record.upstream.name not in excluded
            and record.count_free_slots() > 0
            and not is_ejected(record.upstream.name, now_seconds)
        ]
