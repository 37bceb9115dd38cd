"""The ASGI application that callers talk to."""

import anyio

from egrethall.ingress._asgi import Receive, Scope, Send
from egrethall.ingress._call_checks import CallChecks, CallRecord
from egrethall.ingress._call_log import CallLog
from egrethall.ingress._caller_watch import CallerWatch
from egrethall.ingress._caller_writer import CallerLostError, CallerWriter
from egrethall.ingress._collaborators import IngressCollaborators
from egrethall.ingress._exchange import (
    OUTCOME_CALLER_GONE,
    Exchange,
)
from egrethall.ingress._refusal_responses import closes_connection, send_refusal
from egrethall.ingress._request_body import (
    CALLER_IDLE_SECONDS,
    CallerReceiver,
    CallerRequestBody,
)
from egrethall.ingress._server_connections import Http2Connections
from egrethall.types import (
    CallResult,
    Clock,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
    RequestBodyError,
)

#: Bits of a request id; collisions within the life of logs are out of the question.
REQUEST_ID_BITS = 128

OUTCOME_FAULT = "fault"

#: Time between two looks at the running calls during a stop.
IDLE_CHECK_SECONDS = 0.02


class IngressApplication:
    """Takes callers' requests and gives each its own answer or a refusal.

    Each call is one straight line: checks of the head, the first 64 KiB of the body,
    allowance, reservation of the idempotency key, forwarding, relay of the answer.
    """

    def __init__(
        self,
        collaborators: IngressCollaborators,
        clock: Clock,
        random: RandomSource,
        sampled_log_share: float = 1.0,
        caller_idle_seconds: float = CALLER_IDLE_SECONDS,
    ) -> None:
        """:param sampled_log_share: Share of the successful calls that are logged.

        :param caller_idle_seconds: Longest time without progress of a caller that
            sends its request or reads its answer.
        """
        #: Also the time after which the server drops connections without progress.
        self.caller_idle_seconds = caller_idle_seconds
        self._collaborators = collaborators
        self._clock = clock
        self._random = random
        self._checks = CallChecks(collaborators)
        self._log = CallLog(random, sampled_log_share)
        self._leaving = False
        self._stopping = False
        self._running_calls = 0
        self._http2_connections = Http2Connections()
        self._caller_watch = CallerWatch()

    @property
    def ready(self) -> bool:
        """Whether the platform should send callers here."""
        configuration = self._collaborators.configuration.get_current()
        return configuration is not None and not self._leaving

    @property
    def running_calls(self) -> int:
        """The number of calls that have begun and not ended."""
        return self._running_calls

    def announce_stop(self) -> None:
        """Makes the instance not ready while it goes on serving.

        From here on, HTTP/1.1 connections are closed after their current answer.
        """
        self._leaving = True

    async def refuse_new_calls(self) -> None:
        """Refuses every call that begins from now on; running ones go on.

        HTTP/2 callers receive GOAWAY with the last stream that is still answered, and
        may safely send later ones elsewhere.
        """
        self._leaving = True
        self._stopping = True
        await self._http2_connections.send_goaway()

    async def wait_until_idle(self) -> None:
        """Returns when no call runs and all answers have left the server."""
        # The server has no event for the end of a stream, so this is polled.
        while (  # noqa: ASYNC110
            self._running_calls or self._http2_connections.count_open_streams()
        ):
            await anyio.sleep(IDLE_CHECK_SECONDS)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers one request; other ASGI scopes are declined."""
        if scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1000})
            return
        record = CallRecord(
            request_id=f"{self._random.getrandbits(REQUEST_ID_BITS):032x}",
            started_at_seconds=self._clock.monotonic_seconds(),
        )
        self._running_calls += 1
        self._collaborators.observer.observe_start()
        try:
            await self._handle(scope, receive, send, record)
        finally:
            self._running_calls -= 1
            self._report(record)

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, record: CallRecord
    ) -> None:
        http1 = scope["http_version"] != "2"
        if not http1:
            self._http2_connections.add(send)
        receiver = CallerReceiver(receive)
        writer = CallerWriter(send, receiver, http1, self.caller_idle_seconds)
        try:
            refusal = await self._serve(scope, receiver, writer, record)
        except RefusedError as error:
            refusal = error.refusal
        except RequestBodyError:
            record.outcome = OUTCOME_CALLER_GONE
            refusal = None
        except Exception as error:
            self._log.write_fault(record.request_id, error)
            record.outcome = OUTCOME_FAULT
            refusal = Refusal(
                RefusalReason.OUTCOME_UNKNOWN, "The instance met an internal fault."
            )
        if refusal is None or writer.started:
            if not record.succeeded:
                await writer.abort()
            return
        record.outcome = refusal.reason.code
        close = http1 and (self._leaving or closes_connection(refusal.reason))
        try:
            await send_refusal(
                writer,
                refusal,
                record.request_id,
                close,
                record.allowed_methods,
            )
        except CallerLostError:
            await writer.abort()

    async def _serve(
        self,
        scope: Scope,
        receiver: CallerReceiver,
        writer: CallerWriter,
        record: CallRecord,
    ) -> Refusal | None:
        if self._stopping:
            return Refusal(
                RefusalReason.STOPPING, "This instance is stopping; connect again."
            )
        call = self._checks.check(scope, record)
        body = CallerRequestBody(
            receiver,
            call.announced_bytes,
            call.service.max_body_bytes,
            self.caller_idle_seconds,
            http1=writer.http1,
        )
        await body.read_prefix()
        self._checks.check_key_again(call)
        deadline_at_seconds = (
            self._clock.monotonic_seconds() + call.service.deadline_ms / 1000.0
        )
        exchange = Exchange(
            self._collaborators,
            call,
            body,
            writer,
            record,
            self._caller_watch,
            closes_connection=lambda: writer.http1 and self._leaving,
        )
        return await exchange.run(scope["headers"], deadline_at_seconds)

    def _report(self, record: CallRecord) -> None:
        elapsed_seconds = self._clock.monotonic_seconds() - record.started_at_seconds
        result = CallResult(
            request_id=record.request_id,
            organisation=record.organisation,
            service=record.service,
            upstream=record.upstream,
            attempts=record.attempts,
            outcome=record.outcome,
            queue_ms=record.queue_ms,
            total_ms=elapsed_seconds * 1000.0,
        )
        self._collaborators.observer.observe_end(result)
        self._log.write(result, record.succeeded)
