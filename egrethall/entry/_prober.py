"""Probes upstreams for their load on the connections that requests then use."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import TaskGroup

from egrethall.entry._connection_pool import ConnectionPool
from egrethall.http1 import (
    ClientConnection,
    ConnectError,
    ConnectionLostError,
    HttpConnectionError,
)
from egrethall.placement import UpstreamPath, UpstreamState
from egrethall.types import Clock, ExchangeFormat, UpstreamHead, UpstreamReading

#: Timeout of a probe. A response takes a few milliseconds, and some tens more if this
#: instance's machine is busy.
PROBE_TIMEOUT_SECONDS = 0.25

#: Number of responses to other requests that are skipped before a connection is closed.
MAX_SKIPPED_RESPONSES = 2

HEALTHY_STATUS = 200

logger = structlog.get_logger(__name__)

#: Load that is assumed for an upstream whose response does not report it.
UNKNOWN_READING = UpstreamReading(running=0, waiting=0, slots=1)


@dataclass
class ProbeResult:
    """The result of a probe and the open connection on which it was received."""

    state: UpstreamState
    connection: ClientConnection
    #: Load that the upstream reports.
    reading: UpstreamReading
    #: Whether the response to the health path had status 200.
    healthy: bool
    #: Whether the upstream reports that it is still cold.
    cold: bool
    #: Time after which the upstream closes the idle connection; None if it is unknown.
    idle_seconds: float | None
    #: Number of requests that this instance had sent to the upstream by then.
    sent_at_probe: int


class ProbeBatch:
    """Collects the results of concurrent probes for one placement."""

    def __init__(self) -> None:
        self.results: list[ProbeResult] = []
        #: Names of the upstreams that are or were probed.
        self.probed_names: set[str] = set()
        #: Number of probes that have not ended.
        self.pending = 0
        self._changed = anyio.Event()
        self._discards_pending = False

    @property
    def discards_pending(self) -> bool:
        """Whether results of probes that are still pending are discarded."""
        return self._discards_pending

    def record_result(self, probe: ProbeResult | None) -> None:
        """Records the end of one probe.

        :param probe: the result; None if it failed or was discarded.
        """
        self.pending -= 1
        if probe is not None:
            self.results.append(probe)
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Waits until another probe has ended."""
        await self._changed.wait()

    def discard_pending(self) -> None:
        """Discards the results of probes that are still pending."""
        self._discards_pending = True


