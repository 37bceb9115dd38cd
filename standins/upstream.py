"""Stand-in upstreams that record every run.

One process serves several upstreams, each on a port of its own with its own slots,
start id and life state. ``GET /control/upstreams/NAME/records`` on the control port
returns the runs; tests count duplicates, leaked keys, foreign answers, over-allowance
and cold overloads from there, not from egrethall's counters.

A request may steer its own run by query: ``work_ms`` (time in a slot), ``size``
(bytes of the answer), ``poison=1`` (the upstream crashes), ``cut_at`` (the answer
breaks off after so many bytes), ``status`` (the answer's status). A JSON object in the
query ``headers`` adds header fields to the answer, and ``body`` replaces its body.
"""

import asyncio
import base64
import json
import random
import re
import time
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from urllib.parse import unquote_to_bytes

import typer
from aiohttp import web

from standins.serving import start_application, wait_for_stop_signal

KEY_PATTERN = re.compile(rb"egk_[0-9A-Fa-f]{8}_[A-Za-z0-9_-]{43}", re.IGNORECASE)
BASE64_TOKEN = re.compile(rb"[A-Za-z0-9+/]{75,}")
CHUNK_BYTES = 64 * 1024

#: Header field by which tests learn the upstream that an answer is from.
UPSTREAM_HEADER = "x-upstream"

#: Length of one period of a noisy neighbour.
NOISE_PERIOD_SECONDS = 0.005


@dataclass(frozen=True)
class UpstreamOptions:
    """How one stand-in upstream behaves."""

    name: str
    port: int
    slots: int = 6
    #: Time in a slot without noise.
    work_ms: float = 2.0
    #: Largest factor by which noise slows a run down; 1 is no noise.
    noise_factor: float = 1.0
    #: Time after a start during which the upstream is cold.
    cold_seconds: float = 0.0
    #: Runs that a cold upstream bears at once; one more makes it crash.
    cold_slots: int = 1
    max_connections: int = 200
    #: Time until the upstream listens again after a crash.
    restart_seconds: float = 0.2
    #: Answers every request at once with status 500.
    fail_fast: bool = False
    #: Refuses every request with ``load-shed: not-run``.
    shed: bool = False
    draining: bool = False
    #: A fixed value to report as ``in_flight`` instead of the true one.
    reported_in_flight: int | None = None
    #: Leaves out ``load-report``.
    silent_load: bool = False


@dataclass
class RunRecord:
    """One run of a request."""

    request_id: str
    organisation: str
    method: str
    path: str
    #: Wall-clock time at which the run began.
    started_at_seconds: float
    #: Runs in slots or waiting, this one included.
    concurrency: int
    cold: bool
    leaked_key: bool
    timeout_ms: str
    #: Value of ``x-echo``, by which a caller tells its requests apart.
    echo: str = ""
    #: Values of header fields that an HTTP client might add by itself.
    cookies: str = ""
    accept_encoding: str = ""
    finished: bool = False


@dataclass
class UpstreamCounters:
    """Counters of one upstream since the start of the process."""

    crashes: int = 0
    cold_overloads: int = 0
    probes: int = 0
    most_connections: int = 0
    busy_seconds: float = 0.0


