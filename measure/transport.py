"""Compares the transports to upstreams: ``python -m measure.transport``.

One process calls an upstream stand-in in a second process over loopback. The sides
are the connections of httpx-aiohttp and of httpx itself behind the same class, each
on ``uvloop`` and on the plain loop of ``asyncio``. They take turns, in an order that
is reversed in every other run, so that noise of the machine meets all of them.
Reported are the calls per second at a fixed concurrency, the processor time of a
call, and ratios of the medians with the spread over the runs.
"""

import argparse
import asyncio
import statistics
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import cast

import anyio

from egrethall.forwarding.transport import (
    ConnectionFactory,
    HttpxUpstreamTransport,
    open_aiohttp_connection,
    open_default_connection,
)
from egrethall.types import (
    CallRequest,
    Organisation,
    Route,
    Service,
    SystemClock,
    Upstream,
)

#: Calls at the start of a side that are not counted; they open the connections.
WARM_UP_CALLS = 200

TIMEOUT_SECONDS = 10.0
BODY = b"x" * 1024
RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"load-report: in_flight=3;slots=6;state=warm;start_id=ab12\r\n"
    b"content-length: %d\r\n\r\n" % len(BODY)
) + BODY

FACTORIES: dict[str, ConnectionFactory] = {
    "httpx-aiohttp": open_aiohttp_connection,
    "httpx": open_default_connection,
}
LOOPS = {"uvloop": True, "asyncio": False}


class _EmptyBody:
    """The body of a request that has none."""

    prefix = b""
    complete = True

    async def stream(self) -> AsyncIterator[bytes]:
        return
        yield b""


@dataclass(frozen=True)
class _Side:
    """One transport on one event loop."""

    connection: str
    loop: str


@dataclass(frozen=True)
class _Result:
    """What one run of one side took."""

    calls_per_second: float
    processor_us_per_call: float
    p50_ms: float
    p99_ms: float


class _StandInProtocol(asyncio.Protocol):
    """Answers each request head with a fixed response."""

    def __init__(self) -> None:
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._received += data
        while True:
            _, separator, rest = self._received.partition(b"\r\n\r\n")
            if not separator:
                return
            self._received = rest
            self._transport.write(RESPONSE)


async def _serve_stand_in() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_StandInProtocol, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    # Ends with the measurement, whose end closes the pipe.
    await anyio.to_thread.run_sync(sys.stdin.read)
    server.close()


def _build_request(clock: SystemClock) -> CallRequest:
    route = Route("/", frozenset({"GET"}), frozenset({"GET"}))
    return CallRequest(
        request_id="00000000-0000-4000-8000-000000000000",
        organisation=Organisation("atlas", "large"),
        service=Service("lookup", 2000, 1 << 20, 100, (route,), ()),
        route=route,
        method="GET",
        target=b"/lookup/receipts?year=2026&number=4711",
        headers=(
            (b"host", b"receipts.example"),
            (b"accept", b"application/json"),
            (b"user-agent", b"measure"),
        ),
        content_length=0,
        body=_EmptyBody(),
        deadline_at_seconds=clock.monotonic_seconds() + TIMEOUT_SECONDS,
        idempotent=True,
    )


async def _call_once(
    transport: HttpxUpstreamTransport, upstream: Upstream, request: CallRequest
) -> None:
    response = await transport.send(upstream, request, TIMEOUT_SECONDS)
    length = 0
    async for piece in response.stream():
        length += len(piece)
    await response.aclose()
    if response.status != 200 or length != len(BODY):
        raise RuntimeError(f"status {response.status} with {length} bytes")


