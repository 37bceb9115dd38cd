"""Accepts connections for as long as the process runs."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

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


async def _accept_always() -> None:
    return


async def serve_listener(
    listener: MultiListener[SocketStream],
    handle: Callable[[SocketStream], Coroutine[Any, Any, None]],
    wait_for_room: Callable[[], Awaitable[None]] = _accept_always,
    observe_error: Callable[[], None] = lambda: None,
) -> None:
    """Runs ``handle`` for each connection, until cancelled; survives errors of accept.

    :param wait_for_room: is awaited before each connection is accepted.
    :param observe_error: is called after each error of accept.
    """
    async with listener, anyio.create_task_group() as tasks:
        for part in listener.listeners:
            tasks.start_soon(
                _accept_connections, part, handle, wait_for_room, observe_error
            )


async def _accept_connections(
    listener: anyio.abc.Listener[SocketStream],
    handle: Callable[[SocketStream], Coroutine[Any, Any, None]],
    wait_for_room: Callable[[], Awaitable[None]],
    observe_error: Callable[[], None],
) -> None:
    error_count = 0
    async with anyio.create_task_group() as tasks:
        while True:
            await wait_for_room()
            try:
                stream = await listener.accept()  # type: ignore[attr-defined]
            except OSError as error:
                if error_count % LOGGED_ERROR_INTERVAL == 0:
                    logger.warning("connection not accepted", error=str(error))
                error_count += 1
                observe_error()
                await anyio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            pause_reading(stream)
            tasks.start_soon(handle, stream)
