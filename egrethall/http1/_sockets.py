"""TCP streams, and how much of what arrives on them is held."""

import asyncio
import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

from egrethall.configuration import split_address
from egrethall.http1._errors import ConnectError

#: Most bytes that a single read from a socket returns.
MAX_READ_BYTES = 64 * 1024

#: The same while no long message is expected.
IDLE_READ_BYTES = 4 * 1024

#: Receive buffer of a socket on which a long message arrives, and of one that listens
#: for connections of clients, which inherit it. Linux holds up to one and a half times
#: as many unread bytes; the default would be 128 KiB, growing to megabytes.
MESSAGE_RECEIVE_BUFFER_BYTES = 32 * 1024
IDLE_RECEIVE_BUFFER_BYTES = 8 * 1024


def pause_reading(stream: SocketStream) -> None:
    """Lets a new stream read only while it is asked to receive.

    anyio 4.16 pauses a stream after a receive that had to wait. Until then asyncio
    reads whatever arrives into a queue without bound.
    """
    transport = _find_transport(stream)
    if transport is not None:
        transport.pause_reading()


def set_read_size(stream: SocketStream, size_bytes: int) -> None:
    """Sets the most bytes that asyncio reads from the stream's socket at once."""
    transport = _find_transport(stream)
    if transport is not None and hasattr(transport, "max_size"):
        transport.max_size = size_bytes


def _find_transport(stream: SocketStream) -> asyncio.ReadTransport | None:
    # anyio has no public name for it. Streams of tests have none.
    return getattr(stream, "_transport", None)


def set_receive_buffer(stream: SocketStream, size_bytes: int) -> None:
    """Sets how many unread bytes the kernel holds for the stream, roughly."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


def expect_long_message(stream: SocketStream) -> None:
    """Lets a stream receive in long parts, for whose memory its owner accounts."""
    set_read_size(stream, MAX_READ_BYTES)
    set_receive_buffer(stream, MESSAGE_RECEIVE_BUFFER_BYTES)


async def open_stream(address: str, timeout_seconds: float) -> SocketStream:
    """Returns a connected stream; raises :class:`ConnectError`."""
    host, port = split_address(address)
    try:
        with anyio.fail_after(timeout_seconds):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"{address}: {error or 'connecting timed out'}") from error
    pause_reading(stream)
    return stream
