"""What an entry instance tells the others and learns from them."""

from collections.abc import Callable, Mapping

import anyio
import structlog

from egrethall.entry._settings import EntrySettings
from egrethall.fleet import (
    FleetExchange,
    FleetLevels,
    FleetMembers,
    Heartbeat,
    RecordSources,
    UsageReports,
    read_records_from_peer,
)
from egrethall.placement import CrashGuard
from egrethall.quota import FleetAllowances
from egrethall.records import (
    RecordCache,
    RecordFollower,
    SourceStatus,
    is_reader,
)
from egrethall.types import Clock, Record, RecordSourceError

#: Time that the own watch gets before records are read from another instance.
OWN_WATCH_SECONDS = 0.4

#: Instances that one line names, so that a cut through a large fleet stays readable.
MAX_NAMES_IN_LINE = 8

logger = structlog.get_logger(__name__)


class PeerLinks:
    """Heartbeats, and records from instances that are further."""

    def __init__(
        self,
        settings: EntrySettings,
        run: int,
        members: FleetMembers,
        cache: RecordCache,
        follower: RecordFollower,
        status: SourceStatus,
        allowances: FleetAllowances,
        crashes: CrashGuard,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._run = run
        self._members = members
        self._cache = cache
        self._follower = follower
        self._status = status
        self._allowances = allowances
        self._crashes = crashes
        self._is_leaving = is_leaving
        self._clock = clock
        self._started_at_seconds = clock.monotonic_seconds()
        self._sequence = 0
        self._exchange = FleetExchange(settings.peer_address, members, self)
        cache.subscribe(self._announce)
        self._silent: frozenset[str] = frozenset()
        self._sources = RecordSources(settings.availability_zone, clock)
        self._news = anyio.Event()

    async def run(self) -> None:
        """Exchanges heartbeats and records until cancelled."""
        exchange = self._exchange
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange.run)
            tasks.start_soon(self._read_records)

    def _announce(self, _: tuple[Record, ...]) -> None:
        if self._follower.is_reading:
            self._exchange.announce()

    def begin_round(self) -> None:
        """Follows who is silent, and whether this instance reads the store."""
        known, silent = self._members.find_known(), self._members.find_silent()
        near, far = self._members.find_readers(self._settings.availability_zone, silent)
        age_seconds = self._clock.monotonic_seconds() - self._started_at_seconds
        self._follower.set_reading(
            is_reader(self._settings.name, near, far, age_seconds)
        )
        self._log_silent(known, silent)
        self._allowances.begin_round(known, silent, self._members.turn_seconds)

    def _log_silent(self, known: frozenset[str], silent: frozenset[str]) -> None:
        before, self._silent = self._silent, silent
        if silent == before:
            return
        logger.info(
            "silent instances changed",
            silent=len(silent),
            known=len(known),
            fell_silent=",".join(sorted(silent - before)[:MAX_NAMES_IN_LINE]),
            heard_again=",".join(sorted((before - silent) & known)[:MAX_NAMES_IN_LINE]),
            gone=",".join(sorted(before - known)[:MAX_NAMES_IN_LINE]),
        )

    def compose_heartbeat(self, named: int) -> Heartbeat:
        """Returns what this instance tells all others."""
        self._sequence += 1
        return Heartbeat(
            name=self._settings.name,
            run=self._run,
            address=self._settings.peer_address,
            availability_zone=self._settings.availability_zone,
            leaving=self._is_leaving(),
            revision=self._cache.revision,
            reading=self._follower.is_reading,
            since_outage_seconds=self._status.measure_since_outage(),
            usage=self._allowances.find_usage(),
            crashes=self._crashes.find_reports(),
            members=self._members.name_some(named),
            sequence=self._sequence,
        )

    def compose_reports(self) -> Mapping[str, UsageReports]:
        """Returns what collectors are told of the organisations in use here."""
        self._sequence += 1
        reports: dict[str, UsageReports] = {}
        for collector, usage in self._allowances.find_reports().items():
            address = self._members.find_address(collector)
            if address is None:
                continue
            reports[address] = UsageReports(
                self._settings.name,
                self._run,
                self._settings.peer_address,
                self._sequence,
                usage,
            )
        return reports

    def receive_reports(self, reports: UsageReports) -> FleetLevels:
        """Counts what another instance reports and returns the sums."""
        return FleetLevels(self._settings.name, self._allowances.collect(reports))

    def receive_levels(self, levels: FleetLevels) -> None:
        """Takes over the sums of a collector."""
        self._allowances.follow(levels)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Learns what another instance tells."""
        self._allowances.observe(heartbeat)
        if heartbeat.crashes:
            self._crashes.merge(heartbeat.crashes)
        self._follower.observe_peer_revision(heartbeat.revision)
        if heartbeat.reading and not self._follower.is_reading:
            self._status.observe_outage_of_reader(heartbeat.since_outage_seconds)
        if self._sources.observe(heartbeat, self._cache.revision):
            self._news.set()

    async def _read_records(self) -> None:
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            if self._follower.is_reading:
                await anyio.sleep(OWN_WATCH_SECONDS)
            ahead = self._sources.take(self._cache.revision)
            if ahead is None:
                continue
            try:
                batch = await read_records_from_peer(
                    ahead.address, self._cache.revision
                )
            except RecordSourceError as error:
                logger.info("records not read from peer", error=str(error))
                continue
            logger.info(
                "records read from peer",
                peer=ahead.name,
                revision=batch.revision,
                before=self._cache.revision,
                records=len(batch.records),
            )
            self._cache.apply(batch)
