"""Forwards requests to an instance that reaches upstreams, when this one does not."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio
import structlog
from anyio.abc import SocketStream

from egrethall.entry._held_body import HeldBody, iterate_until_deadline
from egrethall.entry._memory_account import MemoryAccount
from egrethall.entry._request import AdmittedRequest, Response, SendOutcome, SendResult
from egrethall.fleet import (
    SENT_PART_BYTES,
    ForwardedHead,
    ForwardedResponse,
    decode_acceptance,
    decode_response,
    encode_head,
    encode_time_left,
    receive_frame,
    send_frame,
)
from egrethall.http1 import (
    ConnectError,
    ConnectionLostError,
    expect_long_message,
    open_stream,
)
from egrethall.placement import CrashGuard
from egrethall.types import (
    Clock,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Instances that are asked for one request. Each that declines answers at once.
MAX_ASKED_PEERS = 5

#: Time in which an instance accepts or declines a request, its connection included. One
#: that hangs must leave time for another.
ACCEPT_TIMEOUT_SECONDS = 0.25

#: Time for which an instance that declined or did not answer is asked last.
DECLINED_SECONDS = 2.0

#: Reasons for which another instance may still serve a declined request.
_DECLINED_FOR_ITSELF = frozenset(
    {
        RefusalReason.UPSTREAMS_UNREACHABLE,
        RefusalReason.NOT_CONFIGURED,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.STOPPING,
    }
)

_STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    ConnectionLostError,
    ValueError,
)

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class ForwardingPeer:
    """Another instance that states that it reaches upstreams."""

    name: str
    availability_zone: str
    #: IP address and port for streams between instances.
    address: str


class ForwardingDirectory(Protocol):
    """Lists the instances that can send requests to upstreams."""

    def find_forwarding_peers(self) -> Sequence[ForwardingPeer]:
        """Returns the other instances that reach upstreams, as far as is known."""
        ...


class PeerForwarder:
    """Sends a request through another instance, of the own availability zone first.

    The other instance makes the attempts, with its own probes, retries and hedges. A
    request that was forwarded to an instance is not forwarded by that one again.
    """

    def __init__(
        self,
        own_name: str,
        own_zone: str,
        directory: ForwardingDirectory,
        crashes: CrashGuard,
        account: MemoryAccount,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._account = account
        self._own_name = own_name
        self._own_zone = own_zone
        self._directory = directory
        self._crashes = crashes
        self._clock = clock
        self._random = random_source
        #: Until when each instance that declined is asked last.
        self._declined_until_seconds: dict[str, float] = {}

    @property
    def available(self) -> bool:
        """Whether another instance may serve requests."""
        now_seconds = self._clock.monotonic_seconds()
        return any(
            not self._has_declined(peer, now_seconds)
            for peer in self._directory.find_forwarding_peers()
        )

    async def forward(self, request: AdmittedRequest) -> SendOutcome:
        """Returns the outcome; it is not run if no instance took the request.

        Raises :class:`RefusedError` if an instance with a path refused the request.
        """
        for peer in self._choose_peers():
            try:
                return await self._forward_to(peer, request)
            except _DeclinedError as error:
                request.record.failures.append(f"{peer.name}:{error}")
                self._declined_until_seconds[peer.name] = (
                    self._clock.monotonic_seconds() + DECLINED_SECONDS
                )
                if self._measure_time_left(request) <= 0.0:
                    break
        return SendOutcome(SendResult.NOT_RUN, "no instance took the request", "")

    def _choose_peers(self) -> list[ForwardingPeer]:
        peers = self._directory.find_forwarding_peers()
        now_seconds = self._clock.monotonic_seconds()
        self._declined_until_seconds = {
            name: until_seconds
            for name, until_seconds in self._declined_until_seconds.items()
            if until_seconds > now_seconds
        }
        shuffled = self._random.sample(peers, len(peers))
        shuffled.sort(
            key=lambda peer: (
                self._has_declined(peer, now_seconds),
                peer.availability_zone != self._own_zone,
            )
        )
        return shuffled[:MAX_ASKED_PEERS]

    def _has_declined(self, peer: ForwardingPeer, now_seconds: float) -> bool:
        return self._declined_until_seconds.get(peer.name, 0.0) > now_seconds

    async def _forward_to(
        self, peer: ForwardingPeer, request: AdmittedRequest
    ) -> SendOutcome:
        stream = await self._offer(peer, request)
        record = request.record
        record.forwarded_to = peer.name
        record.attempts += 1
        time_left_seconds = max(0.0, self._measure_time_left(request))
        try:
            with anyio.fail_after(time_left_seconds):
                await send_frame(stream, encode_time_left(time_left_seconds))
                message = decode_response(await receive_frame(stream))
                if isinstance(message, Refusal):
                    raise _make_error(message)
                response = await self._receive_response(peer, stream, message, request)
        except _STREAM_ERRORS as error:
            await anyio.aclose_forcefully(stream)
            return SendOutcome(SendResult.BROKEN, f"broken: {error!r}", peer.name)
        except TimeoutError:
            await anyio.aclose_forcefully(stream)
            return SendOutcome(SendResult.TIMED_OUT, "timeout", peer.name)
        except BaseException:
            await anyio.aclose_forcefully(stream)
            raise
        record.upstream = message.upstream
        return SendOutcome(
            SendResult.ANSWERED, f"status {response.status}", peer.name, response
        )

    async def _receive_response(
        self,
        peer: ForwardingPeer,
        stream: SocketStream,
        message: ForwardedResponse,
        request: AdmittedRequest,
    ) -> Response:
        if not message.continues:
            await anyio.aclose_forcefully(stream)
            return Response(
                message.status,
                message.headers,
                message.body,
                content_length=len(message.body),
            )
        expect_long_message(stream)
        held = HeldBody(self._account, message.body)

        async def receive_part() -> bytes:
            try:
                return await receive_frame(stream)
            except _STREAM_ERRORS as error:
                raise ConnectionLostError("the forwarded response broke off") from error

        async def close() -> None:
            await held.close()
            await anyio.aclose_forcefully(stream)

        if await held.receive(receive_part):
            await anyio.aclose_forcefully(stream)
            body = held.get_body()
            return Response(
                message.status,
                message.headers,
                body,
                content_length=len(body),
                close=held.close,
            )
        return Response(
            message.status,
            message.headers,
            held.get_body(),
            remaining_body=iterate_until_deadline(
                receive_part, request.deadline_at_seconds, self._clock, peer.address
            ),
            content_length=message.content_length,
            close=close,
        )

    async def _offer(
        self, peer: ForwardingPeer, request: AdmittedRequest
    ) -> SocketStream:
        """Returns a stream to the instance after it has accepted the request.

        Raises :class:`_DeclinedError`.
        """
        stream: SocketStream | None = None
        time_left_seconds = max(0.0, self._measure_time_left(request))
        try:
            with anyio.fail_after(min(ACCEPT_TIMEOUT_SECONDS, time_left_seconds)):
                stream = await open_stream(peer.address, ACCEPT_TIMEOUT_SECONDS)
                await send_frame(stream, encode_head(self._make_head(request)))
                for start in range(0, len(request.body), SENT_PART_BYTES):
                    part = bytes(request.body[start : start + SENT_PART_BYTES])
                    await send_frame(stream, part)
                await send_frame(stream, b"")
                acceptance = decode_acceptance(await receive_frame(stream))
        except (ConnectError, TimeoutError, *_STREAM_ERRORS) as error:
            await _close(stream)
            raise _DeclinedError(f"no answer: {error!r}") from error
        except BaseException:
            await _close(stream)
            raise
        if acceptance.refusal is None:
            return stream
        await _close(stream)
        raise _make_error(acceptance.refusal)

    def _make_head(self, request: AdmittedRequest) -> ForwardedHead:
        organisation = request.organisation
        return ForwardedHead(
            sender=self._own_name,
            request_id=request.head.request_id,
            method=request.method,
            target=request.target,
            headers=request.head.headers,
            has_body=request.has_body,
            version=request.record.version,
            route=request.route.name,
            service=request.service.name,
            kind=request.route.kind,
            objective_seconds=request.route.objective_seconds,
            max_attempts=request.route.max_attempts,
            priority=request.priority,
            organisation=None if organisation is None else organisation.name,
            fingerprint=request.make_fingerprint(self._crashes),
        )

    def _measure_time_left(self, request: AdmittedRequest) -> float:
        return request.deadline_at_seconds - self._clock.monotonic_seconds()


class _DeclinedError(Exception):
    """An instance did not take a request; it does not run it."""


def _make_error(refusal: Refusal) -> Exception:
    if refusal.reason in _DECLINED_FOR_ITSELF:
        return _DeclinedError(refusal.reason.code)
    return RefusedError(refusal)


async def _close(stream: SocketStream | None) -> None:
    if stream is not None:
        await anyio.aclose_forcefully(stream)
