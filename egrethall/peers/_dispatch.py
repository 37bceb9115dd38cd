"""Dispatches the messages of all links to the handler."""

from collections.abc import Callable, Coroutine
from typing import Any

from egrethall.peers._counters import PeerMeter
from egrethall.peers._drops import DropLog
from egrethall.peers._handler import PeerHandler
from egrethall.peers._link import PeerLink
from egrethall.peers._membership import Membership
from egrethall.peers._pending import PendingRequests
from egrethall.types import (
    Borrow,
    Complete,
    ConfigurationRequest,
    ConfigurationText,
    CrashReport,
    Handover,
    Heartbeat,
    HeartbeatAck,
    Hello,
    HelloProof,
    Loan,
    PeerMessage,
    Release,
    Reserve,
    ReserveReply,
    UpstreamEvent,
)

#: Limit on undecided reservations of one peer; each waits for the copy at a successor.
MAXIMUM_RESERVATIONS_PER_PEER = 256
#: Limit on configuration texts being applied. One takes 1 MiB and tens of milliseconds;
#: a dropped one can be requested again.
MAXIMUM_TEXTS_IN_PROGRESS = 2

#: Starts a task that may outlive the link whose message it handles.
TaskStarter = Callable[
    [Callable[..., Coroutine[Any, Any, None]], PeerLink, PeerMessage], None
]


class MessageDispatcher:
    """The :class:`LinkObserver` of all links of a :class:`PeerService`."""

    def __init__(
        self,
        handler: PeerHandler,
        membership: Membership,
        pending: PendingRequests,
        meter: PeerMeter,
        drops: DropLog,
        start_task: TaskStarter,
    ) -> None:
        self._handler = handler
        self._membership = membership
        self._pending = pending
        self._meter = meter
        self._drops = drops
        self._start_task = start_task
        self._reservations: dict[str, int] = {}
        self._texts_in_progress = 0

    def send_heartbeat(self, link: PeerLink) -> None:
        """Queues the next heartbeat on ``link``."""
        peer = link.peer.instance
        try:
            link.send_message(self._handler.build_heartbeat(peer))
        except Exception as error:
            self._drops.record_handler_error("build-heartbeat", peer.name, error)

    def on_link_opened(self, link: PeerLink) -> None:
        """Records the handshake as contact with the peer and notifies the handler."""
        peer = link.peer.instance
        self._membership.record_contact(peer, link.peer.availability_zone)
        try:
            self._handler.on_peer_connected(peer)
        except Exception as error:
            self._drops.record_handler_error("peer-connected", peer.name, error)

    def on_link_closed(self, link: PeerLink) -> None:
        """Fails the requests that wait for an answer on ``link``."""
        self._pending.fail_link_requests(link)

    def on_peer_lost(self, link: PeerLink, reason: str) -> None:
        """Notifies the handler that the peer is lost."""
        peer = link.peer.instance
        try:
            self._handler.on_peer_lost(peer, reason)
        except Exception as error:
            self._drops.record_handler_error("peer-lost", peer.name, error)

    def receive_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Handles a message, or starts a task if handling it may take long."""
        peer = link.peer.instance
        self._membership.record_contact(peer, link.peer.availability_zone)
        try:
            self._dispatch_message(link, message)
        # An error in the handling of one message must not disconnect the peer, because
        # its heartbeats renew leases that have nothing to do with that message.
        except Exception as error:
            self._drops.record_handler_error(type(message).__name__, peer.name, error)

    def _dispatch_message(self, link: PeerLink, message: PeerMessage) -> None:
        peer = link.peer.instance
        handler = self._handler
        match message:
            case Heartbeat():
                self._membership.record_heartbeat(peer, message)
                link.send_message(handler.on_heartbeat(peer, message))
            case HeartbeatAck():
                self._membership.record_revision(peer, message.revision)
                handler.on_ack(peer, message)
            case Borrow():
                link.send_message(handler.on_borrow(peer, message))
            case Loan() | ReserveReply():
                self._pending.complete_request(link, message)
            case Reserve():
                self._start_reservation(link, message)
            case Release():
                handler.on_release(peer, message)
            case Handover():
                handler.on_handover(peer, message)
            case UpstreamEvent():
                handler.on_upstream_event(peer, message)
            case CrashReport():
                handler.on_crash_report(peer, message)
            case Complete():
                handler.on_complete(peer, message)
            case ConfigurationRequest():
                text = handler.on_configuration_request(peer, message)
                if text is not None:
                    link.send_message(text)
            case ConfigurationText():
                self._start_applying_text(link, message)
            case Hello() | HelloProof():
                link.close("malformed")

    def _start_reservation(self, link: PeerLink, reserve: Reserve) -> None:
        name = link.peer.instance.name
        count = self._reservations.get(name, 0)
        if count >= MAXIMUM_RESERVATIONS_PER_PEER:
            self._meter.count_dropped_message("handler-busy")
            return
        self._reservations[name] = count + 1
        self._start_task(self._answer_reservation, link, reserve)

    async def _answer_reservation(self, link: PeerLink, reserve: Reserve) -> None:
        peer = link.peer.instance
        try:
            link.send_message(await self._handler.on_reserve(peer, reserve))
        except Exception as error:
            self._drops.record_handler_error("Reserve", peer.name, error)
        finally:
            self._reservations[peer.name] -= 1
            if not self._reservations[peer.name]:
                del self._reservations[peer.name]

    def _start_applying_text(self, link: PeerLink, text: ConfigurationText) -> None:
        if self._texts_in_progress >= MAXIMUM_TEXTS_IN_PROGRESS:
            self._meter.count_dropped_message("handler-busy")
            return
        self._texts_in_progress += 1
        self._start_task(self._apply_configuration_text, link, text)

    async def _apply_configuration_text(
        self, link: PeerLink, text: ConfigurationText
    ) -> None:
        peer = link.peer.instance
        try:
            await self._handler.on_configuration_text(peer, text)
        except Exception as error:
            self._drops.record_handler_error("ConfigurationText", peer.name, error)
        finally:
            self._texts_in_progress -= 1
