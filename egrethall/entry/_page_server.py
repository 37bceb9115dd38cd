"""A minimal HTTP server for the readiness and metrics pages."""

from collections.abc import Callable, Mapping

import anyio
import structlog
from anyio.abc import SocketStream

from egrethall.configuration import split_address
from egrethall.entry._connection_limiter import (
    ClientSlot,
    ConnectionLimiter,
    ConnectionPhase,
)
from egrethall.http1 import (
    ConnectionLostError,
    RequestRejectedError,
    ServerConnection,
    open_client_listener,
    serve_listener,
)
from egrethall.types import Clock

#: Limit of the headers of a request, and of its body.
MAX_HEAD_BYTES = 4096

#: Time after which a connection is closed, idle or not.
MAX_CONNECTION_SECONDS = 10.0

#: Maximum number of connections that the kernel queues before they are accepted.
LISTEN_BACKLOG = 64

#: Returns the status, content type and body of a page.
PageRenderer = Callable[[], tuple[int, bytes, bytes]]

logger = structlog.get_logger(__name__)


async def serve_pages(
    address: str,
    pages: Mapping[bytes, PageRenderer],
    limits: ConnectionLimiter,
    clock: Clock,
) -> None:
    """Serves ``pages``, a mapping from path to renderer, until cancelled."""
    host, port = split_address(address)
    listener = await open_client_listener(host, port, LISTEN_BACKLOG)

    async def serve(stream: SocketStream, slot: ClientSlot) -> None:
        connection = ServerConnection(stream, MAX_HEAD_BYTES, clock, slot.observe_bytes)
        try:
            with anyio.move_on_after(MAX_CONNECTION_SECONDS):
                while await connection.wait_for_request():
                    slot.enter(ConnectionPhase.HEAD)
                    await _respond(connection, pages, slot)
                    if not connection.reusable:
                        break
                    slot.enter(ConnectionPhase.IDLE)
        except (ConnectionLostError, RequestRejectedError) as error:
            logger.debug("page not served", address=address, error=str(error))
        finally:
            await connection.close()

    await serve_listener(listener, serve, limits)


async def _respond(
    connection: ServerConnection, pages: Mapping[bytes, PageRenderer], slot: ClientSlot
) -> None:
    head = await connection.receive_head()
    await connection.receive_body(MAX_HEAD_BYTES)
    render_page = pages.get(head.target.split(b"?", 1)[0])
    if render_page is None:
        status, content_type, body = 404, b"text/plain", b"no such page\n"
    else:
        status, content_type, body = render_page()
    headers = (
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode("ascii")),
    )
    slot.enter(ConnectionPhase.SENDING)
    await connection.send_response(status, headers, body)
