"""Takes readings of upstreams on the connections that requests then use."""

from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import TaskGroup

from egrethall.entry._pool import ConnectionPool
from egrethall.http1 import (
    ClientConnection,
    ConnectError,
    ConnectionLostError,
    HttpConnectionError,
)
from egrethall.placement import UpstreamState
from egrethall.types import Clock, ExchangeFormat, UpstreamHead, UpstreamReading

#: Time after which a probe counts as failed. An answer takes a few milliseconds; a
#: busy machine of ours may add some tens.
PROBE_SECONDS = 0.25

#: Foreign answers that are skipped before a connection is given up.
MAX_SKIPPED_ANSWERS = 2

HEALTHY_STATUS = 200

logger = structlog.get_logger(__name__)

#: Used where an upstream does not tell its load.
UNKNOWN_READING = UpstreamReading(running=0, waiting=0, slots=1)


@dataclass
class Probe:
    """An upstream's own word on itself, with the connection that it came on."""

    state: UpstreamState
    connection: ClientConnection
    reading: UpstreamReading
    healthy: bool
    cold: bool
    idle_seconds: float | None
    #: Requests of this instance that had been sent to the upstream by then.
    sent_before: int


class ProbeRound:
    """Probes of several upstreams at the same time."""

    def __init__(self) -> None:
        self.probes: list[Probe] = []
        #: Names of the upstreams that were asked, whether they have answered or not.
        self.asked: set[str] = set()
        #: Probes that have not ended.
        self.pending = 0
        self._changed = anyio.Event()
        self._abandoned = False

    @property
    def abandoned(self) -> bool:
        """Whether nobody waits for further probes."""
        return self._abandoned

    def finish_one(self, probe: Probe | None) -> None:
        """Adds the result of one probe; None if it failed."""
        self.pending -= 1
        if probe is not None:
            self.probes.append(probe)
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Returns when another probe has ended."""
        await self._changed.wait()

    def abandon(self) -> None:
        """Has later results dropped."""
        self._abandoned = True


class Prober:
    """Probes upstreams in tasks of its own, so that no request waits for the last."""

    def __init__(
        self,
        pool: ConnectionPool,
        exchange_format: ExchangeFormat,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._pool = pool
        self._format = exchange_format
        self._clock = clock
        self._tasks = tasks

    def start_round(
        self, states: list[UpstreamState], health_path: str, into: ProbeRound
    ) -> None:
        """Starts probes of ``states`` whose results come into a round."""
        for state in states:
            into.pending += 1
            into.asked.add(state.name)
            self._tasks.start_soon(self._run, state, health_path, into)

    async def _run(
        self, state: UpstreamState, health_path: str, into: ProbeRound
    ) -> None:
        probe = None
        try:
            probe = await self._probe(state, health_path)
            if probe is not None and into.abandoned:
                await self.release(probe)
                probe = None
        except Exception:
            # A fault in one probe must not end the process.
            logger.exception("probe failed", upstream=state.name)
        finally:
            into.finish_one(probe)

    async def look(self, state: UpstreamState, health_path: str) -> Probe | None:
        """Returns a reading of one upstream, or None if it gives none."""
        probe = await self._probe(state, health_path)
        if probe is not None:
            await self.release(probe)
        return probe

    async def release(self, probe: Probe) -> None:
        """Keeps the connection of a probe whose upstream is not used."""
        await self._pool.give_back(probe.state, probe.connection, probe.idle_seconds)

    async def _probe(self, state: UpstreamState, health_path: str) -> Probe | None:
        connection: ClientConnection | None = None
        try:
            with anyio.fail_after(PROBE_SECONDS):
                connection = await self._pool.take(state)
                if connection is not None:
                    try:
                        head = await self._ask(connection, health_path)
                    except ConnectionLostError:
                        # The upstream may have closed the idle connection.
                        await connection.close()
                        connection = None
                if connection is None:
                    connection = await ClientConnection.open(
                        state.entry.address, PROBE_SECONDS
                    )
                    head = await self._ask(connection, health_path)
        except (HttpConnectionError, TimeoutError) as error:
            if connection is not None:
                await connection.close()
            state.observe_failure(
                "no connection" if isinstance(error, ConnectError) else "no answer"
            )
            return None
        except BaseException:
            if connection is not None:
                await connection.close()
            raise
        return await self._read(state, connection, head)

    async def _ask(
        self, connection: ClientConnection, health_path: str
    ) -> UpstreamHead:
        host = connection.address.encode("ascii")
        await connection.send("GET", health_path.encode("ascii"), ((b"host", host),))
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            received = await connection.receive_head()
            head = self._format.decode_upstream_head(received.status, received.headers)
            if not head.request_id:
                await connection.receive_body()
                return head
            # A second answer to an earlier request; no probe carries an id.
            await connection.skip_answer()
        raise ConnectionLostError(f"{connection.address}: answers to other requests")

    async def _read(
        self, state: UpstreamState, connection: ClientConnection, head: UpstreamHead
    ) -> Probe | None:
        if head.upstream and head.upstream != state.name:
            await connection.close()
            state.observe_failure("address in use by another upstream")
            return None
        if head.status == HEALTHY_STATUS or head.cold_seconds > 0:
            state.observe_cold(head.cold_seconds)
        return Probe(
            state=state,
            connection=connection,
            reading=head.reading or UNKNOWN_READING,
            healthy=head.status == HEALTHY_STATUS,
            cold=head.cold_seconds > 0,
            idle_seconds=head.idle_seconds,
            sent_before=state.sent,
        )
