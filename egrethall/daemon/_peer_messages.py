"""What an entry instance does with the messages of its peers."""

import math

import anyio

from egrethall.admission import HeldBuckets
from egrethall.configuration import ConfigurationStore
from egrethall.daemon._adapters import UpstreamRates
from egrethall.forwarding import CrashQuarantine, IdempotencyRegistry
from egrethall.leases import (
    HEARTBEAT_SECONDS,
    LeaseRequest,
    LeaseTable,
    LeaseVoter,
    RevisionSettlement,
)
from egrethall.routing import UpstreamFactExchange
from egrethall.types import (
    Borrow,
    Clock,
    Complete,
    ConfigurationRequest,
    ConfigurationText,
    CrashReport,
    Handover,
    Heartbeat,
    HeartbeatAck,
    InstanceId,
    Loan,
    PeerRequester,
    Release,
    Reserve,
    ReserveReply,
    UpstreamEvent,
    UpstreamFact,
)

#: Time for which one lease request serves the heartbeats to several peers. Its age
#: shortens the leases, and a new one takes time for all shards.
LEASE_REQUEST_SECONDS = 0.2

#: Time for which the same facts go into the heartbeats: slightly less than the
#: interval, so that each peer gets each collection once.
FACTS_SECONDS = HEARTBEAT_SECONDS * 0.9

#: Time before the same revision is asked for again.
TEXT_REQUEST_SECONDS = 1.0

#: Age that a heartbeat names if nothing has confirmed the revision yet.
UNCONFIRMED_AGE_SECONDS = 1e9


