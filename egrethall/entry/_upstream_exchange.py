"""Sends a request to one upstream and validates its response."""

import anyio
import structlog

from egrethall.entry._connection_pool import ConnectionPool
from egrethall.entry._held_body import HeldBody, iterate_until_deadline
from egrethall.entry._memory_account import MemoryAccount
from egrethall.entry._prober import ProbeResult
from egrethall.entry._request import AdmittedRequest, Response, SendOutcome, SendResult
from egrethall.http1 import (
    ClientConnection,
    ConnectError,
    ConnectionLostError,
    ResponseHead,
)
from egrethall.placement import UpstreamPath, UpstreamState
from egrethall.types import Clock, ExchangeFormat, Headers, UpstreamHead

#: Timeout of a new connection to an upstream that has just responded to a probe.
CONNECT_TIMEOUT_SECONDS = 0.25

#: Limit of responses to other requests that are skipped in one exchange.
MAX_SKIPPED_RESPONSES = 3

MIN_SERVER_ERROR_STATUS = 500

logger = structlog.get_logger(__name__)


class UntrustedResponseError(Exception):
    """A response is not proven to come from the upstream and for the request."""


class UpstreamExchange:
    """Sends requests to upstreams and accepts only responses proven to be theirs."""

    def __init__(
        self,
        pool: ConnectionPool,
        exchange_format: ExchangeFormat,
        path: UpstreamPath,
        account: MemoryAccount,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._account = account
        self._format = exchange_format
        self._path = path
        self._clock = clock

    async def attempt(
        self, request: AdmittedRequest, probe: ProbeResult
    ) -> SendOutcome:
        """Sends the request on the connection of ``probe``; returns the outcome."""
        state, connection = probe.state, probe.connection
        reading = probe.reading
        record = request.record
        record.upstream = state.name
        record.attempts += 1
        record.reading = (
            f"{reading.running},{reading.waiting},{reading.slots},"
            f"{reading.slowness_ratio:.2f}"
        )
        record.rate_limit_per_second = state.rate_limit_per_second
        state.sent_requests += 1
        remaining_seconds = (
            request.deadline_at_seconds - self._clock.monotonic_seconds()
        )
        try:
            with anyio.fail_after(max(0.0, remaining_seconds)):
                if not connection.reusable:
                    # The upstream closes each connection after its response.
                    await connection.close()
                    connection = await self._pool.open(state, CONNECT_TIMEOUT_SECONDS)
                outcome = await self._exchange(request, connection, state)
        except ConnectError as error:
            state.observe_failure("no connection")
            return SendOutcome(SendResult.NOT_RUN, str(error), state.name)
        except TimeoutError:
            await connection.close()
            state.observe_failure("timeout")
            return SendOutcome(SendResult.TIMED_OUT, "timeout", state.name)
        except ConnectionLostError as error:
            await connection.close()
            state.observe_failure(str(error))
            return SendOutcome(SendResult.BROKEN, str(error), state.name, state=state)
        except UntrustedResponseError as error:
            await connection.close()
            state.observe_failure(str(error))
            return SendOutcome(SendResult.UNTRUSTED, str(error), state.name)
        except BaseException:
            await connection.close()
            raise
        if outcome.result is SendResult.ANSWERED:
            record.upstream = state.name
            state.observe_success()
        elif outcome.result is SendResult.NOT_RUN:
            state.observe_refusal()
        else:
            state.observe_failure(outcome.detail)
        if outcome.response is None or outcome.response.remaining_body is None:
            await self._pool.release(state, connection, probe.idle_seconds)
        return outcome

    async def _exchange(
        self,
        request: AdmittedRequest,
        connection: ClientConnection,
        state: UpstreamState,
    ) -> SendOutcome:
        headers = self._build_headers(request, state.name)
        await connection.send(request.method, request.target, headers, request.body)
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            received = await connection.receive_head()
            self._path.observe_response(state.name)
            head = self._format.decode_upstream_head(received.status, received.headers)
            if not head.misdirected:
                state.observe_head(head)
            # Upstreams echo the ID of the request. A response without one may belong to
            # the probe before it, so that it proves nothing about this request.
            if head.request_id == request.head.request_id:
                state.observe_rate_limit(head.rate_limit_per_second, "response")
                return await self._receive_response(
                    connection,
                    state.name,
                    received,
                    head,
                    request.deadline_at_seconds,
                )
            logger.info(
                "response to another request skipped",
                id=request.head.request_id,
                upstream=state.name,
                status=received.status,
                response_id=head.request_id,
            )
            await _skip_response(connection)
        raise UntrustedResponseError("responses to other requests")

    def _build_headers(self, request: AdmittedRequest, upstream: str) -> Headers:
        remaining_seconds = (
            request.deadline_at_seconds - self._clock.monotonic_seconds()
        )
        organisation = request.organisation
        headers = self._format.encode_upstream_headers(
            request.head,
            None if organisation is None else organisation.name,
            upstream,
            remaining_seconds,
        )
        if request.has_body:
            length = str(len(request.body)).encode("ascii")
            headers = (*headers, (b"content-length", length))
        return headers

    async def _receive_response(
        self,
        connection: ClientConnection,
        upstream: str,
        received: ResponseHead,
        head: UpstreamHead,
        deadline_at_seconds: float,
    ) -> SendOutcome:
        if head.not_run:
            await connection.receive_body()
            return SendOutcome(
                SendResult.NOT_RUN, f"refused with status {head.status}", upstream
            )
        is_success = 200 <= head.status < 300
        if is_success and (not head.signed or not head.request_id):
            raise UntrustedResponseError("successful response without proof of origin")
        # Upstreams sign the body without content encoding.
        if is_success and head.encoded:
            raise UntrustedResponseError("successful response with an encoded body")
        held = HeldBody(self._account)
        complete = await held.receive(connection.receive_body_chunk)
        body = held.get_body()
        if complete:
            response = Response(
                head.status,
                head.headers,
                body,
                content_length=len(body),
                close=held.close if held.holds_lease else None,
            )
        else:

            async def close() -> None:
                await held.close()
                await connection.close()

            response = Response(
                head.status,
                head.headers,
                body,
                remaining_body=iterate_until_deadline(
                    connection.receive_body_chunk,
                    deadline_at_seconds,
                    self._clock,
                    connection.address,
                ),
                content_length=_parse_content_length(received.headers),
                close=close,
            )
        if head.status >= MIN_SERVER_ERROR_STATUS:
            return SendOutcome(
                SendResult.FAILED, f"status {head.status}", upstream, response
            )
        return SendOutcome(
            SendResult.ANSWERED, f"status {head.status}", upstream, response
        )


async def _skip_response(connection: ClientConnection) -> None:
    try:
        await connection.skip_response()
    except ConnectionLostError as error:
        # The upstream is not known to have stopped, unlike after a lost connection.
        raise UntrustedResponseError(
            f"no response but to other requests: {error}"
        ) from error


def _parse_content_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None
