"""Records of requests with an ``Idempotency-Key``, kept by a shard's holder."""

import itertools
from collections import OrderedDict
from collections.abc import Callable

import anyio

from egrethall.forwarding._idempotency_keys import (
    STATUS_NOT_RUN,
    STATUS_RUNNING,
    build_resource,
)
from egrethall.types import (
    Clock,
    Complete,
    IdempotencyRecord,
    InstanceId,
    LeaseView,
    PeerRequester,
    PeerUnavailableError,
    Reserve,
    ReserveReply,
    ShardDirectory,
)

RECORD_LIFETIME_SECONDS = 600.0

#: Maximum number of records in one instance, including copies for other holders. A
#: record takes about 400 bytes.
MAX_RECORDS = 50_000

#: Time after the export of a shard during which this instance grants no reservations
#: for it. By its end, the votes for the lease have been released or have expired.
EXPORT_FREEZE_SECONDS = 3.0

#: Maximum number of records sent to new successors in one call, which bounds the queue
#: to a peer.
MAX_COPIES_PER_CALL = 2000
COPY_INTERVAL_SECONDS = 1.0

#: Time for the successor to confirm the copy.
COPY_TIMEOUT_SECONDS = 0.5


class _Record:
    """The reservation or outcome of one request."""

    def __init__(
        self, shard: int, status: int, since_seconds: float, pending: bool
    ) -> None:
        self.shard = shard
        self.status = status
        #: Clock time of the latest change of the status.
        self.since_seconds = since_seconds
        #: True until the reservation has been granted.
        self.pending = pending


