"""TCP streams and the socket options that detect an unresponsive peer."""

import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

from egrethall.configuration import split_address
from egrethall.http1._errors import ConnectError

#: Idle time before the first TCP keep-alive probe, and the time between probes.
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1

#: Consecutive unanswered keep-alive probes after which the kernel ends a connection.
KEEP_ALIVE_MAX_PROBES = 2

#: Time for which sent data may stay unacknowledged before the kernel ends the
#: connection.
UNACKNOWLEDGED_TIMEOUT_MS = 3000


async def open_stream(address: str, timeout_seconds: float) -> SocketStream:
    """Returns a connected stream; raises :class:`ConnectError`."""
    host, port = split_address(address)
    try:
        with anyio.fail_after(timeout_seconds):
            return await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"{address}: {error or 'connecting timed out'}") from error


def enable_keep_alive(stream: SocketStream) -> None:
    """Makes the kernel end the connection if its peer becomes unresponsive."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_MAX_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        raw_socket.setsockopt(level, option, value)
