"""One exact central token bucket, against which the fleet's allowances are compared."""

from collections.abc import Iterable
from dataclasses import dataclass

#: Rounding errors of a run stay far below this part of a token.
TOKEN_TOLERANCE = 1e-6


@dataclass(frozen=True)
class Outcome:
    """How one request ended."""

    arrived_at_seconds: float
    ended_at_seconds: float
    organisation: str
    entry: str
    #: The refusal's code, empty if the request was admitted.
    refusal: str


@dataclass(frozen=True)
class Comparison:
    """What one organisation got, next to what an exact bucket gives."""

    requests: int
    admitted: int
    #: Requests that the exact bucket admits.
    usable: int
    #: Requests that the exact bucket admits and that were refused.
    wrongful: int


@dataclass(frozen=True)
class LimitPeriod:
    """The rate and burst that hold from a time on."""

    from_seconds: float
    rate_per_second: float
    burst: float


class ExactBucket:
    """A token bucket that starts full."""

    def __init__(self, rate_per_second: float, burst: float, now: float) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._level = float(burst)
        self._minted_until = now

    def change(self, rate_per_second: float, burst: float, now: float) -> None:
        """Goes on with other limits."""
        self._refresh(now)
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._level = min(self._level, burst)

    def raise_to(self, level: float, now: float) -> None:
        """Raises the level to ``level`` if it is lower."""
        self._refresh(now)
        self._level = max(self._level, level)

    def take(self, now: float) -> bool:
        """Takes a token; returns False if there is none."""
        self._refresh(now)
        if self._level < 1.0 - TOKEN_TOLERANCE:
            return False
        self._level -= 1.0
        return True

    def _refresh(self, now: float) -> None:
        elapsed = max(0.0, now - self._minted_until)
        self._minted_until = max(now, self._minted_until)
        self._level = min(self._burst, self._level + elapsed * self._rate_per_second)


def count_excess(admitted_at: Iterable[float], periods: list[LimitPeriod]) -> int:
    """Returns how many admissions a full exact bucket would not have allowed.

    It is 0 if and only if, over every interval within one period, the number of
    admissions is at most burst + rate x length. Where a burst rises, the bucket gets
    the difference, as the interval may begin at that moment.
    """
    first, *later = periods
    bucket = ExactBucket(first.rate_per_second, first.burst, first.from_seconds)
    burst = first.burst
    excess = 0
    for moment in sorted(admitted_at):
        while later and later[0].from_seconds <= moment:
            period = later.pop(0)
            bucket.change(period.rate_per_second, period.burst, period.from_seconds)
            if period.burst > burst:
                bucket.raise_to(period.burst, period.from_seconds)
            burst = period.burst
        excess += not bucket.take(moment)
    return excess


def compare_outcomes(
    outcomes: Iterable[Outcome], rate_per_second: float, burst: float, start: float
) -> Comparison:
    """Compares the outcomes of one organisation with a bucket full at ``start``."""
    bucket = ExactBucket(rate_per_second, burst, start)
    requests = admitted = usable = wrongful = 0
    for outcome in sorted(outcomes, key=lambda entry: entry.arrived_at_seconds):
        within = bucket.take(outcome.arrived_at_seconds)
        requests += 1
        admitted += not outcome.refusal
        usable += within
        wrongful += within and bool(outcome.refusal)
    return Comparison(requests, admitted, usable, wrongful)
