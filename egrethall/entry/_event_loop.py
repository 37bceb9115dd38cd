"""An asyncio event loop that polls its sockets less often while it is busy."""

import asyncio
import selectors
import socket

from egrethall.http1 import IDLE_READ_BYTES

#: Consecutive loop iterations that may skip polling the sockets while callbacks are
#: ready. A typical chain of callbacks takes a dozen iterations, so a ready socket waits
#: for less than one chain.
MAX_SKIPPED_POLLS = 8


class ReducedPollingSelector(selectors.DefaultSelector):
    """Skips most polls while the event loop has callbacks to run.

    asyncio polls the selector before each iteration. A request takes about thirty
    iterations, most of which only resume a task, and on small machines the system
    calls cost as much as the callbacks.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped_polls = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets, or an empty list if this poll is skipped."""
        is_non_blocking = timeout is not None and timeout <= 0
        if is_non_blocking and self._skipped_polls < MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        return super().select(timeout)


class SmallReadsEventLoop(asyncio.SelectorEventLoop):
    """Reads little from a new connection at once.

    asyncio reads 256 KiB, which a client could make an instance hold on every
    connection. The owner of a connection allows longer reads when it needs them.
    """

    def _make_socket_transport(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> asyncio.Transport:
        transport: asyncio.Transport = super()._make_socket_transport(  # type: ignore[misc]
            sock, *args, **kwargs
        )
        transport.max_size = IDLE_READ_BYTES  # type: ignore[attr-defined]
        return transport


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a loop of small reads with a :class:`ReducedPollingSelector`."""
    return SmallReadsEventLoop(ReducedPollingSelector())
