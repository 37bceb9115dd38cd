"""Stand-ins for the platform, its store, targets and consumers, for the cases here.

Only the standard library is used. Everything listens on loopback addresses. The module
is also the program of a target:
``python3 stand_ins.py target NAME IP PORT LOG COLD_MS``.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

THIS_FILE = Path(__file__).resolve()
ROOT = THIS_FILE.parent.parent
HOST = "hulo84.example"
KEY = "nn2ctnfzs989anu6wsjn"
TENANT = "cuka620"

HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Longer than any case.
NEVER_SECONDS = 3600.0

#: Port of every target, each on an address of its own.
TARGET_PORT = 8080

#: First line and headers of a message.
Head = tuple[str, dict[str, str]]

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class CannotRunError(Exception):
    """The case could not be set up; says nothing about the rule."""


# ---------------------------------------------------------------- HTTP by hand


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the first line and the headers (lower case), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


def render(status: int, headers: Mapping[str, object], body: bytes = b"") -> bytes:
    """Returns a whole response with its length."""
    return render_head(status, {**headers, "Content-Length": len(body)}) + body


def render_head(status: int, headers: Mapping[str, object]) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


# ---------------------------------------------------------------- the store


class Store:
    """The platform's store: range and watch, with one revision counter."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self.address = ""
        #: While it is True, calls are never answered, nor is what follows them.
        self.silent = False

    async def start(self, ip: str) -> None:
        """Serves on a free port of an address."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def put(self, key: str, value: object) -> None:
        """Writes a value (an object, sent as JSON) or removes the key with None."""
        await self.put_bytes(key, None if value is None else json.dumps(value).encode())

    async def put_bytes(self, key: str, value: bytes | None) -> None:
        """Writes a value as it is, or removes the key with None."""
        self.revision += 1
        event: dict[str, Any] = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            known = self.items.get(key)
            event["value"] = base64.b64encode(value).decode()
            event["create_rev"] = known["create_rev"] if known else self.revision
            event["lease"] = 0
            self.items[key] = event
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                url = urlsplit(head[0].split(" ")[1])
                query = {n: v[0] for n, v in parse_qs(url.query).items()}
                await asyncio.sleep(0.004)
                if self.silent:
                    await asyncio.sleep(NEVER_SECONDS)
                if url.path == "/kv-range":
                    after, prefix = query.get("after", ""), query.get("prefix", "")
                    keys = sorted(
                        k for k in self.items if k.startswith(prefix) and k > after
                    )
                    answer = {
                        "items": [self.items[k] for k in keys[:500]],
                        "truncated": len(keys) > 500,
                        "store_revision": self.revision,
                    }
                elif url.path == "/kv-watch":
                    answer = await self._watch(query)
                    if self.silent:
                        await asyncio.sleep(NEVER_SECONDS)
                else:
                    writer.write(render(404, {}))
                    continue
                body = json.dumps(answer).encode()
                writer.write(render(200, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _watch(self, query: Mapping[str, str]) -> dict[str, Any]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: self.revision > after)
        except TimeoutError:
            pass
        events = [
            e
            for e in self.history
            if e["revision"] > after and e["key"].startswith(prefix)
        ]
        return {"events": events, "store_revision": self.revision}


# ---------------------------------------------------------------- a target


class Target:
    """A target, as a process of its own. Its log has a JSON object per line.

    ``/…/dl/N/PIECE/PAUSE_MS`` is answered with N bytes in pieces with pauses,
    ``/…/busy/MS`` after so many milliseconds. A path with ``/poison`` in it ends the
    process as soon as it begins to run it. SIGUSR1 tells the target that it leaves.
    """

    def __init__(self, name: str, log: TextIO, cold_ms: int) -> None:
        self._name = name
        self._cold_until = time.monotonic() + cold_ms / 1000
        self._log = log
        self._running = 0
        self._leaving = False

    def leave(self) -> None:
        """Reports from now on that it is leaving, to those who ask; serves on."""
        self._leaving = True

    def _note(self, what: str, attempt: str, **more: object) -> None:
        line = {"t": time.time(), "target": self._name, "what": what, "id": attempt}
        self._log.write(json.dumps({**line, **more}) + "\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection."""
        writer.transport.set_write_buffer_limits(high=0)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self._answer(head, reader, writer):
                    return
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the connection goes on."""
        first, headers = head
        method, path, _ = first.split(" ")
        load = f"{self._running},0,6,100"
        if path == "/healthz":
            more = {"X-Instance-Id": self._name, "X-Server-Load": load}
            cold_ms = round((self._cold_until - time.monotonic()) * 1000)
            if cold_ms > 0:
                more["X-Warmup-Ms"] = cold_ms
            writer.write(render(503 if self._leaving else 200, more))
            await writer.drain()
            return True
        size = int(headers.get("content-length", "0"))
        received = 0
        while received < size:
            piece = await reader.read(min(65536, size - received))
            if not piece:
                return False
            received += len(piece)
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self._name) != self._name:
            more = {"X-Attempt-Id": attempt, "X-Instance-Id": self._name}
            writer.write(render(421, more))
            return True
        self._note("run", attempt, method=method, path=path, body_bytes=received)
        if "/poison" in path:
            self._log.flush()
            os._exit(1)
        self._running += 1
        try:
            return await self._run(attempt, path, reader, writer)
        finally:
            self._running -= 1

    async def _run(
        self,
        attempt: str,
        path: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        proof = {
            "X-Attempt-Id": attempt,
            "X-Server-Signature": f"{attempt}.{self._name}",
            "X-Server-Load": f"{self._running},0,6,100",
        }
        if self._leaving:
            proof["Connection"] = "close"
        if match := re.search(r"/dl/(\d+)/(\d+)/(\d+)$", path):
            size, piece, pause_ms = map(int, match.groups())
            writer.write(render_head(200, {**proof, "Content-Length": size}))
            sent = 0
            while sent < size:
                part = min(piece, size - sent)
                writer.write(b"d" * part)
                await writer.drain()
                sent += part
                await asyncio.sleep(pause_ms / 1000)
            self._note("answered", attempt, status=200, body_bytes=sent)
            return True
        match = re.search(r"/busy/(\d+)", path)
        # A target drops a request when its connection closes.
        watch = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            {watch}, timeout=int(match[1] if match else 5) / 1000
        )
        if done:
            self._note("dropped", attempt)
            return False
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        writer.write(render(200, proof, f"answer to {attempt}".encode()))
        await writer.drain()
        self._note("answered", attempt, status=200)
        return True


async def run_target(name: str, ip: str, port: str, log: str, cold_ms: str) -> None:
    """Serves until the process is ended."""
    with open(log, "a", buffering=1) as notes:  # noqa: ASYNC230
        target = Target(name, notes, int(cold_ms))
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, target.leave)
        server = await asyncio.start_server(target.serve, ip, int(port))
        async with server:
            await server.serve_forever()


# ---------------------------------------------------------------- the deployment


@dataclass
class TargetProcess:
    """A target as the platform knows it."""

    index: int
    ip: str
    service: str
    zone: str
    process: subprocess.Popen[bytes] | None = None
    #: Unix milliseconds of its start.
    born: int = 0
    sequence: int = 0
    #: Unix times until which it is cold, and of its last entry.
    cold_until: float = 0.0
    beat_at: float = 0.0
    #: True if it no longer answers although its process exists.
    silent: bool = False

    @property
    def runs(self) -> bool:
        """Whether its process exists."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to its process."""
        if self.process is not None:
            self.process.send_signal(number)


