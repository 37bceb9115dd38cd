"""A stand-in for an upstream of the platform, with faults on its wire.

Control, on the same port:

- ``POST /control/behaviour`` with JSON :class:`Behaviour` fields; forgets the runs but
  with ``keep_runs``.
- ``GET /control/runs`` returns the requests that it began to run, in their order.
- ``GET /control/arrivals`` returns the Unix times of all requests, probes included.
"""

import asyncio
import json
import time
from dataclasses import dataclass, field, replace
from typing import Annotated

import typer

READ_LIMIT_BYTES = 1024 * 1024

#: Time for which a crashed upstream resets connections.
CRASH_SECONDS = 3.0

#: Bytes without end are sent in pieces of this size, with pauses.
ENDLESS_PIECE = b"x" * 64 * 1024
ENDLESS_PAUSE_SECONDS = 0.002

#: Beginning of the modes that answer with a status, which may be an invalid one.
STATUS_MODE = "status-"

#: Refusals without a request ID that are written once more, by the mode that does so.
EARLIER_REFUSALS = {
    "repeat-refusal": b"HTTP/1.1 503 Status\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "closing-refusal": b"HTTP/1.1 503 Status\r\nX-Not-Executed: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n",
}


@dataclass(frozen=True)
class Behaviour:
    """How requests are answered."""

    #: ok, shed, reset, truncate, extra, silent, unsigned, error or garbage; also
    #: endless-head, endless-body, endless-error or endless-refusal, whose bytes do not
    #: end before the connection does; cut-head, which ends within the head of the
    #: response; and repeat-refusal or closing-refusal, in which a refusal without a
    #: request ID, as of an earlier probe, precedes the response while the request runs;
    #: status-NNN, which answers with that status, also an invalid one; full, which
    #: resets the connection before a request runs; crash, which resets all
    #: connections, and new ones for a while; long, a response of long_bytes; and
    #: stalled, which is silent after half of such a response.
    mode: str = "ok"
    work_ms: float = 5.0
    healthy: bool = True
    cold_ms: float = 0.0
    #: Work time relative to the usual, in hundredths.
    slowness: int = 100
    #: Requests per second that it states to accept; 0 states no limit.
    limit_per_second: float = 0.0
    #: Whether each response says that the upstream leaves.
    leaving: bool = False
    #: Seconds that a refusal of mode shed asks the instance to wait; 0 states none.
    retry_after_seconds: float = 0.0
    long_bytes: int = 0


@dataclass
class Run:
    """A request that was begun."""

    attempt: str
    method: str
    path: str
    headers: dict[str, str]
    body: str
    #: Unix time at which it began.
    started_at_seconds: float
    #: running, done or cancelled.
    state: str = "running"


