"""Tells upstreams that crashed from those that only broke a connection."""

from egrethall.entry._path_checker import PathChecker
from egrethall.entry._prober import Prober
from egrethall.placement import CrashGuard, UpstreamTable


class CrashObserver:
    """Records a crash if an upstream no longer responds after a broken connection.

    Upstreams reset connections while they are full, and networks lose responses. A
    request to which that happens twice is no reason to refuse it for a while.
    """

    def __init__(
        self,
        table: UpstreamTable,
        prober: Prober,
        checker: PathChecker,
        crashes: CrashGuard,
    ) -> None:
        self._table = table
        self._prober = prober
        self._checker = checker
        self._crashes = crashes

    def observe_broken(
        self, fingerprint: bytes, upstream: str, health_path: str
    ) -> None:
        """Checks an upstream that broke the connection of a request, in a task.

        :param fingerprint: identifies the request in the crash guard.
        """
        state = self._table.find_state(upstream)
        if state is None:
            self._crashes.observe_crash(fingerprint, upstream)
            return

        async def observe_unresponsive() -> None:
            # An instance that reaches no upstream cannot tell which of them crashed.
            if await self._checker.reaches_any(excluded=upstream):
                self._crashes.observe_crash(fingerprint, upstream)

        self._prober.start_check(state, health_path, observe_unresponsive)
