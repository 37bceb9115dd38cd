"""A connection from an HTTP client."""

from __future__ import annotations

import select
from collections import deque
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from egrethall.http1._client import MAX_READ_BYTES
from egrethall.http1._errors import ConnectionLostError
from egrethall.types import Clock, EgrethallError, Headers

#: Interval at which a connection with many unread bytes is checked for a disconnect. A
#: request of a client that has left must not reach an upstream half a second later.
DISCONNECT_POLL_SECONDS = 0.2

#: Allowance for the request line on top of the limit for the headers.
REQUEST_LINE_ALLOWANCE_BYTES = 8 * 1024


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


class ServerConnection:
    """A connection from an HTTP client that handles one request after another.

    The methods raise :class:`ConnectionLostError` if the client has disconnected.
    """

    def __init__(
        self, stream: SocketStream, max_header_bytes: int, clock: Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        #: For each part of the data that was received and not parsed before: the number
        #: of bytes received until its end, and the monotonic clock reading.
        self._arrivals: deque[tuple[int, float]] = deque()
        self._received_bytes = 0
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
            data = await self._stream.receive(MAX_READ_BYTES)
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
        if self._parser.they_are_waiting_for_100_continue:
            await self._send_event(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason="Continue"
                )
            )
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionLostError(
                    "the client disconnected before its request was complete"
                )
            size_bytes += len(event.data)
            if size_bytes > max_bytes:
                raise RequestRejectedError(413, "the body is too large")
            parts.append(bytes(event.data))

    async def wait_for_disconnect(self) -> None:
        """Returns when the client has disconnected; buffers what it sends until then.

        After more than ``MAX_READ_BYTES`` of pipelined requests this stops reading,
        which limits the buffer, and asks the kernel for the state of the connection.
        """
        while True:
            try:
                data = await self._stream.receive(MAX_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            self._buffer(data)
            if len(self._parser.trailing_data[0]) > MAX_READ_BYTES:
                await self._poll_until_disconnect()
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

    async def send_body_chunk(self, piece: bytes) -> None:
        """Sends part of the response's body."""
        await self._send_event(h11.Data(data=piece))

    async def end_response(self) -> None:
        """Completes the response and prepares the connection for the next request."""
        await self._send_event(h11.EndOfMessage())
        self._finish_exchange()

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole response in one write; ``headers`` state the body's length."""
        data = self._encode(h11.Response(status_code=status, headers=list(headers)))
        if body:
            data += self._encode(h11.Data(data=body))
        data += self._encode(h11.EndOfMessage())
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

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionLostError("the client disconnected") from error

    async def _receive_event(self) -> object:
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
        arrived_at_seconds = self._clock.monotonic_seconds()
        self._arrivals.append((self._received_bytes, arrived_at_seconds))
        self._parser.receive_data(data)

    def _find_arrival_seconds(self) -> float:
        """Returns when the last byte that was parsed so far arrived."""
        parsed_bytes = self._received_bytes - len(self._parser.trailing_data[0])
        while len(self._arrivals) > 1 and self._arrivals[0][0] < parsed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0][1]
