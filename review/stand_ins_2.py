"""Stand-ins for the scripts of the second review: a store, targets and clients.

Only the standard library is used. The entry instances are real processes, started with
the command of deploy/system.toml; everything else lives in the process of the script.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent

HOST = "club.example"
KEY = "key-of-cuka"

#: Bounds of sites/fontana-hub.toml and sites/recu-tn.toml.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0

#: An answer of the store takes 4 ms (SYSTEM.md).
STORE_ANSWER_SECONDS = 0.004

PAGE_ITEMS = 500


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.lower(): value.strip() for name, value in pairs}


def render(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def find_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Returns ports that are free for TCP and UDP at this moment.

    They lie below those that the system gives to outgoing connections, which could
    otherwise take one while its process is down.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(10_000, 32_000)
        if port in _given_ports:
            continue
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    return ports


_given_ports: set[int] = set()


class Store:
    """The platform's store: linearizable, with a history and watches."""

    def __init__(self) -> None:
        self.revision = 1000
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.history: list[dict[str, Any]] = []
        self.answer_seconds = STORE_ANSWER_SECONDS
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        #: Called with each kv-range call before it is answered.
        self.on_range = lambda: None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def write(self, key: str, value: object) -> int:
        """Writes a document; returns the revision, which confirms it."""
        data = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known[1]
        self.items[key] = (self.revision, created, data)
        return self._add_event(self._render(key))

    def remove(self, key: str) -> int:
        """Removes a document; returns the revision, which confirms it."""
        self.revision += 1
        del self.items[key]
        return self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event: dict[str, Any]) -> int:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def _render(self, key: str) -> dict[str, Any]:
        revision, created, data = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "create_rev": created,
            "lease": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                path, _, query = head[0].split(" ")[1].partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                if path == "/kv-range":
                    answer = self._read_range(fields)
                elif path == "/kv-watch":
                    answer = await self._watch(fields)
                else:
                    writer.write(render(404, {}, b"{}"))
                    continue
                await asyncio.sleep(self.answer_seconds)
                writer.write(
                    render(
                        200,
                        {"Content-Type": "application/json"},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    def _read_range(self, fields: dict[str, str]) -> dict[str, Any]:
        self.on_range()
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self._render(key) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> dict[str, Any]:
        after = int(fields["after"])
        end = time.monotonic() + int(fields["wait_ms"]) / 1000
        while self.revision <= after and (left := end - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        events = [e for e in self.history if e["revision"] > after]
        return {"events": events, "store_revision": self.revision}


class Target:
    """A target: serves requests, tells its load, and writes its entry to the store."""

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        service: str = "svc",
        zone: str = "east",
        slots: int = 6,
        work_seconds: float = 0.02,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.port = 0
        #: Requests that it began to run: time since the start, id, method, path.
        self.runs: list[tuple[float, str, str, str]] = []
        #: Requests with this path crash it.
        self.poison: str | None = None
        self.crashes = 0
        #: Called when it has crashed.
        self.on_crash = lambda target: None
        self._store = store
        self._record = record
        self._running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens, and registers itself."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._publish()

    def _publish(self) -> None:
        # Its further heartbeats change nothing but the sequence number, which does not
        # change the entry (PROTOCOL.md, Service discovery).
        self._sequence += 1
        self._store.write(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "concurrency_limit": self.slots,
                "state": "ready",
                "warmup_left": "0ms",
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    def withdraw(self) -> int:
        """Removes its entry without having reported draining; it goes on serving.

        Returns the revision of the store that confirms it.
        """
        return self._store.remove(f"servers/{self.name}")

    def stop(self) -> None:
        """Ends at once: closes its port and resets its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _describe_load(self) -> str:
        waiting = max(0, self._running - self.slots)
        return f"{self._running - waiting},{waiting},{self.slots},100"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ")
                headers = head[1]
                await reader.readexactly(int(headers.get("content-length", "0")))
                if path == "/healthz":
                    answer = render(
                        200,
                        {
                            "X-Instance-Id": self.name,
                            "X-Server-Load": self._describe_load(),
                        },
                        b"",
                    )
                else:
                    answer = await self._run(method, path, headers, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
    ) -> bytes | None:
        attempt = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt, "X-Server-Load": self._describe_load()}
        if headers.get("x-expected-instance", self.name) != self.name:
            return render(421, {**echo, "X-Instance-Id": self.name}, b"")
        self.runs.append((self._record.now(), attempt, method, path))
        self._record.write(f"target {self.name} runs {attempt} {method} {path}")
        if path == self.poison:
            await asyncio.sleep(0.005)
            self.crashes += 1
            self._record.write(f"target {self.name} crashes on {attempt}")
            self.stop()
            self.on_crash(self)
            return None
        self._running += 1
        try:
            watcher = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({watcher}, timeout=self.work_seconds)
            if done:
                return None
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher
        finally:
            self._running -= 1
        body = f"answer to {attempt} of {self.name}".encode()
        signature = f"{attempt}.{self.name}"
        return render(200, {**echo, "X-Server-Signature": signature}, body)


class Entry:
    """One entry instance: a process with the command of the deploy file."""

    def __init__(self, name: str, zone: str, directory: Path) -> None:
        self.name = name
        self.zone = zone
        self._directory = directory
        self.front, self.ready, self.control, self.metrics = find_ports(4)
        self.process: asyncio.subprocess.Process | None = None
        self.started_at_seconds = 0.0

    async def start(
        self, store: Store, seeds: list[Entry], *, first_start: bool, grace: str = "6s"
    ) -> None:
        """Starts the process."""
        settings = {
            "name": self.name,
            "availability_zone": self.zone,
            "caller_address": f"127.0.0.1:{self.front}",
            "ready_address": f"127.0.0.1:{self.ready}",
            "peer_address": f"127.0.0.1:{self.control}",
            "metrics_address": f"127.0.0.1:{self.metrics}",
            "seeds": [f"127.0.0.1:{seed.control}" for seed in seeds],
            "store_address": f"127.0.0.1:{store.port}",
            "first_start": first_start,
            "bounds": {
                "quota_window": "5s",
                "quota_excess_ratio": 0.25,
                "quota_slack_requests": 20,
                "retry_ratio": 0.2,
                "retry_slack_requests": 58,
                "grace": grace,
                "probes_per_second": 60,
            },
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "zone_overflow": {"enabled": False},
        }
        path = self._directory / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = command["roles"]["entry"]["run"].split(" ")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "EGRETHALL_CONFIG": str(path),
        }
        log = (self._directory / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *run,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_at_seconds = time.monotonic()

    def read_log(self) -> str:
        """Returns what its processes have printed."""
        return (self._directory / f"{self.name}.log").read_text(errors="replace")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> int:
        """Waits for the end of the process; returns its status."""
        assert self.process is not None
        return await self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and " 200 " in head[0]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        """Waits until it says that it is ready; raises TimeoutError."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready after {seconds} s")


_attempts = 0


async def call(
    record: Record,
    entry: Entry,
    path: str,
    *,
    method: str = "GET",
    deadline_ms: int = 1200,
    body: bytes = b"",
    label: str = "",
) -> tuple[int, str]:
    """Sends one request on a new connection; returns its status and id.

    The status is 0 if the connection ended without an answer.
    """
    global _attempts
    _attempts += 1
    attempt = f"{_attempts:016x}"
    record.write(f"client sends {attempt} {method} {path} to {entry.name} {label}")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        "Connection: close",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    status, detail = 0, ""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1.0)
        if head is not None:
            status = int(head[0].split(" ")[1])
            detail = head[1].get("x-refusal-reason", "")
    except (OSError, TimeoutError) as error:
        detail = repr(error)
    finally:
        if writer is not None:
            writer.close()
    record.write(f"client gets {attempt} {status} {detail}")
    return status, attempt


def make_configuration(version: int, **fields: object) -> dict[str, Any]:
    """Returns a configuration with an idempotent and a non-idempotent route."""

    def make_route(name: str, kind: str) -> dict[str, Any]:
        return {
            "name": name,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout": "1500ms",
            "slo": "400ms",
            "priority": 2,
            "service": "svc",
            "max_attempts": 2,
            "public": False,
        }

    return {
        "version": f"{version:08x}",
        "services": [{"name": "svc", "health_path": "/healthz", "warmup_per_s": 7.2}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "1000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": [
            {"name": "cuka", "api_keys": [KEY], "rate_per_s": 1000, "burst": 1000}
        ],
        "virtual_hosts": [
            {
                "host": HOST,
                "paths": [
                    make_route("read", "idempotent"),
                    make_route("trade", "non_idempotent"),
                ],
            }
        ],
        **fields,
    }


def make_directory() -> tempfile.TemporaryDirectory[str]:
    """Returns a temporary folder, which is removed at the end."""
    return tempfile.TemporaryDirectory(prefix="egrethall-review-")


def has_trouble() -> bool:
    """Returns whether the script is to cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_script(
    folder: Path, play: Callable[[Record, Path, bool], Awaitable[int]]
) -> int:
    """Runs a play and returns the exit status of its script.

    SIGTERM, as sent at the time limit, ends the play and its processes.
    """

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder / "record.txt")
        with make_directory() as directory:
            try:
                return await play(record, Path(directory), has_trouble())
            except (Exception, asyncio.CancelledError) as error:
                record.write(f"the case could not run: {error!r}")
                return 2

    return asyncio.run(run())