class Prober:
    """Probes upstreams in background tasks: requests need not wait for the slowest."""

    def __init__(
        self,
        pool: ConnectionPool,
        exchange_format: ExchangeFormat,
        path: UpstreamPath,
        clock: Clock,
        tasks: TaskGroup,
        probe_counts: Counter[str] | None = None,
    ) -> None:
        self._pool = pool
        self._exchange_format = exchange_format
        self._path = path
        self._clock = clock
        self._tasks = tasks
        #: Probes by service.
        self._probe_counts = Counter() if probe_counts is None else probe_counts

    def start_probes(
        self, states: list[UpstreamState], health_path: str, batch: ProbeBatch
    ) -> None:
        """Starts probes of ``states`` and adds their results to ``batch``."""
        for state in states:
            batch.pending += 1
            batch.probed_names.add(state.name)
            self._tasks.start_soon(self._run_probe, state, health_path, batch)

    def start_check(
        self,
        state: UpstreamState,
        health_path: str,
        on_failure: Callable[[], Awaitable[None]],
    ) -> None:
        """Starts a probe of one upstream; calls ``on_failure`` if it fails."""
        self._tasks.start_soon(self._run_check, state, health_path, on_failure)

    async def _run_check(
        self,
        state: UpstreamState,
        health_path: str,
        on_failure: Callable[[], Awaitable[None]],
    ) -> None:
        try:
            if await self.probe_once(state, health_path) is None:
                await on_failure()
        except Exception:
            # An exception in one probe must not end the process.
            logger.exception("probe failed", upstream=state.name)

    async def _run_probe(
        self, state: UpstreamState, health_path: str, batch: ProbeBatch
    ) -> None:
        probe = None
        try:
            probe = await self._probe_upstream(state, health_path)
            if probe is not None and batch.discards_pending:
                await self.release(probe)
                probe = None
        except Exception:
            # An exception in one probe must not end the process.
            logger.exception("probe failed", upstream=state.name)
        finally:
            batch.record_result(probe)

    async def probe_once(
        self, state: UpstreamState, health_path: str
    ) -> ProbeResult | None:
        """Probes one upstream and releases the connection; returns None on failure."""
        probe = await self._probe_upstream(state, health_path)
        if probe is not None:
            await self.release(probe)
        return probe

    async def check_path(self, state: UpstreamState, health_path: str) -> bool:
        """Returns whether an upstream responds; one that does not is not avoided."""
        probe = await self._probe_upstream(state, health_path, penalize=False)
        if probe is not None:
            await self.release(probe)
        return probe is not None

    def has_idle_connection(self, state: UpstreamState) -> bool:
        """Returns whether a probe of an upstream needs no new connection."""
        return self._pool.has_idle(state)

    async def release(self, probe: ProbeResult) -> None:
        """Returns the connection of an unused probe to the pool."""
        await self._pool.release(probe.state, probe.connection, probe.idle_seconds)

    async def _probe_upstream(
        self, state: UpstreamState, health_path: str, *, penalize: bool = True
    ) -> ProbeResult | None:
        connection: ClientConnection | None = None
        self._probe_counts[state.entry.service] += 1
        try:
            with anyio.fail_after(PROBE_TIMEOUT_SECONDS):
                connection = await self._pool.acquire(state)
                if connection is not None:
                    try:
                        head = await self._request_health(connection, health_path)
                    except ConnectionLostError:
                        # The upstream may have closed the idle connection.
                        await connection.close()
                        connection = None
                if connection is None:
                    connection = await self._pool.open(state, PROBE_TIMEOUT_SECONDS)
                    head = await self._request_health(connection, health_path)
        except (HttpConnectionError, TimeoutError) as error:
            if connection is not None:
                await connection.close()
            self._path.observe_failure(state.name)
            # A lost path says nothing about the upstream.
            if penalize and self._path.available:
                state.observe_failure(
                    "no connection"
                    if isinstance(error, ConnectError)
                    else "no response"
                )
            return None
        except BaseException:
            if connection is not None:
                await connection.close()
            raise
        self._path.observe_response(state.name)
        return await self._make_result(state, connection, head)

    async def _request_health(
        self, connection: ClientConnection, health_path: str
    ) -> UpstreamHead:
        host = connection.address.encode("ascii")
        await connection.send("GET", health_path.encode("ascii"), ((b"host", host),))
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            received = await connection.receive_head()
            head = self._exchange_format.decode_upstream_head(
                received.status, received.headers
            )
            if not head.request_id:
                await connection.receive_body()
                return head
            # A second response to an earlier request: probes carry no request ID.
            await connection.skip_response()
        raise ConnectionLostError(f"{connection.address}: responses to other requests")

    async def _make_result(
        self, state: UpstreamState, connection: ClientConnection, head: UpstreamHead
    ) -> ProbeResult | None:
        if head.upstream and head.upstream != state.name:
            await connection.close()
            state.observe_failure("address in use by another upstream")
            return None
        state.observe_head(head)
        state.observe_rate_limit(head.rate_limit_per_second, "probe")
        if head.status == HEALTHY_STATUS or head.cold_seconds > 0:
            state.observe_cold(head.cold_seconds)
        return ProbeResult(
            state=state,
            connection=connection,
            reading=head.reading or UNKNOWN_READING,
            healthy=head.status == HEALTHY_STATUS,
            cold=head.cold_seconds > 0,
            idle_seconds=head.idle_seconds,
            sent_at_probe=state.sent_requests,
        )
