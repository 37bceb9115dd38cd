"""Exchange of heartbeats, usage reports and records with the other instances."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import anyio
import structlog

from egrethall.entry._settings import EntrySettings
from egrethall.fleet import (
    CollectorAnswer,
    FleetExchange,
    FleetMembers,
    Heartbeat,
    QuarantineReleases,
    RecordSources,
    UsageReports,
    read_records_from_peer,
)
from egrethall.placement import CrashGuard, UpstreamPath
from egrethall.quota import FleetAllowances
from egrethall.records import (
    ReaderElection,
    ReaderView,
    RecordCache,
    RecordFollower,
    SourceStatus,
    StartOrder,
)
from egrethall.types import (
    Clock,
    Record,
    RecordBatch,
    RecordSourceError,
    describe_revision,
)

#: How long an instance that reads the store waits for its own watch before it reads new
#: records from a peer.
OWN_WATCH_WAIT_SECONDS = 0.4

#: Interval at which a starting instance without records decides whether to call the
#: store; the rounds of heartbeats alone would delay its call.
START_STEP_SECONDS = 0.02

#: Maximum number of instance names in one field of a log line. It keeps the line
#: readable when a network partition splits a large fleet.
MAX_LOGGED_NAMES = 8

#: Returns the records that the instance at an address has changed after a revision.
PeerRecordReader = Callable[[str, int], Awaitable[RecordBatch]]

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
        upstream_path: UpstreamPath,
        is_leaving: Callable[[], bool],
        clock: Clock,
        read_records: PeerRecordReader = read_records_from_peer,
    ) -> None:
        self._settings = settings
        self._run_id = run_id
        self._members = members
        self._record_cache = record_cache
        self._record_follower = record_follower
        self._source_status = source_status
        self._allowances = allowances
        self._crash_guard = crash_guard
        self._upstream_path = upstream_path
        self._is_leaving = is_leaving
        self._clock = clock
        self._read_records = read_records
        self._start_order = StartOrder(
            settings.name, settings.peer_address, settings.seeds, clock
        )
        self._reader_election = ReaderElection(settings.name, clock, self._start_order)
        record_follower.set_reading_enabled(
            not self._start_order.is_waiting, cause="start"
        )
        self._others_read = False
        #: Names of the other instances of the zone that read the store.
        self._zone_readers: frozenset[str] = frozenset()
        #: Whether a reader of another availability zone announces changes to all zones.
        self._is_backup = False
        self._sequence = 0
        self._exchange = FleetExchange(settings.peer_address, members, self)
        record_cache.subscribe(self._announce_records)
        record_follower.subscribe_to_outages(self._leave_to_other_readers)
        upstream_path.subscribe(self._exchange.announce)
        self._silent_names: frozenset[str] = frozenset()
        self._record_sources = RecordSources(settings.availability_zone, clock)
        self._peer_ahead = anyio.Event()

    async def run(self) -> None:
        """Exchanges fleet messages and reads records from peers until cancelled."""
        exchange = self._exchange
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange.run)
            tasks.start_soon(self._elect_at_start)
            tasks.start_soon(self._read_records_from_peers)

    async def _elect_at_start(self) -> None:
        """Lets an instance without records call the store as soon as it may."""
        await anyio.sleep(self._start_order.wait_seconds)
        while not self._record_cache.revision and self._start_order.is_starting:
            self._elect_readers(self._members.find_silent())
            await anyio.sleep(START_STEP_SECONDS)

    def _announce_records(self, _: tuple[Record, ...]) -> None:
        if self._record_follower.is_reading:
            self._exchange.announce(to_other_zones=not self._is_backup)

    def _leave_to_other_readers(self) -> None:
        """Tells the zone at once that this instance no longer reads the store."""
        self._elect_readers(self._members.find_silent())
        self._exchange.announce()

    def begin_round(self) -> None:
        """Updates the silent instances and whether this instance reads the store."""
        known, silent = self._members.find_names(), self._members.find_silent()
        self._elect_readers(silent)
        self._crash_guard.drop_expired()
        self._log_silent_changes(known, silent)
        self._allowances.begin_round(
            known, silent, self._members.cycle_seconds, self._members.find_seeds()
        )

    @property
    def joining(self) -> bool:
        """Whether the process replaces another one and learns of the others."""
        return self._allowances.joining

    def begin_joining_step(self) -> None:
        """Updates the instances to which a joining process reports."""
        self._allowances.set_seeds(self._members.find_seeds())

    def _elect_readers(self, silent: frozenset[str]) -> None:
        zone = self._settings.availability_zone
        pollers = self._members.find_zone_pollers(zone)
        elsewhere = [
            member
            for member in self._members.find_readers(silent)
            if member.availability_zone != zone
        ]
        view = ReaderView(
            same_zone_readers=[m.name for m in pollers if m.reads_store],
            other_zone_readers=[m.name for m in elsewhere],
            same_zone_pollers=[m.name for m in pollers],
            same_zone_members=self._members.find_zone_names(zone, silent),
            has_records=bool(self._record_cache.revision),
        )
        self._zone_readers = frozenset(view.same_zone_readers)
        self._others_read = bool(view.same_zone_readers or elsewhere)
        follower = self._record_follower
        self._is_backup = any(m.availability_zone < zone for m in elsewhere)
        follower.set_backup(self._is_backup)
        follower.set_reading_enabled(
            self._reader_election.decide(
                view, polls=follower.is_polling, reads=follower.is_reading
            ),
            others_read=self._others_read,
            cause=self._reader_election.cause,
        )

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
            polls_store=self._record_follower.is_polling,
            since_outage_seconds=self._source_status.measure_seconds_since_outage(),
            usage=self._allowances.build_usage(),
            crashes=self._crash_guard.list_reports(),
            members=self._members.choose_members(max_named),
            sequence=self._sequence,
            known_count=self._members.fleet_size - 1,
            settled=not self.joining,
            reaches_upstreams=self._upstream_path.available,
        )

    def compose_releases(self) -> QuarantineReleases | None:
        """Returns the ends of quarantines to pass on, if there are any."""
        fingerprints = self._crash_guard.list_releases()
        return QuarantineReleases(fingerprints) if fingerprints else None

    def receive_releases(self, releases: QuarantineReleases) -> None:
        """Ends the quarantines that have ended at other instances."""
        self._crash_guard.merge_releases(releases.fingerprints)

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
                collector,
                self._allowances.excluded_collectors,
            )
        return reports

    def find_forwards(self, reports: UsageReports) -> Mapping[str, UsageReports]:
        """Returns the reports that have another collector, by its address."""
        forwards: dict[str, UsageReports] = {}
        for collector, usage in self._allowances.find_forwards(reports).items():
            address = self._members.find_address(collector)
            if address is not None:
                forwards[address] = replace(reports, usage=usage)
        return forwards

    def receive_reports(self, reports: UsageReports) -> CollectorAnswer:
        """Charges a peer's usage reports; returns their organisations' token levels."""
        return CollectorAnswer(
            self._settings.name,
            self._allowances.charge_reports(reports),
            self._settings.peer_address,
            reports.recipient,
            self._is_leaving(),
        )

    def receive_answer(self, answer: CollectorAnswer) -> None:
        """Applies the answer of a collector."""
        self._members.add_named(answer.name, answer.address)
        self._allowances.adopt_levels(answer)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies the heartbeat of a peer."""
        if heartbeat.name in self._zone_readers and not heartbeat.reads_store:
            self._elect_readers(self._members.find_silent())
        self._allowances.charge_heartbeat(heartbeat)
        if heartbeat.crashes:
            self._crash_guard.merge_reports(heartbeat.crashes)
        self._record_follower.observe_peer_revision(heartbeat.revision)
        if not self._record_follower.is_reading:
            if heartbeat.reads_store:
                self._record_follower.observe_peer_reader(
                    heartbeat.since_outage_seconds
                )
            elif self._reports_outage(heartbeat):
                self._source_status.observe_peer_recovery(0.0)
        if self._record_sources.observe(heartbeat, self._record_cache.revision):
            self._peer_ahead.set()

    def _reports_outage(self, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender's failing calls indicate an outage of the store.

        While others read, the store rejects only the sender.
        """
        return (
            heartbeat.polls_store
            and heartbeat.since_outage_seconds == 0.0
            and not self._others_read
        )

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
                batch = await self._read_records(
                    source.address, self._record_cache.revision
                )
            except RecordSourceError as error:
                logger.info("records not read from peer", error=str(error))
                self._record_sources.observe_failure(source)
                continue
            logger.info(
                "records read from peer",
                peer=source.name,
                revision=describe_revision(batch.revision),
                before=describe_revision(self._record_cache.revision),
                records=len(batch.records),
            )
            revision_before = self._record_cache.revision
            self._record_cache.apply(batch)
            if batch.revision <= revision_before:
                continue
            # When a fleet starts, each instance has contacted the seeds, and knows few
            # others: the first records of a seed spare it a call to the store.
            is_first_of_seed = self._start_order.is_seed and not revision_before
            if source.relay_requested or is_first_of_seed:
                self._exchange.announce()
