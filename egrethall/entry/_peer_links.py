"""Exchange of heartbeats, usage reports and records with the other instances."""

from collections.abc import Callable, Mapping

import anyio
import structlog

from egrethall.entry._settings import EntrySettings
from egrethall.fleet import (
    CollectorAnswer,
    FleetExchange,
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
from egrethall.types import Clock, Record, RecordSourceError, describe_revision

#: How long an instance that reads the store waits for its own watch before it reads new
#: records from a peer.
OWN_WATCH_WAIT_SECONDS = 0.4

#: Maximum number of instance names in one field of a log line. It keeps the line
#: readable when a network partition splits a large fleet.
MAX_LOGGED_NAMES = 8

logger = structlog.get_logger(__name__)


class PeerLinks:
    """Sends and handles fleet messages; reads records from peers that are ahead.

    A peer is ahead if its records have a higher revision than those of this instance.
    """

    def __init__(
        self,
        settings: EntrySettings,
        run_id: int,
        members: FleetMembers,
        record_cache: RecordCache,
        record_follower: RecordFollower,
        source_status: SourceStatus,
        allowances: FleetAllowances,
        crash_guard: CrashGuard,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._run_id = run_id
        self._members = members
        self._record_cache = record_cache
        self._record_follower = record_follower
        self._source_status = source_status
        self._allowances = allowances
        self._crash_guard = crash_guard
        self._is_leaving = is_leaving
        self._clock = clock
        self._started_at_seconds = clock.monotonic_seconds()
        self._sequence = 0
        self._exchange = FleetExchange(settings.peer_address, members, self)
        record_cache.subscribe(self._announce_records)
        self._silent_names: frozenset[str] = frozenset()
        self._record_sources = RecordSources(settings.availability_zone, clock)
        self._peer_ahead = anyio.Event()

    async def run(self) -> None:
        """Exchanges fleet messages and reads records from peers until cancelled."""
        exchange = self._exchange
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange.run)
            tasks.start_soon(self._read_records_from_peers)

    def _announce_records(self, _: tuple[Record, ...]) -> None:
        if self._record_follower.is_reading:
            self._exchange.announce_records()

    def begin_round(self) -> None:
        """Updates the silent instances and whether this instance reads the store."""
        known, silent = self._members.find_names(), self._members.find_silent()
        readers_in_zone, readers_elsewhere = self._members.find_readers(
            self._settings.availability_zone, silent
        )
        age_seconds = self._clock.monotonic_seconds() - self._started_at_seconds
        self._record_follower.set_reading_enabled(
            is_reader(
                self._settings.name, readers_in_zone, readers_elsewhere, age_seconds
            )
        )
        self._log_silent_changes(known, silent)
        self._allowances.begin_round(known, silent, self._members.cycle_seconds)

    def _log_silent_changes(
        self, known: frozenset[str], silent: frozenset[str]
    ) -> None:
        previous, self._silent_names = self._silent_names, silent
        if silent == previous:
            return
        logger.info(
            "silent instances changed",
            silent=len(silent),
            known=len(known),
            fell_silent=",".join(sorted(silent - previous)[:MAX_LOGGED_NAMES]),
            heard_again=",".join(
                sorted((previous - silent) & known)[:MAX_LOGGED_NAMES]
            ),
            gone=",".join(sorted(previous - known)[:MAX_LOGGED_NAMES]),
        )

    def compose_heartbeat(self, max_named: int) -> Heartbeat:
        """Returns the next heartbeat, naming up to ``max_named`` other instances."""
        self._sequence += 1
        return Heartbeat(
            name=self._settings.name,
            run=self._run_id,
            address=self._settings.peer_address,
            availability_zone=self._settings.availability_zone,
            leaving=self._is_leaving(),
            revision=self._record_cache.revision,
            reads_store=self._record_follower.is_reading,
            since_outage_seconds=self._source_status.measure_seconds_since_outage(),
            usage=self._allowances.build_usage(),
            crashes=self._crash_guard.list_reports(),
            members=self._members.choose_members(max_named),
            sequence=self._sequence,
        )

    def compose_reports(self) -> Mapping[str, UsageReports]:
        """Returns the usage reports of this round by the address of the collector."""
        self._sequence += 1
        reports: dict[str, UsageReports] = {}
        for collector, usage in self._allowances.build_reports().items():
            address = self._members.find_address(collector)
            if address is None:
                continue
            reports[address] = UsageReports(
                self._settings.name,
                self._run_id,
                self._settings.peer_address,
                self._sequence,
                usage,
            )
        return reports

    def receive_reports(self, reports: UsageReports) -> CollectorAnswer:
        """Charges a peer's usage reports; returns their organisations' token levels."""
        return CollectorAnswer(
            self._settings.name, self._allowances.charge_reports(reports)
        )

    def receive_answer(self, answer: CollectorAnswer) -> None:
        """Applies the answer of a collector."""
        self._allowances.adopt_levels(answer)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies the heartbeat of a peer."""
        self._allowances.charge_heartbeat(heartbeat)
        if heartbeat.crashes:
            self._crash_guard.merge_reports(heartbeat.crashes)
        self._record_follower.observe_peer_revision(heartbeat.revision)
        if heartbeat.reads_store and not self._record_follower.is_reading:
            self._source_status.observe_peer_recovery(heartbeat.since_outage_seconds)
        if self._record_sources.observe(heartbeat, self._record_cache.revision):
            self._peer_ahead.set()

    async def _read_records_from_peers(self) -> None:
        while True:
            await self._peer_ahead.wait()
            self._peer_ahead = anyio.Event()
            if self._record_follower.is_reading:
                await anyio.sleep(OWN_WATCH_WAIT_SECONDS)
            source = self._record_sources.take_source(self._record_cache.revision)
            if source is None:
                continue
            try:
                batch = await read_records_from_peer(
                    source.address, self._record_cache.revision
                )
            except RecordSourceError as error:
                logger.info("records not read from peer", error=str(error))
                continue
            logger.info(
                "records read from peer",
                peer=source.name,
                revision=describe_revision(batch.revision),
                before=describe_revision(self._record_cache.revision),
                records=len(batch.records),
            )
            self._record_cache.apply(batch)
