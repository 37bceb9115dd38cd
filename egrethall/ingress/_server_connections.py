"""Connections of the HTTP server, where the ASGI interface has no message.

Hypercorn 0.18 leaves an HTTP/2 stream open for ever when the application returns
early, drops an HTTP/2 connection on data for a stream that it has ended, buffers
HTTP/2 answers without bound, closes HTTP/2 connections before the last answer's end is
sent when it stops, and sends GOAWAY only then. The objects behind ``send`` are
therefore used directly; tests over real sockets fail if another version arranges them
differently.
"""

from collections.abc import Mapping
from typing import Protocol, cast
from weakref import WeakKeyDictionary

import structlog
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError
from hypercorn.events import RawData
from hyperframe.frame import GoAwayFrame

from egrethall.ingress._asgi import Send

_logger = structlog.get_logger("egrethall.ingress")


class _ServerStream(Protocol):
    """Hypercorn's object for one request."""

    stream_id: int


class _StreamBuffer(Protocol):
    """Hypercorn's buffer of one HTTP/2 answer."""

    buffer: bytearray

    async def drain(self) -> None:
        """Waits until the buffer is empty."""
        ...


class _Http2Protocol(Protocol):
    """Hypercorn's object for one HTTP/2 connection."""

    connection: H2Connection
    closed: bool
    stream_buffers: Mapping[int, _StreamBuffer]

    async def send(self, event: RawData) -> None:
        """Writes bytes to the connection."""
        ...


class Http2Connections:
    """The HTTP/2 connections that have carried a request."""

    def __init__(self) -> None:
        #: The highest stream of each connection.
        self._highest_streams: WeakKeyDictionary[_Http2Protocol, int] = (
            WeakKeyDictionary()
        )

    def add(self, send: Send) -> None:
        """Notes the connection and the stream of a request."""
        protocol = _find_http2_protocol(send)
        if protocol is not None:
            highest = self._highest_streams.get(protocol, 0)
            stream_id = _find_stream(send).stream_id
            self._highest_streams[protocol] = max(highest, stream_id)

    def count_open_streams(self) -> int:
        """Returns the number of streams whose answers are not sent to their end."""
        return sum(
            protocol.connection.open_inbound_streams
            for protocol in list(self._highest_streams)
            if not protocol.closed
        )

    async def send_goaway(self) -> None:
        """Tells all callers which streams are still answered.

        The frame is written past the connection's state machine, which would send
        nothing more after it.
        """
        for protocol, highest in list(self._highest_streams.items()):
            if protocol.closed:
                continue
            frame = GoAwayFrame(0, last_stream_id=highest)
            await protocol.send(RawData(data=frame.serialize()))


async def reset_http2_stream(send: Send) -> None:
    """Sends RST_STREAM, so that the answer cannot be taken for a whole one."""
    await _close_http2_stream(send, ErrorCodes.INTERNAL_ERROR, ended=False)


async def end_http2_stream(send: Send) -> None:
    """Ends the answer and tells the caller to stop sending its request."""
    await _close_http2_stream(send, ErrorCodes.NO_ERROR, ended=True)


async def drain_http2_stream(send: Send) -> None:
    """Returns when the caller's windows have taken what was sent so far.

    Hypercorn 0.18 itself takes any number of bytes from the application.
    """
    protocol = _find_http2_protocol(send)
    if protocol is None:
        return
    buffer = protocol.stream_buffers.get(_find_stream(send).stream_id)
    # Draining waits for the moment at which the buffer becomes empty.
    if buffer is not None and buffer.buffer:
        await buffer.drain()


async def _close_http2_stream(send: Send, code: ErrorCodes, ended: bool) -> None:
    protocol = _find_http2_protocol(send)
    if protocol is None:
        _logger.error("http2_connection_not_found", send=type(send).__name__)
        return
    stream_id = _find_stream(send).stream_id
    try:
        if ended:
            protocol.connection.end_stream(stream_id)
        protocol.connection.reset_stream(stream_id, code)
    except ProtocolError:
        # The caller has reset the stream or closed the connection.
        return
    await protocol.send(RawData(data=protocol.connection.data_to_send()))


def _find_stream(send: Send) -> _ServerStream:
    return cast(_ServerStream, getattr(send, "__self__", None))


def _find_http2_protocol(send: Send) -> _Http2Protocol | None:
    protocol = _follow_send(_find_stream(send))
    if not isinstance(getattr(protocol, "connection", None), H2Connection):
        return None
    return cast(_Http2Protocol, protocol)


def _follow_send(part: object) -> object:
    """Returns the object that the method ``send`` of ``part`` belongs to."""
    return getattr(getattr(part, "send", None), "__self__", None)
