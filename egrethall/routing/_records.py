"""Records of the state, load and latency of upstreams."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from egrethall.types import LoadReport, Upstream, UpstreamState

#: Weight of the newest latency in the moving average.
LATENCY_WEIGHT = 0.2

#: Latency recorded for a "not run" refusal, as a multiple of the service's median.
#: Shedding only indicates load: a full penalty would exclude the upstream for seconds.
SHED_PENALTY_RATIO = 4.0

#: Minimum latency recorded for a failed attempt, so that an upstream that fails fast
#: does not look idle.
PENALTY_LATENCY_SECONDS = 1.0

#: Weight of a penalty in the moving average; two failures outweigh many successes.
PENALTY_WEIGHT = 0.5

#: Half-life of the difference between an upstream's average latency and the service's
#: median. The decay lets an upstream be tried again after some time without requests.
LATENCY_HALF_LIFE_SECONDS = 0.5

#: Age from which a reading of other instances' calls has no weight.
READING_MAX_AGE_SECONDS = 1.0

#: Maximum reported load that is accepted, as a multiple of the slots.
MAX_REPORTED_LOAD_RATIO = 2.0

#: An upstream whose latency exceeds this multiple of the service's median counts as
#: full, whatever it reports.
SLOW_LATENCY_RATIO = 2.0

#: An upstream that reports to be full but whose latency is below this multiple of the
#: service's median is less loaded than it reports. A larger value would also reject
#: correct reports from a saturated service, and keep requests out of the fair queue.
FAST_LATENCY_RATIO = 0.5

_COLD_STATES = (UpstreamState.UNKNOWN, UpstreamState.COLD)


class LeavingSignal(enum.Enum):
    """A reason to send an upstream no new requests; any one suffices."""

    #: The configuration takes it or its availability zone out of service.
    OUT_OF_SERVICE = "out-of-service"
    #: The instance list marks it as leaving.
    LISTED_LEAVING = "listed-leaving"
    #: It reports that it is draining.
    DRAINING = "draining"


class Candidate(NamedTuple):
    """The properties of an upstream that choosers compare."""

    name: str
    slots: int
    #: Estimated calls in flight from all instances, including this one.
    in_flight: float
    #: Calls in flight from this instance.
    own_in_flight: int
    #: Estimated latency of the next call.
    latency_seconds: float
    #: Time since the last load reading; infinite if there is none.
    reading_age_seconds: float


@dataclass
class Reading:
    """The newest reported load of an upstream."""

    in_flight: int
    taken_at_seconds: float
    #: Calls in flight from this instance when the reading was stored.
    own_in_flight: int


@dataclass
class UpstreamRecord:
    """The lifecycle state, load, latency and own calls of one upstream.

    Own calls are those of this instance.
    """

    upstream: Upstream
    service: str
    #: Maximum concurrent own calls, from this instance's share of the connections.
    connection_limit: int
    state: UpstreamState = UpstreamState.UNKNOWN
    start_id: str = ""
    #: When the current start id was first observed.
    start_seen_at_seconds: float = float("-inf")
    #: When the upstream was last observed to be cold.
    cold_seen_at_seconds: float = float("-inf")
    #: How many times the upstream was observed to be cold.
    cold_observation_count: int = 0
    draining_since_seconds: float = float("-inf")
    leaving: set[LeavingSignal] = field(default_factory=set)
    reading: Reading | None = None
    own_in_flight: int = 0
    #: When the shard's holder last sent a fact about the upstream.
    holder_reported_at_seconds: float = float("-inf")
    #: When any instance last saw the upstream warm with the current start id.
    warm_seen_at_seconds: float = float("-inf")
    #: Outcomes of own calls, which decide how fast a cold start proceeds.
    successes: int = 0
    failures: int = 0
    _latency_seconds: float | None = None
    _latency_at_seconds: float = float("-inf")

    @property
    def learned_latency_seconds(self) -> float | None:
        """The moving average of latencies and penalties of own calls.

        None before the first call.
        """
        return self._latency_seconds

    def count_free_slots(self) -> int:
        """Returns how many more calls this instance may have in flight."""
        limit = self.upstream.slots
        if self.connection_limit < limit:
            limit = self.connection_limit
        if self.state is not UpstreamState.WARM and self.state in _COLD_STATES:
            limit = min(limit, max(1, self.upstream.cold_burst))
        return limit - self.own_in_flight if self.own_in_flight < limit else 0

    def begin_call(self) -> None:
        """Counts a call as in flight; to be called before it is sent."""
        self.own_in_flight += 1

    def end_call(self) -> None:
        """Counts a call as no longer in flight."""
        self.own_in_flight -= 1

    def store_reading(self, in_flight: int, taken_at_seconds: float) -> None:
        """Stores a reported load unless the stored one is newer."""
        if self.reading and self.reading.taken_at_seconds > taken_at_seconds:
            return
        self.reading = Reading(
            min(
                max(in_flight, 0), round(MAX_REPORTED_LOAD_RATIO * self.upstream.slots)
            ),
            taken_at_seconds,
            self.own_in_flight,
        )

    def store_report(self, report: LoadReport, taken_at_seconds: float) -> None:
        """Stores the load from a report by the upstream itself."""
        self.store_reading(report.in_flight, taken_at_seconds)

    def add_latency(self, latency_seconds: float, now_seconds: float) -> None:
        """Adds the latency of a response to the moving average."""
        self._blend_latency(latency_seconds, LATENCY_WEIGHT, now_seconds)

    def add_penalty(self, penalty_seconds: float, now_seconds: float) -> None:
        """Adds the penalty for a failed attempt to the moving average."""
        self._blend_latency(penalty_seconds, PENALTY_WEIGHT, now_seconds)

    def estimate_latency_seconds(
        self, now_seconds: float, median_seconds: float
    ) -> float:
        """Returns the average latency, decayed with age towards ``median_seconds``."""
        if self._latency_seconds is None:
            return median_seconds
        age_seconds = now_seconds - self._latency_at_seconds
        kept = math.exp2(-age_seconds / LATENCY_HALF_LIFE_SECONDS)
        return median_seconds + kept * (self._latency_seconds - median_seconds)

    def estimate_in_flight(
        self, latency_seconds: float, median_seconds: float, now_seconds: float
    ) -> float:
        """Returns the estimated calls in flight at the upstream from all instances.

        The estimate is the own calls in flight plus the calls of other instances from
        the newest reading, which lose weight with its age. While the latency is far
        above the service's median, the estimate is at least the number of slots. While
        it is far below, a full upstream's calls from other instances count by half.
        """
        # Runs for every upstream at every selection, so function calls are avoided.
        own = self.own_in_flight
        others = 0.0
        reading = self.reading
        if reading is not None and reading.in_flight > reading.own_in_flight:
            age_seconds = now_seconds - reading.taken_at_seconds
            if age_seconds < READING_MAX_AGE_SECONDS:
                weight = 1.0 - age_seconds / READING_MAX_AGE_SECONDS
                others = (reading.in_flight - reading.own_in_flight) * weight
        estimate = own + others
        slots = self.upstream.slots
        if latency_seconds > SLOW_LATENCY_RATIO * median_seconds:
            return estimate if estimate > slots else slots
        if estimate >= slots and latency_seconds < FAST_LATENCY_RATIO * median_seconds:
            return own + others / 2
        return estimate

    def make_candidate(self, now_seconds: float, median_seconds: float) -> Candidate:
        """Returns the candidate that represents the upstream to a chooser."""
        latency_seconds = self.estimate_latency_seconds(now_seconds, median_seconds)
        return Candidate(
            self.upstream.name,
            self.upstream.slots,
            self.estimate_in_flight(latency_seconds, median_seconds, now_seconds),
            self.own_in_flight,
            latency_seconds,
            self.measure_reading_age(now_seconds),
        )

    def measure_reading_age(self, now_seconds: float) -> float:
        """Returns the seconds since the last load reading, infinite without one."""
        if self.reading is None:
            return float("inf")
        return now_seconds - self.reading.taken_at_seconds

    def reset_load(self) -> None:
        """Drops the load reading and latency of an earlier run of the upstream."""
        self.reading = None
        self.reset_latency()

    def reset_latency(self) -> None:
        """Drops the moving average of latencies and penalties."""
        self._latency_seconds = None

    def _blend_latency(self, seconds: float, weight: float, now_seconds: float) -> None:
        if self._latency_seconds is None:
            self._latency_seconds = seconds
        else:
            self._latency_seconds += weight * (seconds - self._latency_seconds)
        self._latency_at_seconds = now_seconds
