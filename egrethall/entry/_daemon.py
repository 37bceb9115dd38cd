"""Wires up an entry instance, runs its tasks and shuts it down gracefully."""

from __future__ import annotations

import gc
import random
import signal
from collections.abc import Sequence
from pathlib import Path

import anyio
import structlog
from anyio.abc import SocketStream, TaskGroup

from egrethall.configuration import split_address
from egrethall.entry._application import EntryApplication
from egrethall.entry._caller_connection import DEFAULT_LIMITS, CallerConnection
from egrethall.entry._client_limits import ClientLimits
from egrethall.entry._connection_limiter import ClientSlot
from egrethall.entry._connection_pool import ConnectionPool
from egrethall.entry._crash_observer import CrashObserver
from egrethall.entry._event_loop import make_event_loop
from egrethall.entry._forwarded_requests import ForwardedRequests
from egrethall.entry._hedger import Hedger
from egrethall.entry._logs import configure_entry_logs
from egrethall.entry._metrics import RequestMetrics
from egrethall.entry._observer import RequestObserver
from egrethall.entry._page_server import serve_pages
from egrethall.entry._path_checker import PathChecker
from egrethall.entry._peer_forwarder import ForwardingPeer, PeerForwarder
from egrethall.entry._peer_links import PeerLinks
from egrethall.entry._placer import Placer
from egrethall.entry._prober import Prober
from egrethall.entry._published_state import PublishedState
from egrethall.entry._sender import RequestSender
from egrethall.entry._serving_state import ServingPhase, ServingState
from egrethall.entry._settings import EntrySettings
from egrethall.entry._settings_file import SettingsFile
from egrethall.entry._upstream_exchange import UpstreamExchange
from egrethall.entry._zone_exchange import ZoneCountingExchange
from egrethall.fleet import ROUND_SECONDS, FleetMembers, PeerServer
from egrethall.forwarding import RetryBudget
from egrethall.http1 import open_client_listener, serve_listener
from egrethall.placement import (
    CandidateChoice,
    ColdStartShares,
    CrashGuard,
    FleetSubset,
    PeerInstance,
    ProbeAllowance,
    RateLimitShares,
    SubsetSizes,
    UpstreamPath,
    UpstreamTable,
    ZoneOverflow,
)
from egrethall.platform import PlatformExchangeFormat, StoreClient, decode_record
from egrethall.quota import ExcessTolerance, FleetAllowances
from egrethall.records import RecordCache, RecordFollower, SourceStatus
from egrethall.types import CallerLimits, ExchangeFormat, SystemClock, weigh

#: Number of random low bits of the run ID. The high bits are the start time in
#: milliseconds.
RUN_ID_RANDOM_BITS = 20

#: Time for which an instance still accepts connections after SIGTERM. The platform
#: polls readiness once a second and stops routing to the instance after two failed
#: checks.
ACCEPT_AFTER_SIGTERM_SECONDS = 3.0

#: The process exits at least this long before the grace period ends with SIGKILL.
EXIT_MARGIN_SECONDS = 0.3

#: Time for writing the responses to requests that the exit interrupts, after which the
#: process still ends before SIGKILL.
INTERRUPTED_RESPONSE_SECONDS = 0.1

#: Interval at which expired connections are closed, the retry budget is adjusted to the
#: size of the fleet, and the settings file is checked for changes.
MAINTENANCE_INTERVAL_SECONDS = 1.0

#: Maximum number of connections that the kernel queues before they are accepted.
LISTEN_BACKLOG = 512

#: Fractions of the configured retry ratio and slack that the retry budget uses. The
#: rest covers requests that the bound counts in a different window than this instance
#: does.
RETRY_RATIO_FRACTION = 0.85
RETRY_SLACK_FRACTION = 0.8

logger = structlog.get_logger("egrethall.entry")


