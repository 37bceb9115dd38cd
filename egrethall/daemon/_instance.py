"""An entry instance: all parts, connected."""

from dataclasses import replace

import anyio

from egrethall.configuration import Settings, split_address
from egrethall.daemon._adapters import KeysAndRoutes
from egrethall.daemon._parts import (
    build_fleet_parts,
    build_forwarding_parts,
    build_surroundings,
    build_upstream_parts,
)
from egrethall.daemon._platform_watches import PlatformWatches
from egrethall.daemon._shard_keeper import FLUSH_SECONDS, ShardKeeper
from egrethall.daemon._state import InstanceState
from egrethall.forwarding.transport import HttpUpstreamProber
from egrethall.ingress import (
    CallerServerSettings,
    IngressApplication,
    IngressCollaborators,
    serve_callers,
)
from egrethall.operators import Metrics, OperatorApplication, serve_operators
from egrethall.routing import ProbeRunner
from egrethall.types import Clock, Configuration, InstanceListing


class EntryInstance:
    """One entry instance; :meth:`run` serves until a stop is requested."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._outside = build_surroundings(settings, clock)
        self._fleet = build_fleet_parts(self._outside)
        self._upstreams = build_upstream_parts(self._outside, self._fleet)
        self._forwarding = build_forwarding_parts(
            self._outside, self._fleet, self._upstreams
        )
        self._keys_and_routes = KeysAndRoutes()
        self._metrics = Metrics()
        self._ingress = IngressApplication(
            IngressCollaborators(
                configuration=self._fleet.store,
                keys=self._keys_and_routes,
                routes=self._keys_and_routes,
                allowances=self._fleet.borrower,
                idempotency=self._forwarding.guard,
                forwarder=self._forwarding.forwarder,
                observer=self._metrics,
            ),
            self._outside.clock,
            self._outside.secure_random,
            settings.access_log_sample_ratio,
        )
        self._keeper = ShardKeeper(
            self._outside, self._fleet, self._upstreams, self._forwarding.registry
        )
        self._state = InstanceState(
            self._outside, self._fleet, self._upstreams, self._ingress, self._metrics
        )
        self._metrics.watch_state(self._state)
        self._stop_requested = anyio.Event()
        #: True once the instance was in service; only then a zone's end stops it.
        self._was_in_service = False
        self._listing: InstanceListing | None = None
        self._fleet.store.subscribe(self._apply_configuration)

    def request_stop(self) -> None:
        """Begins a graceful stop; :meth:`run` returns when it is done."""
        self._state.stopping = True
        self._stop_requested.set()

    async def run(self) -> None:
        """Serves callers, peers and operators until a requested stop is done.

        Raises :class:`OSError` if an address cannot be listened on.
        """
        watches = PlatformWatches(
            self._settings.configuration_service_url,
            self._fleet.store,
            self._receive_listing,
            self._outside.clock,
            self._outside.secure_random,
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._fleet.peers.run)
            tasks.start_soon(self._fleet.borrower.run)
            tasks.start_soon(self._upstreams.selector.run)
            tasks.start_soon(self._forwarding.transport.run)
            tasks.start_soon(self._forwarding.forwarder.run)
            tasks.start_soon(self._forwarding.registry.run)
            tasks.start_soon(self._keeper.run)
            tasks.start_soon(self._run_probes)
            tasks.start_soon(watches.run)
            tasks.start_soon(self._leave_when_stopping)
            calls_ended = anyio.Event()
            async with anyio.create_task_group() as servers:
                # Operators see the instance until its last call has ended.
                servers.start_soon(self._serve_operators, calls_ended)
                servers.start_soon(self._serve_callers, calls_ended)
            tasks.cancel_scope.cancel()

    async def _serve_callers(self, calls_ended: anyio.Event) -> None:
        settings = self._settings
        host, port = split_address(settings.caller_address)
        tls = settings.caller_tls
        await serve_callers(
            self._ingress,
            CallerServerSettings(
                host=host,
                port=port,
                certificate_file=None if tls is None else tls.certificate_file,
                private_key_file=None if tls is None else tls.key_file,
                not_ready_seconds=settings.ready_lag_seconds,
                grace_seconds=settings.grace_seconds,
            ),
            self._stop_requested,
        )
        await self._fleet.peers.flush(FLUSH_SECONDS)
        calls_ended.set()

    async def _serve_operators(self, stop: anyio.Event) -> None:
        application = OperatorApplication(
            self._state, self._metrics, self._outside.audit
        )
        await serve_operators(application, self._settings.operator_address, stop.wait)

    async def _run_probes(self) -> None:
        clock = self._outside.clock
        prober = HttpUpstreamProber(clock)
        runner = ProbeRunner(
            self._upstreams.controller, self._upstreams.directory, prober, clock
        )
        try:
            await runner.run()
        finally:
            with anyio.CancelScope(shield=True):
                await prober.aclose()

    async def _leave_when_stopping(self) -> None:
        await self._stop_requested.wait()
        await self._keeper.leave()

    async def _receive_listing(self, listing: InstanceListing) -> None:
        self._listing = listing
        self._upstreams.directory.apply_listing(listing)
        self._update_peer_listing()

    def _update_peer_listing(self) -> None:
        # The platform lists upstreams as well. They are no peers: dialing them costs
        # connections, and counting them as live entry instances would end the votes.
        if self._listing is None:
            return
        upstreams = self._keys_and_routes.upstream_names
        entries = tuple(
            item for item in self._listing.instances if item.name not in upstreams
        )
        self._fleet.peers.update_listing(replace(self._listing, instances=entries))

    def _apply_configuration(
        self, _old: Configuration | None, new: Configuration
    ) -> None:
        # Voting for older holders ends first, so that no one acts on an older
        # revision after this instance has confirmed the new one.
        self._fleet.voter.set_revision(new.revision, new.max_entry_instances)
        self._fleet.settlement.adopt(new.revision, new.max_entry_instances)
        self._fleet.held_buckets.apply_configuration(new)
        self._keys_and_routes.apply(new)
        self._update_peer_listing()
        self._upstreams.directory.apply_configuration(new)
        self._upstreams.selector.apply_configuration(new)
        self._upstreams.shards.apply_configuration(new)
        self._fleet.membership.set_out_of_service(
            new.zones_out_of_service, new.instances_out_of_service
        )
        if not self._fleet.membership.is_own_out_of_service:
            self._was_in_service = True
        elif self._was_in_service:
            self.request_stop()
