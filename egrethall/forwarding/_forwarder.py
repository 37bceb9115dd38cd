"""Forwarding of requests: attempts, retries and hedges."""

import anyio

from egrethall.forwarding._attempts import AttemptRunner
from egrethall.forwarding._budget import RetryBudget
from egrethall.forwarding._call import MAX_ATTEMPTS, Call
from egrethall.forwarding._counts import ForwardingCounts, ForwardingEvent
from egrethall.forwarding._failures import (
    UpstreamRefusedError,
    build_refused_error,
    is_certainly_not_run,
)
from egrethall.forwarding._forwarded_response import ForwardedResponse
from egrethall.forwarding._hedging import HedgedAttempt, HedgeScheduler
from egrethall.forwarding._quarantine import CrashQuarantine
from egrethall.forwarding._tickets import FinishOnceTicket
from egrethall.types import (
    AttemptOutcome,
    CallRequest,
    Clock,
    ConnectionBrokenError,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
    UpstreamError,
    UpstreamSelector,
    UpstreamTransport,
)

#: A hedge gives up if no upstream is free within this time, so that it takes no place
#: in the queue.
HEDGE_ACQUIRE_TIMEOUT_SECONDS = 0.005

#: Random extra delay of a hedge, as a share of the 95th percentile of the latency.
#: It keeps requests that are delayed by one cause from hedging at the same time.
HEDGE_JITTER_RATIO = 0.1

#: Attempts to acquire an upstream that has no other suspect in flight.
MAX_ACQUIRES_FOR_SUSPECT = 3


