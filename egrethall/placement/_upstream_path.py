"""Tells a lost path to all upstreams from upstreams that failed."""

from collections.abc import Callable

import anyio
import structlog

from egrethall.types import Clock

#: Upstreams without a response, and none with one in the meantime, from which the path
#: is checked. Fewer fail on their own.
SUSPICIOUS_FAILURES = 3

#: Upstreams that must respond until the path counts as available again.
REQUIRED_RESPONSES = 2

logger = structlog.get_logger(__name__)


class UpstreamPath:
    """Whether this instance reaches upstreams at all, by what it sees of them.

    Failures raise the suspicion only. A check of upstreams of all services decides,
    since all upstreams of one service may have failed.

    :param count_upstreams: returns the number of known upstreams.
    """

    def __init__(self, count_upstreams: Callable[[], int], clock: Clock) -> None:
        self._count_upstreams = count_upstreams
        self._clock = clock
        #: Upstreams that did not respond since the last response of any upstream.
        self._unresponsive: set[str] = set()
        #: Upstreams that responded since the last failure while the path was lost.
        self._responding: set[str] = set()
        self._responded_at_seconds = float("-inf")
        self._lost_at_seconds: float | None = None
        self._suspected = anyio.Event()
        self._lost = anyio.Event()
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Calls ``subscriber`` whenever the path is lost or available again."""
        self._subscribers.append(subscriber)

    @property
    def available(self) -> bool:
        """Whether upstreams are reached, as far as the instance knows."""
        return self._lost_at_seconds is None

    @property
    def is_suspicious(self) -> bool:
        """Whether several upstreams did not respond and no other one did since."""
        threshold = min(SUSPICIOUS_FAILURES, max(1, self._count_upstreams()))
        return len(self._unresponsive) >= threshold

    @property
    def is_check_due(self) -> bool:
        """Whether upstreams are to be probed to find out about the path.

        While it is lost, nothing else probes upstreams until two have responded.
        """
        return self.is_suspicious or not self.available

    async def wait_for_check(self) -> None:
        """Waits until a check of the path is due."""
        while not self.is_check_due:
            self._suspected = anyio.Event()
            await self._suspected.wait()

    async def wait_until_lost(self) -> None:
        """Waits until the path is lost."""
        await self._lost.wait()

    def observe_response(self, upstream: str) -> None:
        """Records that an upstream has responded, whatever its response says."""
        self._responded_at_seconds = self._clock.monotonic_seconds()
        self._unresponsive.clear()
        if self._lost_at_seconds is None:
            return
        self._responding.add(upstream)
        if len(self._responding) < min(REQUIRED_RESPONSES, self._count_upstreams()):
            return
        logger.warning(
            "path to upstreams available again",
            responding=len(self._responding),
            lost_seconds=round(self._responded_at_seconds - self._lost_at_seconds, 3),
        )
        self._lost_at_seconds = None
        self._lost = anyio.Event()
        self._responding.clear()
        self._notify()

    def observe_failure(self, upstream: str) -> None:
        """Records that an upstream did not respond or could not be connected to."""
        self._unresponsive.add(upstream)
        self._responding.discard(upstream)
        if self.is_suspicious:
            self._suspected.set()

    def observe_failed_check(self, checked: int) -> None:
        """Records that none of ``checked`` upstreams of all services has responded."""
        self._responding.clear()
        if not self.available:
            return
        self._lost_at_seconds = self._clock.monotonic_seconds()
        self._lost.set()
        logger.warning(
            "path to upstreams lost",
            unresponsive=len(self._unresponsive),
            checked=checked,
            since_response_seconds=round(
                self._lost_at_seconds - self._responded_at_seconds, 3
            ),
        )
        self._notify()

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()
