"""Slopes of the state that a revision brings: upstreams, routes, keys, allowances."""

import random
import time
from collections.abc import Iterator
from functools import partial
from itertools import count, cycle

from egrethall.admission import (
    AllowanceBorrower,
    HeldBuckets,
    KeyRing,
    organisation_resource,
)
from egrethall.configuration import ConfigurationStore, parse_revision
from egrethall.leases import LeaseTable, LeaseVoter, RevisionSettlement
from egrethall.operators import AuditRing
from egrethall.peers import Membership, decode_message, encode_message
from egrethall.routing import RouteTable, UpstreamDirectory
from egrethall.types import (
    Borrow,
    Clock,
    Configuration,
    InstanceId,
    Loan,
    ManualClock,
    PeerUnavailableError,
    SystemClock,
)
from measure.capacity_report import (
    Slope,
    measure_memory,
    print_line,
    run_at_once,
    time_calls,
)
from measure.capacity_shapes import (
    NoAudit,
    NoPublisher,
    build_text,
    iterate_key_texts,
)

#: Upstreams of the fleet: both users' present numbers are below 50.
UPSTREAM_SIZES = (46, 325, 650, 1300)
ORGANISATION_SIZES = (8, 80, 400, 800)
OWN = InstanceId("entry-0", 1)
FRAME_LENGTH_BYTES = 4
PEER = InstanceId("entry-1", 2)


class NoPeers:
    """A requester that reaches nobody, because this instance holds all shards."""

    async def request_loan(
        self, holder: InstanceId, borrow: Borrow, timeout_seconds: float
    ) -> None:
        """Fails."""
        raise PeerUnavailableError(f"{holder.name} is not reachable")


def build_directory(clock: Clock, configuration: Configuration) -> UpstreamDirectory:
    """Returns a directory with all upstreams of ``configuration``."""
    directory = UpstreamDirectory(clock, random.Random(1), NoAudit(), NoPublisher())
    directory.apply_configuration(configuration)
    return directory


def build_leases(
    clock: Clock, max_entry_instances: int
) -> tuple[LeaseVoter, RevisionSettlement, LeaseTable]:
    """Returns the parts of an instance that hold and promise shards."""
    voter = LeaseVoter(OWN, clock)
    settlement = RevisionSettlement(OWN, clock)
    voter.set_revision(1, max_entry_instances)
    settlement.adopt(1, max_entry_instances)
    table = LeaseTable(OWN, voter, settlement, clock, random.Random(1))
    return voter, settlement, table


class OnlyInstance:
    """The only instance of a fleet; it holds every bucket of every organisation."""

    def __init__(self, configuration: Configuration) -> None:
        self._clock = clock = ManualClock()
        _, self._settlement, self._table = build_leases(clock, 1)
        self.held_buckets = HeldBuckets(self._table, clock)
        self.held_buckets.apply_configuration(configuration)
        membership = Membership(OWN, "a", clock, lambda _: 0, lambda _, names: names)
        self.borrower = AllowanceBorrower(
            OWN,
            self.held_buckets,
            NoPeers(),  # type: ignore[arg-type]
            membership,
            clock,
            random.Random(1),
        )
        for _ in range(20):
            self.advance(0.5)
        if not self.held_buckets.snapshot_buckets():
            raise RuntimeError("the only instance does not hold its buckets")
        self._names = [item.name for item in configuration.organisations]
        self._turns = cycle(self._names)
        self._admitted = 0

    def advance(self, seconds: float) -> None:
        """Moves time on and renews the leases."""
        self._clock.advance(seconds)
        self._settlement.update()
        self.held_buckets.settle_revision(self._settlement.settled_revision)
        self._table.set_members(frozenset([OWN]))
        self._table.prepare_heartbeat(1)

    def admit_next(self) -> None:
        """Admits one call of the next organisation; 1,000 a second altogether."""
        self._admitted += 1
        if self._admitted % 1000 == 0:
            self.advance(1.0)
        name = next(self._turns)
        run_at_once(self.borrower.admit(name, self._clock.monotonic_seconds() + 1.0))

    def admit_each(self) -> None:
        """Admits one call of each organisation."""
        for _ in self._names:
            self.admit_next()

    def lend_next(self) -> None:
        """Lends one token to a peer, from message to message as a holder does."""
        self._admitted += 1
        if self._admitted % 1000 == 0:
            self.advance(1.0)
        payload = encode_message(self.make_borrow(self._admitted, next(self._turns)))
        borrow = decode_message(payload)
        if isinstance(borrow, Borrow):
            loan = self.held_buckets.lend(PEER, borrow)
            decode_message(encode_message(loan))

    @staticmethod
    def make_borrow(number: int, organisation: str) -> Borrow:
        """Returns the borrow of one token, all earlier ones used up."""
        resource = organisation_resource(organisation, number % 8)
        return Borrow(number, resource, 1, 1, number - 1, 0.1)