class IdempotencyRegistry:
    """Grants each organisation's key at most once per record lifetime.

    The lifetime is :data:`RECORD_LIFETIME_SECONDS`.

    Only the holder of the key's shard grants a reservation, and only after its
    successor has a copy. A full table refuses new keys, because evicting a record
    would allow a second run.

    :param shard_of: Returns the shard for the name of a resource.
    """

    def __init__(
        self,
        clock: Clock,
        leases: LeaseView,
        directory: ShardDirectory,
        peers: PeerRequester,
        shard_of: Callable[[str], int],
        own_instance: InstanceId,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._clock = clock
        self._leases = leases
        self._directory = directory
        self._peers = peers
        self._shard_of = shard_of
        self._own_instance = own_instance
        self._max_records = max_records
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        #: For each shard that this instance holds, the successor that gets the copies.
        self._copied_to: dict[int, InstanceId] = {}
        #: Keys of records still to be copied to a new successor, in order.
        self._keys_to_copy: dict[bytes, None] = {}
        #: For each exported shard, the clock time until which it grants nothing.
        self._frozen_until_seconds: dict[int, float] = {}

    @property
    def record_count(self) -> int:
        """The number of records, including copies for other holders."""
        return len(self._records)

    async def reserve(self, message: Reserve) -> ReserveReply:
        """Returns whether the sender may run the request.

        ``is_holder`` is False in every refusal that says nothing about an earlier
        request: another instance holds the shard, the shard is frozen, the table is
        full, or the successor did not confirm its copy.
        """
        self._forget_expired()
        if message.copy:
            return self._store_copy(message)
        shard = self._find_shard(message.key)
        if not self._may_grant(shard):
            return self._build_inconclusive_reply(message)
        known = self._records.get(message.key)
        if known is not None:
            return ReserveReply(message.request_id, False, known.status)
        if len(self._records) >= self._max_records:
            return self._build_inconclusive_reply(message)
        now_seconds = self._clock.monotonic_seconds()
        record = _Record(shard, STATUS_RUNNING, now_seconds, pending=True)
        self._records[message.key] = record
        try:
            return await self._copy_and_grant(message, shard, record)
        finally:
            if record.pending and self._records.get(message.key) is record:
                del self._records[message.key]

    def complete(self, message: Complete) -> None:
        """Records an outcome at this instance and at the successor.

        An outcome without a reservation is recorded too: the reservation may have been
        lost with an earlier holder, and a repeated request must still be refused.
        """
        self._forget_expired()
        self._apply_outcome(message)
        shard = self._find_shard(message.key)
        if message.copy:
            return
        successor = self._find_successor(shard)
        if successor is None:
            return
        if self._is_frozen(shard):
            # The successor is the next holder and already has the record.
            self._peers.send_notice(successor, message)
        elif self._leases.is_held(shard):
            copy = Complete(message.key, message.status, copy=True)
            self._peers.send_notice(successor, copy)

    def export_records(self, shard: int) -> tuple[IdempotencyRecord, ...]:
        """Freezes ``shard`` and returns its granted records for the next holder.

        A reservation that still waits for its copy is left out: it will not be
        granted, because the shard is frozen.
        """
        self._forget_expired()
        now_seconds = self._clock.monotonic_seconds()
        self._frozen_until_seconds[shard] = now_seconds + EXPORT_FREEZE_SECONDS
        return tuple(
            IdempotencyRecord(key, record.status, now_seconds - record.since_seconds)
            for key, record in self._records.items()
            if not record.pending and record.shard == shard
        )

    def import_records(self, records: tuple[IdempotencyRecord, ...]) -> None:
        """Takes over the records of a shard from its previous holder.

        The bound of the table does not apply, because these keys are already granted.
        """
        now_seconds = self._clock.monotonic_seconds()
        for incoming in records:
            known = self._records.get(incoming.key)
            has_outcome = known is not None and known.status != STATUS_RUNNING
            if has_outcome and incoming.status == STATUS_RUNNING:
                continue
            age_seconds = max(0.0, incoming.age_seconds)
            self._records[incoming.key] = _Record(
                self._find_shard(incoming.key),
                incoming.status,
                now_seconds - age_seconds,
                pending=False,
            )
        by_age = sorted(self._records.items(), key=lambda item: item[1].since_seconds)
        self._records = OrderedDict(by_age)

    def copy_to_successors(self) -> None:
        """Sends the records of held shards to new successors.

        Without this, losing a successor and later the holder would lose records. Must
        be called about once a second.
        """
        self._forget_expired()
        for shard in {record.shard for record in self._records.values()}:
            successor = self._find_successor(shard)
            if successor is None or not self._leases.is_held(shard):
                self._copied_to.pop(shard, None)
            elif self._copied_to.get(shard) != successor:
                self._copied_to[shard] = successor
                self._keys_to_copy.update(
                    (key, None)
                    for key, record in self._records.items()
                    if record.shard == shard
                )
        for key in list(itertools.islice(self._keys_to_copy, MAX_COPIES_PER_CALL)):
            del self._keys_to_copy[key]
            known = self._records.get(key)
            if known is None or known.pending or known.shard not in self._copied_to:
                continue
            copy = Complete(key, known.status, copy=True)
            self._peers.send_notice(self._copied_to[known.shard], copy)

    async def run(self) -> None:
        """Calls :meth:`copy_to_successors` once a second, until cancelled."""
        while True:
            await anyio.sleep(COPY_INTERVAL_SECONDS)
            self.copy_to_successors()

    async def _copy_and_grant(
        self, message: Reserve, shard: int, record: _Record
    ) -> ReserveReply:
        """Copies a new record to the successor, then grants it."""
        successor = self._find_successor(shard)
        if successor is not None:
            copy = Reserve(message.request_id, message.key, copy=True)
            try:
                with anyio.CancelScope(shield=True):
                    reply = await self._peers.request_reservation(
                        successor, copy, COPY_TIMEOUT_SECONDS
                    )
            except PeerUnavailableError:
                # The successor may have stored the copy. It is not withdrawn, because
                # that could remove a record from an earlier holder, which the lost
                # reply would have reported.
                return self._build_inconclusive_reply(message)
            if not reply.granted and not reply.is_holder:
                return self._build_inconclusive_reply(message)
            if not reply.granted:
                # The successor has a record of the request from an earlier holder.
                record.status = reply.status
                record.pending = False
                return ReserveReply(message.request_id, False, reply.status)
        # No await from here to the return: the lease must be valid when granting.
        is_unchanged = self._records.get(message.key) is record
        if not is_unchanged or not self._may_grant(shard):
            if successor is not None:
                self._withdraw_copy(successor, message.key)
            return self._build_inconclusive_reply(message)
        record.pending = False
        return ReserveReply(message.request_id, True, STATUS_RUNNING)

    def _store_copy(self, message: Reserve) -> ReserveReply:
        known = self._records.get(message.key)
        if known is not None:
            return ReserveReply(message.request_id, False, known.status)
        if len(self._records) >= self._max_records:
            return self._build_inconclusive_reply(message)
        self._records[message.key] = _Record(
            self._find_shard(message.key),
            STATUS_RUNNING,
            self._clock.monotonic_seconds(),
            pending=False,
        )
        return ReserveReply(message.request_id, True, STATUS_RUNNING)

    def _withdraw_copy(self, successor: InstanceId, key: bytes) -> None:
        self._peers.send_notice(successor, Complete(key, STATUS_NOT_RUN, copy=True))

    def _apply_outcome(self, message: Complete) -> None:
        if message.status == STATUS_NOT_RUN:
            self._records.pop(message.key, None)
            return
        if message.key not in self._records and len(self._records) >= self._max_records:
            return
        if message.status == STATUS_RUNNING and message.key in self._records:
            # A copy of a reservation; the record here is as recent or more recent.
            return
        self._records[message.key] = _Record(
            self._find_shard(message.key),
            message.status,
            self._clock.monotonic_seconds(),
            pending=False,
        )
        self._records.move_to_end(message.key)

    def _forget_expired(self) -> None:
        oldest_seconds = self._clock.monotonic_seconds() - RECORD_LIFETIME_SECONDS
        while self._records:
            if next(iter(self._records.values())).since_seconds > oldest_seconds:
                return
            self._records.popitem(last=False)

    def _may_grant(self, shard: int) -> bool:
        return self._leases.is_held(shard) and not self._is_frozen(shard)

    def _is_frozen(self, shard: int) -> bool:
        until_seconds = self._frozen_until_seconds.get(shard, 0.0)
        return self._clock.monotonic_seconds() < until_seconds

    def _find_shard(self, key: bytes) -> int:
        return self._shard_of(build_resource(key))

    def _find_successor(self, shard: int) -> InstanceId | None:
        successor = self._directory.find_successor(shard)
        return None if successor == self._own_instance else successor

    @staticmethod
    def _build_inconclusive_reply(message: Reserve) -> ReserveReply:
        return ReserveReply(message.request_id, False, STATUS_RUNNING, is_holder=False)