@dataclass
class EntryInstance:
    """An entry instance that was started."""

    ip: str
    process: subprocess.Popen[bytes]


class Deployment:
    """Entry instances, targets and the store, on loopback addresses."""

    def __init__(self, record_path: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="egrethall-case-"))
        self._record_path = record_path
        self._record_path.write_text("")
        self.store = Store()
        self.entries: dict[int, EntryInstance] = {}
        self.targets: dict[str, TargetProcess] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self._started_at = time.time()

    def note(self, text: str) -> None:
        """Writes one line of the record, with the time since the start."""
        self._write(time.time(), text)

    def _write(self, at: float, text: str) -> None:
        with self._record_path.open("a") as record:
            record.write(f"{self.since_start(at):8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Prints one line of the result and writes it into the record."""
        print(text)
        self.note(f"result: {text}")

    def since_start(self, at: float) -> float:
        """Returns a time of day as seconds since the start."""
        return at - self._started_at

    def spawn(
        self, arguments: Sequence[str], log_name: str, environment: Mapping[str, str]
    ) -> subprocess.Popen[bytes]:
        """Starts a process, which :meth:`stop` ends."""
        with (self.folder / log_name).open("ab") as log:
            process = subprocess.Popen(
                arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._processes.append(process)
        return process

    # -- targets

    async def start_target(
        self, name: str, index: int, *, service: str, zone: str = "sfax-a"
    ) -> None:
        """Starts a target on an address of its own and registers it."""
        ip = f"{self.net}.{100 + index}"
        self.targets[name] = TargetProcess(index, ip, service, zone)
        await self.restart_target(name)

    async def restart_target(self, name: str, cold_ms: int = 0) -> None:
        """Starts a target, under the id that it had, and registers it.

        :param cold_ms: how long it stays cold after its start.
        """
        target = self.targets[name]
        target.process = self.spawn(
            [
                sys.executable,
                str(THIS_FILE),
                "target",
                name,
                target.ip,
                str(TARGET_PORT),
                str(self.folder / f"{name}.log"),
                str(cold_ms),
            ],
            f"{name}.out",
            dict(os.environ),
        )
        target.born = int(time.time() * 1000)
        target.cold_until = time.time() + cold_ms / 1000
        target.sequence = 0
        await wait_for_port(target.ip, TARGET_PORT)
        await self.beat(name)

    async def beat(self, name: str) -> None:
        """Writes the target's entry into the store."""
        target = self.targets[name]
        target.sequence += 1
        target.beat_at = time.time()
        cold_ms = max(0, round((target.cold_until - time.time()) * 1000))
        await self.store.put(
            f"servers/{name}",
            {
                "service": target.service,
                "address": f"{target.ip}:{TARGET_PORT}",
                "zone": target.zone,
                "version": "v1",
                "concurrency_limit": 6,
                "state": "ready",
                "warmup_left": f"{cold_ms}ms",
                "sequence": target.sequence,
                "born": target.born,
            },
        )

    async def keep_beating(self, heartbeat_seconds: float = 1.5) -> None:
        """Lets each target that runs write its entry, again and again.

        An entry is removed after three intervals of silence.
        """
        while True:
            await asyncio.sleep(heartbeat_seconds)
            for name, target in list(self.targets.items()):
                if target.runs and not target.silent:
                    await self.beat(name)
                elif (
                    time.time() - target.beat_at > 3 * heartbeat_seconds
                    and f"servers/{name}" in self.store.items
                ):
                    await self.store.put(f"servers/{name}", None)
                    self.note(f"the entry of {name} has expired")

    def read_target_logs(self) -> list[dict[str, Any]]:
        """Returns what the targets have noted, in the order of time."""
        notes: list[dict[str, Any]] = []
        for path in self.folder.glob("*.log"):
            notes += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(notes, key=lambda note: note["t"])

    # -- entry instances

    def start_entry(
        self,
        index: int,
        *,
        zone: str = "sfax-a",
        first_start: bool = True,
        count: int = 2,
    ) -> None:
        """Starts an entry instance with the command and template of the deploy file."""
        ip = f"{self.net}.{10 + index}"
        deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy_file["roles"]["entry"]
        seeds = [f"{self.net}.{10 + n}:8042" for n in range(min(3, count))]
        fields: dict[str, object] = {
            "node_name": f"front-{zone}-{index + 1}",
            "zone": zone,
            "ip": ip,
            "listen_addrs.front": f"{ip}:8045",
            "listen_addrs.ready": f"{ip}:8048",
            "listen_addrs.control": f"{ip}:8042",
            "seed_nodes": seeds,
            "platform.address": self.store.address,
            "bootstrap": first_start,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "bounds.quota_window": "5s",
            "bounds.quota_excess": 0.25,
            "bounds.quota_slack": 20,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_slack": 58,
            "bounds.grace": "6s",
            "bounds.probes_per_s": 60,
        }
        text = (ROOT / role["template"]).read_text()

        def fill(match: re.Match[str]) -> str:
            name, is_json = match[1], match[2]
            return json.dumps(fields[name]) if is_json else str(fields[name])

        # Sections for fields without a value are left out, and others are kept.
        text = re.sub(r"\{\{\^([\w.]+)\}\}.*?\{\{/\1\}\}", "", text)
        text = re.sub(r"\{\{[#/][\w.]+\}\}", "", text)
        settings = self.folder / f"entry-{index}.json"
        settings.write_text(re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "EGRETHALL_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        process = self.spawn(role["run"].split(), f"entry-{index}.out", environment)
        self.entries[index] = EntryInstance(ip, process)

    async def wait_until_ready(self, index: int, timeout_seconds: float = 30.0) -> None:
        """Waits for two 200 of GET /ready in a row, as the platform asks for them."""
        entry, end, good = self.entries[index], time.time() + timeout_seconds, 0
        while time.time() < end:
            good = good + 1 if await ask_ready(entry.ip) else 0
            if good >= 2:
                return
            if entry.process.poll() is not None:
                break
            await asyncio.sleep(0.25)
        raise CannotRunError(f"entry instance {index} did not become ready")

    def stop(self) -> None:
        """Ends all processes that were started; records what the targets noted."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
        for note in self.read_target_logs():
            self._write(note.pop("t"), f"target: {json.dumps(note)}")
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration(
    version: int,
    routes: Sequence[tuple[str, str, str, int, int]],
    services: Sequence[str],
    keys: Sequence[str] = (KEY,),
) -> dict[str, object]:
    """Returns the document of ``op/config``.

    :param routes: for each its prefix, kind, service, timeout and objective in ms.
    """
    return {
        "version": f"{version:08x}",
        "services": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 220,
                "protocol": "h1",
                "tls": False,
                "warmup": "3s",
                "warmup_per_s": 11.0,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": list(keys),
                "priority": 1,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
        "virtual_hosts": [
            {
                "host": HOST,
                "paths": [
                    {
                        "name": f"r-{prefix.strip('/')}",
                        "prefix": prefix,
                        "kind": kind,
                        "timeout": f"{timeout_ms}ms",
                        "slo": f"{aim_ms}ms",
                        "priority": 1,
                        "service": service,
                        "max_attempts": 2,
                        "public": False,
                    }
                    for prefix, kind, service, timeout_ms, aim_ms in routes
                ],
            }
        ],
    }


async def wait_for_port(ip: str, port: int, timeout_seconds: float = 10.0) -> None:
    """Waits until a process listens on a port."""
    end = time.time() + timeout_seconds
    while time.time() < end:
        try:
            _, writer = await asyncio.open_connection(ip, port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return
    raise CannotRunError(f"nothing listens on port {port}")


async def ask_ready(ip: str) -> bool:
    """Returns whether an instance says that it is ready."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, 8048)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await read_head(reader)
            writer.close()
    except (OSError, TimeoutError):
        return False
    return head is not None and " 200 " in head[0]


# ---------------------------------------------------------------- a consumer


class Answer:
    """What a consumer has seen of one attempt."""

    def __init__(self, attempt: str) -> None:
        self.id = attempt
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body_bytes = 0
        self.body = b""
        self.complete = False
        self.ended = ""
        self.sent_at = time.time()
        self.ended_at = 0.0

    def __str__(self) -> str:
        seconds = self.ended_at - self.sent_at
        return (
            f"{self.id} status={self.status} bytes={self.body_bytes}"
            f" complete={self.complete} {self.ended} after {seconds:.2f} s"
        )


async def read_body(reader: asyncio.StreamReader, answer: Answer, left: int) -> None:
    """Reads so many bytes of an answer's body."""
    while left:
        piece = await reader.read(min(65536, left))
        if not piece:
            raise ConnectionError("closed within an answer")
        left -= len(piece)
        answer.body_bytes += len(piece)
        if answer.body_bytes <= 4096:
            answer.body += piece


class Consumer:
    """One connection of a consumer that carries a request at a time."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._streams: Streams | None = None

    async def send(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        *,
        body: bytes = b"",
        wait_seconds: float | None = None,
        key: str = KEY,
    ) -> Answer:
        """Sends one attempt and returns its :class:`Answer`.

        :param wait_seconds: how long the consumer waits; its time limit by default.
        """
        answer = Answer(f"{random.getrandbits(64):016x}")
        try:
            async with asyncio.timeout(
                deadline_ms / 1000 if wait_seconds is None else wait_seconds
            ):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(self._ip, 8045)
                headers = {
                    "Host": HOST,
                    "X-Attempt-Id": answer.id,
                    "X-Deadline-Ms": deadline_ms,
                    "X-Api-Key": key,
                }
                if method == "POST":
                    headers["Content-Length"] = len(body)
                head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                    f"{name}: {value}\r\n" for name, value in headers.items()
                )
                await self._exchange(self._streams, answer, head + "\r\n", body)
                answer.ended = "answered"
        except TimeoutError:
            answer.ended = "no end"
            self.close()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            OSError,
            ValueError,
        ) as error:
            answer.ended = f"connection ended ({type(error).__name__})"
            self.close()
        answer.ended_at = time.time()
        return answer

    async def _exchange(
        self, streams: Streams, answer: Answer, head: str, body: bytes
    ) -> None:
        reader, writer = streams
        answer.sent_at = time.time()
        writer.write(head.encode())
        for start in range(0, len(body), 262144):
            writer.write(body[start : start + 262144])
            await writer.drain()
        received = await read_head(reader)
        if received is None:
            raise ConnectionError("closed without an answer")
        answer.status = int(received[0].split(" ")[1])
        answer.headers = received[1]
        if answer.headers.get("transfer-encoding") == "chunked":
            while left := int(await reader.readline(), 16):
                await read_body(reader, answer, left)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", "0"))
            await read_body(reader, answer, length)
        answer.complete = True
        if answer.headers.get("connection", "") == "close":
            self.close()

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


# ---------------------------------------------------------------- a case

#: Plays a case in a deployment, with or without its disruption.
Play = Callable[[Deployment, bool], Awaitable[int]]


def run_case(play: Play, record_path: Path, trouble: bool) -> int:
    """Plays a case and returns the exit status; ends every process in any event."""

    async def guarded() -> int:
        deployment = Deployment(record_path)
        try:
            await deployment.store.start(f"{deployment.net}.2")
            return await asyncio.wait_for(play(deployment, trouble), 116)
        except (CannotRunError, OSError, TimeoutError) as error:
            deployment.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            deployment.stop()

    if not (ROOT / "target/deps/egrethall").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        return NOT_RUN
    return asyncio.run(guarded())


def main(play: Play, case_file: str) -> int:
    """Plays the case of a file, as the environment says; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        folder = Path(case_file).resolve().parent
        status = run_case(play, folder / "record.txt", trouble)
    except Exception as error:
        # A fault of the case itself says nothing about the rule.
        print(f"could not run: {error!r}")
        status = NOT_RUN
    print(["the rule held", "the rule was broken", "the case could not run"][status])
    return status


if __name__ == "__main__" and sys.argv[1:2] == ["target"]:
    asyncio.run(run_target(*sys.argv[2:7]))
