"""The parts of an entry instance, built and connected in three groups."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from egrethall.admission import AllowanceBorrower, HeldBuckets
from egrethall.configuration import ConfigurationStore, Settings, split_address
from egrethall.daemon._adapters import (
    FactBroadcaster,
    UpstreamRates,
    UpstreamShardView,
)
from egrethall.daemon._peer_messages import PeerMessageHandler
from egrethall.forwarding import (
    CrashQuarantine,
    Forwarder,
    IdempotencyGuard,
    IdempotencyRegistry,
    RetryBudget,
)
from egrethall.forwarding.transport import HttpxUpstreamTransport
from egrethall.leases import (
    LeaseTable,
    LeaseVoter,
    RevisionSettlement,
    rank_members,
    shard_of,
)
from egrethall.operators import AuditRing
from egrethall.peers import Membership, PeerService, PeerSettings, PeerTlsFiles
from egrethall.routing import (
    ColdStartController,
    UpstreamDirectory,
    UpstreamFactExchange,
    UpstreamSelectorService,
    make_default_chooser,
)
from egrethall.types import Clock, InstanceId, RandomSource, SystemClock, Upstream

INCARNATION_BITS = 62
DRAWS_SEED_BITS = 128


@dataclass(frozen=True)
class Surroundings:
    """What every part takes from outside."""

    settings: Settings
    instance: InstanceId
    clock: Clock
    #: Random numbers of the operating system, for ids that nobody may guess.
    secure_random: RandomSource
    #: Random numbers for choices and jitter, without a system call for each.
    random: RandomSource
    audit: AuditRing


@dataclass(frozen=True)
class FleetParts:
    """What one instance shares with the others."""

    store: ConfigurationStore
    voter: LeaseVoter
    settlement: RevisionSettlement
    leases: LeaseTable
    held_buckets: HeldBuckets
    membership: Membership
    handler: PeerMessageHandler
    peers: PeerService
    borrower: AllowanceBorrower


@dataclass(frozen=True)
class UpstreamParts:
    """What one instance knows of upstreams."""

    shards: UpstreamShardView
    directory: UpstreamDirectory
    controller: ColdStartController
    rates: UpstreamRates
    exchange: UpstreamFactExchange
    selector: UpstreamSelectorService


@dataclass(frozen=True)
class ForwardingParts:
    """What sends requests."""

    quarantine: CrashQuarantine
    registry: IdempotencyRegistry
    guard: IdempotencyGuard
    transport: HttpxUpstreamTransport
    forwarder: Forwarder


def build_surroundings(settings: Settings, clock: Clock | None) -> Surroundings:
    """Returns a new run of the instance that ``settings`` describe."""
    clock = clock or SystemClock()
    source = random.SystemRandom()
    return Surroundings(
        settings=settings,
        instance=InstanceId(settings.name, source.getrandbits(INCARNATION_BITS)),
        clock=clock,
        secure_random=source,
        random=random.Random(source.getrandbits(DRAWS_SEED_BITS)),
        audit=AuditRing(clock),
    )


def build_fleet_parts(outside: Surroundings) -> FleetParts:
    """Returns leases, allowances and peers; raises as :class:`PeerService` does."""
    instance, clock, source = outside.instance, outside.clock, outside.secure_random
    store = ConfigurationStore(outside.audit, clock)
    voter = LeaseVoter(instance, clock, outside.audit)
    settlement = RevisionSettlement(instance, clock)
    leases = LeaseTable(instance, voter, settlement, clock, source)
    held_buckets = HeldBuckets(leases, clock)
    zone = outside.settings.availability_zone
    membership = Membership(instance, zone, clock, shard_of, _rank_names)
    membership.attach_leases(leases)
    handler = PeerMessageHandler(store, voter, leases, settlement, held_buckets, clock)
    peer_settings = _build_peer_settings(outside.settings, instance)
    peers = PeerService(peer_settings, handler, membership, clock, source)
    return FleetParts(
        store=store,
        voter=voter,
        settlement=settlement,
        leases=leases,
        held_buckets=held_buckets,
        membership=membership,
        handler=handler,
        peers=peers,
        borrower=AllowanceBorrower(
            instance, held_buckets, peers, membership, clock, source
        ),
    )


def build_upstream_parts(outside: Surroundings, fleet: FleetParts) -> UpstreamParts:
    """Returns the directory of upstreams and what chooses among them."""
    clock = outside.clock
    shards = UpstreamShardView(fleet.leases, fleet.membership)
    publisher = FactBroadcaster(fleet.peers)
    directory = UpstreamDirectory(
        clock, outside.secure_random, outside.audit, publisher
    )
    controller = ColdStartController(directory, shards, clock)
    publisher.rates = UpstreamRates(directory, controller, shards, fleet.held_buckets)
    return UpstreamParts(
        shards=shards,
        directory=directory,
        controller=controller,
        rates=publisher.rates,
        exchange=UpstreamFactExchange(directory, controller, shards, clock),
        selector=UpstreamSelectorService(
            directory,
            make_default_chooser(outside.random),
            fleet.borrower,
            outside.settings.availability_zone,
            clock,
            outside.random,
        ),
    )


def build_forwarding_parts(
    outside: Surroundings, fleet: FleetParts, upstreams: UpstreamParts
) -> ForwardingParts:
    """Returns what sends requests, and connects it with the peers' messages."""
    clock = outside.clock
    quarantine = CrashQuarantine(
        clock,
        outside.settings.peer_secret,
        fleet.peers,
        outside.audit,
        lambda: fleet.store.revision,
    )
    registry = IdempotencyRegistry(
        clock, fleet.leases, fleet.membership, fleet.peers, shard_of, outside.instance
    )
    guard = IdempotencyGuard(
        clock,
        outside.secure_random,
        fleet.leases,
        fleet.membership,
        fleet.peers,
        shard_of,
        outside.instance,
        registry,
    )

    def limit_connections(upstream: Upstream) -> int:
        instances = max(1, fleet.settlement.max_entry_instances)
        return max(1, upstream.max_connections // instances)

    transport = HttpxUpstreamTransport(limit_connections, clock)
    forwarder = Forwarder(
        upstreams.selector,
        transport,
        clock,
        outside.random,
        RetryBudget(),
        quarantine,
    )
    fleet.handler.attach(
        fleet.peers, upstreams.exchange, upstreams.rates, registry, quarantine
    )
    return ForwardingParts(quarantine, registry, guard, transport, forwarder)


def _rank_names(shard: int, names: Sequence[str]) -> Sequence[str]:
    members = [InstanceId(name, 0) for name in names]
    return [member.name for member in rank_members(shard, members)]


def _build_peer_settings(settings: Settings, instance: InstanceId) -> PeerSettings:
    host, port = split_address(settings.peer_address)
    tls = settings.peer_tls
    return PeerSettings(
        instance=instance,
        availability_zone=settings.availability_zone,
        listen_host=host,
        listen_port=port,
        secret=settings.peer_secret,
        tls_files=None
        if tls is None
        else PeerTlsFiles(
            certificate_file=str(tls.certificate_file),
            private_key_file=str(tls.key_file),
            authority_file=str(tls.authority_file),
        ),
    )
