"""Checks whether this instance reaches any upstream when several do not respond."""

from collections.abc import Callable

import anyio

from egrethall.entry._prober import Prober
from egrethall.placement import (
    REQUIRED_RESPONSES,
    UpstreamPath,
    UpstreamState,
    UpstreamTable,
)
from egrethall.types import PublishedService

#: Upstreams that a check probes at once, of all services and availability zones.
CHECKED_UPSTREAMS = 6

#: Pause between two checks of a lost path. A path that returns is used about as soon as
#: others are told of it.
CHECK_INTERVAL_SECONDS = 0.4

#: Finds a service of the configuration in force by its name.
ServiceFinder = Callable[[str], PublishedService | None]


class PathChecker:
    """Probes upstreams of all services while the path is suspected or lost."""

    def __init__(
        self,
        path: UpstreamPath,
        table: UpstreamTable,
        prober: Prober,
        find_service: ServiceFinder,
    ) -> None:
        self._path = path
        self._table = table
        self._prober = prober
        self._find_service = find_service

    async def run(self) -> None:
        """Checks the path whenever there is a reason to, until cancelled."""
        while True:
            await self._path.wait_for_check()
            await self._check()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def reaches_any(self, excluded: str) -> bool:
        """Returns whether any of a few upstreams but ``excluded`` responds now."""
        states = self._table.choose_across_services(CHECKED_UPSTREAMS)
        others = [state for state in states if state.name != excluded]
        return await self._probe(others, required=1) > 0

    async def _check(self) -> None:
        states = self._table.choose_across_services(CHECKED_UPSTREAMS)
        if states and not await self._probe(states, REQUIRED_RESPONSES):
            self._path.observe_failed_check(len(states))

    async def _probe(self, states: list[UpstreamState], required: int) -> int:
        """Returns how many of ``states`` respond, up to ``required``."""
        responding = 0

        async def probe(state: UpstreamState, health_path: str) -> None:
            nonlocal responding
            if not await self._prober.check_path(state, health_path):
                return
            responding += 1
            if responding >= required:
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for state in states:
                service = self._find_service(state.entry.service)
                if service is not None:
                    tasks.start_soon(probe, state, service.health_path)
        return responding
