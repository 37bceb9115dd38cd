"""The interface of the peer protocol for the daemon."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import anyio
import anyio.abc
import structlog

from egrethall.peers._codec import encode_message
from egrethall.peers._connections import PeerConnections
from egrethall.peers._counters import PeerCounters, PeerMeter
from egrethall.peers._dispatch import MessageDispatcher
from egrethall.peers._drops import DropLog
from egrethall.peers._errors import PeerCodecError
from egrethall.peers._handler import PeerHandler
from egrethall.peers._link import PeerLink
from egrethall.peers._membership import Membership
from egrethall.peers._pending import PendingRequests
from egrethall.peers._registry import LinkRegistry
from egrethall.peers._settings import PeerSettings
from egrethall.types import (
    Borrow,
    Clock,
    InstanceId,
    InstanceListing,
    Loan,
    PeerMessage,
    PeerRequester,
    PeerUnavailableError,
    RandomSource,
    Reserve,
    ReserveReply,
)

Answer = TypeVar("Answer", Loan, ReserveReply)


class PeerService(PeerRequester):
    """Connects to all peers and exchanges messages with them.

    :meth:`run` is one task of the daemon; all other methods are called from the same
    event loop.
    """

    def __init__(
        self,
        settings: PeerSettings,
        handler: PeerHandler,
        membership: Membership,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        """Loads the TLS files; does not listen or dial yet.

        :param settings: Own name, addresses and secrets.
        :param handler: Receives the messages.
        :param membership: Records contact with peers and their heartbeats.
        :param clock: Measures silence.
        :param random_source: Randomises the pauses between attempts to connect.
        :raises PeerSettingsError: a TLS file is missing or damaged.
        """
        self._settings = settings
        self._handler = handler
        self._membership = membership
        self._logger = structlog.get_logger("egrethall.peers")
        self._meter = PeerMeter()
        self._registry = LinkRegistry()
        self._pending = PendingRequests(self._meter)
        self._tasks: anyio.abc.TaskGroup | None = None
        drops = DropLog(self._meter, clock)
        self._dispatcher = MessageDispatcher(
            handler, membership, self._pending, self._meter, drops, self._start_task
        )
        self._connections = PeerConnections(
            settings,
            self._dispatcher,
            self._registry,
            clock,
            random_source,
            self._meter,
            drops,
        )

    @property
    def bound_port(self) -> int:
        """The port on which the instance listens; known once :meth:`run` started."""
        return self._connections.bound_port

    @property
    def connected_peers(self) -> tuple[InstanceId, ...]:
        """The runs of peers to which there is a connection."""
        return tuple(link.peer.instance for link in self._registry.list_links())

    @property
    def unauthenticated_connections(self) -> int:
        """Number of accepted connections in their handshake."""
        return self._connections.unauthenticated_connections

    def read_counters(self) -> PeerCounters:
        """Returns the counters of messages, bytes and dropped peers."""
        return self._meter.read_counters()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports that it has started once it listens.

        :raises OSError: the listen address of the settings cannot be bound.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self._connections.run(task_status=task_status)
            finally:
                self._tasks = None

    def update_listing(self, listing: InstanceListing) -> None:
        """Applies the platform's instance list to the dialers and the membership.

        The connection to a peer that is no longer listed is kept while messages arrive.
        """
        self._membership.apply_listing(listing)
        self._connections.update_listing(listing)

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to every peer immediately, in addition to the regular ones.

        This announces a change of held shards without waiting for the next interval.
        """
        for link in self._registry.list_links():
            self._dispatcher.send_heartbeat(link)

    async def flush(self, timeout_seconds: float) -> bool:
        """Waits until all queued messages are sent; used for a planned stop.

        :returns: False if some were not sent within ``timeout_seconds``.
        """
        with anyio.move_on_after(timeout_seconds):
            flushed = [
                await link.wait_flushed() for link in self._registry.list_links()
            ]
            return all(flushed)
        return False

    async def request_loan(
        self, holder: InstanceId, borrow: Borrow, timeout_seconds: float
    ) -> Loan:
        """Sends a :class:`Borrow` and returns its answer.

        A request to this instance itself goes to its own handler.

        :raises PeerUnavailableError: no answer came within ``timeout_seconds``.
        """
        if holder == self._settings.instance:
            return self._handler.on_borrow(holder, borrow)
        return await self._request(holder, borrow, Loan, timeout_seconds)

    async def request_reservation(
        self, holder: InstanceId, reserve: Reserve, timeout_seconds: float
    ) -> ReserveReply:
        """Sends a :class:`Reserve` and returns its answer.

        A request to this instance itself goes to its own handler.

        :raises PeerUnavailableError: no answer came within ``timeout_seconds``.
        """
        if holder == self._settings.instance:
            return await self._handler.on_reserve(holder, reserve)
        return await self._request(holder, reserve, ReserveReply, timeout_seconds)

    def send_notice(self, receiver: InstanceId, message: PeerMessage) -> None:
        """Queues a message to one peer; it is dropped if the peer is not connected."""
        link = self._registry.find_link(receiver)
        if link is None:
            self._meter.count_dropped_message("not-connected")
            return
        try:
            link.send_message(message)
        except PeerCodecError as error:
            self._record_codec_error(message, error)

    def broadcast_notice(self, message: PeerMessage) -> None:
        """Queues a message, encoded once, to every connected peer."""
        try:
            payload = encode_message(message)
        except PeerCodecError as error:
            self._record_codec_error(message, error)
            return
        for link in self._registry.list_links():
            link.send_payload(type(message).__name__, payload)

    def _record_codec_error(self, message: PeerMessage, error: PeerCodecError) -> None:
        self._meter.count_dropped_message("not-encodable")
        self._logger.error(
            "peer-message-not-encodable", kind=type(message).__name__, detail=str(error)
        )

    async def _request(
        self,
        holder: InstanceId,
        message: Borrow | Reserve,
        answer_type: type[Answer],
        timeout_seconds: float,
    ) -> Answer:
        link = self._registry.find_link(holder)
        if link is None:
            raise PeerUnavailableError(f"peer {holder.name!r} is not connected")
        return await self._pending.request(link, message, answer_type, timeout_seconds)

    def _start_task(
        self,
        function: Callable[..., Coroutine[Any, Any, None]],
        link: PeerLink,
        message: PeerMessage,
    ) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, link, message)
