"""Sends admitted requests to upstreams and retries them where that is safe."""

from dataclasses import dataclass, field

from egrethall.entry._abandonment import PathLossPolicy
from egrethall.entry._crash_observer import CrashObserver
from egrethall.entry._hedger import Hedger
from egrethall.entry._peer_forwarder import PeerForwarder
from egrethall.entry._placer import Placer
from egrethall.entry._prober import ProbeResult
from egrethall.entry._race import AttemptRace
from egrethall.entry._request import AdmittedRequest, Response, SendOutcome, SendResult
from egrethall.entry._upstream_exchange import UpstreamExchange
from egrethall.forwarding import RetryBudget
from egrethall.placement import CrashGuard, UpstreamPath
from egrethall.types import (
    Clock,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Limit of attempts whose upstream did not run the request. They do not count against
#: the route's limit, so without this one a request could be sent to one upstream after
#: the other, each of which refuses it.
MAX_ATTEMPTS_NOT_RUN = 3

#: Minimum time before the deadline for another attempt.
MIN_RETRY_TIME_SECONDS = 0.05

#: Bounds of the random ``Retry-After`` when upstreams refused a request. It is short
#: because another instance may know an upstream that accepts the request.
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 0.2


#: Time for which a service's requests are not forwarded after other instances declined
#: them too, unless this instance reaches no upstream of any service.
UNREACHABLE_SECONDS = 2.0


@dataclass
class _AttemptHistory:
    """What is known from the attempts of one request so far."""

    #: Identifies the request in the crash guard; None while no request is suspected.
    fingerprint: bytes | None
    #: Whether it was sent although it is quarantined.
    is_trial: bool = False
    #: Names of the upstreams that were tried.
    excluded: set[str] = field(default_factory=set)
    #: Number of attempts whose upstream may have run the request.
    possible_runs: int = 0
    #: Number of attempts whose upstream did not run the request.
    not_run: int = 0
    #: The latest server error of an upstream. It is passed on if no attempt succeeds.
    error_response: Response | None = None


class RequestSender:
    """Makes the attempts of a request: first attempt, hedge and retries.

    - A request that may have run is sent again only if its route allows it.
    - Retries are limited by a budget, so that they do not overload a failing service.
    - While this instance reaches no upstream, requests are forwarded to another one.
    - A request that is suspected of crashing upstreams is not sent again.
    """

    def __init__(
        self,
        placer: Placer,
        exchange: UpstreamExchange,
        hedger: Hedger,
        budget: RetryBudget,
        crashes: CrashGuard,
        crash_observer: CrashObserver,
        path: UpstreamPath,
        forwarder: PeerForwarder,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._placer = placer
        self._exchange = exchange
        self._hedger = hedger
        self._budget = budget
        self._crashes = crashes
        self._crash_observer = crash_observer
        self._path = path
        self._forwarder = forwarder
        #: Until when requests of a service are not forwarded, by service, since other
        #: instances reach its upstreams no more than this one.
        self._unreachable_until_seconds: dict[str, float] = {}
        self._clock = clock
        self._random = random_source

    async def send(self, request: AdmittedRequest) -> Response:
        """Returns the response of an upstream, or raises :class:`RefusedError`."""
        history = self._check_crash_suspicion(request)
        if not self._is_cut_off(request):
            # The calls and retries of a forwarded one are those of the other instance.
            self._budget.record_call(request.service.name)
        while True:
            if self._is_cut_off(request):
                return await self._forward(request, history)
            try:
                probe = await self._place(request, frozenset(history.excluded))
            except RefusedError as error:
                if self._may_be_served_elsewhere(request, error):
                    return await self._forward(request, history)
                return self._resolve_unplaced(history, error)
            if not history.is_trial and self._is_quarantined(request):
                # Another instance has reported a crash while the request waited.
                await self._placer.release(probe)
                return self._resolve_unplaced(history, _make_crash_refusal())
            race = AttemptRace(
                request,
                self._exchange.attempt,
                self._hedger.place,
                self._hedger.policy,
                PathLossPolicy(request, self._path, self._forwarder, self._budget),
            )
            outcome = await race.run(probe, history.possible_runs)
            if outcome.result is SendResult.ANSWERED and outcome.response is not None:
                if history.fingerprint is not None:
                    self._crashes.observe_success(history.fingerprint)
                await _close(history.error_response)
                return outcome.response
            await self._record_failures(request, history, race.outcomes)
            no_retry_reason = self._take_retry(request, history, outcome)
            if no_retry_reason:
                request.record.detail = f"Not sent again: {no_retry_reason}."
                return self._resolve_failure(history, outcome, request.record.detail)

    def _is_cut_off(self, request: AdmittedRequest) -> bool:
        return request.may_be_forwarded and not self._path.available

    def _may_be_served_elsewhere(
        self, request: AdmittedRequest, error: RefusedError
    ) -> bool:
        if self._is_cut_off(request):
            return True
        # New connections may fail while those that exist live on.
        now_seconds = self._clock.monotonic_seconds()
        return (
            request.may_be_forwarded
            and error.refusal.reason is RefusalReason.UPSTREAMS_UNREACHABLE
            and self._unreachable_until_seconds.get(request.service.name, now_seconds)
            <= now_seconds
        )

    async def _forward(
        self, request: AdmittedRequest, history: _AttemptHistory
    ) -> Response:
        """Returns the response that another instance received, or raises."""
        while True:
            try:
                outcome = await self._forwarder.forward(request)
            except RefusedError as error:
                return self._resolve_unplaced(history, error)
            if outcome.response is not None:
                await _close(history.error_response)
                return outcome.response
            if outcome.result is SendResult.NOT_RUN:
                return self._resolve_unplaced(
                    history, self._refuse_unreachable(request)
                )
            history.possible_runs += 1
            request.record.failures.append(f"{outcome.upstream}:{outcome.detail}")
            no_retry_reason = self._take_retry(request, history, outcome)
            if no_retry_reason:
                request.record.detail = f"Not sent again: {no_retry_reason}."
                return self._resolve_failure(history, outcome, request.record.detail)

    def _refuse_unreachable(self, request: AdmittedRequest) -> RefusedError:
        self._unreachable_until_seconds[request.service.name] = (
            self._clock.monotonic_seconds() + UNREACHABLE_SECONDS
        )
        return RefusedError(
            Refusal(
                RefusalReason.UPSTREAMS_UNREACHABLE,
                "Neither this instance nor the others asked reach an upstream.",
                self._random.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS),
            )
        )

    async def _place(
        self, request: AdmittedRequest, excluded: frozenset[str]
    ) -> ProbeResult:
        started_at_seconds = self._clock.monotonic_seconds()
        try:
            return await self._placer.place(request.build_placement_request(excluded))
        finally:
            request.record.placing_seconds += (
                self._clock.monotonic_seconds() - started_at_seconds
            )

    def _check_crash_suspicion(self, request: AdmittedRequest) -> _AttemptHistory:
        """Returns a new history, with the fingerprint if any request is suspected.

        Raises :class:`RefusedError` if the request crashed too many upstreams.
        """
        if self._crashes.empty:
            return _AttemptHistory(fingerprint=None)
        fingerprint = request.make_fingerprint(self._crashes)
        is_quarantined = self._crashes.is_quarantined(fingerprint)
        if not self._crashes.try_admit(fingerprint):
            raise _make_crash_refusal()
        return _AttemptHistory(fingerprint, is_trial=is_quarantined)

    def _is_quarantined(self, request: AdmittedRequest) -> bool:
        if self._crashes.empty:
            return False
        return self._crashes.is_quarantined(request.make_fingerprint(self._crashes))

    async def _record_failures(
        self,
        request: AdmittedRequest,
        history: _AttemptHistory,
        outcomes: list[SendOutcome],
    ) -> None:
        for outcome in outcomes:
            history.excluded.add(outcome.upstream)
            request.record.failures.append(f"{outcome.upstream}:{outcome.detail}")
            if outcome.result is SendResult.NOT_RUN:
                history.not_run += 1
                continue
            history.possible_runs += 1
            if outcome.response is not None:
                await _close(history.error_response)
                history.error_response = outcome.response
            if outcome.state is not None:
                history.fingerprint = request.make_fingerprint(self._crashes)
                self._crash_observer.observe_broken(
                    history.fingerprint, outcome.state, request.service.health_path
                )

    def _take_retry(
        self, request: AdmittedRequest, history: _AttemptHistory, outcome: SendOutcome
    ) -> str:
        """Takes a retry from the budget, if the request may be retried.

        Returns an empty string, or why there is no retry. The reason may become part
        of the detail that the caller receives.
        """
        if outcome.result is SendResult.NOT_RUN:
            if history.not_run >= MAX_ATTEMPTS_NOT_RUN:
                return "several upstreams refused it"
        elif not request.repeatable:
            return "the route allows one run"
        if history.possible_runs >= request.route.max_attempts:
            return "the route allows no more attempts"
        remaining_seconds = (
            request.deadline_at_seconds - self._clock.monotonic_seconds()
        )
        if remaining_seconds < MIN_RETRY_TIME_SECONDS:
            return "too little time is left"
        fingerprint = history.fingerprint
        if fingerprint is not None and self._crashes.is_quarantined(fingerprint):
            return "upstreams were lost while they ran it"
        if outcome.result is SendResult.ABANDONED:
            # The retry was taken from the budget when the attempt was abandoned.
            return ""
        if not self._budget.take_token(request.service.name):
            return "the budget of repeats is used up"
        return ""

    def _resolve_unplaced(
        self, history: _AttemptHistory, error: RefusedError
    ) -> Response:
        """Ends a request for which no upstream, or no further one, was selected.

        Returns the last error response of an upstream, or raises
        :class:`RefusedError`.
        """
        if history.error_response is not None:
            return history.error_response
        if history.possible_runs:
            raise _make_unknown_outcome_refusal(error.refusal.detail) from error
        raise error

    def _resolve_failure(
        self, history: _AttemptHistory, outcome: SendOutcome, detail: str
    ) -> Response:
        """Ends a request whose attempts failed and which is not retried.

        Returns the last error response of an upstream, or raises
        :class:`RefusedError`.
        """
        if history.error_response is not None:
            return history.error_response
        if history.possible_runs == 0:
            raise RefusedError(
                Refusal(
                    RefusalReason.UPSTREAM_REFUSED,
                    f"Upstreams refused the request without running it. {detail}",
                    self._random.uniform(
                        MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
                    ),
                )
            )
        if outcome.result is SendResult.TIMED_OUT:
            raise RefusedError(
                Refusal(
                    RefusalReason.UPSTREAM_TIMEOUT,
                    "No answer came in time; the request may have run.",
                )
            )
        raise _make_unknown_outcome_refusal(f"Its answer was lost. {detail}")


async def _close(response: Response | None) -> None:
    """Closes the connection of a response that is not passed on."""
    if response is not None and response.close is not None:
        await response.close()


def _make_crash_refusal() -> RefusedError:
    return RefusedError(
        Refusal(
            RefusalReason.CRASH_SUSPECT,
            "Several upstreams were lost while they ran this request.",
        )
    )


def _make_unknown_outcome_refusal(detail: str) -> RefusedError:
    return RefusedError(
        Refusal(
            RefusalReason.OUTCOME_UNKNOWN,
            f"An upstream may have run the request. {detail}",
        )
    )
