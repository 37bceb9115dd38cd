"""Bounded ejection of upstreams that fail."""

from dataclasses import dataclass

from egrethall.types import RandomSource

#: Failures in a row after which an upstream is ejected.
CONSECUTIVE_FAILURES = 3

#: At most one of this many upstreams of a service is ejected at the same time.
MAX_EJECTED_DIVISOR = 3

FIRST_BACK_OFF_SECONDS = 0.5
MAX_BACK_OFF_SECONDS = 30.0

#: Time after which a trial without an outcome no longer blocks the next one.
TRIAL_TIMEOUT_SECONDS = 5.0


@dataclass
class _EjectionState:
    """Failures of one upstream."""

    consecutive_failures: int = 0
    #: Ejections since the last success.
    ejections: int = 0
    ejected_until_seconds: float | None = None
    trial_started_at_seconds: float | None = None


class EjectionPolicy:
    """Decides which upstreams of one service are left out for a while.

    After consecutive failures an upstream is ejected for a back-off with jitter,
    then gets one trial request. The share of ejected upstreams is bounded, so that
    the service stays available when all of them fail.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._states: dict[str, _EjectionState] = {}

    def set_upstreams(self, names: frozenset[str]) -> None:
        """Sets the upstreams of the service; the states of others are dropped."""
        self._states = {
            name: self._states.get(name, _EjectionState()) for name in sorted(names)
        }
        ejected = [name for name in self._states if self._is_ejected_or_on_trial(name)]
        for name in ejected[self._find_max_ejected() :]:
            self._states[name] = _EjectionState()

    def record_success(self, name: str) -> None:
        """Ends an ejection and the count of failures."""
        if name in self._states:
            self._states[name] = _EjectionState()

    def record_failure(self, name: str, now_seconds: float) -> None:
        """Counts a failure, and ejects the upstream after enough of them."""
        state = self._states.get(name)
        if state is None:
            return
        state.consecutive_failures += 1
        trial_failed = state.trial_started_at_seconds is not None
        if state.ejected_until_seconds is not None and not trial_failed:
            return
        if state.consecutive_failures < CONSECUTIVE_FAILURES:
            return
        if not trial_failed and self.count_ejected() >= self._find_max_ejected():
            return
        self._eject(state, now_seconds)

    def begin_trial(self, name: str, now_seconds: float) -> None:
        """Marks that a request goes to an ejected upstream whose back-off is over."""
        state = self._states.get(name)
        if state is not None and state.ejected_until_seconds is not None:
            state.trial_started_at_seconds = now_seconds

    def cancel_trial(self, name: str) -> None:
        """Ends a trial that says nothing of the upstream."""
        state = self._states.get(name)
        if state is not None:
            state.trial_started_at_seconds = None

    def is_ejected(self, name: str, now_seconds: float) -> bool:
        """Returns whether the upstream may not get a request now."""
        state = self._states.get(name)
        if state is None or state.ejected_until_seconds is None:
            return False
        if now_seconds < state.ejected_until_seconds:
            return True
        started = state.trial_started_at_seconds
        return started is not None and now_seconds < started + TRIAL_TIMEOUT_SECONDS

    def is_on_trial(self, name: str) -> bool:
        """Returns whether an ejected upstream has its trial request now."""
        state = self._states.get(name)
        return state is not None and state.trial_started_at_seconds is not None

    def count_ejected(self) -> int:
        """Returns how many upstreams are ejected or on trial."""
        return sum(self._is_ejected_or_on_trial(name) for name in self._states)

    def _is_ejected_or_on_trial(self, name: str) -> bool:
        return self._states[name].ejected_until_seconds is not None

    def _find_max_ejected(self) -> int:
        return len(self._states) // MAX_EJECTED_DIVISOR

    def _eject(self, state: _EjectionState, now_seconds: float) -> None:
        back_off_seconds = min(
            MAX_BACK_OFF_SECONDS, FIRST_BACK_OFF_SECONDS * 2.0**state.ejections
        )
        state.ejections += 1
        state.trial_started_at_seconds = None
        state.ejected_until_seconds = (
            now_seconds + back_off_seconds * self._random.uniform(0.5, 1.0)
        )
