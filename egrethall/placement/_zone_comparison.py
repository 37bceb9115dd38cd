"""Compares the availability zones of one service by placements and load readings."""

import enum
from collections import defaultdict
from collections.abc import Sequence

from egrethall.placement._cost import FAILURE_COST
from egrethall.placement._zone_readings import ZoneReadings
from egrethall.types import Clock, UpstreamReading

#: Readings of a zone without which it is not compared.
MIN_READINGS = 3

#: Cost of a request that waits for an upstream, in usual service times, and of one that
#: finds none. A late response costs its caller no more than a refusal.
LATE_COST = 0.5
NONE_COST = FAILURE_COST

#: Weight of the newest placement in the moving averages of the outcomes.
OUTCOME_WEIGHT = 0.1

#: Share of free slots at and below which a zone is nearly full.
NEARLY_FULL_RATIO = 0.3

#: Time without readings of other zones after which some are to be taken.
EXPLORE_AFTER_SECONDS = 1.0

#: Probes of the own zone without a response, and time since the first of them, after
#: which none of its upstreams counts as responding. Each request probes two.
SILENT_PROBES = 4
SILENT_SECONDS = 0.3


class PlacementOutcome(enum.Enum):
    """What a request found in its own availability zone."""

    FOUND_AT_ONCE = "found-at-once"
    FOUND_LATE = "found-late"
    NONE_FOUND = "none-found"


class ZoneComparison:
    """What an instance knows of the zones that have upstreams of one service.

    Answers the load that :class:`ZoneOverflow` is made for: a few readings per second,
    of upstreams a third of which are slowed down for half a second at any moment.
    """

    def __init__(self, own_zone: str, clock: Clock) -> None:
        self._own_zone = own_zone
        self._clock = clock
        self._readings: defaultdict[str, ZoneReadings] = defaultdict(ZoneReadings)
        self.late_ratio = 0.0
        self.none_ratio = 0.0
        #: Whether the own zone has upstreams that have not failed just now.
        self.has_own_upstreams = True
        self._other_zone_read_at_seconds = float("-inf")
        #: Probes of the own zone since its last response, and time of the first one.
        self._unanswered_probes = 0
        self._unanswered_since_seconds = 0.0

    @property
    def own_zone_silent(self) -> bool:
        """Whether the own zone has no upstream that responds to probes."""
        if not self.has_own_upstreams:
            return True
        silent_seconds = (
            self._clock.monotonic_seconds() - self._unanswered_since_seconds
        )
        return (
            self._unanswered_probes >= SILENT_PROBES
            and silent_seconds >= SILENT_SECONDS
        )

    @property
    def lacks_other_readings(self) -> bool:
        """Whether the readings of other zones are not recent."""
        now_seconds = self._clock.monotonic_seconds()
        return now_seconds - self._other_zone_read_at_seconds >= EXPLORE_AFTER_SECONDS

    def record_probes(self, zones: Sequence[str]) -> None:
        """Records that upstreams of ``zones`` are probed."""
        count = zones.count(self._own_zone)
        if count and not self._unanswered_probes:
            self._unanswered_since_seconds = self._clock.monotonic_seconds()
        self._unanswered_probes += count

    def record_reading(
        self, zone: str, reading: UpstreamReading, cost: float | None
    ) -> None:
        """Records the response to a probe.

        :param cost: cost of a request there without the transfer, None if the upstream
            has no capacity.
        """
        now_seconds = self._clock.monotonic_seconds()
        free_slots = max(0, reading.slots - reading.running - reading.waiting)
        if zone == self._own_zone:
            self._unanswered_probes = 0
        else:
            self._other_zone_read_at_seconds = now_seconds
            # Requests from other zones get free slots only.
            cost = cost if free_slots else None
        bounded_cost = NONE_COST if cost is None else min(cost, NONE_COST)
        self._readings[zone].record(
            now_seconds, bounded_cost, free_slots / reading.slots
        )

    def record_outcome(self, outcome: PlacementOutcome) -> None:
        """Records what a request that did not consider other zones at first found."""
        late = float(outcome is PlacementOutcome.FOUND_LATE)
        none = float(outcome is PlacementOutcome.NONE_FOUND)
        self.late_ratio += OUTCOME_WEIGHT * (late - self.late_ratio)
        self.none_ratio += OUTCOME_WEIGHT * (none - self.none_ratio)

    def estimate_cost_here(self) -> float | None:
        """Returns the expected cost in the own zone, None without recent readings."""
        now_seconds = self._clock.monotonic_seconds()
        readings = self._readings[self._own_zone]
        if readings.count(now_seconds) < MIN_READINGS:
            return None
        return (
            readings.estimate_cost(now_seconds)
            + LATE_COST * self.late_ratio
            + NONE_COST * self.none_ratio
        )

    def estimate_costs_there(self) -> dict[str, float]:
        """Returns the expected cost in each other zone with enough recent readings."""
        now_seconds = self._clock.monotonic_seconds()
        return {
            zone: readings.estimate_cost(now_seconds)
            for zone, readings in self._readings.items()
            if zone != self._own_zone and readings.count(now_seconds) >= MIN_READINGS
        }

    def is_nearly_full(self, zone: str) -> bool:
        """Returns whether few slots of ``zone`` are free, or nothing is known of it."""
        now_seconds = self._clock.monotonic_seconds()
        free_slot_ratio = self._readings[zone].estimate_free_slot_ratio(now_seconds)
        return free_slot_ratio <= NEARLY_FULL_RATIO
