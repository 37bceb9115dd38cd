"""A connection from an HTTP client."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from egrethall.http1._body_buffer import BodyBuffer
from egrethall.http1._errors import ConnectionLostError
from egrethall.http1._sockets import (
    IDLE_READ_BYTES,
    MAX_READ_BYTES,
    expect_long_message,
    set_read_size,
)
from egrethall.types import Clock, EgrethallError, Headers

#: Interval at which a connection with many unread bytes is checked for a disconnect. A
#: request of a client that has left must not reach an upstream half a second later.
DISCONNECT_POLL_SECONDS = 0.2

#: Largest part of a response that is given to the socket at once. The event loop copies
#: what the socket does not take.
MAX_WRITE_BYTES = 64 * 1024

#: Chunks that are parsed before other connections get their turn. A chunk takes some
#: 15 us, however small it is.
MAX_CHUNKS_AT_ONCE = 64

#: Pause after so many chunks, for each connection that sends very small ones. Together
#: they take at most a third of the processor time.
CHUNKS_PAUSE_SECONDS = 0.002

#: Allowance for the request line on top of the limit for the headers.
REQUEST_LINE_ALLOWANCE_BYTES = 8 * 1024

#: Bytes of later requests after which no more are read while one is served.
MAX_PIPELINED_BYTES = 8 * 1024


class RequestRejectedError(EgrethallError):
    """A request must be rejected with an error status and not be forwarded."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True)
class RequestHead:
    """The head of a request; header names and the host are in lower case."""

    method: str
    target: bytes
    headers: Headers
    #: Host without its port; empty if the request has no ``Host`` header.
    host: str


#: Waits until a body may have a number of bytes in total.
BodyReservation = Callable[[int], Awaitable[None]]


async def _grant_all(_: int) -> None:
    return


