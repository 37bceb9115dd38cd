"""Writes one answer to a caller, whole or visibly broken."""

import anyio

from egrethall.ingress._asgi import Message, Send
from egrethall.ingress._request_body import CallerReceiver
from egrethall.ingress._server_connections import (
    drain_http2_stream,
    end_http2_stream,
    reset_http2_stream,
)
from egrethall.types import EgrethallError, Headers

#: Largest piece that is handed to the server at once.
MAX_HTTP1_PIECE_BYTES = 64 * 1024

#: An HTTP/2 caller must take one piece in the time that it may stall. Small pieces
#: keep callers that are slow but not stalled.
MAX_HTTP2_PIECE_BYTES = 16 * 1024


class CallerLostError(EgrethallError):
    """The caller has gone or did not read its answer in time."""

    def __init__(self, detail: str, stalled: bool) -> None:
        super().__init__(detail)
        #: True if the caller's connection is open or was ended for lack of progress.
        self.stalled = stalled


class CallerWriter:
    """Sends one answer through the ASGI interface.

    Each method returns when the server has sent what it was given, so a caller that
    reads slowly slows its call down. A stalled HTTP/1.1 connection is ended by the
    kernel (``TCP_USER_TIMEOUT`` in the server); the windows of HTTP/2 streams are
    unknown to the kernel and watched here.
    """

    def __init__(
        self, send: Send, receiver: CallerReceiver, http1: bool, idle_seconds: float
    ) -> None:
        #: True as soon as the caller may have received the status.
        self.started = False
        #: True when all but the mark of the answer's end has been sent.
        self.finishing = False
        self.http1 = http1
        self._send = send
        self._receiver = receiver
        self._idle_seconds = idle_seconds

    async def send_start(self, status: int, headers: Headers) -> None:
        """Sends status and headers; raises :class:`CallerLostError`."""
        self.started = True
        await self._send_message(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def send_body(self, chunk: bytes) -> None:
        """Sends a part of the body; raises :class:`CallerLostError`."""
        size = MAX_HTTP1_PIECE_BYTES if self.http1 else MAX_HTTP2_PIECE_BYTES
        for start in range(0, len(chunk), size):
            piece = chunk[start : start + size]
            await self._send_message(
                {"type": "http.response.body", "body": piece, "more_body": True}
            )

    async def send_end(self, last_piece: bytes = b"") -> None:
        """Ends the answer and gives up the rest of the request's body.

        :param last_piece: What is left of the answer's body. One message with it and
            the end costs the server half as much as two.

        Hypercorn 0.18 drops a whole HTTP/2 connection when data arrives for a stream
        that it has ended. A stream whose request is not complete is therefore ended
        and reset at once, as RFC 9113 section 8.1 describes.
        """
        is_joined = self.http1 and self._receiver.ended
        if not is_joined or len(last_piece) > MAX_HTTP1_PIECE_BYTES:
            await self.send_body(last_piece)
            last_piece = b""
        self.finishing = True
        if not self._receiver.ended:
            self._receiver.discard_rest()
            if self.http1:
                await self._receiver.wait_for_rest()
            else:
                await self._receiver.wait_until_quiet()
        if self.http1 or self._receiver.ended:
            await self._send_message(
                {"type": "http.response.body", "body": last_piece, "more_body": False}
            )
            return
        await end_http2_stream(self._send)
        await self._receiver.wait_until_quiet()

    async def abort(self) -> None:
        """Makes sure that what was sent cannot be taken for a whole answer."""
        self._receiver.discard_rest()
        # The server closes an HTTP/1.1 connection when the application returns early.
        if self.started and not self.http1:
            await reset_http2_stream(self._send)
        if not self.http1:
            await self._receiver.wait_until_quiet()

    async def _send_message(self, message: Message) -> None:
        try:
            if self.http1:
                await self._send(message)
                return
            with anyio.fail_after(self._idle_seconds):
                await self._send(message)
                await drain_http2_stream(self._send)
        except TimeoutError:
            raise CallerLostError("the caller stopped reading", stalled=True) from None
        except OSError as error:
            raise CallerLostError(
                f"the connection broke: {error}", stalled=False
            ) from error
