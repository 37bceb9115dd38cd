"""The beginning of a response's body, which is held until the caller takes it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import structlog

from egrethall.entry._memory_account import MemoryAccount
from egrethall.http1 import BodyBuffer, ConnectionLostError
from egrethall.types import Clock

#: Responses up to this length are received completely before the caller gets any part
#: of them, so that the request can be retried if the connection is lost.
MAX_BUFFERED_BYTES = 1024 * 1024

#: Part of a response that the memory of its request covers; see
#: :data:`egrethall.entry._caller_connection.REQUEST_BYTES`.
UNRESERVED_BYTES = 64 * 1024

#: Returns the next part of a body, or empty bytes at its end.
PartReader = Callable[[], Awaitable[bytes]]

logger = structlog.get_logger(__name__)


class HeldBody:
    """The beginning of a body, with the memory reserved for it."""

    def __init__(self, account: MemoryAccount, beginning: bytes = b"") -> None:
        """:param beginning: a part that was received before, small as a rule."""
        self._account = account
        self._lease = account.open_lease()
        self._buffer = BodyBuffer()
        if beginning:
            self._buffer.append(beginning)

    @property
    def holds_lease(self) -> bool:
        """Whether memory was reserved, which :meth:`close` returns."""
        return self._lease.held_bytes > 0

    def get_body(self) -> bytes | memoryview:
        """Returns what was received, without a copy unless it is small."""
        return self._buffer.get_body()

    async def receive(self, receive_part: PartReader) -> bool:
        """Reads until the body ends, its limit is reached or memory is short.

        Returns whether the body is complete. Memory that is not granted does not end
        the request, which the upstream runs: the rest is passed on piece by piece. The
        memory is freed if receiving fails.
        """
        try:
            return await self._receive(receive_part)
        except BaseException:
            self._free()
            raise

    async def close(self) -> None:
        """Frees the memory."""
        self._free()

    async def _receive(self, receive_part: PartReader) -> bool:
        while self._buffer.size_bytes < MAX_BUFFERED_BYTES:
            size_bytes = self._buffer.size_bytes
            if size_bytes >= UNRESERVED_BYTES and not self._lease.try_grow(
                size_bytes + UNRESERVED_BYTES
            ):
                self._account.declined_count += 1
                return False
            part = await receive_part()
            if not part:
                return True
            self._buffer.append(part)
        return False

    def _free(self) -> None:
        self._buffer.close()
        self._lease.release()


async def iterate_until_deadline(
    receive_part: PartReader, deadline_at_seconds: float, clock: Clock, address: str
) -> AsyncIterator[bytes]:
    """Yields the rest of a body; raises :class:`ConnectionLostError` if it is late.

    A faulty sender may send bytes without end, which a caller that no longer waits for
    its response may go on reading.

    :param address: where the body comes from, for the error.
    """
    while True:
        remaining_seconds = deadline_at_seconds - clock.monotonic_seconds()
        try:
            # The deadline may have passed while the caller took the last part.
            with anyio.fail_after(max(0.0, remaining_seconds)):
                part = await receive_part()
        except TimeoutError as error:
            logger.info("response cut at its deadline", address=address)
            raise ConnectionLostError(
                f"{address}: the body did not end before the deadline"
            ) from error
        if not part:
            return
        yield part
