"""The process of an entry instance: its parts, tasks and stop."""

from __future__ import annotations

import random
import signal
from collections.abc import Sequence
from pathlib import Path

import anyio
import structlog
from anyio.abc import SocketStream, TaskGroup

from egrethall.configuration import split_address
from egrethall.entry._application import EntryApplication
from egrethall.entry._caller_connection import (
    DEFAULT_LIMITS,
    CallerConnection,
    Serving,
    ServingState,
)
from egrethall.entry._event_loop import make_event_loop
from egrethall.entry._hedger import Hedger
from egrethall.entry._logs import configure_entry_logs
from egrethall.entry._metrics import RequestMetrics
from egrethall.entry._observer import RequestObserver
from egrethall.entry._peer_links import PeerLinks
from egrethall.entry._placer import Placer
from egrethall.entry._plain_server import serve_pages
from egrethall.entry._pool import ConnectionPool
from egrethall.entry._prober import Prober
from egrethall.entry._published_state import PublishedState
from egrethall.entry._sender import RequestSender
from egrethall.entry._settings import EntrySettings
from egrethall.entry._settings_file import SettingsFile
from egrethall.entry._upstream_exchange import UpstreamExchange
from egrethall.fleet import ROUND_SECONDS, FleetMembers, RecordServer
from egrethall.forwarding import RetryBudget
from egrethall.placement import ColdStartShares, CrashGuard, UpstreamTable
from egrethall.platform import PlatformExchangeFormat, StoreClient, decode_record
from egrethall.quota import AllowanceExcess, FleetAllowances
from egrethall.records import RecordCache, RecordFollower, SourceStatus
from egrethall.types import CallerLimits, SystemClock

#: Random bits of a run's number, below the milliseconds of its start.
RUN_RANDOM_BITS = 20

#: Time for which a leaving instance takes new connections: the platform asks once a
#: second and takes an instance out after two answers that are not good.
LEAVING_SECONDS = 3.0

#: Time before the end of the grace by which the process has ended.
GRACE_MARGIN_SECONDS = 0.3

#: Time between two looks for old connections, a changed settings file and the size of
#: the fleet.
UPKEEP_SECONDS = 1.0

#: Connections that wait in the kernel to be accepted.
LISTEN_BACKLOG = 512

#: Time in which an instance that starts takes the records of another one. Seeds read
#: the store at once, so that a whole fleet that starts does not read it all together.
PEERS_FIRST_SECONDS = 0.6

#: Shares of the retry bounds that are used; the rest covers requests that the bound
#: counts in another window than this instance does.
RETRY_RATIO_USED = 0.85
RETRY_SLACK_USED = 0.8

logger = structlog.get_logger("egrethall.entry")


