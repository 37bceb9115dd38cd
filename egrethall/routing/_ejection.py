"""Outlier ejection: temporary exclusion of failing upstreams."""

from dataclasses import dataclass

from egrethall.types import RandomSource

#: Number of consecutive failures after which an upstream is ejected.
CONSECUTIVE_FAILURES = 3

#: At most one in this many upstreams of a service is ejected at the same time.
MAX_EJECTED_DIVISOR = 3

FIRST_BACK_OFF_SECONDS = 0.5
MAX_BACK_OFF_SECONDS = 30.0

#: Time after which a trial without an outcome no longer blocks another trial.
TRIAL_TIMEOUT_SECONDS = 5.0


@dataclass
class _EjectionState:
    """Consecutive failures and ejection state of one upstream."""

    consecutive_failures: int = 0
    #: Ejections since the last success.
    ejections: int = 0
    #: End of the back-off; None if the upstream is not ejected.
    ejected_until_seconds: float | None = None
    #: Start of the running trial; None if there is none.
    trial_started_at_seconds: float | None = None


class EjectionPolicy:
    """Decides which upstreams of one service are ejected.

    After consecutive failures an upstream is ejected for an exponential back-off with
    jitter, then gets one trial request. The share of ejected upstreams is bounded, so
    that the service stays available when all of them fail.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._states: dict[str, _EjectionState] = {}

    def set_upstreams(self, names: frozenset[str]) -> None:
        """Replaces the upstreams and drops the states of removed ones."""
        self._states = {
            name: self._states.get(name, _EjectionState()) for name in sorted(names)
        }
        ejected = [name for name in self._states if self._is_ejected_or_on_trial(name)]
        for name in ejected[self._find_max_ejected() :]:
            self._states[name] = _EjectionState()

    def record_success(self, name: str) -> None:
        """Ends the upstream's ejection and resets its failure count."""
        if name in self._states:
            self._states[name] = _EjectionState()

    def record_failure(self, name: str, now_seconds: float) -> None:
        """Counts a failure and ejects the upstream after enough of them in a row."""
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
        """Marks a request to an ejected upstream, after its back-off, as the trial."""
        state = self._states.get(name)
        if state is not None and state.ejected_until_seconds is not None:
            state.trial_started_at_seconds = now_seconds

    def cancel_trial(self, name: str) -> None:
        """Ends a trial whose outcome does not show whether the upstream works."""
        state = self._states.get(name)
        if state is not None:
            state.trial_started_at_seconds = None

    def is_ejected(self, name: str, now_seconds: float) -> bool:
        """Returns whether the upstream must not get a request now."""
        state = self._states.get(name)
        if state is None or state.ejected_until_seconds is None:
            return False
        if now_seconds < state.ejected_until_seconds:
            return True
        started = state.trial_started_at_seconds
        return started is not None and now_seconds < started + TRIAL_TIMEOUT_SECONDS

    def is_on_trial(self, name: str) -> bool:
        """Returns whether a trial request to an ejected upstream is running."""
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