class Forwarder:
    """Sends requests to upstreams and repeats them only where that is safe.

    - A request that may have run is repeated at most once, and only if it is
      idempotent, its whole body is still buffered, ``budget`` has a token and the
      service is not overloaded.
    - A retry after a broken connection goes to the same upstream: if the request
      crashed it, no second upstream is lost, and if only the connection was lost,
      the upstream answers.
    - A request that ``quarantine`` suspects of a crash at another upstream is neither
      retried nor hedged.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        transport: UpstreamTransport,
        clock: Clock,
        random_source: RandomSource,
        budget: RetryBudget,
        quarantine: CrashQuarantine,
    ) -> None:
        self._selector = selector
        self._clock = clock
        self._random_source = random_source
        self._budget = budget
        self._quarantine = quarantine
        #: Counts of events since the start of the process, for metrics.
        self.counts = ForwardingCounts()
        self._attempts = AttemptRunner(transport, clock, quarantine, self.counts)
        self._hedges = HedgeScheduler(clock)

    async def run(self) -> None:
        """Sends hedges when they are due, until cancelled; required for any hedging."""
        await self._hedges.run()

    async def forward(self, request: CallRequest) -> ForwardedResponse:
        """Returns the response to relay; the caller must call its ``aclose``.

        Raises :class:`RefusedError`, or :class:`RequestBodyError` if the request body
        could not be read to its end.
        """
        call = Call(request, self._quarantine)
        self.counts.record(request.service.name, ForwardingEvent.CALL)
        self._quarantine.forget_expired()
        self._check_quarantine(call)
        self._budget.record_call(request.service.name)
        ticket = await self._acquire(call, None)
        await self._confirm_allowance(call, ticket)
        while True:
            try:
                return await self._attempt_with_hedge(call, ticket)
            except UpstreamError as error:
                retry_upstream = self._choose_retry(call, error)
            ticket = await self._acquire(call, retry_upstream)

    async def _confirm_allowance(self, call: Call, ticket: FinishOnceTicket) -> None:
        """Charges the request to its allowance before it is first sent."""
        allowance_token = call.request.allowance_token
        if allowance_token is None:
            return
        try:
            await allowance_token.confirm(call.request.deadline_at_seconds)
        except BaseException:
            ticket.finish(AttemptOutcome.CANCELLED)
            raise

    def _check_quarantine(self, call: Call) -> None:
        if self._quarantine.is_empty:
            return
        try:
            self._quarantine.check(call.fingerprint)
        except RefusedError:
            service = call.request.service.name
            self.counts.record(service, ForwardingEvent.QUARANTINED)
            raise

    def _choose_retry(self, call: Call, error: UpstreamError) -> str | None:
        """Returns the upstream to retry at, or None if the selector may choose.

        Raises :class:`RefusedError` if the request must not be repeated.
        """
        if (
            call.attempts >= MAX_ATTEMPTS
            or self._attempts.find_remaining_seconds(call) <= 0
        ):
            raise build_refused_error(call.failures, "")
        service = call.request.service.name
        overloaded = self._selector.is_overloaded(service)
        if is_certainly_not_run(error):
            if not call.certainly_not_run:
                raise build_refused_error(call.failures, "")
            if isinstance(error, UpstreamRefusedError) and overloaded:
                raise build_refused_error(call.failures, "; the service is overloaded")
            self.counts.record(service, ForwardingEvent.RESEND)
            return None
        if not isinstance(error, ConnectionBrokenError) or not call.can_be_repeated:
            raise build_refused_error(call.failures, "")
        struck = self._quarantine.find_struck_upstreams(call.fingerprint)
        if struck != {error.upstream} or overloaded:
            raise build_refused_error(call.failures, "")
        if not self._budget.take_token(service):
            self.counts.record(service, ForwardingEvent.BUDGET_EMPTY)
            raise build_refused_error(call.failures, "; the retry budget is used up")
        self.counts.record(service, ForwardingEvent.RETRY)
        call.repeat_used = True
        return error.upstream

    async def _acquire(
        self, call: Call, retry_upstream: str | None
    ) -> FinishOnceTicket:
        request = call.request
        for _ in range(MAX_ACQUIRES_FOR_SUSPECT):
            excluded = call.find_excluded_upstreams()
            if retry_upstream is not None:
                occupied = self._quarantine.find_occupied_upstreams(call.fingerprint)
                excluded = call.find_other_upstreams(retry_upstream) | occupied
            try:
                ticket = await self._selector.acquire(
                    request.service,
                    call.organisation,
                    request.deadline_at_seconds,
                    excluded,
                )
            except RefusedError as error:
                if not call.failures:
                    raise
                raise build_refused_error(
                    call.failures, f"; no further attempt: {error.refusal.detail}"
                ) from error
            once = FinishOnceTicket(ticket)
            if self._validate_ticket(call, once):
                return once
        refusal = Refusal(
            RefusalReason.NO_UPSTREAM,
            "every upstream runs another request that is suspected of crashes",
        )
        if call.failures:
            raise build_refused_error(call.failures, f"; {refusal.detail}")
        raise RefusedError(refusal)

    def _validate_ticket(self, call: Call, ticket: FinishOnceTicket) -> bool:
        """Returns whether the ticket may be used for ``call``; finishes it if not.

        The quarantine may have changed while the request waited for the ticket.
        """
        if self._quarantine.is_empty:
            return True
        try:
            self._check_quarantine(call)
        except RefusedError as error:
            ticket.finish(AttemptOutcome.CANCELLED)
            if call.failures:
                raise build_refused_error(call.failures, "") from error
            raise
        occupied = self._quarantine.find_occupied_upstreams(call.fingerprint)
        if call.is_suspect and ticket.upstream.name in occupied:
            ticket.finish(AttemptOutcome.CANCELLED)
            return False
        return True

    async def _attempt_with_hedge(
        self, call: Call, ticket: FinishOnceTicket
    ) -> ForwardedResponse:
        try:
            delay_seconds = self._find_hedge_delay_seconds(call)
            if delay_seconds is None:
                return await self._attempts.run(call, ticket, call.is_suspect)
            race = HedgedAttempt(
                self._attempts.run,
                self._acquire_hedge,
                self._quarantine,
                call,
                ticket,
            )
            now_seconds = self._clock.monotonic_seconds()
            timer = self._hedges.add(now_seconds + delay_seconds, race)
            try:
                response = await race.run()
            finally:
                timer.cancel()
            if race.is_won_by_hedge:
                self.counts.record(call.request.service.name, ForwardingEvent.HEDGE_WON)
            return response
        except BaseException:
            ticket.finish(AttemptOutcome.CANCELLED)
            raise

    async def _acquire_hedge(
        self, call: Call, primary_upstream: str
    ) -> FinishOnceTicket | None:
        """Returns a ticket for a hedge, or None if no hedge can be sent now."""
        service = call.request.service
        if not self._may_hedge(call):
            return None
        occupied = self._quarantine.find_occupied_upstreams(call.fingerprint)
        now_seconds = self._clock.monotonic_seconds()
        ticket: FinishOnceTicket | None = None
        with anyio.move_on_after(HEDGE_ACQUIRE_TIMEOUT_SECONDS):
            try:
                ticket = FinishOnceTicket(
                    await self._selector.acquire(
                        service,
                        call.organisation,
                        now_seconds + HEDGE_ACQUIRE_TIMEOUT_SECONDS,
                        occupied | call.find_excluded_upstreams() | {primary_upstream},
                    )
                )
            except RefusedError:
                return None
        if ticket is None:
            return None
        occupied = self._quarantine.find_occupied_upstreams(call.fingerprint)
        if (
            ticket.upstream.name in occupied
            or not self._may_hedge(call)
            or not self._budget.take_token(service.name)
        ):
            ticket.finish(AttemptOutcome.CANCELLED)
            return None
        self.counts.record(service.name, ForwardingEvent.HEDGE)
        return ticket

    def _may_hedge(self, call: Call) -> bool:
        return (
            call.can_be_repeated
            and not call.is_suspect
            and not self._selector.is_overloaded(call.request.service.name)
            and self._budget.has_token(call.request.service.name)
        )

    def _find_hedge_delay_seconds(self, call: Call) -> float | None:
        """Returns the delay before the hedge, or None if the request gets no hedge."""
        if not self._hedges.is_running:
            return None
        p95_seconds = self._attempts.find_p95_seconds(call.request.service.name)
        if p95_seconds is None or not self._may_hedge(call):
            return None
        jitter = 1.0 + HEDGE_JITTER_RATIO * self._random_source.random()
        return p95_seconds * jitter
