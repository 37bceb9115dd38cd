"""Runs an attempt at a request, and a hedged one when its upstream is slow."""

from collections.abc import Awaitable, Callable

import anyio

from egrethall.entry._abandonment import AbandonPolicy
from egrethall.entry._prober import ProbeResult
from egrethall.entry._request import AdmittedRequest, SendOutcome, SendResult
from egrethall.placement import HedgePolicy, UpstreamState

#: Sends the request to the upstream of a probe.
AttemptRunner = Callable[[AdmittedRequest, ProbeResult], Awaitable[SendOutcome]]

#: Returns the probe of the upstream for a hedged attempt, or None to not hedge now. The
#: arguments are the request, the upstream of the first attempt, and the attempts that
#: count against the limit of the route.
HedgePlacer = Callable[
    [AdmittedRequest, UpstreamState, int], Awaitable[ProbeResult | None]
]


class AttemptRace:
    """Runs one attempt and at most one hedged attempt; the first response wins.

    The other attempt is cancelled. A failed attempt does not end the race while the
    other one is running. A request that must not run twice is neither hedged nor
    abandoned.
    """

    def __init__(
        self,
        request: AdmittedRequest,
        attempt: AttemptRunner,
        place_hedge: HedgePlacer,
        policy: HedgePolicy,
        abandon_policy: AbandonPolicy,
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._place_hedge = place_hedge
        self._policy = policy
        self._abandon_policy = abandon_policy
        #: Names of the upstreams of the attempts in flight.
        self._running: list[str] = []
        self._abandoned = False
        self._attempt_ended = anyio.Event()
        self._started_count = 0
        #: Outcomes of the attempts that ended, in that order, then of abandoned ones. A
        #: cancelled attempt has none.
        self.outcomes: list[SendOutcome] = []

    async def run(self, probe: ProbeResult, possible_runs: int) -> SendOutcome:
        """Returns the first response, or else the outcome of the last attempt.

        :param possible_runs: number of upstreams that may have run the request before.
        """
        if not self._request.repeatable:
            self.outcomes.append(await self._attempt(self._request, probe))
            return self.outcomes[-1]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_attempt, probe)
            self._started_count = 1
            tasks.start_soon(self._hedge_if_slow, tasks, probe.state, possible_runs)
            tasks.start_soon(self._abandon_if_lost, possible_runs)
            while not self._is_decided():
                self._attempt_ended = anyio.Event()
                await self._attempt_ended.wait()
            tasks.cancel_scope.cancel()
        if self._abandoned and self._find_answered() is None:
            self.outcomes += [
                SendOutcome(SendResult.ABANDONED, "abandoned", upstream)
                for upstream in self._running
            ]
        winner = self._find_answered() or self.outcomes[-1]
        for loser in self.outcomes:
            if loser is not winner and loser.response and loser.response.close:
                await loser.response.close()
        return winner

    def _is_decided(self) -> bool:
        if self._abandoned:
            return True
        if not self.outcomes:
            return False
        return (
            self._find_answered() is not None
            or len(self.outcomes) == self._started_count
        )

    def _find_answered(self) -> SendOutcome | None:
        # Both attempts may end before the waiting task runs again.
        answered = (o for o in self.outcomes if o.result is SendResult.ANSWERED)
        return next(answered, None)

    async def _run_attempt(self, probe: ProbeResult) -> None:
        upstream = probe.state.name
        self._running.append(upstream)
        outcome = await self._attempt(self._request, probe)
        self._running.remove(upstream)
        self.outcomes.append(outcome)
        self._attempt_ended.set()

    async def _abandon_if_lost(self, possible_runs: int) -> None:
        await self._abandon_policy.wait()
        ended_runs = sum(o.result is not SendResult.NOT_RUN for o in self.outcomes)
        in_flight = len(self._running)
        if not in_flight or self._is_decided():
            return
        if self._abandon_policy.claim(possible_runs + ended_runs + in_flight):
            self._abandoned = True
            self._attempt_ended.set()

    async def _hedge_if_slow(
        self, tasks: anyio.abc.TaskGroup, state: UpstreamState, possible_runs: int
    ) -> None:
        objective_seconds = self._request.route.objective_seconds
        elapsed_seconds = 0.0
        while not self.outcomes:
            next_check_seconds = self._policy.find_next_probe_seconds(
                elapsed_seconds, objective_seconds
            )
            await anyio.sleep(next_check_seconds - elapsed_seconds)
            elapsed_seconds = next_check_seconds
            probe = await self._place_hedge(self._request, state, possible_runs + 1)
            if probe is not None:
                self._started_count += 1
                tasks.start_soon(self._run_attempt, probe)
                return
