"""A pool of idle connections to upstreams."""

from collections import Counter, deque
from dataclasses import dataclass

from egrethall.http1 import ClientConnection
from egrethall.placement import UpstreamState
from egrethall.types import Clock

#: Maximum number of idle connections to one upstream. A probe uses one; at the current
#: size of an instance, it rarely sends two requests to one upstream at once.
MAX_IDLE_CONNECTIONS = 3

#: Longest time that a connection is kept idle, also used if the upstream states no
#: limit of its own.
MAX_IDLE_SECONDS = 8.0

#: A connection expires this much earlier than the upstream would close it.
IDLE_MARGIN_SECONDS = 1.0


@dataclass(frozen=True)
class _IdleConnection:
    """A connection that waits for its next request."""

    connection: ClientConnection
    #: Monotonic clock reading from which it is not used any more.
    expires_at_seconds: float


class ConnectionPool:
    """Keeps idle connections, by upstream process, until they expire.

    A restarted upstream has a new :class:`UpstreamState` and so none of the earlier
    connections.
    """

    def __init__(self, clock: Clock, opened_counts: Counter[str] | None = None) -> None:
        self._clock = clock
        #: Connections opened, by service.
        self._opened_counts = Counter() if opened_counts is None else opened_counts
        self._idle: dict[UpstreamState, deque[_IdleConnection]] = {}

    async def acquire(self, state: UpstreamState) -> ClientConnection | None:
        """Removes and returns the most recently used unexpired connection, if any."""
        idle = self._idle.get(state)
        now_seconds = self._clock.monotonic_seconds()
        while idle:
            newest = idle.pop()
            if newest.expires_at_seconds > now_seconds:
                return newest.connection
            await newest.connection.close()
        return None

    async def open(
        self, state: UpstreamState, timeout_seconds: float
    ) -> ClientConnection:
        """Opens and returns a connection, which :meth:`release` adds to the pool."""
        self._opened_counts[state.entry.service] += 1
        return await ClientConnection.open(state.entry.address, timeout_seconds)

    def has_idle(self, state: UpstreamState) -> bool:
        """Returns whether :meth:`acquire` would return a connection."""
        idle = self._idle.get(state)
        if not idle:
            return False
        return idle[-1].expires_at_seconds > self._clock.monotonic_seconds()

    async def release(
        self,
        state: UpstreamState,
        connection: ClientConnection,
        idle_seconds: float | None,
    ) -> None:
        """Returns a connection to the pool, or closes it if it cannot be reused.

        :param idle_seconds: time after which the upstream closes it; None if unknown.
        """
        if not connection.reusable:
            await connection.close()
            return
        limit_seconds = MAX_IDLE_SECONDS
        if idle_seconds is not None:
            limit_seconds = min(limit_seconds, idle_seconds - IDLE_MARGIN_SECONDS)
        idle = self._idle.setdefault(state, deque())
        expires_at_seconds = self._clock.monotonic_seconds() + limit_seconds
        idle.append(_IdleConnection(connection, expires_at_seconds))
        if len(idle) > MAX_IDLE_CONNECTIONS:
            await idle.popleft().connection.close()

    async def close_expired(self) -> None:
        """Closes the connections that have expired."""
        now_seconds = self._clock.monotonic_seconds()
        for state, idle in tuple(self._idle.items()):
            while idle and idle[0].expires_at_seconds <= now_seconds:
                await idle.popleft().connection.close()
            if not idle:
                self._idle.pop(state, None)
