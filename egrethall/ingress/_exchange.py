"""The part of a call in which an upstream takes part."""

from collections.abc import Callable

import anyio

from egrethall.ingress._call_checks import CallRecord, CheckedCall
from egrethall.ingress._caller_watch import CallerWatch
from egrethall.ingress._caller_writer import CallerLostError, CallerWriter
from egrethall.ingress._collaborators import IngressCollaborators, RelayedResponse
from egrethall.ingress._header_hygiene import clean_request_headers
from egrethall.ingress._request_body import BodyFailure, CallerRequestBody
from egrethall.ingress._response_relay import relay_answer
from egrethall.types import (
    AllowanceToken,
    CallRequest,
    Headers,
    Refusal,
    RefusalReason,
    RefusedError,
    RequestBodyError,
    UpstreamError,
)

#: Bound on work that goes on after a call was cancelled.
CLEAN_UP_SECONDS = 1.0

OUTCOME_CALLER_GONE = "caller-gone"
OUTCOME_CALLER_STALLED = "caller-stalled"
OUTCOME_BROKEN = "response-broken"


class Exchange:
    """Allowance, reservation, forwarding and relay of one call.

    It runs in the task of the call; ``watch`` cancels it when the caller goes away.
    """

    def __init__(
        self,
        collaborators: IngressCollaborators,
        call: CheckedCall,
        body: CallerRequestBody,
        writer: CallerWriter,
        record: CallRecord,
        caller_watch: CallerWatch,
        closes_connection: Callable[[], bool],
    ) -> None:
        """:param closes_connection: Asked when an answer begins."""
        self._collaborators = collaborators
        self._call = call
        self._body = body
        self._writer = writer
        self._closes_connection = closes_connection
        self._caller_lost = False
        self._record = record
        self._caller_watch = caller_watch
        self._scope = anyio.CancelScope()

    async def run(self, headers: Headers, deadline_at_seconds: float) -> Refusal | None:
        """Runs the exchange; returns a refusal if no answer was begun."""
        refusal: Refusal | None = None
        # HTTP/2 has one queue of messages for all calls of a connection, which must
        # not wait for one of them.
        self._caller_watch.begin(self, at_once=not self._writer.http1)
        try:
            with self._scope:
                refusal = await self._answer(headers, deadline_at_seconds)
        finally:
            await self._caller_watch.end(self)
        return self._conclude(refusal)

    async def watch(self) -> None:
        """Waits until the caller goes away and then cancels the exchange."""
        await self._body.wait_for_disconnect()
        if not self._writer.finishing:
            self._scope.cancel()

    async def _answer(
        self, headers: Headers, deadline_at_seconds: float
    ) -> Refusal | None:
        try:
            token: AllowanceToken | None = None
            if self._call.organisation is not None:
                token = await self._collaborators.allowances.admit(
                    self._call.organisation.name, deadline_at_seconds
                )
            request = self._build_request(headers, deadline_at_seconds, token)
            response = await self._forward(request)
            await self._relay_response(response)
        except RefusedError as error:
            return error.refusal
        except (RequestBodyError, UpstreamError):
            return Refusal(
                RefusalReason.OUTCOME_UNKNOWN,
                "The request broke off after a part of it was sent to an upstream.",
            )
        except CallerLostError as error:
            self._record.outcome = (
                OUTCOME_CALLER_STALLED if error.stalled else OUTCOME_CALLER_GONE
            )
            self._caller_lost = True
        return None

    async def _forward(self, request: CallRequest) -> RelayedResponse:
        forward = self._collaborators.forwarder.forward
        if request.idempotency_key is None:
            return await forward(request)
        return await self._collaborators.idempotency.forward(request, forward)

    def _build_request(
        self,
        headers: Headers,
        deadline_at_seconds: float,
        token: AllowanceToken | None,
    ) -> CallRequest:
        call = self._call
        return CallRequest(
            request_id=self._record.request_id,
            organisation=call.organisation,
            service=call.service,
            route=call.route,
            method=call.method,
            target=call.target,
            headers=clean_request_headers(
                headers, self._record.request_id, call.organisation_name
            ),
            content_length=self._body.length_bytes,
            body=self._body,
            deadline_at_seconds=deadline_at_seconds,
            idempotent=call.idempotent,
            idempotency_key=call.reservation_key,
            allowance_token=token,
        )

    async def _relay_response(self, response: RelayedResponse) -> None:
        self._record.upstream = response.upstream
        self._record.attempts = response.attempts
        self._record.outcome = str(response.status)
        self._body.release_reader()
        try:
            last_piece = await relay_answer(
                self._writer,
                response,
                self._record.request_id,
                self._call.method,
                self._closes_connection(),
            )
            # What is left of the request has no use after the whole answer.
            self._body.stop()
            await self._writer.send_end(last_piece)
        except BaseException:
            with anyio.move_on_after(CLEAN_UP_SECONDS, shield=True):
                await response.aclose()
            raise
        # The answer was read to its end, so there is nothing left to wait for.
        await response.aclose()

    def _conclude(self, refusal: Refusal | None) -> Refusal | None:
        record = self._record
        if self._caller_lost:
            return None
        if self._writer.finishing:
            record.succeeded = True
            return None
        if self._body.failure is BodyFailure.CALLER_GONE:
            record.outcome = OUTCOME_CALLER_GONE
            return None
        if self._writer.started:
            record.outcome = OUTCOME_BROKEN
            return None
        return refusal
