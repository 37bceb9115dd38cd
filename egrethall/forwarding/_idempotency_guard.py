"""Checks the ``Idempotency-Key`` of a request before it is sent to an upstream."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel

from egrethall.forwarding._idempotency_keys import (
    STATUS_NOT_RUN,
    STATUS_RUNNING,
    STATUS_UNKNOWN,
    build_resource,
    compute_key_digest,
)
from egrethall.forwarding._idempotency_registry import IdempotencyRegistry
from egrethall.types import (
    CallRequest,
    Clock,
    Complete,
    InstanceId,
    LeaseView,
    PeerRequester,
    PeerUnavailableError,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
    RequestRun,
    Reserve,
    ReserveReply,
    ShardDirectory,
    UpstreamResponse,
)

#: Time for a holder to answer, including its copy to the successor.
RESERVATION_TIMEOUT_SECONDS = 1.0

#: Time to find the holder of a shard that is moving to another instance.
HOLDER_SEARCH_SECONDS = 1.0
HOLDER_SEARCH_PAUSE_SECONDS = 0.05

#: A shard whose holder was lost has a new one after about the duration of a lease.
RETRY_AFTER_SECONDS = 2.0

REQUEST_ID_BITS = 63

Answer = TypeVar("Answer", bound=UpstreamResponse)


class IdempotencyGuard:
    """Forwards a request with an ``Idempotency-Key`` only once in the fleet.

    It checks only requests that are not idempotent; the others may be repeated
    anyway. If it cannot determine whether a request ran before, it refuses it.

    :param shard_of: Returns the shard for the name of a resource.
    :param registry: The registry of this instance, used for shards that it holds.
    """

    def __init__(
        self,
        clock: Clock,
        random_source: RandomSource,
        leases: LeaseView,
        directory: ShardDirectory,
        peers: PeerRequester,
        shard_of: Callable[[str], int],
        own_instance: InstanceId,
        registry: IdempotencyRegistry,
    ) -> None:
        self._clock = clock
        self._random_source = random_source
        self._leases = leases
        self._directory = directory
        self._peers = peers
        self._shard_of = shard_of
        self._own_instance = own_instance
        self._registry = registry

    async def forward(
        self,
        request: CallRequest,
        forward: Callable[[CallRequest], Awaitable[Answer]],
    ) -> Answer:
        """Reserves the key, calls ``forward`` and reports the outcome.

        Raises :class:`RefusedError` with ``idempotency-in-progress``,
        ``idempotency-already-run`` or ``allowance-unavailable``, and whatever
        ``forward`` raises.
        """
        if request.idempotency_key is None or request.idempotent:
            return await forward(request)
        digest = compute_key_digest(request, request.idempotency_key)
        await self._reserve(request, digest)
        status = STATUS_NOT_RUN
        try:
            await anyio.lowlevel.checkpoint_if_cancelled()
            status = STATUS_UNKNOWN
            answer = await forward(request)
            status = answer.status
        except RefusedError as error:
            if error.refusal.reason.run is RequestRun.NO:
                status = STATUS_NOT_RUN
            raise
        finally:
            self._report(digest, status)
        return answer

    async def _reserve(self, request: CallRequest, digest: bytes) -> None:
        now_seconds = self._clock.monotonic_seconds()
        until_seconds = min(
            request.deadline_at_seconds, now_seconds + HOLDER_SEARCH_SECONDS
        )
        while True:
            # A cancellation that lost the reply would leave the key reserved.
            with anyio.CancelScope(shield=True):
                reply = await self._ask_holder(request, digest)
            if reply is not None and reply.granted:
                return
            if reply is not None and reply.is_holder:
                raise _build_repeat_error(reply)
            if (
                self._clock.monotonic_seconds() + HOLDER_SEARCH_PAUSE_SECONDS
                >= until_seconds
            ):
                raise _build_unchecked_key_error(
                    "no instance holds its record at the moment"
                )
            await anyio.sleep(HOLDER_SEARCH_PAUSE_SECONDS)

    async def _ask_holder(
        self, request: CallRequest, digest: bytes
    ) -> ReserveReply | None:
        """Returns the holder's reply, or None if no other holder is known."""
        shard = self._shard_of(build_resource(digest))
        reserve = Reserve(self._random_source.getrandbits(REQUEST_ID_BITS), digest)
        if self._leases.is_held(shard):
            return await self._registry.reserve(reserve)
        holder = self._directory.find_holder(shard)
        if holder is None or holder == self._own_instance:
            return None
        remaining_seconds = (
            request.deadline_at_seconds - self._clock.monotonic_seconds()
        )
        if remaining_seconds <= 0:
            raise _build_unchecked_key_error("the deadline passed")
        try:
            return await self._peers.request_reservation(
                holder, reserve, min(remaining_seconds, RESERVATION_TIMEOUT_SECONDS)
            )
        except PeerUnavailableError as error:
            # The holder may have granted the reservation. A second request would find
            # that reservation and be refused as a request in progress.
            raise _build_unchecked_key_error(
                "the instance that holds its record did not answer"
            ) from error

    def _report(self, digest: bytes, status: int) -> None:
        complete = Complete(digest, status)
        shard = self._shard_of(build_resource(digest))
        if self._leases.is_held(shard):
            self._registry.complete(complete)
            return
        holder = self._directory.find_holder(shard)
        if holder is not None and holder != self._own_instance:
            self._peers.send_notice(holder, complete)


def _build_repeat_error(reply: ReserveReply) -> RefusedError:
    if reply.status == STATUS_RUNNING:
        reason = RefusalReason.IDEMPOTENCY_IN_PROGRESS
        detail = "the first request with this Idempotency-Key has not ended"
    elif reply.status == STATUS_UNKNOWN:
        reason = RefusalReason.IDEMPOTENCY_ALREADY_RUN
        detail = (
            "the first request with this Idempotency-Key ended with unknown outcome; "
            "it may have run"
        )
    else:
        reason = RefusalReason.IDEMPOTENCY_ALREADY_RUN
        detail = (
            "the first request with this Idempotency-Key was answered with status "
            f"{reply.status}"
        )
    return RefusedError(Refusal(reason, detail))


def _build_unchecked_key_error(cause: str) -> RefusedError:
    return RefusedError(
        Refusal(
            RefusalReason.ALLOWANCE_UNAVAILABLE,
            f"the Idempotency-Key cannot be checked: {cause}",
            RETRY_AFTER_SECONDS,
        )
    )
