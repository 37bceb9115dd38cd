"""Serves requests that other instances forward because they reach no upstream."""

from __future__ import annotations

from typing import Any

import anyio
import structlog
from anyio.abc import SocketStream

from egrethall.entry._memory_account import MemoryAccount, MemoryLease
from egrethall.entry._observer import OUTCOME_ANSWERED, RequestObserver
from egrethall.entry._published_state import PublishedState
from egrethall.entry._request import AdmittedRequest, RequestRecord, Response
from egrethall.entry._sender import RequestSender
from egrethall.entry._serving_state import ServingPhase, ServingState
from egrethall.fleet import (
    MAX_PART_BYTES,
    SENT_PART_BYTES,
    Acceptance,
    ForwardedHead,
    ForwardedResponse,
    decode_head,
    decode_time_left,
    encode_acceptance,
    encode_response,
    receive_frame,
    send_frame,
)
from egrethall.http1 import BodyBuffer, ConnectionLostError, expect_long_message
from egrethall.placement import UpstreamPath
from egrethall.types import (
    CallerHead,
    Clock,
    PublishedOrganisation,
    PublishedRoute,
    PublishedService,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Time in which the rest of a forwarded request arrives, and the message after which it
#: may be sent.
ARRIVAL_TIMEOUT_SECONDS = 1.0

#: Largest body of a forwarded request; the callers' limit applies at the sender.
MAX_BODY_BYTES = 64 * 1024 * 1024

#: Subtracted from the time that is left, so that the response arrives in time.
RESPONSE_TRANSIT_MARGIN_SECONDS = 0.005

OUTCOME_FAULT = "fault"

logger = structlog.get_logger(__name__)


class ForwardedRequests:
    """Sends requests of other instances to upstreams, as if they were its own.

    The sender has routed and admitted them: they are charged to no allowance here.
    """

    def __init__(
        self,
        published: PublishedState,
        sender: RequestSender,
        path: UpstreamPath,
        serving: ServingState,
        observer: RequestObserver,
        account: MemoryAccount,
        clock: Clock,
    ) -> None:
        self._published = published
        self._sender = sender
        self._path = path
        self._serving = serving
        self._observer = observer
        self._account = account
        self._clock = clock

    async def handle(self, stream: SocketStream, message: Any) -> None:  # noqa: ANN401
        """Serves one request, of which the first message was received."""
        head = decode_head(message)
        self._serving.begin_request()
        lease, body = self._account.open_lease(), BodyBuffer()
        try:
            with anyio.fail_after(ARRIVAL_TIMEOUT_SECONDS):
                if head.has_body:
                    expect_long_message(stream)
                await _receive_body(stream, lease, body)
                service = self._published.find_service(head.service)
                refusal = self._find_reason_to_decline(head, service)
                await send_frame(stream, encode_acceptance(Acceptance(refusal)))
                if refusal is not None or service is None:
                    return
                time_left_seconds = decode_time_left(await receive_frame(stream))
            request = self._make_request(
                head, body.get_body(), service, time_left_seconds
            )
            await self._serve_until_disconnect(stream, request)
        finally:
            body.close()
            lease.release()
            self._serving.end_request()

    def _find_reason_to_decline(
        self, head: ForwardedHead, service: PublishedService | None
    ) -> Refusal | None:
        if (
            self._serving.phase is ServingPhase.CLOSING
            or not self._serving.has_time_for(
                head.objective_seconds, head.kind.repeatable
            )
        ):
            return Refusal(RefusalReason.STOPPING, "The instance stops.")
        if not self._path.available:
            return Refusal(
                RefusalReason.UPSTREAMS_UNREACHABLE,
                "The instance reaches no upstream.",
            )
        if service is None:
            return Refusal(RefusalReason.NO_UPSTREAM, "The service is not published.")
        return None

    def _make_request(
        self,
        head: ForwardedHead,
        body: bytes | memoryview,
        service: PublishedService,
        time_left_seconds: float,
    ) -> AdmittedRequest:
        now_seconds = self._clock.monotonic_seconds()
        limit_seconds = max(0.0, time_left_seconds - RESPONSE_TRANSIT_MARGIN_SECONDS)
        organisation = head.organisation
        return AdmittedRequest(
            method=head.method,
            target=head.target,
            head=CallerHead(head.request_id, time_left_seconds, None, head.headers),
            body=body,
            has_body=head.has_body,
            route=PublishedRoute(
                name=head.route,
                host="",
                path_prefix="/",
                kind=head.kind,
                timeout_seconds=time_left_seconds,
                objective_seconds=head.objective_seconds,
                priority=head.priority,
                shares=(),
                max_attempts=head.max_attempts,
                public=organisation is None,
            ),
            service=service,
            organisation=None
            if organisation is None
            else PublishedOrganisation(organisation, frozenset(), None, 0.0, 0),
            received_at_seconds=now_seconds,
            deadline_at_seconds=now_seconds + limit_seconds,
            record=RequestRecord(
                request_id=head.request_id,
                route=head.route,
                organisation=organisation or "",
                service=service.name,
                version=head.version,
                forwarded_from=head.sender,
                outcome="caller-gone",
            ),
            fingerprint=head.fingerprint,
            may_be_forwarded=False,
        )

    async def _serve_until_disconnect(
        self, stream: SocketStream, request: AdmittedRequest
    ) -> None:
        async def cancel_on_disconnect() -> None:
            try:
                await stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                tasks.cancel_scope.cancel()

        self._observer.record_start()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel_on_disconnect)
                await self._respond(stream, request)
                tasks.cancel_scope.cancel()
        finally:
            elapsed = self._clock.monotonic_seconds() - request.received_at_seconds
            self._observer.record_end(request.record, elapsed)

    async def _respond(self, stream: SocketStream, request: AdmittedRequest) -> None:
        record = request.record
        try:
            response = await self._sender.send(request)
        except RefusedError as error:
            refusal = error.refusal
            record.outcome = refusal.reason.code
            record.status = refusal.reason.status
            record.detail = refusal.detail
            await send_frame(stream, encode_response(refusal))
            return
        except Exception:
            # An unexpected exception in one request must not affect other requests.
            logger.exception("request failed", id=record.request_id)
            record.outcome = OUTCOME_FAULT
            return
        record.outcome = OUTCOME_ANSWERED if response.status < 500 else "failed"
        record.status = response.status
        try:
            await _send_response(stream, response, record.upstream)
        except (anyio.BrokenResourceError, ConnectionLostError) as error:
            # The sender notices that the stream ends before the response does.
            logger.info(
                "forwarded response broke off",
                id=record.request_id,
                error=str(error),
            )
        finally:
            if response.close is not None:
                await response.close()


