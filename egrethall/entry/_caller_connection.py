"""Serves one caller's connection, and tracks the connections for a stop."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable

import anyio
import structlog
from anyio.abc import SocketStream

from egrethall.entry._application import (
    EntryApplication,
    ReceivedRequest,
    build_refusal_response,
)
from egrethall.entry._connection_limiter import (
    CONNECTION_BYTES,
    ClientSlot,
    ConnectionPhase,
)
from egrethall.entry._memory_account import MemoryShortError
from egrethall.entry._request import Response
from egrethall.entry._serving_state import ServingPhase, ServingState
from egrethall.http1 import (
    BodyBuffer,
    ConnectionLostError,
    RequestHead,
    RequestRejectedError,
    ServerConnection,
)
from egrethall.types import CallerLimits, Clock, Headers, Refusal, RefusalReason

#: Limits until the first configuration is received.
DEFAULT_LIMITS = CallerLimits(
    max_header_bytes=16 * 1024,
    max_body_bytes=64 * 1024 * 1024,
    header_timeout_seconds=3.0,
    idle_timeout_seconds=15.0,
)

#: Time that one write to a caller may take before the caller counts as stalled.
WRITE_TIMEOUT_SECONDS = 15.0

#: Time for which a connection stays open for reading after a rejected request. Closing
#: a socket with unread bytes sends a reset, which could overtake the response.
LINGER_SECONDS = 0.2

REQUEST_TIMEOUT_STATUS = 408

#: Memory of a request besides its body: one read from the socket, what the kernel holds
#: of its body or response, its parts in the parser, and a response of up to 64 KiB.
REQUEST_BYTES = 128 * 1024

#: Memory for a body of unknown length is reserved in these steps.
BODY_STEP_BYTES = 64 * 1024

#: ``Retry-After`` of a request that is refused since memory is short, which it is until
#: requests in flight have ended. Another instance may have room at once.
MEMORY_RETRY_AFTER_SECONDS = 0.2

logger = structlog.get_logger(__name__)


class CallerConnection:
    """Reads requests from one connection in sequence and writes their responses."""

    def __init__(
        self,
        stream: SocketStream,
        application: EntryApplication,
        find_limits: Callable[[], CallerLimits],
        serving: ServingState,
        slot: ClientSlot,
        clock: Clock,
    ) -> None:
        limits = find_limits()
        self._connection = ServerConnection(
            stream, limits.max_header_bytes, clock, slot.observe_bytes
        )
        self._slot = slot
        self._application = application
        self._find_limits = find_limits
        self._serving = serving
        self._clock = clock

    async def run(self) -> None:
        """Serves requests until the connection ends, then closes it."""
        try:
            if not await self._reserve_connection():
                await self._refuse_memory()
                return
            while await self._wait_for_request():
                self._serving.begin_request()
                self._slot.enter(ConnectionPhase.HEAD)
                try:
                    if not await self._serve_request():
                        return
                finally:
                    self._serving.end_request()
                    self._slot.lease.release(CONNECTION_BYTES)
                    self._slot.enter(ConnectionPhase.IDLE)
        except ConnectionLostError:
            # The caller disconnected, which has cancelled its running request.
            return
        except Exception:
            # An unexpected exception must not affect other connections.
            logger.exception("connection failed")
        finally:
            await self._connection.close()

    async def _wait_for_request(self) -> bool:
        if self._serving.phase is ServingPhase.CLOSING:
            return self._connection.request_started
        idle_seconds = self._find_limits().idle_timeout_seconds
        with anyio.move_on_after(idle_seconds) as scope:
            self._serving.add_idle_scope(scope)
            try:
                return await self._connection.wait_for_request()
            finally:
                self._serving.remove_idle_scope(scope)
        return False

    async def _serve_request(self) -> bool:
        """Serves one request; returns whether the connection can serve another."""
        limits = self._find_limits()
        body = BodyBuffer()
        try:
            await self._reserve_body(0)
            with anyio.fail_after(limits.header_timeout_seconds):
                head = await self._connection.receive_head()
            received_at_seconds = self._connection.head_received_at_seconds
            self._slot.enter(ConnectionPhase.BODY)
            with anyio.fail_after(limits.idle_timeout_seconds):
                await self._connection.receive_body_into(
                    body, limits.max_body_bytes, self._reserve_body
                )
            self._slot.enter(ConnectionPhase.SERVING)
            received = ReceivedRequest(head, body.get_body(), received_at_seconds)
            response = await self._handle_until_disconnect(received)
        except RequestRejectedError as error:
            body.close()
            await self._reject(error.status, str(error))
            return False
        except MemoryShortError:
            body.close()
            await self._refuse_memory()
            return False
        except TimeoutError:
            body.close()
            await self._reject(
                REQUEST_TIMEOUT_STATUS,
                "the request did not arrive in time",
            )
            return False
        finally:
            body.close()
            self._slot.lease.release(CONNECTION_BYTES + REQUEST_BYTES)
        if response is None:
            return False
        self._slot.enter(ConnectionPhase.SENDING)
        try:
            return await self._write_response(response, head)
        finally:
            if response.close is not None:
                await response.close()

    async def _reserve_connection(self) -> bool:
        if self._slot.lease.try_grow(CONNECTION_BYTES):
            return True
        self._slot.enter(ConnectionPhase.WAITING)
        try:
            await self._slot.lease.grow(CONNECTION_BYTES)
        except MemoryShortError:
            return False
        self._slot.enter(ConnectionPhase.IDLE)
        return True

    async def _reserve_body(self, size_bytes: int) -> None:
        steps = -(-size_bytes // BODY_STEP_BYTES)
        held_bytes = CONNECTION_BYTES + REQUEST_BYTES + steps * BODY_STEP_BYTES
        if self._slot.lease.try_grow(held_bytes):
            return
        phase = self._slot.phase
        self._slot.enter(ConnectionPhase.WAITING)
        await self._slot.lease.grow(held_bytes)
        self._slot.enter(phase)

    async def _handle_until_disconnect(
        self, received: ReceivedRequest
    ) -> Response | None:
        """Returns the response, or None if the caller disconnected first."""
        response: Response | None = None

        async def cancel_on_disconnect() -> None:
            await self._connection.wait_for_disconnect()
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect)
            response = await self._application.handle(received)
            tasks.cancel_scope.cancel()
        return response

    async def _write_response(self, response: Response, head: RequestHead) -> bool:
        """Writes a response; returns whether the connection can be reused."""
        closing = (
            response.closes_connection
            or self._serving.phase is not ServingPhase.RUNNING
        )
        headers = _add_framing_headers(response, closing)
        bodiless = head.method == "HEAD" or response.status in (204, 304)
        try:
            with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                if response.remaining_body is None:
                    body = b"" if bodiless else response.body
                    await self._connection.send_response(response.status, headers, body)
                    return self._connection.reusable
            return await self._write_long_response(
                response, response.remaining_body, headers
            )
        except TimeoutError:
            self._slot.observe_stalled_write()
            return False

    async def _write_long_response(
        self,
        response: Response,
        remaining_body: AsyncIterator[bytes],
        headers: Headers,
    ) -> bool:
        """Writes a response that is still received, until the caller disconnects.

        Returns whether the connection can be reused.
        """
        error: Exception | None = None
        is_complete = False

        async def cancel_on_disconnect() -> None:
            await self._connection.wait_for_disconnect()
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect)
            try:
                with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                    await self._connection.send_head(response.status, headers)
                    await self._connection.send_body_chunk(response.body)
                async for piece in remaining_body:
                    with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                        await self._connection.send_body_chunk(piece)
                await self._connection.end_response()
                is_complete = True
            except (ConnectionLostError, TimeoutError) as caught:
                # Raised outside of the task group, which would wrap it.
                error = caught
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error
        return is_complete and self._connection.reusable

    async def _refuse_memory(self) -> None:
        refusal = Refusal(
            RefusalReason.MEMORY_SHORT,
            "The instance has no memory for the request.",
            MEMORY_RETRY_AFTER_SECONDS,
        )
        response = build_refusal_response(refusal)
        headers = _add_framing_headers(response, closing=True)
        with anyio.move_on_after(LINGER_SECONDS):
            await self._connection.send_response(
                response.status, headers, response.body
            )
            await self._connection.discard_until_disconnect()

    async def _reject(self, status: int, detail: str) -> None:
        logger.info("request rejected", status=status, detail=detail)
        body = json.dumps({"reason": "bad-request", "detail": detail}).encode()
        headers = (
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode("ascii")),
            (b"connection", b"close"),
        )
        await self._connection.send_response(status, headers, body)
        with anyio.move_on_after(LINGER_SECONDS):
            await self._connection.discard_until_disconnect()


def _add_framing_headers(response: Response, closing: bool) -> Headers:
    headers = response.headers
    if response.content_length is not None:
        headers = (
            *headers,
            (b"content-length", str(response.content_length).encode("ascii")),
        )
    else:
        headers = (*headers, (b"transfer-encoding", b"chunked"))
    if closing:
        headers = (*headers, (b"connection", b"close"))
    return headers
