"""The callers of the speed measurement, as a process of their own.

Reads a JSON object with the fields of :class:`CallerPlan` from standard input, makes
the calls over keep-alive connections and prints a JSON object with the figures.
"""

import asyncio
import json
import random
import selectors
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import cast

#: Calls on each connection that are not counted; they open the connections.
WARM_UP_CALLS = 5

#: Connections that an open loop opens at most; beyond them calls wait.
MAX_OPEN_LOOP_CONNECTIONS = 128

ANSWER_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class CallerPlan:
    """What one caller process does."""

    #: Loopback ports, used in turn.
    ports: tuple[int, ...]
    path: str
    key: str
    seconds: float
    #: Connections of a closed loop; those that an open loop has at the start.
    connections: int
    #: Calls per second of an open loop, 0 for a closed loop.
    rate_per_second: float
    seed: int


@dataclass(frozen=True)
class CallerFigures:
    """What one caller process saw."""

    calls: int
    failed: int
    seconds: float
    p50_ms: float
    p99_ms: float


class _Connection(asyncio.Protocol):
    """One keep-alive connection that carries one call at a time."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self._received = b""
        self._answered: asyncio.Future[bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    async def call(self) -> bool:
        """Makes one call and returns whether it was answered with status 200."""
        self._received = b""
        self._answered = asyncio.get_running_loop().create_future()
        self._transport.write(self._request)
        return await self._answered

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator or self._answered is None or self._answered.done():
            return
        _, length_mark, rest = head.lower().partition(b"content-length:")
        if length_mark:
            whole = len(body) >= int(rest.partition(b"\r\n")[0])
        else:
            whole = body.endswith(b"0\r\n\r\n")
        if whole:
            self._answered.set_result(head.startswith(b"HTTP/1.1 200"))

    def connection_lost(self, error: Exception | None) -> None:
        if self._answered is not None and not self._answered.done():
            self._answered.set_result(False)

    def close(self) -> None:
        """Closes the connection."""
        self._transport.close()


class _Callers:
    """The connections and results of one plan."""

    def __init__(self, plan: CallerPlan) -> None:
        self._plan = plan
        self._latencies: list[float] = []
        self._failed = 0
        self._opened = 0
        self._idle: deque[_Connection] = deque()
        self._waiting: deque[float] = deque()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> CallerFigures:
        """Makes the calls of the plan."""
        connections = [await self._open() for _ in range(self._plan.connections)]
        for connection in connections:
            for _ in range(WARM_UP_CALLS):
                await connection.call()
        began = time.perf_counter()
        async with asyncio.timeout(self._plan.seconds + ANSWER_TIMEOUT_SECONDS):
            if self._plan.rate_per_second:
                self._idle.extend(connections)
                await self._run_open_loop(began)
            else:
                end = began + self._plan.seconds
                await asyncio.gather(*(self._repeat(one, end) for one in connections))
        seconds = time.perf_counter() - began
        for connection in connections:
            connection.close()
        self._latencies.sort()
        count = len(self._latencies)
        if not count:
            return CallerFigures(0, self._failed, seconds, 0.0, 0.0)
        return CallerFigures(
            count,
            self._failed,
            seconds,
            self._latencies[count // 2] * 1e3,
            self._latencies[int(0.99 * (count - 1))] * 1e3,
        )

    async def _open(self) -> _Connection:
        port = self._plan.ports[self._opened % len(self._plan.ports)]
        self._opened += 1
        request = (
            f"GET {self._plan.path} HTTP/1.1\r\nhost: 127.0.0.1:{port}\r\n"
            f"accept: application/json\r\nuser-agent: measure\r\n"
            f"authorization: Bearer {self._plan.key}\r\n\r\n"
        ).encode()
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: _Connection(request), "127.0.0.1", port
        )
        return connection

    async def _repeat(self, connection: _Connection, end: float) -> None:
        while (began := time.perf_counter()) < end:
            self._record(await connection.call(), began)

    async def _run_open_loop(self, began: float) -> None:
        source = random.Random(self._plan.seed)
        at = began
        while True:
            at += source.expovariate(self._plan.rate_per_second)
            if at >= began + self._plan.seconds:
                break
            delay = at - time.perf_counter()
            if delay > 0:
                await asyncio.sleep(delay)
            self._start(at)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _start(self, intended: float) -> None:
        if not self._idle and self._opened >= MAX_OPEN_LOOP_CONNECTIONS:
            self._waiting.append(intended)
            return
        connection = self._idle.popleft() if self._idle else None
        task = asyncio.create_task(self._call_once(connection, intended))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_once(self, connection: _Connection | None, intended: float) -> None:
        connection = connection or await self._open()
        self._record(await connection.call(), intended)
        while self._waiting:
            intended = self._waiting.popleft()
            self._record(await connection.call(), intended)
        self._idle.append(connection)

    def _record(self, answered: bool, since: float) -> None:
        if answered:
            self._latencies.append(time.perf_counter() - since)
        else:
            self._failed += 1


def main() -> int:
    """Runs the plan on standard input and returns the exit status."""
    fields = json.load(sys.stdin)
    plan = CallerPlan(**{**fields, "ports": tuple(fields["ports"])})
    # Unlike epoll, select waits with a resolution below 1 ms.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        print(json.dumps(asdict(runner.run(_Callers(plan).run()))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
