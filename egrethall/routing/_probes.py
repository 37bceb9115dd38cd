"""Background task that advances cold starts and probes upstreams."""

from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from egrethall.routing._cold_starts import ColdStartController
from egrethall.routing._directory import UpstreamDirectory
from egrethall.types import (
    Clock,
    ConnectFailedError,
    LoadReport,
    Upstream,
    UpstreamError,
)

#: Interval between checks of cold starts and due probes.
PROBE_TICK_SECONDS = 0.1

#: Timeout of a probe; at most the interval between two probes of an upstream.
PROBE_TIMEOUT_SECONDS = 1.0


class UpstreamProber(Protocol):
    """Requests an upstream's load report."""

    async def probe(self, upstream: Upstream, timeout_seconds: float) -> LoadReport:
        """Returns the report from ``GET /load``; raises :class:`UpstreamError`."""
        ...


class ProbeRunner:
    """Advances cold starts and sends probes for the shards held by this instance."""

    def __init__(
        self,
        controller: ColdStartController,
        directory: UpstreamDirectory,
        prober: UpstreamProber,
        clock: Clock,
    ) -> None:
        self._controller = controller
        self._directory = directory
        self._prober = prober
        self._clock = clock

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.start_due(tasks)
                await anyio.sleep(PROBE_TICK_SECONDS)

    def start_due(self, tasks: TaskGroup) -> None:
        """Advances cold starts and starts a task for each due probe."""
        self._controller.advance()
        for upstream in self._controller.find_due_probes():
            self._controller.begin_probe(upstream.name)
            tasks.start_soon(self._probe, upstream)

    async def _probe(self, upstream: Upstream) -> None:
        started_at_seconds = self._clock.monotonic_seconds()
        try:
            with anyio.fail_after(PROBE_TIMEOUT_SECONDS):
                report = await self._prober.probe(upstream, PROBE_TIMEOUT_SECONDS)
        except ConnectFailedError:
            self._directory.observe_probe_failure(upstream.name, connected=False)
            return
        except (UpstreamError, TimeoutError):
            self._directory.observe_probe_failure(upstream.name, connected=True)
            return
        elapsed_seconds = self._clock.monotonic_seconds() - started_at_seconds
        self._directory.observe_probe(upstream.name, report, elapsed_seconds)
