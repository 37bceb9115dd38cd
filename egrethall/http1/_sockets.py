"""TCP streams to addresses."""

import asyncio

import anyio
from anyio.abc import SocketStream

from egrethall.configuration import split_address
from egrethall.http1._errors import ConnectError


def pause_reading(stream: SocketStream) -> None:
    """Lets a new stream read only while it is asked to receive.

    anyio 4.16 pauses a stream after a receive that had to wait. Until then asyncio
    reads whatever arrives into a queue without bound.
    """
    transport = _find_transport(stream)
    if transport is not None:
        transport.pause_reading()


def _find_transport(stream: SocketStream) -> asyncio.ReadTransport | None:
    # anyio has no public name for it. Streams of tests have none.
    return getattr(stream, "_transport", None)


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
