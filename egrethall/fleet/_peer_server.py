"""Accepts streams from other instances: requests for records, forwarded requests."""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, Protocol, TypeVar

import anyio
import msgpack
import structlog
from anyio.abc import SocketStream

from egrethall.configuration import split_address
from egrethall.fleet._frames import receive_exactly, receive_length, send_frame
from egrethall.fleet._record_exchange import EXCHANGE_TIMEOUT_SECONDS, encode_records
from egrethall.http1 import (
    IDLE_READ_BYTES,
    ConnectionLimits,
    expect_long_message,
    open_client_listener,
    serve_listener,
)
from egrethall.records import RecordCache

#: Handles a forwarded request, of which the first message was read.
ForwardedRequestHandler = Callable[[SocketStream, Any], Awaitable[None]]

#: Limit for the first message of a stream. The headers of a forwarded request are its
#: largest part, which the limit of callers' headers bounds.
MAX_FIRST_MESSAGE_BYTES = 1024 * 1024

#: Memory of a first message while it is received and decoded, relative to its length.
DECODING_FACTOR = 3

#: Maximum number of streams that the kernel queues before they are accepted.
LISTEN_BACKLOG = 512


class PeerStreamSlot(Protocol):
    """One stream, as its limits see it."""

    async def reserve(self, size_bytes: int) -> None:
        """Waits for memory; raises an error if it is not granted in time."""
        ...

    def begin_serving(self) -> None:
        """Returns the memory, and keeps the stream from being closed for others."""
        ...


SlotT = TypeVar("SlotT", bound=PeerStreamSlot)

logger = structlog.get_logger(__name__)


class PeerServer(Generic[SlotT]):
    """Serves the instances that lack records or forward requests.

    The first message of a stream is a revision, after which records are wanted, or the
    head of a forwarded request.
    """

    def __init__(
        self,
        address: str,
        cache: RecordCache,
        handle_forwarded: ForwardedRequestHandler,
        limits: ConnectionLimits[SlotT],
    ) -> None:
        self._address = address
        self._cache = cache
        self._handle_forwarded = handle_forwarded
        self._limits = limits

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = split_address(self._address)
        listener = await open_client_listener(host, port, LISTEN_BACKLOG)
        await serve_listener(listener, self._handle, self._limits)

    async def _handle(self, stream: SocketStream, slot: SlotT) -> None:
        async with stream:
            try:
                with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
                    message = await _receive_first_message(stream, slot)
                    slot.begin_serving()
                    if isinstance(message, int):
                        batch = self._cache.find_changes(message)
                        await send_frame(stream, encode_records(batch))
                        return
                await self._handle_forwarded(stream, message)
            except Exception as error:
                # A malformed request of one instance must not stop the server.
                logger.info("peer request not answered", error=repr(error))


async def _receive_first_message(stream: SocketStream, slot: PeerStreamSlot) -> Any:  # noqa: ANN401
    """Returns the decoded message, for whose memory it waits before it reads it."""
    length = await receive_length(stream, MAX_FIRST_MESSAGE_BYTES)
    await slot.reserve(DECODING_FACTOR * length)
    if length > IDLE_READ_BYTES:
        expect_long_message(stream)
    return msgpack.unpackb(await receive_exactly(stream, length))