async def _run_side(
    connection: str, port: int, calls: int, concurrency: int
) -> _Result:
    clock = SystemClock()
    upstream = Upstream("stand-in", f"127.0.0.1:{port}", "a", 6, 200, 5.0, 1)
    transport = HttpxUpstreamTransport(
        lambda _: concurrency, clock, FACTORIES[connection]
    )
    request = _build_request(clock)
    latencies: list[float] = []

    async def work(count: int) -> None:
        for _ in range(count):
            began_seconds = time.perf_counter()
            await _call_once(transport, upstream, request)
            latencies.append(time.perf_counter() - began_seconds)

    async def work_together(total: int) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(concurrency):
                group.start_soon(work, total // concurrency)

    await work_together(WARM_UP_CALLS)
    latencies.clear()
    began_seconds = time.perf_counter()
    began_processor_seconds = time.process_time()
    await work_together(calls)
    processor_seconds = time.process_time() - began_processor_seconds
    wall_seconds = time.perf_counter() - began_seconds
    await transport.close_idle(0.0)
    latencies.sort()
    count = len(latencies)
    return _Result(
        count / wall_seconds,
        processor_seconds / count * 1e6,
        latencies[count // 2] * 1e3,
        latencies[int(0.99 * (count - 1))] * 1e3,
    )


def _measure(
    port: int, runs: int, calls: int, concurrency: int
) -> dict[_Side, list[_Result]]:
    sides = [_Side(connection, loop) for connection in FACTORIES for loop in LOOPS]
    results: dict[_Side, list[_Result]] = {side: [] for side in sides}
    for run in range(runs):
        for side in sides if run % 2 == 0 else reversed(sides):
            result = anyio.run(
                _run_side,
                side.connection,
                port,
                calls,
                concurrency,
                backend_options={"use_uvloop": LOOPS[side.loop]},
            )
            results[side].append(result)
            print(
                f"measurement=transport run={run + 1} connection={side.connection} "
                f"loop={side.loop} concurrency={concurrency} calls={calls} "
                f"calls_per_second={result.calls_per_second:.0f} "
                f"processor_us_per_call={result.processor_us_per_call:.0f} "
                f"p50_ms={result.p50_ms:.3f} p99_ms={result.p99_ms:.3f}",
                flush=True,
            )
    return results


def _print_ratio(
    results: dict[_Side, list[_Result]], first: _Side, second: _Side
) -> None:
    """Prints how many times better ``first`` is, from pairs of the same run."""
    rates = [
        one.calls_per_second / other.calls_per_second
        for one, other in zip(results[first], results[second], strict=True)
    ]
    processor = [
        other.processor_us_per_call / one.processor_us_per_call
        for one, other in zip(results[first], results[second], strict=True)
    ]
    print(
        f"measurement=transport-ratio first={first.connection}/{first.loop} "
        f"second={second.connection}/{second.loop} runs={len(rates)} "
        f"calls_per_second_ratio={statistics.median(rates):.2f} "
        f"spread={min(rates):.2f}..{max(rates):.2f} "
        f"processor_ratio={statistics.median(processor):.2f} "
        f"processor_spread={min(processor):.2f}..{max(processor):.2f}"
    )


def main() -> int:
    """Runs the comparison and returns the exit status."""
    parser = argparse.ArgumentParser(description="Compare the transports to upstreams.")
    parser.add_argument("--runs", type=int, default=5, help="runs of each side")
    parser.add_argument("--calls", type=int, default=2000, help="calls in a run")
    parser.add_argument("--concurrency", type=int, default=8)
    parser.add_argument("--stand-in", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.stand_in:
        anyio.run(_serve_stand_in, backend_options={"use_uvloop": True})
        return 0
    stand_in = subprocess.Popen(
        [sys.executable, "-m", "measure.transport", "--stand-in"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        if stand_in.stdout is None:
            raise RuntimeError("the stand-in has no output")
        port = int(stand_in.stdout.readline())
        results = _measure(port, arguments.runs, arguments.calls, arguments.concurrency)
    finally:
        stand_in.communicate()
    aiohttp_uvloop = _Side("httpx-aiohttp", "uvloop")
    aiohttp_plain = _Side("httpx-aiohttp", "asyncio")
    default_uvloop = _Side("httpx", "uvloop")
    default_plain = _Side("httpx", "asyncio")
    _print_ratio(results, aiohttp_uvloop, default_uvloop)
    _print_ratio(results, aiohttp_plain, default_plain)
    _print_ratio(results, aiohttp_uvloop, aiohttp_plain)
    _print_ratio(results, default_uvloop, default_plain)
    _print_ratio(results, aiohttp_uvloop, default_plain)
    return 0


if __name__ == "__main__":
    sys.exit(main())
