"""Clocks, passed to every class whose behaviour depends on time."""

import functools
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """A source of elapsed time and of the time of day."""

    def monotonic_seconds(self) -> float:
        """Returns seconds since an arbitrary start; they never go back."""
        ...

    def now(self) -> datetime:
        """Returns the time of day with its time zone."""
        ...


class SystemClock:
    """The :class:`Clock` of the operating system.

    Elapsed time comes from ``CLOCK_BOOTTIME``, which goes on while the machine is
    suspended, so that leases and loans also expire during a suspend.
    """

    def __init__(self) -> None:
        #: Returns seconds since the machine started, suspends included. A call asks
        #: some thirty times, and a method in between would double the cost.
        self.monotonic_seconds: Callable[[], float] = functools.partial(
            time.clock_gettime, time.CLOCK_BOOTTIME
        )

    def now(self) -> datetime:
        """Returns the current time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A :class:`Clock` that only moves when a test moves it."""

    def __init__(self, start_seconds: float = 1000.0) -> None:
        self._elapsed_seconds = start_seconds

    def monotonic_seconds(self) -> float:
        """Returns the seconds that the test has set."""
        return self._elapsed_seconds

    def now(self) -> datetime:
        """Returns a time of day that advances with the elapsed seconds."""
        start = datetime(2026, 1, 1, tzinfo=UTC)
        return start + timedelta(seconds=self._elapsed_seconds)

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by ``seconds``, which must not be negative."""
        if seconds < 0:
            raise ValueError(f"seconds must be 0 or more, got {seconds}")
        self._elapsed_seconds += seconds
