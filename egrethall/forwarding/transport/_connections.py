"""The connections to one upstream, their number and their age."""

import socket
import ssl
from collections import deque
from collections.abc import Callable

import anyio
import httpx

from egrethall.forwarding.transport._messages import UpstreamConnection
from egrethall.types import Clock

#: Time to open a connection, a wait for a free one included.
CONNECT_TIMEOUT_SECONDS = 1.0

#: A request that must not run twice goes out only on a connection that was idle for
#: less: the longer a connection is idle, the likelier its upstream closes it just
#: when the request is sent, and the outcome is then unknown.
FRESH_IDLE_SECONDS = 1.0

#: Idle connections are closed after this time. It is under the 5 s after which common
#: HTTP servers close theirs, so that egrethall is the side that closes.
IDLE_SECONDS = 4.0

#: Upstreams are plain HTTP. Transports of httpx load the machine's certificates when
#: they get no context, which took 34 ms for each connection.
UNUSED_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

#: Returns an object that makes at most one connection.
ConnectionFactory = Callable[[], UpstreamConnection]

#: Size from which aiohttp pauses reading; it buffers up to twice as much.
READ_BUFFER_BYTES = 16 * 1024

#: Longest field of a response.
FIELD_BYTES = 16 * 1024

#: Buffers of the socket (Linux doubles the value). The receive buffer bounds what one
#: read of the event loop can take in beyond the read buffer, and the send buffer how
#: much of a request leaves the caller before its upstream reads.
SOCKET_BUFFER_BYTES = 64 * 1024


class MalformedMessageError(httpx.RemoteProtocolError):
    """The peer sent something that is not HTTP, or more header fields than allowed."""


class Connection:
    """One connection, in use by one request or idle."""

    def __init__(self, channel: UpstreamConnection) -> None:
        self.channel = channel
        #: Clock time at which the connection became idle.
        self.idle_since_seconds = 0.0

    async def close(self) -> None:
        """Closes the connection, also in a cancelled task."""
        with anyio.CancelScope(shield=True):
            await self.channel.aclose()


class ConnectionPool:
    """The connections to one upstream, never more than a limit.

    Idle connections are one set with two views. A request that must not run twice
    takes only connections that were idle for less than :data:`FRESH_IDLE_SECONDS`;
    the others take any. Two separate pools would share the limit between them, and
    one could wait while the other has idle connections.
    """

    def __init__(self, factory: ConnectionFactory, clock: Clock) -> None:
        self._factory = factory
        self._clock = clock
        self._idle: deque[Connection] = deque()
        self._in_use = 0
        self._waiting: deque[anyio.Event] = deque()

    @property
    def is_unused(self) -> bool:
        """Whether there is no connection and nobody waits for one."""
        return not (self._idle or self._in_use or self._waiting)

    @property
    def open_count(self) -> int:
        """The number of connections, idle ones included."""
        return len(self._idle) + self._in_use

    def take_idle(self, limit: int, fresh: bool) -> Connection | None:
        """Takes an idle connection, or returns None if it takes :meth:`acquire`."""
        if self._in_use >= limit or self._waiting or not self._idle:
            return None
        if not self._is_usable(self._idle[-1], fresh):
            return None
        self._in_use += 1
        return self._idle.pop()

    async def acquire(self, limit: int, fresh: bool) -> Connection:
        """Returns a connection for one request, after a wait for a free one."""
        if self._in_use < limit and not self._waiting:
            self._in_use += 1
        else:
            await self._wait_for_turn()
        if self._idle and self._is_usable(self._idle[-1], fresh):
            return self._idle.pop()
        try:
            # Old connections give way to a new one.
            while self._idle and self.open_count > limit:
                await self._idle.popleft().close()
            return Connection(self._factory())
        except BaseException:
            self._free_place()
            raise

    def release(self, connection: Connection) -> None:
        """Takes back a connection whose response was read to its end."""
        connection.idle_since_seconds = self._clock.monotonic_seconds()
        self._idle.append(connection)
        self._free_place()

    async def discard(self, connection: Connection) -> None:
        """Closes a connection that must not be used again."""
        try:
            await connection.close()
        finally:
            self._free_place()

    async def close_idle(self, older_than_seconds: float) -> None:
        """Closes the connections that were idle for at least so long."""
        now_seconds = self._clock.monotonic_seconds()
        while self._idle:
            if now_seconds - self._idle[0].idle_since_seconds < older_than_seconds:
                return
            await self._idle.popleft().close()

    async def _wait_for_turn(self) -> None:
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                # The place was handed over while this task was being cancelled.
                self._free_place()
            else:
                self._waiting.remove(turn)
            raise

    def _is_usable(self, connection: Connection, fresh: bool) -> bool:
        # The newest connection is tried first, so that surplus ones grow old.
        age_seconds = self._clock.monotonic_seconds() - connection.idle_since_seconds
        return age_seconds < (FRESH_IDLE_SECONDS if fresh else IDLE_SECONDS)

    def _free_place(self) -> None:
        """Passes the place of a connection on, or gives it back."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._in_use -= 1


def open_socket(
    family: int, kind: int = socket.SOCK_STREAM, protocol: int = 0
) -> socket.socket:
    """Returns a socket with bounded buffers that sends small pieces at once."""
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return opened
