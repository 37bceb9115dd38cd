"""Opens, accepts and replaces the links of an instance."""

from typing import Protocol

import anyio
import anyio.abc
import structlog
from anyio.abc import SocketAttribute

from egrethall.peers._connect import PeerConnection, PeerConnector
from egrethall.peers._counters import PeerMeter
from egrethall.peers._dialer import PeerDialer
from egrethall.peers._drops import DropLog
from egrethall.peers._errors import PeerError, PeerHandshakeError
from egrethall.peers._handshake import may_dial
from egrethall.peers._link import LinkReceiver, PeerLink
from egrethall.peers._registry import LinkRegistry
from egrethall.peers._settings import PeerSettings
from egrethall.types import Clock, InstanceListing, RandomSource

#: Limit on accepted connections that have not been authenticated yet.
MAXIMUM_UNAUTHENTICATED_CONNECTIONS = 64
#: Pause after accepting failed, for example for lack of file descriptors.
ACCEPT_RETRY_SECONDS = 0.2


class LinkObserver(LinkReceiver, Protocol):
    """The :class:`LinkReceiver` of all links, notified when they open and close."""

    def on_link_opened(self, link: PeerLink) -> None:
        """Called after the handshake, before the first message."""
        ...

    def on_link_closed(self, link: PeerLink) -> None:
        """Called when ``link`` can deliver no more messages."""
        ...

    def on_peer_lost(self, link: PeerLink, reason: str) -> None:
        """Called when ``link`` has ended and no other link to this run is open."""
        ...


class PeerConnections:
    """The listener, the dialers and the links of one instance."""

    def __init__(
        self,
        settings: PeerSettings,
        observer: LinkObserver,
        registry: LinkRegistry,
        clock: Clock,
        random_source: RandomSource,
        meter: PeerMeter,
        drops: DropLog,
    ) -> None:
        """Loads the TLS files; does not listen or dial yet.

        :raises PeerSettingsError: a TLS file is missing or damaged.
        """
        self._settings = settings
        self._observer = observer
        self._registry = registry
        self._clock = clock
        self._random_source = random_source
        self._meter = meter
        self._drops = drops
        self._logger = structlog.get_logger("egrethall.peers")
        self._connector = PeerConnector(settings)
        self._dialers: dict[str, PeerDialer] = {}
        self._listing: InstanceListing | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._unauthenticated_count = 0
        self._bound_port: int | None = None

    @property
    def bound_port(self) -> int:
        """The port on which the instance listens."""
        if self._bound_port is None:
            raise PeerError("the peer service does not listen yet")
        return self._bound_port

    @property
    def unauthenticated_connections(self) -> int:
        """Number of accepted connections in their handshake."""
        return self._unauthenticated_count

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports that it has started once it listens.

        :raises OSError: the listen address of the settings cannot be bound.
        """
        listener = await anyio.create_tcp_listener(
            local_host=self._settings.listen_host,
            local_port=self._settings.listen_port,
            backlog=MAXIMUM_UNAUTHENTICATED_CONNECTIONS,
        )
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._bound_port = listener.extra(SocketAttribute.local_port)
            if self._listing is not None:
                self._start_dialers(self._listing)
            task_status.started()
            try:
                await self._accept_connections(listener, tasks)
            finally:
                self._tasks = None

    def update_listing(self, listing: InstanceListing) -> None:
        """Starts, moves and stops dialers to match the platform's instance list."""
        self._listing = listing
        if self._tasks is not None:
            self._start_dialers(listing)

    def _start_dialers(self, listing: InstanceListing) -> None:
        own_name = self._settings.instance.name
        addresses = {
            item.name: item.peer_address
            for item in listing.instances
            if may_dial(own_name, item.name)
        }
        for name, dialer in self._dialers.items():
            if dialer.set_address(addresses.get(name)):
                self._close_link(name, "address-changed")
        for name, address in addresses.items():
            if name not in self._dialers:
                self._start_dialer(name, address)

    def _start_dialer(self, name: str, address: str) -> None:
        if self._tasks is None:
            return
        dialer = PeerDialer(
            name,
            self._connector,
            self._serve_connection,
            self._clock,
            self._random_source,
            self._drops,
        )
        dialer.set_address(address)
        self._dialers[name] = dialer
        self._tasks.start_soon(self._run_dialer, name, dialer)

    async def _run_dialer(self, name: str, dialer: PeerDialer) -> None:
        await dialer.run()
        del self._dialers[name]

    def _close_link(self, name: str, reason: str) -> None:
        link = self._registry.find_link_by_name(name)
        if link is not None:
            link.close(reason)

    async def _accept_connections(
        self,
        listener: anyio.abc.Listener[anyio.abc.SocketStream],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        while True:
            try:
                await listener.serve(self._accept_connection, tasks)
            except OSError as error:
                self._drops.record_dropped_peer("accept-failed", "", str(error))
                await anyio.sleep(ACCEPT_RETRY_SECONDS)

    async def _accept_connection(self, stream: anyio.abc.SocketStream) -> None:
        try:
            await self._authenticate_and_serve(stream)
        # An unexpected error on one connection must not close the others: they share
        # the task group of the whole service.
        except Exception as error:
            self._drops.record_dropped_peer("internal-error", "", repr(error))

    async def _authenticate_and_serve(self, stream: anyio.abc.SocketStream) -> None:
        if self._unauthenticated_count >= MAXIMUM_UNAUTHENTICATED_CONNECTIONS:
            self._drops.record_dropped_peer("too-many-unauthenticated", "")
            await anyio.aclose_forcefully(stream)
            return
        # The address can only be read while the socket is open.
        remote = _describe_remote(stream)
        self._unauthenticated_count += 1
        try:
            connection = await self._connector.accept_connection(stream)
        except PeerHandshakeError as error:
            self._drops.record_dropped_peer(error.reason, remote, str(error))
            return
        finally:
            self._unauthenticated_count -= 1
        await self._serve_connection(connection)

    async def _serve_connection(self, connection: PeerConnection) -> None:
        link = PeerLink(
            connection.stream,
            connection.reader,
            connection.peer,
            self._observer,
            self._clock,
            self._meter,
            initiates_heartbeats=may_dial(
                self._settings.instance.name, connection.peer.instance.name
            ),
        )
        peer = link.peer.instance
        try:
            replaced = self._registry.install_link(link)
        except PeerHandshakeError as error:
            self._drops.record_dropped_peer(error.reason, peer.name, str(error))
            await anyio.aclose_forcefully(connection.stream)
            return
        self._meter.count_opened_link()
        if replaced is not None and replaced.peer.instance != peer:
            self._observer.on_peer_lost(replaced, "replaced")
        self._observer.on_link_opened(link)
        self._logger.info(
            "peer-connected", peer=peer.name, incarnation=f"{peer.incarnation:x}"
        )
        try:
            await link.run()
        finally:
            self._report_closed(link)

    def _report_closed(self, link: PeerLink) -> None:
        reason = link.close_reason or "stopped"
        is_last = self._registry.remove_link(link)
        self._observer.on_link_closed(link)
        # When the service stops, all links end, but no peer counts as lost.
        if self._tasks is None:
            return
        self._drops.record_dropped_peer(reason, link.peer.instance.name)
        if is_last:
            self._observer.on_peer_lost(link, reason)


def _describe_remote(stream: anyio.abc.SocketStream) -> str:
    try:
        return str(stream.extra(SocketAttribute.remote_address, ""))
    # The other side may have reset the connection already; the exception then depends
    # on the library.
    except (OSError, AttributeError, anyio.ClosedResourceError):
        return ""
