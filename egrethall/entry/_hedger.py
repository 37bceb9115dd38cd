"""Decides on hedges and finds upstreams for them."""

import structlog

from egrethall.entry._placer import Placer
from egrethall.entry._prober import Probe, Prober
from egrethall.entry._request import AdmittedRequest
from egrethall.forwarding import RetryBudget
from egrethall.placement import CrashGuard, HedgePolicy, UpstreamState
from egrethall.types import Clock, RefusedError

logger = structlog.get_logger(__name__)


class Hedger:
    """Sends a waiting request to a second upstream where that would be sooner."""

    def __init__(
        self,
        placer: Placer,
        prober: Prober,
        budget: RetryBudget,
        crashes: CrashGuard,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._prober = prober
        self._budget = budget
        self._crashes = crashes
        self._clock = clock
        self.policy = HedgePolicy()

    async def place(
        self, request: AdmittedRequest, state: UpstreamState, sent: int
    ) -> Probe | None:
        """Returns the upstream for a hedge, or None if none is worth it.

        :param state: the upstream at work.
        :param sent: upstreams that the request was sent to.
        """
        if not self._may_hedge(request, sent):
            return None
        elapsed_seconds = self._clock.monotonic_seconds() - request.received_at_seconds
        look = await self._prober.look(state, request.service.health_path)
        if not self.policy.wants_hedge(
            elapsed_seconds,
            request.route.objective_seconds,
            None if look is None else look.reading,
        ):
            return None
        try:
            probe = await self._placer.place(
                request.describe_placement(frozenset({state.name}), at_once=True)
            )
        except RefusedError as error:
            # Nothing is free, and the first upstream may still answer.
            logger.debug("no hedge", id=request.head.request_id, reason=str(error))
            return None
        if not self._budget.take_token(request.service.name):
            await self._prober.release(probe)
            return None
        return probe

    def _may_hedge(self, request: AdmittedRequest, sent: int) -> bool:
        if not request.repeatable or sent >= request.route.max_attempts:
            return False
        left_seconds = request.deadline_at_seconds - self._clock.monotonic_seconds()
        if not self.policy.has_time(left_seconds, request.route.objective_seconds):
            return False
        if not self._budget.has_token(request.service.name):
            return False
        return self._crashes.empty or not self._crashes.count_crashes(
            request.make_fingerprint(self._crashes)
        )