@dataclass
class UpstreamStandIn:
    """One upstream: its state, records and HTTP handlers."""

    options: UpstreamOptions
    seed: int
    records: list[RunRecord] = field(default_factory=list)
    counters: UpstreamCounters = field(default_factory=UpstreamCounters)
    probed_at_seconds: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.seed}/{self.options.name}")
        self._slots = asyncio.Semaphore(self.options.slots)
        self._in_flight = 0
        self._runner: web.AppRunner | None = None
        self._transports: set[asyncio.BaseTransport] = set()
        self._restarting: asyncio.Task[None] | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self._start_id = f"{self._random.getrandbits(32):08x}"
        self._cold_until = time.monotonic() + self.options.cold_seconds
        self._slots = asyncio.Semaphore(self.options.slots)

    async def start(self) -> None:
        """Starts to listen."""
        application = web.Application(client_max_size=1024**3)
        application.router.add_get("/load", self.answer_probe)
        application.router.add_route("*", "/{path:.*}", self.answer_request)
        self._runner = await start_application(application, self.options.port)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def turn_cold(self) -> None:
        """Gives the upstream a new start id and makes it cold again."""
        self._begin_life()

    def is_cold(self) -> bool:
        """Returns whether the upstream is in a cold start."""
        return time.monotonic() < self._cold_until

    def describe_load(self) -> dict[str, str | int]:
        """Returns the fields of ``load-report``."""
        reported = self.options.reported_in_flight
        state = "cold" if self.is_cold() else "warm"
        return {
            "in_flight": self._in_flight if reported is None else reported,
            "slots": self.options.slots,
            "state": "draining" if self.options.draining else state,
            "start_id": self._start_id,
        }

    def build_headers(self) -> dict[str, str]:
        """Returns the headers of every answer; the upstream's name is for tests."""
        headers = {UPSTREAM_HEADER: self.options.name}
        if self.options.silent_load:
            return headers
        fields = self.describe_load().items()
        load_report = ";".join(f"{name}={value}" for name, value in fields)
        return {**headers, "load-report": load_report}

    async def answer_probe(self, _request: web.Request) -> web.Response:
        """Answers ``GET /load``."""
        self.counters.probes += 1
        self.probed_at_seconds.append(time.time())
        return web.json_response(self.describe_load())

    async def answer_request(self, request: web.Request) -> web.StreamResponse:
        """Runs one request and records it."""
        self._watch_connection(request)
        if self.options.shed:
            headers = {**self.build_headers(), "load-shed": "not-run"}
            return web.Response(status=503, headers=headers)
        record = await self._record_run(request)
        self._in_flight += 1
        try:
            if record.cold and self._in_flight > self.options.cold_slots:
                self.counters.cold_overloads += 1
                self.crash()
            if request.query.get("poison") == "1":
                self.crash()
            return await self._run(request, record)
        finally:
            self._in_flight -= 1

    def crash(self) -> None:
        """Drops every connection and starts a new life after a pause."""
        if self._restarting is not None and not self._restarting.done():
            return
        self.counters.crashes += 1
        for transport in self._transports:
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
        self._restarting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await self.stop()
        await asyncio.sleep(self.options.restart_seconds)
        self._begin_life()
        await self.start()

    def _watch_connection(self, request: web.Request) -> None:
        transport = request.transport
        if transport is None:
            return
        self._transports = {item for item in self._transports if not item.is_closing()}
        self._transports.add(transport)
        count = len(self._transports)
        self.counters.most_connections = max(self.counters.most_connections, count)

    async def _record_run(self, request: web.Request) -> RunRecord:
        leaked = carries_key(request.raw_path.encode()) or any(
            carries_key(name + b":" + value) for name, value in request.raw_headers
        )
        record = RunRecord(
            request_id=request.headers.get("x-request-id", ""),
            organisation=request.headers.get("x-organisation", ""),
            method=request.method,
            path=request.raw_path,
            started_at_seconds=time.time(),
            concurrency=self._in_flight + 1,
            cold=self.is_cold(),
            leaked_key=leaked,
            timeout_ms=request.headers.get("request-timeout-ms", ""),
            echo=request.headers.get("x-echo", ""),
            cookies=request.headers.get("cookie", ""),
            accept_encoding=request.headers.get("accept-encoding", ""),
        )
        self.records.append(record)
        return record

    async def _run(self, request: web.Request, record: RunRecord) -> web.StreamResponse:
        received = 0
        async for chunk in request.content.iter_chunked(CHUNK_BYTES):
            received += len(chunk)
        if not self.options.fail_fast:
            async with self._slots:
                seconds = self._draw_work_seconds(request)
                self.counters.busy_seconds += seconds
                await asyncio.sleep(seconds)
        record.finished = True
        if self.options.fail_fast:
            return web.Response(status=500, headers=self.build_headers())
        size = int(request.query.get("size", "0"))
        if size or "cut_at" in request.query:
            return await self._stream(request, size)
        headers = {**self.build_headers(), **_read_headers(request)}
        status = int(request.query.get("status", "200"))
        if "body" in request.query:
            return web.Response(
                body=request.query["body"].encode(), status=status, headers=headers
            )
        answer = {
            "request_id": record.request_id,
            "organisation": record.organisation,
            "echo": request.headers.get("x-echo", ""),
            "received": received,
            "upstream": self.options.name,
        }
        return web.json_response(answer, status=status, headers=headers)

    def _draw_work_seconds(self, request: web.Request) -> float:
        work_ms = float(request.query.get("work_ms", self.options.work_ms))
        if self.options.noise_factor <= 1:
            return work_ms / 1000
        period = int(time.monotonic() / NOISE_PERIOD_SECONDS)
        draw = random.Random(f"{self.seed}/{self.options.name}/{period}").random()
        # A few periods are very slow and most are not, as with a neighbour that
        # takes the processor for some milliseconds.
        factor = 1 + (self.options.noise_factor - 1) * draw**4
        return work_ms * factor / 1000

    async def _stream(self, request: web.Request, size: int) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.build_headers())
        if request.query.get("chunked") != "1":
            response.content_length = size
        await response.prepare(request)
        cut_at = int(request.query.get("cut_at", "-1"))
        sent = 0
        while sent < size:
            if 0 <= cut_at <= sent:
                if request.transport is not None:
                    request.transport.abort()
                return response
            length = min(CHUNK_BYTES, size - sent)
            if cut_at > sent:
                length = min(length, cut_at - sent)
            await response.write(b"x" * length)
            sent += length
        await response.write_eof()
        return response


