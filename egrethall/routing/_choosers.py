"""Load-balancing policies that choose one of several upstreams."""

from collections import deque
from collections.abc import Sequence
from typing import Protocol

from egrethall.routing._records import Candidate
from egrethall.types import RandomSource

#: Number of recent loads from which the hot/cold threshold is computed.
LOAD_SAMPLE_COUNT = 128

#: Upstreams above this quantile of recent loads are hot (Prequal uses 0.84).
HOT_QUANTILE = 0.84

#: Number of choices between computations of the threshold; sorting at every choice
#: would cost more than the choice itself.
SORT_INTERVAL = 8

#: Number of tied upstreams whose expected times are compared.
TIED_SAMPLE_SIZE = 5

#: Number of upstreams sampled per choice. Instances with similar readings would all
#: choose the same upstream if each compared all upstreams.
POOL_SIZE = 5

#: Age from which a reading is too old for its upstream to be in the pool.
POOL_AGE_SECONDS = 1.0


class UpstreamChooser(Protocol):
    """A load-balancing policy."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of ``candidates``, which must not be empty."""
        ...


class RandomChooser:
    """Chooses an upstream uniformly at random."""

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of ``candidates`` at random."""
        return self._random.choice(candidates)


class RoundRobinChooser:
    """Chooses the least recently chosen upstream."""

    def __init__(self) -> None:
        self._last_chosen: dict[str, int] = {}
        self._choice_count = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the least recently chosen candidate."""
        chosen = min(candidates, key=lambda item: self._last_chosen.get(item.name, 0))
        self._choice_count += 1
        self._last_chosen[chosen.name] = self._choice_count
        return chosen


class LeastInFlightChooser:
    """Chooses the upstream with the fewest own calls in flight per slot.

    Own calls, those of this instance, are known exactly, while load reports are
    stale. In a large fleet each instance has few calls in flight, so most upstreams
    tie. From a random sample of tied upstreams, the one with the lowest product of
    estimated load and latency is chosen. The sampling keeps instances with similar
    load reports from choosing the same upstream.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns a candidate with the fewest own calls in flight per slot."""
        loads = [item.own_in_flight / item.slots for item in candidates]
        lowest = min(loads)
        tied = [
            item for item, load in zip(candidates, loads, strict=True) if load == lowest
        ]
        if len(tied) > TIED_SAMPLE_SIZE:
            tied = self._random.sample(tied, TIED_SAMPLE_SIZE)
        return min(tied, key=_rank_by_expected_time)


class TwoChoicesChooser:
    """Chooses the less loaded of two random upstreams (Mitzenmacher 2001).

    The load is the estimated number of calls in flight per slot.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the less loaded of two random candidates."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return min(first, second, key=_rank_by_load)


class HotColdChooser:
    """Hot/cold selection of Prequal (Wydrowski et al., NSDI 2024).

    The pool is a small random sample of the upstreams with recent readings. Those
    whose load (calls in flight per slot) exceeds a quantile of recently observed
    loads are hot. The cold upstream with the lowest latency is chosen, or the least
    loaded one if all are hot. Unlike in Prequal, readings arrive with responses
    rather than probes, so the pool is sampled from the upstreams with recent ones.
    """

    def __init__(
        self,
        random: RandomSource,
        pool_size: int = POOL_SIZE,
        hot_quantile: float = HOT_QUANTILE,
        sort_interval: int = SORT_INTERVAL,
    ) -> None:
        self._random = random
        self._pool_size = pool_size
        self._hot_quantile = hot_quantile
        self._sort_interval = sort_interval
        self._loads: deque[float] = deque(maxlen=LOAD_SAMPLE_COUNT)
        self._threshold = 0.0
        self._choices_until_sort = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns the cold candidate with the lowest latency, if any is cold."""
        recent = [
            item for item in candidates if item.reading_age_seconds < POOL_AGE_SECONDS
        ]
        source = recent if len(recent) > 1 else candidates
        pool = self._random.sample(source, min(self._pool_size, len(source)))
        self._update_threshold(pool)
        cold = [item for item in pool if _rank_by_load(item) <= self._threshold]
        if not cold:
            return min(pool, key=_rank_by_load)
        return min(cold, key=_rank_by_latency)

    def _update_threshold(self, pool: Sequence[Candidate]) -> None:
        self._loads.extend(_rank_by_load(item) for item in pool)
        self._choices_until_sort -= 1
        if self._choices_until_sort > 0:
            return
        is_full = len(self._loads) == LOAD_SAMPLE_COUNT
        self._choices_until_sort = self._sort_interval if is_full else 1
        ordered = sorted(self._loads)
        index = min(len(ordered) - 1, int(self._hot_quantile * len(ordered)))
        self._threshold = ordered[index]


def _rank_by_load(item: Candidate) -> float:
    return item.in_flight / item.slots


def _rank_by_expected_time(item: Candidate) -> float:
    return (item.in_flight + 1) / item.slots * item.latency_seconds


def _rank_by_latency(item: Candidate) -> tuple[float, float]:
    return (item.latency_seconds, item.in_flight / item.slots)


def make_default_chooser(random: RandomSource) -> UpstreamChooser:
    """Returns the policy with the best measured tail latency.

    The measurements are in ``docs/decisions/0003-choice-of-upstream.md``.
    """
    return LeastInFlightChooser(random)
