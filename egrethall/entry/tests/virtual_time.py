"""An event loop whose time passes only while nothing is left to run."""

import asyncio
from datetime import UTC, datetime, timedelta

import anyio

#: Time of day at which the virtual time begins.
START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it.

    The speed and the load of the machine change no result. There must be no sockets or
    threads, since nothing waits for them.
    """

    def __init__(self):
        super().__init__()
        self._virtual_seconds = 0.0

    def time(self):
        return self._virtual_seconds

    def _run_once(self):
        if not self._ready and self._scheduled:
            next_seconds = self._scheduled[0].when()
            self._virtual_seconds = max(self._virtual_seconds, next_seconds)
        super()._run_once()


class LoopClock:
    """Reads the time of the running event loop."""

    def monotonic_seconds(self):
        return asyncio.get_running_loop().time()

    def now(self):
        return START + timedelta(seconds=self.monotonic_seconds())


def run_in_virtual_time(function, *arguments):
    """Runs an asynchronous function to its end and returns its result."""
    return anyio.run(
        function, *arguments, backend_options={"loop_factory": VirtualTimeLoop}
    )
