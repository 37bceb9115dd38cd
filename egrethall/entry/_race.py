"""An attempt that gets a competitor when its upstream turns slow."""

from collections.abc import Awaitable, Callable

import anyio

from egrethall.entry._prober import Probe
from egrethall.entry._request import AdmittedRequest, SendOutcome, SendResult
from egrethall.placement import HedgePolicy, UpstreamState

Attempt = Callable[[AdmittedRequest, Probe], Awaitable[SendOutcome]]

#: Returns the probe of a second upstream, or None if the request is not sent again.
HedgePlacer = Callable[[AdmittedRequest, UpstreamState, int], Awaitable[Probe | None]]


class AttemptRace:
    """Runs one attempt and at most one hedge; the first good answer wins."""

    def __init__(
        self,
        request: AdmittedRequest,
        attempt: Attempt,
        place_hedge: HedgePlacer,
        policy: HedgePolicy,
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._place_hedge = place_hedge
        self._policy = policy
        self._changed = anyio.Event()
        self._started = 0
        #: The attempts that ended, in their order. A loser that was cancelled is not
        #: among them.
        self.ended: list[SendOutcome] = []

    async def run(self, probe: Probe, sent_before: int) -> SendOutcome:
        """Returns the first answer, or else the outcome of the last attempt.

        :param sent_before: upstreams that may have run the request already.
        """
        if not self._request.repeatable:
            self.ended.append(await self._attempt(self._request, probe))
            return self.ended[-1]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_attempt, probe)
            self._started = 1
            tasks.start_soon(self._hedge, tasks, probe.state, sent_before)
            while not self._is_decided():
                self._changed = anyio.Event()
                await self._changed.wait()
            tasks.cancel_scope.cancel()
        winner = self._find_answered() or self.ended[-1]
        for loser in self.ended:
            if loser is not winner and loser.answer and loser.answer.close:
                await loser.answer.close()
        return winner

    def _is_decided(self) -> bool:
        if not self.ended:
            return False
        return self._find_answered() is not None or len(self.ended) == self._started

    def _find_answered(self) -> SendOutcome | None:
        # Both attempts may end before the race is looked at.
        answered = (o for o in self.ended if o.result is SendResult.ANSWERED)
        return next(answered, None)

    async def _run_attempt(self, probe: Probe) -> None:
        self.ended.append(await self._attempt(self._request, probe))
        self._changed.set()

    async def _hedge(
        self, tasks: anyio.abc.TaskGroup, state: UpstreamState, sent_before: int
    ) -> None:
        objective_seconds = self._request.route.objective_seconds
        elapsed_seconds = 0.0
        while not self.ended:
            next_seconds = self._policy.find_next_look(
                elapsed_seconds, objective_seconds
            )
            await anyio.sleep(next_seconds - elapsed_seconds)
            elapsed_seconds = next_seconds
            probe = await self._place_hedge(self._request, state, sent_before + 1)
            if probe is not None:
                self._started += 1
                tasks.start_soon(self._run_attempt, probe)
                return
