"""The event loop of an entry instance."""

import asyncio
import selectors

#: Rounds of the loop that may pass without a look at the sockets while callbacks wait.
#: A chain of callbacks is a dozen of them; a socket waits for a fraction of one.
MAX_ROUNDS_WITHOUT_POLL = 8


class SparingSelector(selectors.DefaultSelector):
    """Asks the kernel less often while callbacks are ready.

    asyncio polls before each round of callbacks. A request takes some thirty rounds,
    most of them to resume a task, and on small machines the system calls cost as much
    as the callbacks.
    """

    def __init__(self) -> None:
        super().__init__()
        self._rounds = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets; none if callbacks wait and it polled just now."""
        is_polling = timeout is not None and timeout <= 0
        if is_polling and self._rounds < MAX_ROUNDS_WITHOUT_POLL:
            self._rounds += 1
            return []
        self._rounds = 0
        return super().select(timeout)


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop that polls sparingly."""
    return asyncio.SelectorEventLoop(SparingSelector())