async def _receive_body(
    stream: SocketStream, lease: MemoryLease, body: BodyBuffer
) -> None:
    """Receives a body; raises :class:`MemoryShortError` if it is not granted.

    The stream then ends before the request was accepted, so that the sender offers it
    to another instance.
    """
    await lease.grow(MAX_PART_BYTES)
    while part := await receive_frame(stream, MAX_PART_BYTES):
        if body.size_bytes + len(part) > MAX_BODY_BYTES:
            raise ValueError(f"body of more than {MAX_BODY_BYTES} bytes")
        body.append(part)
        await lease.grow(body.size_bytes + MAX_PART_BYTES)


async def _send_response(
    stream: SocketStream, response: Response, upstream: str
) -> None:
    """Sends a response in parts, each of which the sender has taken before the next."""
    with memoryview(response.body) as body:
        continues = response.remaining_body is not None or len(body) > SENT_PART_BYTES
        head = ForwardedResponse(
            response.status,
            response.headers,
            bytes(body[:SENT_PART_BYTES]),
            response.content_length,
            continues,
            upstream,
        )
        await send_frame(stream, encode_response(head))
        if not continues:
            return
        for start in range(SENT_PART_BYTES, len(body), SENT_PART_BYTES):
            await send_frame(stream, bytes(body[start : start + SENT_PART_BYTES]))
    if response.remaining_body is not None:
        async for piece in response.remaining_body:
            for start in range(0, len(piece), SENT_PART_BYTES):
                await send_frame(stream, piece[start : start + SENT_PART_BYTES])
    await send_frame(stream, b"")