class EntryDaemon:
    """One entry instance from its start to its stop."""

    def __init__(self, settings: EntrySettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_file = SettingsFile(settings_path)
        self._clock = SystemClock()
        self._random = random.Random()
        started_at_ms = int(self._clock.now().timestamp() * 1000)
        self._run = started_at_ms << RUN_RANDOM_BITS | self._random.getrandbits(
            RUN_RANDOM_BITS
        )
        self._serving = ServingState()
        self._metrics = RequestMetrics()
        self._cache = RecordCache()
        self._status = SourceStatus(self._clock)
        self._table = UpstreamTable(self._clock, self._random)
        self._crashes = CrashGuard(self._clock)
        self._pool = ConnectionPool(self._clock)
        bounds = settings.bounds
        self._budget = RetryBudget(bounds.retry_ratio * RETRY_RATIO_USED, 1.0)
        self._allowances = FleetAllowances(
            AllowanceExcess(
                bounds.quota_window_seconds,
                bounds.quota_excess_ratio,
                bounds.quota_slack_requests,
            ),
            settings.first_start,
            self._clock,
            self._random,
            settings.name,
        )
        self._published = PublishedState(
            decode_record,
            self._table,
            self._status,
            self._allowances.apply_configuration,
        )
        self._cache.subscribe(self._published.receive)
        self._members = FleetMembers(
            settings.name,
            settings.peer_address,
            settings.seeds,
            ROUND_SECONDS,
            self._clock,
            self._random,
        )
        self._follower = RecordFollower(
            StoreClient(settings.store_address),
            self._cache,
            self._status,
            self._clock,
            self._random,
        )
        self._links = PeerLinks(
            settings,
            self._run,
            self._members,
            self._cache,
            self._follower,
            self._status,
            self._allowances,
            self._crashes,
            is_leaving=lambda: self._serving.phase is not Serving.RUNNING,
            clock=self._clock,
        )

    async def run(self) -> None:
        """Runs until SIGTERM and a graceful stop after it."""
        logger.info("starting", instance=self._settings.name, run=self._run)
        async with anyio.create_task_group() as tasks:
            application = self._build_application(tasks)
            is_seed = self._settings.peer_address in self._settings.seeds
            tasks.start_soon(
                self._follower.run, 0.0 if is_seed else PEERS_FIRST_SECONDS
            )
            tasks.start_soon(self._links.run)
            tasks.start_soon(RecordServer(self._settings.peer_address, self._cache).run)
            tasks.start_soon(
                serve_pages, self._settings.ready_address, {b"/ready": self._show_ready}
            )
            tasks.start_soon(
                serve_pages,
                self._settings.metrics_address,
                {b"/metrics": self._show_metrics},
            )
            tasks.start_soon(self._keep_up)
            tasks.start_soon(self._handle_signals, tasks.cancel_scope)
            await self._serve_callers(application)
        logger.info("stopped", instance=self._settings.name)

    def find_names(self) -> Sequence[str]:
        """Returns the names of the other instances."""
        return [member.name for member in self._members.find_all()]

    def _build_application(self, tasks: TaskGroup) -> EntryApplication:
        exchange_format = PlatformExchangeFormat()
        prober = Prober(self._pool, exchange_format, self._clock, tasks)
        placer = Placer(
            self._settings.availability_zone,
            self._table,
            prober,
            ColdStartShares(self._settings.name, self._clock),
            self,
            self._clock,
            self._random,
        )
        sender = RequestSender(
            placer,
            UpstreamExchange(self._pool, exchange_format, self._clock),
            Hedger(placer, prober, self._budget, self._crashes, self._clock),
            self._budget,
            self._crashes,
            self._clock,
            self._random,
        )
        return EntryApplication(
            self._published,
            self._allowances,
            sender,
            exchange_format,
            RequestObserver(self._clock, self._metrics),
            self._clock,
            self._random,
        )

    async def _serve_callers(self, application: EntryApplication) -> None:
        host, port = split_address(self._settings.caller_address)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=LISTEN_BACKLOG
        )

        async def serve(stream: SocketStream) -> None:
            connection = CallerConnection(
                stream, application, self._find_limits, self._serving, self._clock
            )
            await connection.run()

        await listener.serve(serve)

    async def _handle_signals(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for number in signals:
                logger.info("signal", signal=signal.Signals(number).name)
                if number == signal.SIGHUP:
                    self._reload_settings()
                    continue
                await self._stop()
                scope.cancel()
                return

    async def _stop(self) -> None:
        """Returns when the process may end without cutting a request."""
        stop_at_seconds = self._clock.monotonic_seconds()
        end_at_seconds = (
            stop_at_seconds + self._settings.bounds.grace_seconds - GRACE_MARGIN_SECONDS
        )
        self._serving.phase = Serving.LEAVING
        await anyio.sleep(LEAVING_SECONDS)
        self._serving.close_idle()
        left_seconds = end_at_seconds - self._clock.monotonic_seconds()
        with anyio.move_on_after(max(0.0, left_seconds)):
            await self._serving.wait_until_idle()
        if self._serving.running_requests:
            logger.warning(
                "stopping with requests", count=self._serving.running_requests
            )

    async def _keep_up(self) -> None:
        while True:
            await anyio.sleep(UPKEEP_SECONDS)
            await self._pool.close_expired()
            slack = self._settings.bounds.retry_slack_requests * RETRY_SLACK_USED
            self._budget.set_max_saved_retries(
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

    def _find_limits(self) -> CallerLimits:
        routes = self._published.routes
        return DEFAULT_LIMITS if routes is None else routes.configuration.limits

    def _show_ready(self) -> tuple[int, bytes, bytes]:
        ready = (
            self._serving.phase is Serving.RUNNING
            and self._published.routes is not None
        )
        return (200 if ready else 503), b"text/plain", b"ready\n" if ready else b"no\n"

    def _show_metrics(self) -> tuple[int, bytes, bytes]:
        return 200, b"text/plain; version=0.0.4", self._metrics.render()


def run_entry(settings: EntrySettings, settings_path: Path) -> None:
    """Runs an entry instance until SIGTERM."""
    configure_entry_logs()
    anyio.run(
        EntryDaemon(settings, settings_path).run,
        backend_options={"loop_factory": make_event_loop},
    )