class EntryDaemon:
    """Owns the components of one entry instance and runs them until shutdown."""

    def __init__(self, settings: EntrySettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_file = SettingsFile(settings_path)
        self._clock = SystemClock()
        self._random = random.Random()
        started_at_ms = int(self._clock.now().timestamp() * 1000)
        self._run_id = started_at_ms << RUN_ID_RANDOM_BITS | self._random.getrandbits(
            RUN_ID_RANDOM_BITS
        )
        self._serving = ServingState(self._clock)
        self._record_cache = RecordCache()
        self._source_status = SourceStatus(self._clock)
        self._upstream_table = UpstreamTable(self._clock, self._random, settings.name)
        self._upstream_path = UpstreamPath(
            self._upstream_table.count_upstreams, self._clock
        )
        self._crash_guard = CrashGuard(self._clock, self._makes_trials)
        self._limits = ClientLimits(settings.limits, self._clock)
        self._account = self._limits.account
        self._zone_overflow: ZoneOverflow | None = None
        if settings.zone_overflow.enabled:
            self._zone_overflow = ZoneOverflow(
                settings.availability_zone,
                settings.zone_overflow.max_byte_ratio,
                self._clock,
                self._random,
            )
        self._metrics = RequestMetrics(
            self._source_status,
            self._upstream_path,
            self._crash_guard,
            self._limits,
            self._zone_overflow,
        )
        self._observer = RequestObserver(self._clock, self._metrics)
        self._forwarder = PeerForwarder(
            settings.name,
            settings.availability_zone,
            self,
            self._crash_guard,
            self._account,
            self._clock,
            self._random,
        )
        self._pool = ConnectionPool(self._clock, self._metrics.opened_connections)
        bounds = settings.bounds
        self._retry_budget = RetryBudget(bounds.retry_ratio * RETRY_RATIO_FRACTION, 1.0)
        self._allowances = FleetAllowances(
            ExcessTolerance(
                bounds.quota_window_seconds,
                bounds.quota_excess_ratio,
                bounds.quota_slack_requests,
            ),
            settings.first_start,
            self._clock,
            self._random,
            settings.name,
        )
        self._published_state = PublishedState(
            decode_record,
            self._upstream_table,
            self._source_status,
            self._allowances.apply_configuration,
        )
        self._record_cache.subscribe(self._published_state.apply_records)
        self._members = FleetMembers(
            settings.name,
            settings.peer_address,
            settings.seeds,
            ROUND_SECONDS,
            self._clock,
            self._random,
        )
        self._record_follower = RecordFollower(
            StoreClient(settings.store_address),
            self._record_cache,
            self._source_status,
            self._clock,
            self._random,
        )
        self._peer_links = PeerLinks(
            settings,
            self._run_id,
            self._members,
            self._record_cache,
            self._record_follower,
            self._source_status,
            self._allowances,
            self._crash_guard,
            self._upstream_path,
            is_leaving=lambda: self._serving.phase is not ServingPhase.RUNNING,
            clock=self._clock,
        )

    async def run(self) -> None:
        """Runs until SIGTERM and the graceful shutdown that follows."""
        logger.info("starting", instance=self._settings.name, run=self._run_id)
        if defaulted_keys := self._settings.bounds.defaulted_keys:
            logger.info("bounds without a setting", defaults=",".join(defaulted_keys))
        logger.info(
            "limits of clients",
            memory_bytes=self._account.budget_bytes,
            connections=self._limits.callers.max_connections,
        )
        async with anyio.create_task_group() as tasks:
            application = self._build_application(tasks)
            tasks.start_soon(self._record_follower.run)
            tasks.start_soon(self._peer_links.run)
            forwarded = ForwardedRequests(
                self._published_state,
                self._sender,
                self._upstream_path,
                self._serving,
                self._observer,
                self._account,
                self._clock,
            )
            tasks.start_soon(
                PeerServer(
                    self._settings.peer_address,
                    self._record_cache,
                    forwarded.handle,
                    self._limits.peers,
                ).run
            )
            tasks.start_soon(
                serve_pages,
                self._settings.ready_address,
                {b"/ready": self._render_readiness_page},
                self._limits.readiness,
                self._clock,
            )
            tasks.start_soon(
                serve_pages,
                self._settings.metrics_address,
                {b"/metrics": self._render_metrics_page},
                self._limits.metrics,
                self._clock,
            )
            tasks.start_soon(self._run_maintenance)
            tasks.start_soon(self._handle_signals, tasks.cancel_scope)
            await self._serve_callers(application)
        logger.info("stopped", instance=self._settings.name)

    def find_peer_names(self) -> Sequence[str]:
        """Returns the names of the other instances."""
        return [member.name for member in self._members.find_confirmed()]

    def find_reachable_peers(self) -> Sequence[PeerInstance]:
        """Returns the other instances that can send requests to upstreams."""
        return [
            PeerInstance(member.name, member.availability_zone)
            for member in self._members.find_reachable()
            if member.reaches_upstreams
        ]

    def find_forwarding_peers(self) -> Sequence[ForwardingPeer]:
        """Returns the other instances to which requests may be forwarded."""
        return [
            ForwardingPeer(member.name, member.availability_zone, member.address)
            for member in self._members.find_reachable()
            if member.reaches_upstreams
        ]

    def _build_application(self, tasks: TaskGroup) -> EntryApplication:
        exchange_format = PlatformExchangeFormat()
        prober = Prober(
            self._pool,
            exchange_format,
            self._upstream_path,
            self._clock,
            tasks,
            self._metrics.probes,
        )
        checker = PathChecker(
            self._upstream_path,
            self._upstream_table,
            prober,
            self._published_state.find_service,
        )
        tasks.start_soon(checker.run)
        placer = Placer(
            self._settings.availability_zone,
            self._upstream_table,
            prober,
            ColdStartShares(self._settings.name, self._clock),
            RateLimitShares(
                self._settings.name,
                self._settings.availability_zone,
                self,
                self._clock,
            ),
            ProbeAllowance(
                self._settings.bounds.probes_per_second,
                self._members.count_sending,
                self._clock,
            ),
            self,
            self._clock,
            self._random,
            overflow=self._zone_overflow,
            choice=self._build_candidate_choice(prober),
        )
        self._sender = RequestSender(
            placer,
            self._build_exchange(exchange_format),
            Hedger(
                placer,
                prober,
                self._retry_budget,
                self._crash_guard,
                self._clock,
            ),
            self._retry_budget,
            self._crash_guard,
            CrashObserver(
                self._upstream_table, prober, checker, self._crash_guard, self._clock
            ),
            self._upstream_path,
            self._forwarder,
            self._clock,
            self._random,
        )
        return EntryApplication(
            self._published_state,
            self._allowances,
            self._sender,
            exchange_format,
            self._observer,
            self._serving,
            self._clock,
            self._random,
        )

    def _build_exchange(
        self,
        exchange_format: ExchangeFormat,
    ) -> UpstreamExchange:
        parts = (
            self._pool,
            exchange_format,
            self._upstream_path,
            self._account,
            self._clock,
        )
        if self._zone_overflow is None:
            return UpstreamExchange(*parts)
        return ZoneCountingExchange(
            self._settings.availability_zone, self._zone_overflow, *parts
        )

    def _build_candidate_choice(self, prober: Prober) -> CandidateChoice:
        settings = self._settings
        return CandidateChoice(
            FleetSubset(settings.name, settings.availability_zone, self, self._clock),
            SubsetSizes(self._clock),
            prober.has_idle_connection,
            self._random,
        )

    async def _serve_callers(self, application: EntryApplication) -> None:
        host, port = split_address(self._settings.caller_address)
        listener = await open_client_listener(host, port, LISTEN_BACKLOG)

        async def serve(stream: SocketStream, slot: ClientSlot) -> None:
            connection = CallerConnection(
                stream,
                application,
                self._find_caller_limits,
                self._serving,
                slot,
                self._clock,
            )
            await connection.run()

        await serve_listener(listener, serve, self._limits.callers)

    async def _handle_signals(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for signal_number in signals:
                logger.info("signal", signal=signal.Signals(signal_number).name)
                if signal_number == signal.SIGHUP:
                    self._reload_settings()
                    continue
                await self._drain()
                scope.cancel()
                return

    async def _drain(self) -> None:
        """Waits until all requests have ended or the grace period nearly has."""
        signalled_at_seconds = self._clock.monotonic_seconds()
        exit_at_seconds = (
            signalled_at_seconds
            + self._settings.bounds.grace_seconds
            - EXIT_MARGIN_SECONDS
        )
        self._serving.leave(exit_at_seconds)
        await anyio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
        self._serving.close_idle_connections()
        remaining_seconds = exit_at_seconds - self._clock.monotonic_seconds()
        with anyio.move_on_after(max(0.0, remaining_seconds)):
            await self._serving.wait_until_idle()
        if self._serving.running_requests:
            logger.warning(
                "stopping with requests in flight", count=self._serving.running_requests
            )
            self._serving.interrupt_requests()
            with anyio.move_on_after(INTERRUPTED_RESPONSE_SECONDS):
                await self._serving.wait_until_idle()

    async def _run_maintenance(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            await self._pool.close_expired()
            self._limits.log_events()
            slack = self._settings.bounds.retry_slack_requests * RETRY_SLACK_FRACTION
            self._retry_budget.set_max_saved_retries(
                max(1.0, slack / self._members.fleet_size)
            )
            if self._settings_file.changed:
                self._reload_settings()

    def _reload_settings(self) -> None:
        settings = self._settings_file.load()
        if settings is None:
            return
        self._members.set_seeds(settings.seeds)
        logger.info("settings loaded", changed=settings != self._settings)
        self._settings = settings

    def _find_caller_limits(self) -> CallerLimits:
        routes = self._published_state.routes
        return DEFAULT_LIMITS if routes is None else routes.configuration.limits

    def _makes_trials(self, fingerprint: bytes) -> bool:
        """Returns whether this instance is the one to try a quarantined request."""
        names = [member.name for member in self._members.find_reachable()]
        resource = fingerprint.hex()
        own_name = self._settings.name
        return own_name == max(
            (own_name, *names), key=lambda name: weigh(resource, name)
        )

    def _render_readiness_page(self) -> tuple[int, bytes, bytes]:
        ready = (
            self._serving.phase is ServingPhase.RUNNING
            and self._published_state.routes is not None
            and (self._upstream_path.available or self._forwarder.available)
        )
        return (200 if ready else 503), b"text/plain", b"ready\n" if ready else b"no\n"

    def _render_metrics_page(self) -> tuple[int, bytes, bytes]:
        return 200, b"text/plain; version=0.0.4", self._metrics.render()


def run_entry(settings: EntrySettings, settings_path: Path) -> None:
    """Runs an entry instance until SIGTERM."""
    configure_entry_logs(SystemClock())
    # What the imports made lives as long as the process, so that no collection, and
    # none at the exit, has to scan it.
    gc.freeze()
    anyio.run(
        EntryDaemon(settings, settings_path).run,
        backend_options={"loop_factory": make_event_loop},
    )
