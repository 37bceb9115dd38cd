"""Decides when a request that awaits its response is sent to a second upstream.

Guards against a noisy neighbour that slows the first upstream down after the request
was sent. Probing the upstream detects this while a second one still has time to
respond.
"""

from dataclasses import dataclass

from egrethall.types import UpstreamReading


@dataclass(frozen=True)
class HedgePolicy:
    """Thresholds; times are fractions of the route's latency objective."""

    #: Elapsed time at which the first upstream is probed. Most requests are complete
    #: by then.
    first_probe_ratio: float = 0.35
    #: Time between two probes.
    probe_interval_ratio: float = 0.2
    #: Elapsed time from which a request is hedged whatever the reading shows.
    overdue_ratio: float = 0.75
    #: Slowness of the first upstream from which a second one would respond sooner.
    min_slowness_ratio: float = 2.5
    #: Remaining time that the second upstream needs to respond.
    min_remaining_ratio: float = 0.4

    def find_next_probe_seconds(
        self, elapsed_seconds: float, objective_seconds: float
    ) -> float:
        """Returns the elapsed time at which to probe the first upstream next."""
        first_seconds = self.first_probe_ratio * objective_seconds
        if elapsed_seconds < first_seconds:
            return first_seconds
        return elapsed_seconds + self.probe_interval_ratio * objective_seconds

    def has_time_for_hedge(self, left_seconds: float, objective_seconds: float) -> bool:
        """Returns whether a second upstream could still respond in time."""
        return left_seconds >= self.min_remaining_ratio * objective_seconds

    def should_hedge(
        self,
        elapsed_seconds: float,
        objective_seconds: float,
        reading: UpstreamReading | None,
    ) -> bool:
        """Returns whether to send the request to a second upstream.

        :param reading: of the first upstream; None if it does not respond to probes.
        """
        if reading is None or elapsed_seconds >= self.overdue_ratio * objective_seconds:
            return True
        return reading.slowness_ratio >= self.min_slowness_ratio
