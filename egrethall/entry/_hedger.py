"""Decides whether to hedge a request and selects the upstream for it."""

import structlog

from egrethall.entry._placer import Placer
from egrethall.entry._prober import Probe, Prober
from egrethall.entry._request import AdmittedRequest
from egrethall.forwarding import RetryBudget
from egrethall.placement import CrashGuard, HedgePolicy, UpstreamState
from egrethall.types import Clock, RefusedError

logger = structlog.get_logger(__name__)


class Hedger:
    """Selects a second upstream for a request whose first upstream is slow."""

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
        self, request: AdmittedRequest, state: UpstreamState, attempts: int
    ) -> Probe | None:
        """Returns the probe of the upstream for a hedged attempt, or None for no hedge.

        :param state: the upstream of the running attempt.
        :param attempts: attempts that count against the limit of the route, the running
            one included.
        """
        if not self._may_hedge(request, attempts):
            return None
        elapsed_seconds = self._clock.monotonic_seconds() - request.received_at_seconds
        running_probe = await self._prober.look(state, request.service.health_path)
        if not self.policy.wants_hedge(
            elapsed_seconds,
            request.route.objective_seconds,
            None if running_probe is None else running_probe.reading,
        ):
            return None
        try:
            probe = await self._placer.place(
                request.build_placement_request(
                    frozenset({state.name}), requires_free_slot=True
                )
            )
        except RefusedError as error:
            # No upstream has a free slot. The first one may still respond.
            logger.debug("no hedge", id=request.head.request_id, reason=str(error))
            return None
        if not self._budget.take_token(request.service.name):
            await self._prober.release(probe)
            return None
        return probe

    def _may_hedge(self, request: AdmittedRequest, attempts: int) -> bool:
        if not request.repeatable or attempts >= request.route.max_attempts:
            return False
        remaining_seconds = (
            request.deadline_at_seconds - self._clock.monotonic_seconds()
        )
        if not self.policy.has_time(remaining_seconds, request.route.objective_seconds):
            return False
        if not self._budget.has_token(request.service.name):
            return False
        return self._crashes.empty or not self._crashes.count_crashes(
            request.make_fingerprint(self._crashes)
        )
