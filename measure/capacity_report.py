"""Lines and slopes of :mod:`measure.capacity`."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Coroutine, Sequence
from typing import TypeVar

Result = TypeVar("Result")

#: Least processor time of one timed run, so that the clock's steps do not show.
MIN_RUN_SECONDS = 0.02


def print_line(**values: object) -> None:
    """Prints one line of key=value pairs."""
    texts = [
        f"{key}={value:.4g}" if isinstance(value, float) else f"{key}={value}"
        for key, value in values.items()
    ]
    print(" ".join(texts), flush=True)


def time_calls(action: Callable[[], object], runs: int) -> list[float]:
    """Returns the processor time of one call in microseconds, from each run.

    Processor time leaves out the time in which other processes have the core.
    """
    action()
    times = []
    for _ in range(runs):
        count = 0
        started = time.process_time()
        while (elapsed := time.process_time() - started) < MIN_RUN_SECONDS:
            action()
            count += 1
        times.append(elapsed / count * 1e6)
    return times


def run_at_once(coroutine: Coroutine[object, object, Result]) -> Result:
    """Returns the result of a coroutine that has nothing to wait for."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        result: Result = stopped.value
        return result
    coroutine.close()
    raise RuntimeError("a coroutine waits that should have ended at once")


def measure_memory(build: Callable[[], object]) -> float:
    """Returns the memory in bytes that the object made by ``build`` keeps."""
    build()
    tracemalloc.start()
    try:
        kept = build()
        size_bytes, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(size_bytes)


class Slope:
    """Values of one quantity at several sizes, and the line through them."""

    def __init__(self, name: str, per: str, unit: str) -> None:
        self._name = name
        self._per = per
        self._unit = unit
        self._sizes: list[int] = []
        self._medians: list[float] = []

    def add(self, size: int, values: Sequence[float]) -> None:
        """Prints the values at one size and keeps their median."""
        median = statistics.median(values)
        self._sizes.append(size)
        self._medians.append(median)
        print_line(
            measure=self._name,
            unit=self._unit,
            **{self._per: size},
            median=median,
            runs=len(values),
            lowest=min(values),
            highest=max(values),
        )

    def finish(self, *targets: int) -> None:
        """Prints the line through the medians and its values at ``targets``."""
        slope, intercept = statistics.linear_regression(self._sizes, self._medians)
        print_line(
            measure=f"{self._name}-slope",
            unit=self._unit,
            per=self._per,
            slope=slope,
            intercept=intercept,
            **{f"at_{target}": intercept + slope * target for target in targets},
        )