class ServerConnection:
    """A connection from an HTTP client that handles one request after another.

    The methods raise :class:`ConnectionLostError` if the client has disconnected.
    """

    #: Connections that send chunks faster than they are parsed.
    _chunked_count = 0

    def __init__(
        self,
        stream: SocketStream,
        max_header_bytes: int,
        clock: Clock,
        observe_bytes: Callable[[int], None] = lambda size_bytes: None,
    ) -> None:
        self._stream = stream
        self._clock = clock
        #: Gets the number of bytes that were received or sent.
        self._observe_bytes = observe_bytes
        #: Length of the current request's body; None if its chunks do not state it.
        self._body_length: int | None = None
        #: For each part of the data that was received and not parsed before: the number
        #: of bytes received until its end, and the monotonic clock reading.
        self._arrivals: deque[tuple[int, float]] = deque()
        self._received_bytes = 0
        #: Whether the body that is received allows long reads.
        self._reads_long = False
        #: Monotonic clock reading at which the last byte of the latest head arrived,
        #: which may have been while an earlier request was served.
        self.head_received_at_seconds = 0.0
        self._parser = h11.Connection(
            h11.SERVER, max_header_bytes + REQUEST_LINE_ALLOWANCE_BYTES
        )

    @property
    def request_started(self) -> bool:
        """Whether part of the next request has been received."""
        return bool(self._parser.trailing_data[0])

    @property
    def reusable(self) -> bool:
        """Whether the connection can take another request."""
        return self._parser.our_state is h11.IDLE

    async def wait_for_request(self) -> bool:
        """Waits for the next request; returns False if the client disconnects."""
        if self.request_started:
            return True
        try:
            data = await self._stream.receive(IDLE_READ_BYTES)
        except anyio.EndOfStream:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        self._buffer(data)
        return True

    async def receive_head(self) -> RequestHead:
        """Returns the head of the next request.

        Raises :class:`RequestRejectedError` if the request is not valid HTTP/1.1.
        """
        event = await self._receive_event()
        if not isinstance(event, h11.Request):
            raise ConnectionLostError("the client disconnected")
        self.head_received_at_seconds = self._find_arrival_seconds()
        headers = tuple(event.headers)
        self._body_length = _parse_body_length(headers)
        hosts = [value for name, value in headers if name == b"host"]
        if len(hosts) > 1:
            raise RequestRejectedError(400, "the request has two hosts")
        host = hosts[0].decode("latin-1") if hosts else ""
        name, separator, port = host.rpartition(":")
        if separator and port.isdigit():
            host = name
        return RequestHead(
            event.method.decode("ascii"), bytes(event.target), headers, host.lower()
        )

    async def receive_body(self, max_bytes: int) -> bytes:
        """Returns the whole body; raises :class:`RequestRejectedError` if too large."""
        buffer = BodyBuffer()
        try:
            await self.receive_body_into(buffer, max_bytes)
            return bytes(buffer.get_body())
        finally:
            buffer.close()

    async def receive_body_into(
        self,
        buffer: BodyBuffer,
        max_bytes: int,
        reserve: BodyReservation = _grant_all,
    ) -> None:
        """Receives the whole body; raises :class:`RequestRejectedError` if too large.

        :param reserve: is awaited with the size of the body before it is received, or
            with the size so far before each further chunk is parsed.
        """
        length = self._body_length
        if length is not None and length <= max_bytes:
            await reserve(length)
        if self._parser.they_are_waiting_for_100_continue:
            await self._send_event(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason="Continue"
                )
            )
        try:
            await self._receive_parts_into(buffer, max_bytes, reserve)
        finally:
            if self._reads_long:
                self._reads_long = False
                set_read_size(self._stream, IDLE_READ_BYTES)

    async def _receive_parts_into(
        self, buffer: BodyBuffer, max_bytes: int, reserve: BodyReservation
    ) -> None:
        length = self._body_length
        events = 0
        received_bytes = self._received_bytes
        while True:
            event = await self._receive_event(allows_long_reads=True)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionLostError(
                    "the client disconnected before its request was complete"
                )
            size_bytes = buffer.size_bytes + len(event.data)
            if max(size_bytes, length or 0) > max_bytes:
                raise RequestRejectedError(413, "the body is too large")
            if length is None:
                await reserve(size_bytes)
            buffer.append(event.data)
            events += 1
            if received_bytes != self._received_bytes:
                received_bytes, events = self._received_bytes, 0
            if events >= MAX_CHUNKS_AT_ONCE:
                events = 0
                await self._yield_to_others()

    async def _yield_to_others(self) -> None:
        ServerConnection._chunked_count += 1
        try:
            await anyio.sleep(CHUNKS_PAUSE_SECONDS * ServerConnection._chunked_count)
        finally:
            ServerConnection._chunked_count -= 1

    async def wait_for_disconnect(self) -> None:
        """Returns when the client has disconnected; buffers what it sends until then.

        After more than ``MAX_PIPELINED_BYTES`` of later requests this stops reading,
        which limits the buffer, and asks the kernel for the state of the connection.
        """
        while True:
            try:
                data = await self._stream.receive(IDLE_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            self._buffer(data)
            if len(self._parser.trailing_data[0]) > MAX_PIPELINED_BYTES:
                await self._poll_until_disconnect()
                return

    async def discard_until_disconnect(self) -> None:
        """Reads and drops what the client sends until it disconnects."""
        while True:
            try:
                await self._stream.receive(IDLE_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    async def _poll_until_disconnect(self) -> None:
        """Waits until the client has closed its end, without reading what it sent."""
        poller = select.poll()
        raw_socket = self._stream.extra(SocketAttribute.raw_socket)
        poller.register(raw_socket, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        while not poller.poll(0):  # noqa: ASYNC110
            await anyio.sleep(DISCONNECT_POLL_SECONDS)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of the response to the current request."""
        await self._send_event(h11.Response(status_code=status, headers=list(headers)))

    async def send_body_chunk(self, piece: bytes | memoryview) -> None:
        """Sends part of the response's body, in writes of limited size."""
        with memoryview(piece) as view:
            for start in range(0, len(view), MAX_WRITE_BYTES):
                with view[start : start + MAX_WRITE_BYTES] as part:
                    parts = self._encode_parts(part)
                    # Those of a chunk are sent in one write.
                    await self._write(parts[0] if len(parts) == 1 else b"".join(parts))

    async def end_response(self) -> None:
        """Completes the response and prepares the connection for the next request."""
        await self._send_event(h11.EndOfMessage())
        self._finish_exchange()

    async def send_response(
        self, status: int, headers: Headers, body: bytes | memoryview
    ) -> None:
        """Sends a whole response; ``headers`` state the body's length.

        A small one is sent in one write, a longer one in several, without a copy.
        """
        data = self._encode(h11.Response(status_code=status, headers=list(headers)))
        if len(body) > MAX_WRITE_BYTES:
            await self._write(data)
            await self.send_body_chunk(body)
            data = b""
        elif body:
            data += self._encode(h11.Data(data=body))  # type: ignore[arg-type]
        data += self._encode(h11.EndOfMessage())
        if data:
            await self._write(data)
        self._finish_exchange()

    async def close(self) -> None:
        """Closes the connection; data that was already sent is still delivered.

        The client recognizes a truncated response, because each one either has a
        ``content-length`` or is chunked.
        """
        await anyio.aclose_forcefully(self._stream)

    def _finish_exchange(self) -> None:
        parser = self._parser
        if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            parser.start_next_cycle()

    async def _send_event(self, event: h11.Event) -> None:
        await self._write(self._encode(event))

    def _encode(self, event: h11.Event) -> bytes:
        try:
            return self._parser.send(event) or b""
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(
                f"the response cannot be sent: {error}"
            ) from error

    def _encode_parts(self, part: memoryview) -> list[bytes]:
        try:
            event = h11.Data(data=part)  # type: ignore[arg-type]
            return self._parser.send_with_data_passthrough(event) or []
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(
                f"the response cannot be sent: {error}"
            ) from error

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
            self._observe_bytes(len(data))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionLostError("the client disconnected") from error

    async def _receive_event(self, *, allows_long_reads: bool = False) -> object:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRejectedError(
                    error.error_status_hint, str(error)
                ) from error
            if event is h11.PAUSED:
                raise ConnectionLostError(
                    "data of the next request arrived where the current one was read"
                )
            if event is not h11.NEED_DATA:
                return event
            if allows_long_reads and not self._reads_long:
                self._reads_long = True
                expect_long_message(self._stream)
            try:
                data = await self._stream.receive(MAX_READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise ConnectionLostError("the client disconnected") from error
            try:
                self._buffer(data)
            except h11.RemoteProtocolError as error:
                raise RequestRejectedError(400, str(error)) from error

    def _buffer(self, data: bytes) -> None:
        if not self._parser.trailing_data[0]:
            # All of it was parsed, as while a long body arrives in small parts.
            self._arrivals.clear()
        self._received_bytes += len(data)
        self._observe_bytes(len(data))
        arrived_at_seconds = self._clock.monotonic_seconds()
        self._arrivals.append((self._received_bytes, arrived_at_seconds))
        self._parser.receive_data(data)

    def _find_arrival_seconds(self) -> float:
        """Returns when the last byte that was parsed so far arrived."""
        parsed_bytes = self._received_bytes - len(self._parser.trailing_data[0])
        while len(self._arrivals) > 1 and self._arrivals[0][0] < parsed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0][1]


def _parse_body_length(headers: Headers) -> int | None:
    """Returns the length of the body that headers state; None with chunks."""
    length = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length