class PeerMessageHandler:
    """The :class:`~egrethall.peers.PeerHandler` of an entry instance."""

    def __init__(
        self,
        store: ConfigurationStore,
        voter: LeaseVoter,
        leases: LeaseTable,
        settlement: RevisionSettlement,
        held_buckets: HeldBuckets,
        clock: Clock,
    ) -> None:
        self._store = store
        self._voter = voter
        self._leases = leases
        self._settlement = settlement
        self._held_buckets = held_buckets
        self._clock = clock
        self._leaving = False
        self._request: LeaseRequest | None = None
        self._requested_at_seconds = -math.inf
        #: Whether a change that peers wait for went into a heartbeat to one of them.
        self._has_missed_change = False
        self._changed = anyio.Event()
        self._facts: tuple[UpstreamFact, ...] = ()
        self._facts_until_seconds = -math.inf
        self._asked_revision = 0
        self._asked_until_seconds = -math.inf

    def attach(
        self,
        requester: PeerRequester,
        exchange: UpstreamFactExchange,
        rates: UpstreamRates,
        registry: IdempotencyRegistry,
        quarantine: CrashQuarantine,
    ) -> None:
        """Adds the parts that themselves send to peers."""
        self._requester = requester
        self._exchange = exchange
        self._rates = rates
        self._registry = registry
        self._quarantine = quarantine

    def start_leaving(self) -> None:
        """Tells the peers from now on that this instance is leaving."""
        self._leaving = True
        self.drop_lease_request()

    def drop_lease_request(self) -> None:
        """Makes the next heartbeat ask for shards anew."""
        self._request = None

    def renew_lease_request(self, max_age_seconds: float) -> LeaseRequest:
        """Returns a lease request that is not older than ``max_age_seconds``.

        Making one also counts the instance's own vote, so that an instance without
        peers has to call this as well.
        """
        now = self._clock.monotonic_seconds()
        if self._request is None or now - self._requested_at_seconds > max_age_seconds:
            if self._leases.is_heartbeat_urgent():
                self._has_missed_change = True
            self._request = self._leases.prepare_heartbeat(self._store.revision)
            self._requested_at_seconds = now
        return self._request

    def renew_for_all(self) -> None:
        """Makes a lease request that goes to all peers now."""
        self.drop_lease_request()
        self.renew_lease_request(0.0)
        self._has_missed_change = False

    def has_urgent_change(self) -> bool:
        """Returns whether all peers should hear of a change of shards now.

        A regular heartbeat to one peer may have taken the change along already; a
        majority would hear of it up to a heartbeat later.
        """
        if self._has_missed_change:
            return True
        is_due = self._leases.next_heartbeat_in_seconds() <= 0.0
        return is_due and self._leases.is_heartbeat_urgent()

    async def wait_for_change(self, seconds: float) -> None:
        """Returns when peers wait for a change of shards, or after a time."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()
            self._changed = anyio.Event()
            # Changes that belong together arrive within this time.
            await anyio.sleep(min(seconds, self._leases.next_heartbeat_in_seconds()))

    def _wake_keeper(self) -> None:
        if self._leases.is_heartbeat_urgent():
            self._changed.set()

    def build_heartbeat(self, peer: InstanceId) -> Heartbeat:
        """Returns the next heartbeat; those to all peers share one lease request."""
        request = self.renew_lease_request(LEASE_REQUEST_SECONDS)
        now = self._clock.monotonic_seconds()
        if now >= self._facts_until_seconds:
            self._facts = self._exchange.take_heartbeat_facts()
            self._facts_until_seconds = now + FACTS_SECONDS
        age_seconds = self._store.confirmed_age_seconds()
        return Heartbeat(
            sequence=request.sequence,
            revision=self._store.revision,
            held_shards=request.held_shards,
            wanted_shards=request.wanted_shards,
            leaving=self._leaving,
            confirmed_age_seconds=min(age_seconds, UNCONFIRMED_AGE_SECONDS),
            upstream_facts=self._facts,
        )

    def on_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> HeartbeatAck:
        """Returns the votes, and asks for the text of a higher revision."""
        self._note_revision(peer, heartbeat.revision)
        self._store.confirm_revision(
            heartbeat.revision, heartbeat.confirmed_age_seconds
        )
        self._exchange.receive_heartbeat_facts(peer, heartbeat.upstream_facts)
        return self._voter.answer_heartbeat(peer, heartbeat)

    def on_ack(self, peer: InstanceId, ack: HeartbeatAck) -> None:
        """Counts the votes of a peer."""
        self._note_revision(peer, ack.revision)
        self._leases.accept_ack(peer, ack)
        self._wake_keeper()

    def on_release(self, peer: InstanceId, release: Release) -> None:
        """Frees the votes that a peer gives back."""
        self._voter.accept_release(peer, release)
        self._leases.note_release(peer, release.shards)
        self._wake_keeper()

    def on_handover(self, peer: InstanceId, handover: Handover) -> None:
        """Takes over the state of a shard."""
        sent_at = self._leases.sent_at(handover.heard_sequence)
        self._held_buckets.accept_handover(handover, sent_at)
        self._exchange.receive_handover_facts(handover.upstream_facts)
        self._registry.import_records(handover.idempotency_records)

    def on_borrow(self, peer: InstanceId, borrow: Borrow) -> Loan:
        """Lends tokens of a bucket that this instance holds."""
        return self._held_buckets.lend(peer, borrow)

    async def on_reserve(self, peer: InstanceId, reserve: Reserve) -> ReserveReply:
        """Decides on a request with an ``Idempotency-Key``."""
        return await self._registry.reserve(reserve)

    def on_complete(self, peer: InstanceId, complete: Complete) -> None:
        """Records the outcome of a reserved request."""
        self._registry.complete(complete)

    def on_configuration_request(
        self, peer: InstanceId, request: ConfigurationRequest
    ) -> ConfigurationText | None:
        """Returns the text in force if it is what the peer asks for."""
        if self._store.revision < max(request.revision, 1):
            return None
        return ConfigurationText(self._store.revision, self._store.text)

    async def on_configuration_text(
        self, peer: InstanceId, text: ConfigurationText
    ) -> None:
        """Applies a configuration text if it is valid and higher."""
        # The age is unknown until the next heartbeat of the peer tells it.
        await self._store.receive_text(
            text.text, f"peer {peer.name}", text.revision, math.inf
        )

    def on_upstream_event(self, peer: InstanceId, event: UpstreamEvent) -> None:
        """Applies what a peer has seen of an upstream."""
        self._exchange.receive_event(event.fact)
        self._rates.update(event.fact.upstream)

    def on_crash_report(self, peer: InstanceId, report: CrashReport) -> None:
        """Applies a strike against a request, or the end of its suspicion."""
        self._quarantine.receive_report(report)

    def on_peer_connected(self, peer: InstanceId) -> None:
        """Tells a peer of the requests in quarantine, as it may have just started."""
        for report in self._quarantine.build_reports():
            self._requester.send_notice(peer, report)

    def on_peer_lost(self, peer: InstanceId, reason: str) -> None:
        """Does nothing: promises and claims end by their own times."""

    def _note_revision(self, peer: InstanceId, revision: int) -> None:
        self._settlement.observe(peer, revision)
        if revision <= self._store.revision:
            return
        now = self._clock.monotonic_seconds()
        if revision <= self._asked_revision and now < self._asked_until_seconds:
            return
        self._asked_revision = revision
        self._asked_until_seconds = now + TEXT_REQUEST_SECONDS
        self._requester.send_notice(peer, ConfigurationRequest(revision))
