"""Decides whether to hedge a request and selects the upstream for it."""

import structlog

from egrethall.entry._placer import Placer
from egrethall.entry._prober import UNKNOWN_READING, Prober, ProbeResult
from egrethall.entry._request import AdmittedRequest
from egrethall.forwarding import RetryBudget
from egrethall.placement import (
    CrashGuard,
    HedgePolicy,
    UpstreamState,
)
from egrethall.types import Clock, RefusedError, UpstreamReading

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
    ) -> ProbeResult | None:
        """Returns the probe of the upstream for a hedged attempt, or None for no hedge.

        :param state: the upstream of the running attempt.
        :param attempts: attempts that count against the limit of the route, the running
            one included.
        """
        if not self._may_hedge(request, attempts):
            return None
        elapsed_seconds = self._clock.monotonic_seconds() - request.received_at_seconds
        if not self.policy.should_hedge(
            elapsed_seconds,
            request.route.objective_seconds,
            await self._read_load(state, request.service.health_path),
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

    async def _read_load(
        self, state: UpstreamState, health_path: str
    ) -> UpstreamReading | None:
        """Returns the load that an upstream reports, or None if it does not respond."""
        if state.paused_until_seconds > self._clock.monotonic_seconds():
            # It wants no probes either.
            return UNKNOWN_READING
        probe = await self._prober.probe_once(state, health_path)
        return None if probe is None else probe.reading

    def _may_hedge(self, request: AdmittedRequest, attempts: int) -> bool:
        if not request.repeatable or attempts >= request.route.max_attempts:
            return False
        remaining_seconds = (
            request.deadline_at_seconds - self._clock.monotonic_seconds()
        )
        if not self.policy.has_time_for_hedge(
            remaining_seconds, request.route.objective_seconds
        ):
            return False
        if not self._budget.has_token(request.service.name):
            return False
        return self._crashes.empty or not self._crashes.count_crashes(
            request.make_fingerprint(self._crashes)
        )
