"""Finds callers that go away while their calls run."""

import asyncio
from typing import Protocol

#: Age at which a call gets a task that waits for its caller to go away. Most calls
#: have ended by then. A cancelled call is noticed at most twice this time late, which
#: matters only for calls that take longer anyway.
WATCH_AFTER_SECONDS = 0.025


class WatchedCall(Protocol):
    """A call whose caller may go away."""

    async def watch(self) -> None:
        """Waits until the caller goes away and then cancels the call."""
        ...


class CallerWatch:
    """Starts the tasks that wait for callers to go away, only for calls that last.

    A task and a task group for each call took a tenth of its processor time, and nine
    calls in ten ended before their callers could have gone.
    """

    def __init__(self) -> None:
        #: Calls without a task and the times at which they began, oldest first.
        self._young: dict[WatchedCall, float] = {}
        self._tasks: dict[WatchedCall, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, call: WatchedCall, at_once: bool) -> None:
        """Watches a call from now on.

        :param at_once: Starts its task now.
        """
        if at_once:
            self._start(call)
            return
        loop = asyncio.get_running_loop()
        self._young[call] = loop.time()
        if self._timer is None:
            self._timer = loop.call_later(WATCH_AFTER_SECONDS, self._sweep)

    async def end(self, call: WatchedCall) -> None:
        """Ends the watch of a call; raises what its task has raised."""
        if self._young.pop(call, None) is not None:
            return
        task = self._tasks.pop(call)
        task.cancel()
        await asyncio.wait({task})
        if not task.cancelled():
            task.result()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.time() - WATCH_AFTER_SECONDS
        old = [call for call, began in self._young.items() if began <= limit]
        for call in old:
            del self._young[call]
            self._start(call)
        self._timer = None
        if self._young:
            self._timer = loop.call_later(WATCH_AFTER_SECONDS, self._sweep)

    def _start(self, call: WatchedCall) -> None:
        self._tasks[call] = asyncio.create_task(call.watch())
