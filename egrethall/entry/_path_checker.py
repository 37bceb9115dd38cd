"""Checks whether this instance reaches any upstream when several do not respond."""

from collections.abc import Callable

import anyio

from egrethall.entry._prober import Prober
from egrethall.placement import UpstreamPath, UpstreamState, UpstreamTable
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
            await self._path.wait_for_suspicion()
            await self._check()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def _check(self) -> None:
        states = self._table.choose_across_services(CHECKED_UPSTREAMS)
        responding: list[UpstreamState] = []

        async def probe(state: UpstreamState, health_path: str) -> None:
            if await self._prober.check_path(state, health_path):
                responding.append(state)

        async with anyio.create_task_group() as tasks:
            for state in states:
                service = self._find_service(state.entry.service)
                if service is not None:
                    tasks.start_soon(probe, state, service.health_path)
        if states and not responding:
            self._path.observe_failed_check(len(states))
