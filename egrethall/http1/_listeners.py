"""Accepts connections for as long as the process runs."""

from __future__ import annotations

import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

from egrethall.http1._sockets import IDLE_RECEIVE_BUFFER_BYTES, pause_reading

#: Pause after an error of ``accept``, such as EMFILE, which lasts until a descriptor is
#: closed.
ACCEPT_PAUSE_SECONDS = 0.05

#: Errors of ``accept`` between two log lines about them, about one second.
LOGGED_ERROR_INTERVAL = 20

SlotT = TypeVar("SlotT")

logger = structlog.get_logger(__name__)


async def open_client_listener(
    host: str, port: int, backlog: int
) -> MultiListener[SocketStream]:
    """Returns a listener whose connections hold few unread bytes in the kernel."""
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port, backlog=backlog
    )
    for part in listener.listeners:
        raw_socket = part.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, IDLE_RECEIVE_BUFFER_BYTES
        )
    return listener


class ConnectionLimits(Protocol[SlotT]):
    """Bounds the connections of one listener; ``SlotT`` stands for one of them."""

    async def wait_for_room(self) -> None:
        """Waits until another connection may be accepted."""
        ...

    def observe_accept_error(self) -> None:
        """Records that accepting a connection failed."""
        ...

    def open_slot(self, scope: anyio.CancelScope) -> SlotT:
        """Returns the slot of a new connection; ``scope`` ends it."""
        ...

    def close_slot(self, slot: SlotT) -> None:
        """Removes a connection that has ended."""
        ...


#: Serves one connection until it ends.
ConnectionHandler = Callable[[SocketStream, SlotT], Coroutine[Any, Any, None]]


async def serve_listener(
    listener: MultiListener[SocketStream],
    handle: ConnectionHandler[SlotT],
    limits: ConnectionLimits[SlotT],
) -> None:
    """Runs ``handle`` for each connection, until cancelled; survives errors of accept.

    ``handle`` closes the connection.
    """

    async def serve(stream: SocketStream) -> None:
        with anyio.CancelScope() as scope:
            slot = limits.open_slot(scope)
            try:
                await handle(stream, slot)
            finally:
                limits.close_slot(slot)

    async with listener, anyio.create_task_group() as tasks:
        for part in listener.listeners:
            tasks.start_soon(_accept_connections, part, serve, limits)


async def _accept_connections(
    listener: anyio.abc.Listener[SocketStream],
    serve: Callable[[SocketStream], Coroutine[Any, Any, None]],
    limits: ConnectionLimits[SlotT],
) -> None:
    error_count = 0
    async with anyio.create_task_group() as tasks:
        while True:
            await limits.wait_for_room()
            try:
                stream = await listener.accept()  # type: ignore[attr-defined]
            except OSError as error:
                if error_count % LOGGED_ERROR_INTERVAL == 0:
                    logger.warning("connection not accepted", error=str(error))
                error_count += 1
                limits.observe_accept_error()
                await anyio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            pause_reading(stream)
            tasks.start_soon(serve, stream)
