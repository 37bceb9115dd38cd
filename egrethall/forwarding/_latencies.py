"""Recent latencies to response headers, which determine the delay of hedges."""

from collections import deque

#: Number of samples kept for each service.
WINDOW_SAMPLES = 200

#: Fewer samples do not give a meaningful 95th percentile.
MIN_SAMPLES = 20

#: Samples between two calculations of the percentile; sorting at every sample would
#: cost more than the fresher value is worth.
SAMPLES_PER_CALCULATION = 20


class LatencyWindow:
    """A sliding window of one service's latencies to response headers."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._samples_since_calculation = 0
        self._p95_seconds: float | None = None

    @property
    def p95_seconds(self) -> float | None:
        """The 95th percentile, or None before :data:`MIN_SAMPLES` samples."""
        return self._p95_seconds

    def record(self, seconds: float) -> None:
        """Adds one sample."""
        self._samples.append(seconds)
        self._samples_since_calculation += 1
        if self._samples_since_calculation < SAMPLES_PER_CALCULATION:
            return
        self._samples_since_calculation = 0
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._p95_seconds = ordered[int(0.95 * (len(ordered) - 1))]