@dataclass
class HttpRequest:
    """One request as it was read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = field(default=b"")


class PlatformUpstream:
    """One upstream with its name, behaviour and record of runs."""

    def __init__(self, name: str, slots: int) -> None:
        self._name = name
        self._slots = slots
        self._behaviour = Behaviour()
        self._runs: list[Run] = []
        self._arrivals: list[float] = []
        self._running = 0
        self._writers: set[asyncio.StreamWriter] = set()
        #: Clock reading until which it stays away after a crash.
        self._down_until_seconds = 0.0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection."""
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                if not request.path.startswith("/control/") and self._is_down():
                    writer.transport.abort()
                    return
                if not request.path.startswith("/control/"):
                    self._arrivals.append(time.time())
                if request.path.startswith("/control/"):
                    writer.write(self._control(request))
                elif request.path == "/healthz":
                    writer.write(self._report_health())
                elif not await self._answer(request, reader, writer):
                    return
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _is_down(self) -> bool:
        return time.monotonic() < self._down_until_seconds

    def _crash(self) -> None:
        self._down_until_seconds = time.monotonic() + CRASH_SECONDS
        for writer in self._writers:
            writer.transport.abort()

    def _control(self, request: HttpRequest) -> bytes:
        if request.path == "/control/runs":
            return _render(200, {}, json.dumps([vars(r) for r in self._runs]).encode())
        if request.path == "/control/arrivals":
            return _render(200, {}, json.dumps(self._arrivals).encode())
        if request.path == "/control/behaviour":
            fields = json.loads(request.body)
            if not fields.pop("keep_runs", False):
                self._runs.clear()
                self._arrivals.clear()
            self._behaviour = replace(Behaviour(), **fields)
        return _render(200, {}, b"{}")

    def _report_health(self) -> bytes:
        headers = {
            "X-Instance-Id": self._name,
            "X-Server-Load": self._describe_load(),
        }
        if self._behaviour.cold_ms:
            headers["X-Warmup-Ms"] = f"{self._behaviour.cold_ms:g}"
        headers |= self._describe_wishes()
        return _render(200 if self._behaviour.healthy else 503, headers, b"")

    def _describe_wishes(self) -> dict[str, str]:
        headers = {}
        if self._behaviour.limit_per_second:
            headers["Server-Limit"] = f"{self._behaviour.limit_per_second:g}"
        if self._behaviour.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def _describe_load(self) -> str:
        waiting = max(0, self._running - self._slots)
        running = self._running - waiting
        return f"{running},{waiting},{self._slots},{self._behaviour.slowness}"

    async def _answer(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the connection goes on."""
        behaviour = self._behaviour
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expected-instance", self._name)
        echo = {"X-Attempt-Id": attempt, **self._describe_wishes()}
        if expected != self._name:
            writer.write(_render(421, {**echo, "X-Instance-Id": self._name}, b""))
            return True
        if behaviour.mode == "shed":
            refusal = {**echo, "X-Not-Executed": "1"}
            if behaviour.retry_after_seconds:
                refusal["Retry-After"] = f"{behaviour.retry_after_seconds:g}"
            writer.write(_render(503, refusal, b""))
            return True
        if behaviour.mode == "full":
            writer.transport.abort()
            return False
        run = Run(
            attempt,
            request.method,
            request.path,
            request.headers,
            request.body.decode("latin-1"),
            time.time(),
        )
        self._runs.append(run)
        if behaviour.mode in EARLIER_REFUSALS:
            writer.write(EARLIER_REFUSALS[behaviour.mode])
        self._running += 1
        try:
            if not await _work(behaviour.work_ms / 1000, reader):
                run.state = "cancelled"
                return False
        finally:
            self._running -= 1
        run.state = "done"
        return await self._write_answer(behaviour.mode, attempt, echo, writer)

    async def _write_answer(
        self,
        mode: str,
        attempt: str,
        echo: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        signed = {**echo, "X-Server-Signature": f"{attempt}.{self._name}"}
        body = f"answer to {attempt} of {self._name}".encode()
        if mode == "reset":
            writer.transport.abort()
            return False
        if mode == "crash":
            self._crash()
            return False
        if mode == "silent":
            await asyncio.Event().wait()
        if mode.startswith("endless"):
            await _send_without_end(mode, echo, signed, writer)
        if mode in ("long", "stalled"):
            size_bytes = self._behaviour.long_bytes
            writer.write(
                _render_head(200, {**signed, "Content-Length": str(size_bytes)})
            )
            writer.write(b"x" * (size_bytes if mode == "long" else size_bytes // 2))
            await writer.drain()
            if mode == "stalled":
                await asyncio.Event().wait()
            return True
        if mode == "truncate":
            writer.write(_render(200, signed, body)[:-5])
            await writer.drain()
            return False
        if mode == "cut-head":
            writer.write(_render_head(200, signed)[:-2])
            await writer.drain()
            return False
        if mode == "garbage":
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            await writer.drain()
            return False
        if mode == "unsigned":
            writer.write(_render(200, echo, body))
            return True
        if mode.startswith(STATUS_MODE):
            writer.write(_render(mode.removeprefix(STATUS_MODE), signed, body))
            return True
        if mode == "error":
            writer.write(_render(500, signed, b"failed"))
            return True
        writer.write(_render(200, signed, body))
        if mode == "extra":
            writer.write(_render(200, signed, body))
        return True


async def _send_without_end(
    mode: str,
    echo: dict[str, str],
    signed: dict[str, str],
    writer: asyncio.StreamWriter,
) -> None:
    """Sends until the connection is closed, which raises ConnectionError."""
    chunked = {"Transfer-Encoding": "chunked"}
    heads = {
        "endless-head": b"HTTP/1.1 200 OK\r\nX-Filler: ",
        "endless-body": _render_head(200, {**signed, **chunked}),
        "endless-error": _render_head(500, {**signed, **chunked}),
        "endless-refusal": _render_head(
            503, {**echo, **chunked, "X-Not-Executed": "1"}
        ),
    }
    writer.write(heads[mode])
    piece = ENDLESS_PIECE
    if mode != "endless-head":
        piece = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
    while True:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(ENDLESS_PAUSE_SECONDS)


async def _work(seconds: float, reader: asyncio.StreamReader) -> bool:
    """Returns False if the caller closed its connection before the work was done."""
    watcher = asyncio.ensure_future(reader.read(1))
    done, _ = await asyncio.wait({watcher}, timeout=seconds)
    if done:
        return False
    watcher.cancel()
    return True


async def _read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines if line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, path, headers, body)


def _render(status: int | str, headers: dict[str, str], body: bytes) -> bytes:
    return _render_head(status, {"Content-Length": str(len(body)), **headers}) + body


def _render_head(status: int | str, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def main(
    name: Annotated[str, typer.Argument(help="Name of the upstream.")],
    port: Annotated[int, typer.Argument(help="Port to listen on.")],
    slots: Annotated[int, typer.Option(help="Requests at the same time.")] = 6,
) -> None:
    """Runs the upstream until it is ended."""
    asyncio.run(_serve(PlatformUpstream(name, slots), port))


async def _serve(upstream: PlatformUpstream, port: int) -> None:
    server = await asyncio.start_server(
        upstream.serve, "127.0.0.1", port, limit=READ_LIMIT_BYTES
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    typer.run(main)
