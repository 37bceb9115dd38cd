"""What one instance knows of one upstream."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from egrethall.types import LoadReport, Upstream, UpstreamState

#: Weight of the newest latency in the moving average.
LATENCY_WEIGHT = 0.2

#: Latency that a refusal with "not run" counts as, by the service's median. Shedding
#: is a sign of load: a full penalty would keep the upstream out for seconds.
SHED_PENALTY_RATIO = 4.0

#: Latency that a failed attempt counts as, so that failing fast does not look idle.
PENALTY_LATENCY_SECONDS = 1.0

#: Weight of a penalty in the moving average; two failures outweigh many answers.
PENALTY_WEIGHT = 0.5

#: Time in which half of a learned latency's difference from the others fades, so
#: that an upstream that got no request for a while is tried again.
LATENCY_HALF_LIFE_SECONDS = 0.5

#: Age at which a reading of other instances' calls counts for nothing.
READING_MAX_AGE_SECONDS = 1.0

#: A report is estimate up to this multiple of the slots.
MAX_REPORTED_LOAD_RATIO = 2.0

#: A latency that is this many times the service's median means a busy upstream,
#: whatever it reports.
SLOW_LATENCY_RATIO = 2.0

#: A full upstream that answers in less than this share of the service's median is
#: not as loaded as it reports. A larger share would also take honest reports of a
#: saturated service for false, and keep requests out of the fair queue.
FAST_LATENCY_RATIO = 0.5

_COLD_STATES = (UpstreamState.UNKNOWN, UpstreamState.COLD)


class LeavingSignal(enum.Enum):
    """A reason to send an upstream no new work; any one suffices."""

    #: Its availability zone or itself is out of service by configuration.
    OUT_OF_SERVICE = "out-of-service"
    #: The instance list has it as leaving.
    LISTED_LEAVING = "listed-leaving"
    #: It says itself that it drains.
    DRAINING = "draining"


class Candidate(NamedTuple):
    """An upstream that may be chosen, as far as the choice needs to know it."""

    name: str
    slots: int
    #: Calls that the upstream is estimate to work on, those of this instance included.
    in_flight: float
    own_in_flight: int
    latency_seconds: float
    #: Time since the last reading; infinite if there is none.
    reading_age_seconds: float


@dataclass
class Reading:
    """The newest load that was reported of an upstream."""

    in_flight: int
    taken_at_seconds: float
    #: Own calls that were in flight when it was taken.
    own_in_flight: int


@dataclass
class UpstreamRecord:
    """Life state, load and own calls of one upstream."""

    upstream: Upstream
    service: str
    #: Own calls that the connection limit of this instance allows at once.
    connection_limit: int
    state: UpstreamState = UpstreamState.UNKNOWN
    start_id: str = ""
    #: When the present start id was first observed.
    start_seen_at_seconds: float = float("-inf")
    #: When the last sign of a cold start was observed, and how many there were.
    cold_seen_at_seconds: float = float("-inf")
    cold_observation_count: int = 0
    draining_since_seconds: float = float("-inf")
    leaving: set[LeavingSignal] = field(default_factory=set)
    reading: Reading | None = None
    own_in_flight: int = 0
    #: When the holder of the shard last said something of the upstream.
    holder_reported_at_seconds: float = float("-inf")
    #: When somebody last saw the upstream warm with the present start id.
    warm_seen_at_seconds: float = float("-inf")
    #: Outcomes of own attempts, counted for the evidence of a cold start.
    successes: int = 0
    failures: int = 0
    _latency_seconds: float | None = None
    _latency_at_seconds: float = float("-inf")

    @property
    def learned_latency_seconds(self) -> float | None:
        """The moving average of own latencies and penalties, None before the first."""
        return self._latency_seconds

    def count_free_slots(self) -> int:
        """Returns how many more calls this instance may send at once."""
        limit = self.upstream.slots
        if self.connection_limit < limit:
            limit = self.connection_limit
        if self.state is not UpstreamState.WARM and self.state in _COLD_STATES:
            limit = min(limit, max(1, self.upstream.cold_burst))
        return limit - self.own_in_flight if self.own_in_flight < limit else 0

    def begin_call(self) -> None:
        """Counts a call that is about to be sent."""
        self.own_in_flight += 1

    def end_call(self) -> None:
        """Counts the end of a call."""
        self.own_in_flight -= 1

    def store_reading(self, in_flight: int, taken_at_seconds: float) -> None:
        """Stores a reported load unless a newer one is known."""
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
        """Stores the load of an upstream's own report."""
        self.store_reading(report.in_flight, taken_at_seconds)

    def add_latency(self, latency_seconds: float, now_seconds: float) -> None:
        """Adds the latency of an answer to the moving average."""
        self._blend_latency(latency_seconds, LATENCY_WEIGHT, now_seconds)

    def add_penalty(self, penalty_seconds: float, now_seconds: float) -> None:
        """Adds a failed attempt to the moving average."""
        self._blend_latency(penalty_seconds, PENALTY_WEIGHT, now_seconds)

    def estimate_latency_seconds(
        self, now_seconds: float, median_seconds: float
    ) -> float:
        """Returns the learned latency, which fades towards ``median_seconds``."""
        if self._latency_seconds is None:
            return median_seconds
        age_seconds = now_seconds - self._latency_at_seconds
        kept = math.exp2(-age_seconds / LATENCY_HALF_LIFE_SECONDS)
        return median_seconds + kept * (self._latency_seconds - median_seconds)

    def estimate_in_flight(
        self, latency_seconds: float, median_seconds: float, now_seconds: float
    ) -> float:
        """Returns the calls that the upstream is estimate to work on.

        The newest report is corrected by the own calls since and loses weight with
        its age. It is estimate only within bounds: never below the own calls, not
        below the slots while the learned latency is far above the others', and others'
        calls only by half while the learned latency is far below.
        """
        # Runs for every upstream at every choice, so it calls no other function.
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
        """Returns what a chooser needs to know of the upstream."""
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
        """Returns the seconds since the last reading, infinite without one."""
        if self.reading is None:
            return float("inf")
        return now_seconds - self.reading.taken_at_seconds

    def reset_load(self) -> None:
        """Drops what was learned of an earlier run of the upstream."""
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
