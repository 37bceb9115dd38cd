"""Sends an admitted request to upstreams, again only where that is safe."""

from dataclasses import dataclass, field

from egrethall.entry._hedger import Hedger
from egrethall.entry._placer import Placer
from egrethall.entry._prober import Probe
from egrethall.entry._race import AttemptRace
from egrethall.entry._request import AdmittedRequest, Answer, SendOutcome, SendResult
from egrethall.entry._upstream_exchange import UpstreamExchange
from egrethall.forwarding import RetryBudget
from egrethall.placement import CrashGuard
from egrethall.types import (
    Clock,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Bound on placing a request anew without having sent it, so that upstreams that
#: refuse it in turn end.
MAX_ATTEMPTS_NOT_RUN = 3

#: Least time left for which a request is sent once more.
MIN_TIME_LEFT_SECONDS = 0.05

#: Bounds of the time after which a caller may come back that upstreams have refused.
#: Another instance may know an upstream that takes the request.
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 0.2


@dataclass
class _Progress:
    """What the attempts of one request have come to."""

    #: None while nothing is suspected.
    fingerprint: bytes | None
    excluded: set[str] = field(default_factory=set)
    #: Attempts whose upstream may have run the request.
    may_have_run: int = 0
    #: Attempts that were certainly not run.
    not_run: int = 0
    #: An upstream's own failure, which is better than none of its answers.
    failed: Answer | None = None


class RequestSender:
    """Makes the attempts of a request.

    - A request that may have run is sent again only if its route allows it.
    - Repeats come from a budget, so that a service in trouble gets no storm of them.
    - A request that crashed upstreams reaches no further ones.
    """

    def __init__(
        self,
        placer: Placer,
        exchange: UpstreamExchange,
        hedger: Hedger,
        budget: RetryBudget,
        crashes: CrashGuard,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._placer = placer
        self._exchange = exchange
        self._hedger = hedger
        self._budget = budget
        self._crashes = crashes
        self._clock = clock
        self._random = random_source

    async def send(self, request: AdmittedRequest) -> Answer:
        """Returns the answer of an upstream, or raises :class:`RefusedError`."""
        self._budget.record_call(request.service.name)
        progress = _Progress(self._check_crashes(request))
        while True:
            try:
                probe = await self._place(request, frozenset(progress.excluded))
            except RefusedError as error:
                return self._conclude_unplaced(progress, error)
            race = AttemptRace(
                request,
                self._exchange.attempt,
                self._hedger.place,
                self._hedger.policy,
            )
            outcome = await race.run(probe, progress.may_have_run)
            if outcome.result is SendResult.ANSWERED and outcome.answer is not None:
                if progress.fingerprint is not None:
                    self._crashes.observe_success(progress.fingerprint)
                return outcome.answer
            self._take_failures(request, progress, race.ended)
            obstacle = self._take_retry(request, progress, outcome)
            if obstacle:
                request.record.detail = f"Not sent again: {obstacle}."
                return self._conclude(progress, outcome, request.record.detail)

    async def _place(self, request: AdmittedRequest, excluded: frozenset[str]) -> Probe:
        started_at_seconds = self._clock.monotonic_seconds()
        try:
            return await self._placer.place(request.describe_placement(excluded))
        finally:
            request.record.placing_seconds += (
                self._clock.monotonic_seconds() - started_at_seconds
            )

    def _check_crashes(self, request: AdmittedRequest) -> bytes | None:
        if self._crashes.empty:
            return None
        fingerprint = request.make_fingerprint(self._crashes)
        if self._crashes.is_kept_back(fingerprint):
            raise RefusedError(
                Refusal(
                    RefusalReason.CRASH_SUSPECT,
                    "Several upstreams were lost while they ran this request.",
                )
            )
        return fingerprint

    def _take_failures(
        self, request: AdmittedRequest, progress: _Progress, ended: list[SendOutcome]
    ) -> None:
        for outcome in ended:
            progress.excluded.add(outcome.upstream)
            request.record.failures.append(f"{outcome.upstream}:{outcome.detail}")
            if outcome.result is SendResult.NOT_RUN:
                progress.not_run += 1
                continue
            progress.may_have_run += 1
            progress.failed = outcome.answer or progress.failed
            if outcome.result is SendResult.BROKEN:
                progress.fingerprint = request.make_fingerprint(self._crashes)
                self._crashes.observe_crash(progress.fingerprint, outcome.upstream)

    def _take_retry(
        self, request: AdmittedRequest, progress: _Progress, outcome: SendOutcome
    ) -> str:
        """Takes a repeat from the budget; returns what is against it, or nothing."""
        if outcome.result is SendResult.NOT_RUN:
            if progress.not_run >= MAX_ATTEMPTS_NOT_RUN:
                return "several upstreams refused it"
        elif not request.repeatable:
            return "the route allows one run"
        if progress.may_have_run >= request.route.max_attempts:
            return "the route allows no more attempts"
        left_seconds = request.deadline_at_seconds - self._clock.monotonic_seconds()
        if left_seconds < MIN_TIME_LEFT_SECONDS:
            return "too little time is left"
        fingerprint = progress.fingerprint
        if fingerprint is not None and self._crashes.is_kept_back(fingerprint):
            return "upstreams were lost while they ran it"
        if not self._budget.take_token(request.service.name):
            return "the budget of repeats is used up"
        return ""

    def _conclude_unplaced(self, progress: _Progress, error: RefusedError) -> Answer:
        if progress.failed is not None:
            return progress.failed
        if progress.may_have_run:
            raise _build_unknown(error.refusal.detail) from error
        raise error

    def _conclude(
        self, progress: _Progress, outcome: SendOutcome, detail: str
    ) -> Answer:
        if progress.failed is not None:
            return progress.failed
        if progress.may_have_run == 0:
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
        raise _build_unknown(f"Its answer was lost. {detail}")


def _build_unknown(detail: str) -> RefusedError:
    return RefusedError(
        Refusal(
            RefusalReason.OUTCOME_UNKNOWN,
            f"An upstream may have run the request. {detail}",
        )
    )
