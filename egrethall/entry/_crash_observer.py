"""Tells upstreams that crashed from those that only broke a connection."""

from collections import deque
from dataclasses import dataclass

from egrethall.entry._path_checker import PathChecker
from egrethall.entry._prober import Prober
from egrethall.placement import CrashGuard, UpstreamState, UpstreamTable
from egrethall.types import Clock

#: Time after a broken connection in which a new start of the upstream proves that it
#: crashed. Its entry is read some seconds after its start.
RESTART_PROOF_SECONDS = 5.0

#: Broken connections that are remembered.
MAX_BROKEN_CONNECTIONS = 256


@dataclass(frozen=True)
class _BrokenConnection:
    fingerprint: bytes
    state: UpstreamState
    broken_at_seconds: float


class CrashObserver:
    """Records a crash if an upstream is gone after it broke a request's connection.

    It is gone if it no longer responds, or if it is published with a later start soon
    afterwards: one that is back at once responds. Upstreams reset connections while
    they are full, and networks lose responses. That this happens twice to a request is
    no reason to refuse it for a while.
    """

    def __init__(
        self,
        table: UpstreamTable,
        prober: Prober,
        checker: PathChecker,
        crashes: CrashGuard,
        clock: Clock,
    ) -> None:
        self._table = table
        self._prober = prober
        self._checker = checker
        self._crashes = crashes
        self._clock = clock
        self._broken: deque[_BrokenConnection] = deque(maxlen=MAX_BROKEN_CONNECTIONS)
        table.subscribe_to_restarts(self._observe_restart)

    def observe_broken(
        self, fingerprint: bytes, state: UpstreamState, health_path: str
    ) -> None:
        """Checks an upstream that broke the connection of a request, in a task.

        :param fingerprint: identifies the request in the crash guard.
        """
        current = self._table.find_state(state.name)
        if current is not state:
            # Removed or started again meanwhile.
            self._crashes.observe_crash(fingerprint, state.run_key)
            return
        self._broken.append(
            _BrokenConnection(fingerprint, state, self._clock.monotonic_seconds())
        )

        async def observe_unresponsive() -> None:
            # An instance that reaches no upstream cannot tell which of them crashed.
            if await self._checker.reaches_any(excluded=state.name):
                self._crashes.observe_crash(fingerprint, state.run_key)

        self._prober.start_check(state, health_path, observe_unresponsive)

    def _observe_restart(self, previous: UpstreamState) -> None:
        """Records the crashes of an upstream that is published with a later start."""
        oldest_seconds = self._clock.monotonic_seconds() - RESTART_PROOF_SECONDS
        for broken in self._broken:
            if broken.state is previous and broken.broken_at_seconds >= oldest_seconds:
                self._crashes.observe_crash(broken.fingerprint, previous.run_key)
