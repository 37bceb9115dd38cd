"""What an instance does from the signal to stop until its process ends."""

import enum
import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from egrethall.types import Clock

#: Time until the exit that a request needs to be begun, relative to its objective. A
#: request that must not run twice needs more, since one that the exit interrupts has an
#: unknown outcome, while a refused one can be sent to another instance.
REPEATABLE_TIME_RATIO = 1.0
NOT_REPEATABLE_TIME_RATIO = 2.0


class ServingPhase(enum.Enum):
    """Phases of an instance from serving to stopped."""

    RUNNING = "running"
    #: Reports not ready; each connection is closed after its next response.
    LEAVING = "leaving"
    #: Idle connections are closed immediately.
    CLOSING = "closing"


class ServingState:
    """The serving phase, the running requests and the idle connections."""

    def __init__(self, clock: Clock) -> None:
        self.phase = ServingPhase.RUNNING
        self.running_requests = 0
        self._clock = clock
        #: Monotonic clock reading at which the process ends.
        self._exit_at_seconds = math.inf
        self._idle_scopes: set[anyio.CancelScope] = set()
        self._request_scopes: set[anyio.CancelScope] = set()
        self._request_ended = anyio.Event()

    def leave(self, exit_at_seconds: float) -> None:
        """Begins the stop that ends at a monotonic clock reading."""
        self.phase = ServingPhase.LEAVING
        self._exit_at_seconds = exit_at_seconds

    def has_time_for(self, objective_seconds: float, repeatable: bool) -> bool:
        """Returns whether a request can be expected to end before the process does."""
        ratio = REPEATABLE_TIME_RATIO if repeatable else NOT_REPEATABLE_TIME_RATIO
        remaining_seconds = self._exit_at_seconds - self._clock.monotonic_seconds()
        return remaining_seconds >= ratio * objective_seconds

    def begin_request(self) -> None:
        """Counts a request from the moment at which its first bytes are read."""
        self.running_requests += 1

    def end_request(self) -> None:
        """Uncounts a request; pairs with :meth:`begin_request`."""
        self.running_requests -= 1
        self._request_ended.set()

    async def wait_until_idle(self) -> None:
        """Waits until no request is running."""
        while self.running_requests:
            self._request_ended = anyio.Event()
            await self._request_ended.wait()

    @contextmanager
    def interruptible(self) -> Iterator[anyio.CancelScope]:
        """Opens a scope in which :meth:`interrupt_requests` cancels a request."""
        with anyio.CancelScope() as scope:
            self._request_scopes.add(scope)
            try:
                yield scope
            finally:
                self._request_scopes.discard(scope)

    def interrupt_requests(self) -> None:
        """Interrupts requests in flight, so that their callers get a response."""
        for scope in tuple(self._request_scopes):
            scope.cancel()

    def close_idle_connections(self) -> None:
        """Closes idle connections, and each further one as it becomes idle."""
        self.phase = ServingPhase.CLOSING
        for scope in tuple(self._idle_scopes):
            scope.cancel()

    def add_idle_scope(self, scope: anyio.CancelScope) -> None:
        """Adds the cancel scope of a connection that waits for a request."""
        self._idle_scopes.add(scope)

    def remove_idle_scope(self, scope: anyio.CancelScope) -> None:
        """Removes the cancel scope of a connection that has stopped waiting."""
        self._idle_scopes.discard(scope)
