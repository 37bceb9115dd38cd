"""Runs hypercorn's connections behind sockets that are read in bounded pieces.

Hypercorn 0.18's own ``serve`` uses the streams of ``asyncio``, which take up to 256 KiB
from the kernel at once and hold up to 384 KiB of a stalled upload. Its object for one
connection is used here with a reader that holds little.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

import structlog
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import (
    AppWrapper,
    ASGIFramework,
    ASGIReceiveCallable,
    ASGISendCallable,
    Scope,
)
from hypercorn.utils import wrap_app

from egrethall.ingress._connection_registry import CallerSlot, ConnectionRegistry

_logger = structlog.get_logger("egrethall.ingress")

#: Bytes that are taken from the kernel and parsed at once. Between socket and
#: application, a stalled upload is held in about six pieces of this size.
READ_BYTES = 16 * 1024


class _PieceReader(asyncio.StreamReader):
    """Returns bytes in pieces that are small whatever size the server asks for."""

    def __init__(self) -> None:
        # The transport pauses at twice the limit, that is after two pieces at most.
        super().__init__(limit=READ_BYTES // 2)

    async def read(self, n: int = -1) -> bytes:
        """Returns at most :data:`READ_BYTES`, and nothing at the end."""
        return await super().read(READ_BYTES if n < 0 else min(n, READ_BYTES))


class _PieceProtocol(asyncio.BufferedProtocol):
    """Feeds a stream reader through one small buffer.

    ``uvloop`` reads 250 KiB at once for a protocol that derives from the streams' own,
    which is therefore a part of this one and not its base.
    """

    def __init__(
        self,
        connected: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self._streams = asyncio.StreamReaderProtocol(_PieceReader(), connected)
        self._received = bytearray(READ_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection's task."""
        self._streams.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends reader and writer."""
        self._streams.connection_lost(exc)

    def pause_writing(self) -> None:
        """Has the writer wait for the caller."""
        self._streams.pause_writing()

    def resume_writing(self) -> None:
        """Lets the writer go on."""
        self._streams.resume_writing()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns where the transport puts the next bytes."""
        return self._received

    def buffer_updated(self, nbytes: int) -> None:
        """Passes received bytes on to the reader."""
        self._streams.data_received(bytes(memoryview(self._received)[:nbytes]))

    def eof_received(self) -> bool | None:
        """Tells the reader that the caller sends no more."""
        return self._streams.eof_received()


class _CountedApplication:
    """Tells the slot of a connection which requests are handled."""

    def __init__(self, application: AppWrapper, slot: CallerSlot) -> None:
        self._application = application
        self._slot = slot

    async def __call__(
        self,
        scope: Scope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
        sync_spawn: Callable[..., Any],
        call_soon: Callable[..., Any],
    ) -> None:
        """Handles one request."""
        self._slot.begin_request()
        try:
            await self._application(scope, receive, send, sync_spawn, call_soon)
        finally:
            self._slot.end_request()


async def serve_connections(
    application: ASGIFramework,
    config: Config,
    listener: socket.socket,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serves connections until ``wait_for_stop`` returns.

    What runs then has ``config.graceful_timeout`` to end. Closes ``listener``.
    """
    loop = asyncio.get_running_loop()
    context = WorkerContext(None)
    wrapped = wrap_app(application, config.wsgi_max_body_size, "asgi")
    connections: set[asyncio.Task[None]] = set()
    registry = ConnectionRegistry()

    async def run_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = cast("asyncio.Task[None]", asyncio.current_task())
        connections.add(task)
        task.add_done_callback(connections.discard)

        def close() -> None:
            writer.transport.abort()
            task.cancel()

        slot = registry.open_slot(close)
        if slot is None:
            writer.transport.abort()
            return
        counted = _CountedApplication(wrapped, slot)
        try:
            await TCPServer(counted, loop, config, context, {}, reader, writer)
        except OSError as error:
            # Hypercorn itself reports an error while it closes only by raising it.
            _logger.debug("caller_connection_lost", error=str(error))
        finally:
            registry.close_slot(slot)

    server = await loop.create_server(
        lambda: _PieceProtocol(run_connection),
        sock=listener,
        backlog=config.backlog,
        ssl=config.create_ssl_context() if config.ssl_enabled else None,
        ssl_handshake_timeout=(
            config.ssl_handshake_timeout if config.ssl_enabled else None
        ),
    )
    try:
        await wait_for_stop()
    finally:
        await context.terminated.set()
        server.close()
        await _end(connections, config.graceful_timeout)


async def _end(connections: set[asyncio.Task[None]], grace_seconds: float) -> None:
    """Waits for connections and cancels those that do not end."""
    if connections:
        await asyncio.wait(connections, timeout=grace_seconds)
    left = tuple(connections)
    for task in left:
        task.cancel()
    await asyncio.gather(*left, return_exceptions=True)
