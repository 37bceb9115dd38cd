"""Recent load readings of one availability zone, weighted by their age."""

from collections import deque
from dataclasses import dataclass
from itertools import pairwise

#: Time in which the weight of a reading halves. A few readings per second and service
#: reach an instance; demand rises and falls within some seconds.
READING_HALF_LIFE_SECONDS = 2.0

#: Age at which a reading is dropped, with an eighth of its weight left.
MAX_READING_AGE_SECONDS = 6.0

#: Readings that are kept; the latest ones suffice under a high request rate.
MAX_READINGS = 64


@dataclass(frozen=True)
class _Reading:
    at_seconds: float
    cost: float
    free_slot_ratio: float


class ZoneReadings:
    """Estimates what an availability zone offers to a request, from load readings."""

    def __init__(self) -> None:
        self._readings: deque[_Reading] = deque(maxlen=MAX_READINGS)

    def record(self, at_seconds: float, cost: float, free_slot_ratio: float) -> None:
        """Adds one reading.

        :param cost: expected cost of a request at the upstream.
        :param free_slot_ratio: free slots of the upstream, relative to all its slots.
        """
        self._readings.append(_Reading(at_seconds, cost, free_slot_ratio))

    def count(self, now_seconds: float) -> int:
        """Returns the number of readings that are recent enough to be used."""
        return len(self._find_recent(now_seconds))

    def estimate_cost(self, now_seconds: float) -> float:
        """Returns the expected cost of the cheaper one of two random upstreams.

        A request compares two upstreams. Their average would follow the few upstreams
        that are slowed down at any moment, which a request avoids.
        """
        weighted = sorted(
            (reading.cost, _weigh(reading, now_seconds))
            for reading in self._find_recent(now_seconds)
        )
        if not weighted:
            return 0.0
        total = sum(weight for _, weight in weighted)
        # Probability that a random upstream costs at least as much as each reading.
        remaining = [1.0]
        for _, weight in weighted:
            remaining.append(max(0.0, remaining[-1] - weight / total))
        remaining[-1] = 0.0
        return sum(
            cost * (at_least**2 - more**2)
            for (cost, _), (at_least, more) in zip(
                weighted, pairwise(remaining), strict=True
            )
        )

    def estimate_free_slot_ratio(self, now_seconds: float) -> float:
        """Returns the share of free slots; 0 without recent readings."""
        weighted = [
            (reading.free_slot_ratio, _weigh(reading, now_seconds))
            for reading in self._find_recent(now_seconds)
        ]
        if not weighted:
            return 0.0
        total = sum(weight for _, weight in weighted)
        return sum(ratio * weight for ratio, weight in weighted) / total

    def _find_recent(self, now_seconds: float) -> list[_Reading]:
        oldest_seconds = now_seconds - MAX_READING_AGE_SECONDS
        return [r for r in self._readings if r.at_seconds >= oldest_seconds]


def _weigh(reading: _Reading, now_seconds: float) -> float:
    age_seconds = now_seconds - reading.at_seconds
    return float(0.5 ** (age_seconds / READING_HALF_LIFE_SECONDS))