def build_with_wallets(configuration: Configuration) -> OnlyInstance:
    """Returns an instance that has admitted a call of each organisation."""
    instance = OnlyInstance(configuration)
    instance.admit_each()
    return instance


class AppliedRevisions:
    """Applies one revision after the other, as a daemon does without its peers."""

    def __init__(self, configuration: Configuration) -> None:
        clock = SystemClock()
        self._configuration = configuration
        self._numbers = count(1)
        self._held_buckets = HeldBuckets(build_leases(clock, 18)[2], clock)
        self._directory = build_directory(clock, configuration)

    def apply_next(self) -> None:
        """Applies a revision that differs in its number only."""
        self._held_buckets.apply_configuration(self._configuration)
        RouteTable(self._configuration)
        KeyRing(self._configuration.organisations)
        self._directory.apply_configuration(self._configuration)


def measure_revisions(runs: int) -> None:
    """Reading and applying a revision, and what its parts keep in memory."""
    length = Slope("revision-text", "upstreams", "bytes")
    reading = Slope("revision-read", "upstreams", "us")
    applying = Slope("revision-apply", "upstreams", "us")
    kept = Slope("revision-memory", "upstreams", "bytes")
    routes = Slope("route-table-memory", "upstreams", "bytes")
    records = Slope("directory-memory", "upstreams", "bytes")
    for size in UPSTREAM_SIZES:
        text = build_text(1, size)
        configuration = parse_revision(text)
        length.add(size, [float(len(text))])
        reading.add(size, time_calls(partial(parse_revision, text), runs))
        applied = AppliedRevisions(configuration)
        applying.add(size, time_calls(applied.apply_next, runs))
        kept.add(size, [measure_memory(partial(parse_revision, text))])
        routes.add(size, [measure_memory(partial(RouteTable, configuration))])
        build = partial(build_directory, SystemClock(), configuration)
        records.add(size, [measure_memory(build)])
    for slope in (length, reading, applying, kept, routes, records):
        slope.finish(46, 1300)


def measure_store(runs: int) -> None:
    """A further revision in the store: reading, comparing, audit, no subscribers."""
    change = Slope("revision-accept", "upstreams", "us")
    for size in UPSTREAM_SIZES:
        clock = SystemClock()
        store = ConfigurationStore(AuditRing(clock), clock)
        store.apply_text(build_text(1, size), "measurement")
        times = []
        for revision in range(2, runs + 2):
            text = build_text(revision, size)
            started = time.process_time()
            store.apply_text(text, "measurement")
            times.append((time.process_time() - started) * 1e6)
        change.add(size, times)
    change.finish(46, 1300)


def measure_allowances(runs: int) -> None:
    """Keys, buckets and wallets by the number of organisations with 8 buckets each."""
    length = Slope("organisation-text", "organisations", "bytes")
    ring_memory = Slope("key-ring-memory", "organisations", "bytes")
    identify = Slope("key-identify", "organisations", "us")
    holding = Slope("allowance-book-memory", "organisations", "bytes")
    settling = Slope("allowance-settle", "organisations", "us")
    admitting = Slope("allowance-admit", "organisations", "us")
    lending = Slope("borrow-and-loan", "organisations", "us")
    wallets = Slope("allowance-book-and-wallets-memory", "organisations", "bytes")
    for size in ORGANISATION_SIZES:
        text = build_text(1, 46, size)
        configuration = parse_revision(text)
        organisations = configuration.organisations
        length.add(size, [float(len(text))])
        ring_memory.add(size, [measure_memory(partial(KeyRing, organisations))])
        ring = KeyRing(organisations)
        keys = cycle([key.encode() for key in iterate_key_texts(size)])
        identify.add(size, time_calls(partial(_identify_next, ring, keys), runs))
        holding.add(size, [measure_memory(partial(OnlyInstance, configuration))])
        build = partial(build_with_wallets, configuration)
        wallets.add(size, [measure_memory(build)])
        instance = OnlyInstance(configuration)
        settling.add(
            size, time_calls(partial(instance.held_buckets.settle_revision, 1), runs)
        )
        admitting.add(size, time_calls(instance.admit_next, runs))
        lending.add(size, time_calls(instance.lend_next, runs))
    for slope in (
        length,
        ring_memory,
        identify,
        holding,
        settling,
        admitting,
        lending,
        wallets,
    ):
        slope.finish(8, 800)


def _identify_next(ring: KeyRing, keys: Iterator[bytes]) -> None:
    ring.identify(next(keys))


def measure_borrow_bytes(runs: int) -> None:
    """Bytes of a borrow and its loan on the wire, length included."""
    borrow = OnlyInstance.make_borrow(100_000, "organisation-77")
    loan = Loan(100_000, 1, 0.099, 0.0)
    print_line(
        measure="borrow-bytes",
        borrow=len(encode_message(borrow)) + FRAME_LENGTH_BYTES,
        loan=len(encode_message(loan)) + FRAME_LENGTH_BYTES,
    )
