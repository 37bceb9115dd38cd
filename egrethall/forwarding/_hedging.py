"""Hedged attempts and the scheduler that starts their hedges."""

import heapq
import itertools
import math
from collections.abc import Awaitable, Callable

import anyio
import structlog

from egrethall.forwarding._call import Call
from egrethall.forwarding._forwarded_response import ForwardedResponse
from egrethall.forwarding._quarantine import CrashQuarantine
from egrethall.forwarding._tickets import FinishOnceTicket
from egrethall.types import AttemptOutcome, Clock, RefusedError, UpstreamError

#: Interval at which the scheduler looks for due hedges: a hedge starts at most this
#: late, and the scheduler wakes up at most 500 times a second.
TICK_SECONDS = 0.002

#: Makes one attempt; the last argument says whether the quarantine tracks it as a
#: suspect in flight.
Attempt = Callable[[Call, FinishOnceTicket, bool], Awaitable[ForwardedResponse]]

#: Returns a ticket for a hedge, or None if no hedge can be sent now. The second
#: argument names the upstream of the first attempt.
HedgeAcquire = Callable[[Call, str], Awaitable[FinishOnceTicket | None]]

logger = structlog.get_logger(__name__)


class HedgedAttempt:
    """An attempt with a hedge if it is late; the first response is used.

    A hedged request may crash two upstreams at once. It therefore counts as a suspect
    on both while the hedge runs, so that two broken connections put it into
    quarantine before it reaches a third upstream.
    """

    def __init__(
        self,
        attempt: Attempt,
        acquire_hedge: HedgeAcquire,
        quarantine: CrashQuarantine,
        call: Call,
        ticket: FinishOnceTicket,
    ) -> None:
        self._attempt = attempt
        self._acquire_hedge = acquire_hedge
        self._quarantine = quarantine
        self._call = call
        self._ticket = ticket
        self._winner: ForwardedResponse | None = None
        self._primary_error: Exception | None = None
        self._primary_scope = anyio.CancelScope()
        self._hedge_scope: anyio.CancelScope | None = None
        self._hedge_ended: anyio.Event | None = None
        self._hedge_sent = False
        self._is_finished = False
        self._is_won_by_hedge = False

    @property
    def is_won_by_hedge(self) -> bool:
        """Whether the response that :meth:`run` returned came from the hedge."""
        return self._is_won_by_hedge

    async def run(self) -> ForwardedResponse:
        """Returns the first response, or raises the error of the first attempt."""
        try:
            with self._primary_scope:
                await self._run_primary()
            if self._winner is None and self._hedge_sent and self._hedge_ended:
                await self._hedge_ended.wait()
        except BaseException:
            self._stop_hedge()
            if self._winner is not None:
                await self._winner.aclose()
            raise
        self._stop_hedge()
        if self._winner is not None:
            return self._winner
        if self._primary_error is None:
            raise RuntimeError("a hedged attempt ended without a result")
        raise self._primary_error

    async def run_hedge(self) -> None:
        """Sends the hedge unless the attempt is over; raises no :class:`Exception`."""
        if self._is_finished:
            return
        self._hedge_ended = anyio.Event()
        self._hedge_scope = anyio.CancelScope()
        try:
            with self._hedge_scope:
                await self._send_hedge()
        except (UpstreamError, RefusedError):
            # The call has recorded the failure; the first attempt decides the result.
            pass
        except Exception:
            logger.exception("hedge failed", request_id=self._call.request.request_id)
        finally:
            self._hedge_ended.set()

    async def _run_primary(self) -> None:
        try:
            response = await self._attempt(self._call, self._ticket, False)
        except Exception as error:
            self._primary_error = error
            return
        await self._accept(response)

    async def _send_hedge(self) -> None:
        primary_upstream = self._ticket.upstream.name
        ticket = await self._acquire_hedge(self._call, primary_upstream)
        if ticket is None:
            return
        if self._is_finished or self._primary_error is not None:
            ticket.finish(AttemptOutcome.CANCELLED)
            return
        self._hedge_sent = True
        self._call.repeat_used = True
        fingerprint = self._call.fingerprint
        self._quarantine.begin_attempt(fingerprint, primary_upstream)
        try:
            response = await self._attempt(self._call, ticket, True)
        finally:
            self._quarantine.end_attempt(fingerprint, primary_upstream)
        await self._accept(response)
        self._is_won_by_hedge = self._winner is response
        self._primary_scope.cancel()

    async def _accept(self, response: ForwardedResponse) -> None:
        if self._winner is not None or self._is_finished:
            await response.aclose()
            return
        self._winner = response

    def _stop_hedge(self) -> None:
        self._is_finished = True
        if self._hedge_scope is not None:
            self._hedge_scope.cancel()


class HedgeTimer:
    """A scheduled hedge; holds its attempt only until the attempt ends.

    Most requests are answered long before their hedge is due, and their bodies must
    not stay in memory until then.
    """

    def __init__(self, attempt: HedgedAttempt) -> None:
        self.attempt: HedgedAttempt | None = attempt

    def cancel(self) -> None:
        """Prevents the hedge from starting and releases the attempt."""
        self.attempt = None


class HedgeScheduler:
    """Starts the hedges of all late requests from a single task.

    One timer task per request would take four fifths of the forwarder's processor
    time, although only one request in twenty is late.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timers: list[tuple[float, int, HedgeTimer]] = []
        self._sequence_numbers = itertools.count()
        #: Set when an added hedge is due before all others.
        self._earlier_hedge_added: anyio.Event | None = None
        self._is_running = False

    @property
    def is_running(self) -> bool:
        """Whether hedges that are added will be started."""
        return self._is_running

    def add(self, at_seconds: float, attempt: HedgedAttempt) -> HedgeTimer:
        """Schedules the hedge of ``attempt`` for the clock time ``at_seconds``."""
        timer = HedgeTimer(attempt)
        entry = (at_seconds, next(self._sequence_numbers), timer)
        heapq.heappush(self._timers, entry)
        if self._timers[0] is entry and self._earlier_hedge_added is not None:
            self._earlier_hedge_added.set()
        return timer

    async def run(self) -> None:
        """Starts hedges when they are due, until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                self._is_running = True
                while True:
                    await self._wait_until_due()
                    for attempt in self._take_due():
                        group.start_soon(attempt.run_hedge)
        finally:
            self._is_running = False
            self._timers.clear()

    async def _wait_until_due(self) -> None:
        """Waits until the first hedge is due or an earlier one is added."""
        # Drops cancelled timers: nearly all attempts end before their hedge is due.
        while self._timers and self._timers[0][2].attempt is None:
            heapq.heappop(self._timers)
        remaining_seconds = math.inf
        if self._timers:
            remaining_seconds = self._timers[0][0] - self._clock.monotonic_seconds()
        if remaining_seconds > TICK_SECONDS:
            self._earlier_hedge_added = anyio.Event()
            with anyio.move_on_after(remaining_seconds):
                await self._earlier_hedge_added.wait()
            self._earlier_hedge_added = None
        await anyio.sleep(TICK_SECONDS)

    def _take_due(self) -> list[HedgedAttempt]:
        now_seconds = self._clock.monotonic_seconds()
        attempts = []
        while self._timers and self._timers[0][0] <= now_seconds:
            attempt = heapq.heappop(self._timers)[2].attempt
            if attempt is not None:
                attempts.append(attempt)
        return attempts
