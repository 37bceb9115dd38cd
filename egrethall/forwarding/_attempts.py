"""Single attempts to send a request to an upstream."""

import anyio

from egrethall.forwarding._call import Call
from egrethall.forwarding._counts import ForwardingCounts, ForwardingEvent
from egrethall.forwarding._failures import (
    MalformedResponseError,
    UpstreamRefusedError,
    build_refused_error,
)
from egrethall.forwarding._forwarded_response import ForwardedResponse
from egrethall.forwarding._latencies import LatencyWindow
from egrethall.forwarding._quarantine import CrashQuarantine
from egrethall.forwarding._tickets import FinishOnceTicket
from egrethall.types import (
    AttemptOutcome,
    AttemptTimeoutError,
    Clock,
    ConnectFailedError,
    ConnectionBrokenError,
    Refusal,
    RefusalReason,
    RefusedError,
    UpstreamError,
    UpstreamResponse,
    UpstreamTransport,
)

#: Limits on reading the body of an upstream's refusal. A body that is read to its end
#: lets the connection be reused; a new connection would add to the load of an upstream
#: that is refusing requests.
MAX_REFUSAL_BODY_BYTES = 16 * 1024
REFUSAL_BODY_SECONDS = 0.05


class AttemptRunner:
    """Makes attempts and records their results for routing, quarantine and metrics."""

    def __init__(
        self,
        transport: UpstreamTransport,
        clock: Clock,
        quarantine: CrashQuarantine,
        counts: ForwardingCounts,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._quarantine = quarantine
        self._counts = counts
        self._latencies: dict[str, LatencyWindow] = {}

    def find_p95_seconds(self, service: str) -> float | None:
        """Returns the recent 95th percentile of the time to response headers."""
        window = self._latencies.get(service)
        return None if window is None else window.p95_seconds

    def find_remaining_seconds(self, call: Call) -> float:
        """Returns the time until the deadline of ``call``; negative after it."""
        return call.request.deadline_at_seconds - self._clock.monotonic_seconds()

    async def run(
        self, call: Call, ticket: FinishOnceTicket, tracked: bool
    ) -> ForwardedResponse:
        """Makes one attempt; finishes its ticket if it ends without a response.

        :param tracked: Whether the quarantine tracks the request as a suspect.
        """
        upstream = ticket.upstream.name
        if tracked:
            self._quarantine.begin_attempt(call.fingerprint, upstream)
        try:
            return await self._send(call, ticket)
        except UpstreamError as error:
            call.record_failure(error)
            ticket.finish(_classify_failure(error))
            if isinstance(error, ConnectionBrokenError) and not isinstance(
                error, MalformedResponseError
            ):
                self._quarantine.record_strike(call.fingerprint, upstream)
                self._counts.record(call.request.service.name, ForwardingEvent.STRIKE)
            raise
        except BaseException:
            ticket.finish(AttemptOutcome.CANCELLED)
            raise
        finally:
            if tracked:
                self._quarantine.end_attempt(call.fingerprint, upstream)

    async def _send(self, call: Call, ticket: FinishOnceTicket) -> ForwardedResponse:
        remaining_seconds = self.find_remaining_seconds(call)
        if remaining_seconds <= 0:
            if call.failures:
                raise build_refused_error(call.failures, "; the deadline has passed")
            raise RefusedError(
                Refusal(
                    RefusalReason.OVERLOADED,
                    "the deadline passed before an upstream was free",
                )
            )
        service = call.request.service.name
        call.attempts += 1
        self._counts.record(service, ForwardingEvent.ATTEMPT)
        started_seconds = self._clock.monotonic_seconds()
        response = await self._transport.send(
            ticket.upstream, call.request, remaining_seconds
        )
        latency_seconds = self._clock.monotonic_seconds() - started_seconds
        ticket.observe_response(response.load_report, latency_seconds)
        if response.not_run:
            await _drain_refusal(response)
            raise UpstreamRefusedError(
                ticket.upstream.name, "refused without running the request"
            )
        self._latencies.setdefault(service, LatencyWindow()).record(latency_seconds)
        if not self._quarantine.is_empty:
            self._quarantine.record_success(call.fingerprint)
        return ForwardedResponse(response, ticket, call.attempts)


async def _drain_refusal(response: UpstreamResponse) -> None:
    """Reads a refusal to its end if it is short, and closes it."""
    length = 0
    try:
        with anyio.move_on_after(REFUSAL_BODY_SECONDS):
            async for piece in response.stream():
                length += len(piece)
                if length > MAX_REFUSAL_BODY_BYTES:
                    break
    except ConnectionBrokenError:
        # The response headers arrived and say that the request was not run.
        pass
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


def _classify_failure(error: UpstreamError) -> AttemptOutcome:
    if isinstance(error, ConnectFailedError):
        return AttemptOutcome.CONNECT_FAILED
    if isinstance(error, UpstreamRefusedError):
        return AttemptOutcome.REFUSED
    if isinstance(error, AttemptTimeoutError):
        return AttemptOutcome.TIMED_OUT
    return AttemptOutcome.BROKEN