def carries_key(text: bytes) -> bool:
    """Returns whether ``text`` holds a key: plain, percent-encoded or in base64."""
    forms = [text]
    for _ in range(2):
        forms.append(unquote_to_bytes(forms[-1]))
    for token in BASE64_TOKEN.findall(text):
        usable = token[: len(token) - (len(token) % 4 == 1)]
        forms.append(base64.b64decode(usable + b"=" * (-len(usable) % 4)))
    return any(KEY_PATTERN.search(form) for form in forms)


def _read_headers(request: web.Request) -> dict[str, str]:
    return dict(json.loads(request.query.get("headers", "{}")))


class UpstreamControl:
    """The control side of a process with several upstreams."""

    def __init__(self, upstreams: dict[str, UpstreamStandIn]) -> None:
        self._upstreams = upstreams

    def build_application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        prefix = "/control/upstreams/{name}"
        application.router.add_get("/control/summary", self.summarise)
        application.router.add_get(prefix + "/records", self.list_records)
        application.router.add_get(prefix + "/probes", self.list_probes)
        application.router.add_post(prefix + "/options", self.set_options)
        application.router.add_post(prefix + "/turn-cold", self.turn_cold)
        application.router.add_post(prefix + "/crash", self.crash)
        return application

    async def summarise(self, _request: web.Request) -> web.Response:
        """Returns counters, load and number of runs of each upstream."""
        return web.json_response(
            {
                name: {
                    **asdict(upstream.counters),
                    **upstream.describe_load(),
                    "runs": len(upstream.records),
                }
                for name, upstream in self._upstreams.items()
            }
        )

    async def list_records(self, request: web.Request) -> web.Response:
        """Returns the runs of one upstream."""
        upstream = self._upstreams[request.match_info["name"]]
        return web.json_response([asdict(record) for record in upstream.records])

    async def list_probes(self, request: web.Request) -> web.Response:
        """Returns the wall-clock times of the probes of one upstream."""
        upstream = self._upstreams[request.match_info["name"]]
        return web.json_response(upstream.probed_at_seconds)

    async def set_options(self, request: web.Request) -> web.Response:
        """Changes options of one upstream, or of all with the name ``all``."""
        fields = json.loads(await request.read())
        for upstream in self._select(request):
            upstream.options = replace(upstream.options, **fields)
        return web.Response(status=204)

    async def turn_cold(self, request: web.Request) -> web.Response:
        """Makes one upstream cold again."""
        for upstream in self._select(request):
            upstream.turn_cold()
        return web.Response(status=204)

    async def crash(self, request: web.Request) -> web.Response:
        """Crashes one upstream."""
        for upstream in self._select(request):
            upstream.crash()
        return web.Response(status=204)

    def _select(self, request: web.Request) -> list[UpstreamStandIn]:
        name = request.match_info["name"]
        if name == "all":
            return list(self._upstreams.values())
        return [self._upstreams[name]]


async def serve_upstreams(options: list[UpstreamOptions], port: int, seed: int) -> None:
    """Serves upstreams and their control side until a stop signal."""
    upstreams = {item.name: UpstreamStandIn(item, seed) for item in options}
    for upstream in upstreams.values():
        await upstream.start()
    control = UpstreamControl(upstreams)
    runner = await start_application(control.build_application(), port)
    await wait_for_stop_signal()
    for upstream in upstreams.values():
        await upstream.stop()
    await runner.cleanup()


def main(options_file: Path, port: int, seed: int = 1) -> None:
    """Serves the upstreams of a JSON list of options until SIGTERM."""
    options = [
        UpstreamOptions(**fields) for fields in json.loads(options_file.read_text())
    ]
    asyncio.run(serve_upstreams(options, port, seed))


if __name__ == "__main__":
    typer.run(main)
