"""Crowds of clients that stall, stop short or read slowly.

The clients of a crowd share one event loop in a thread of its own. None reads what it
is sent unless its behaviour says so, and all stay connected until the crowd is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import struct
import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

HOST = "127.0.0.1"

#: Receive buffer of a client, small so that its kernel holds little of a response.
RECEIVE_BUFFER_BYTES = 4096

#: Interval at which a process is observed.
OBSERVE_SECONDS = 0.1

#: Bytes that a client leaves out at the end of what it sends.
MISSING_BYTES = 5

#: Bytes sent at once, and the pause after them if a client sends in pieces.
PIECE_BYTES = 100 * 1024
PIECE_PAUSE_SECONDS = 0.002

#: What a slow reader takes at a time, and how long it rests after that.
SLOW_READ_BYTES = 1024
SLOW_READ_PAUSE_SECONDS = 0.1

#: Time after which a disconnected client connects anew, if it does.
RECONNECT_PAUSE_SECONDS = 0.1

#: Connections that a crowd opens at the same time.
CONNECTING_CLIENTS = 200

_LENGTH_PREFIX = struct.Struct(">I")
_ZEROS = memoryview(bytes(PIECE_BYTES))


class Client(Protocol):
    """What one client does on its connection."""

    async def act(self, connection: socket.socket) -> None:
        """Sends and reads; raises :class:`OSError` if it is disconnected."""
        ...


async def _send(connection: socket.socket, data: bytes | memoryview) -> None:
    await asyncio.get_running_loop().sock_sendall(connection, data)


async def _send_zeros(
    connection: socket.socket, size_bytes: int, pause_seconds: float = 0.0
) -> None:
    for start in range(0, size_bytes, PIECE_BYTES):
        await _send(connection, _ZEROS[: min(PIECE_BYTES, size_bytes - start)])
        if pause_seconds:
            await asyncio.sleep(pause_seconds)


@dataclass(frozen=True)
class SilentClient:
    """Sends some bytes, possibly none, and then nothing."""

    data: bytes = b""

    async def act(self, connection: socket.socket) -> None:
        """Sends the bytes."""
        await _send(connection, self.data)


@dataclass(frozen=True)
class BodyClient:
    """Sends a request with a length, usually without its last bytes."""

    #: Head up to its last header, without ``content-length`` and the empty line.
    head: bytes
    size_bytes: int
    complete: bool = False
    #: Pause after each 100 KiB; 0 sends them at once.
    pause_seconds: float = 0.0

    async def act(self, connection: socket.socket) -> None:
        """Sends the request."""
        length = f"content-length: {self.size_bytes}\r\n\r\n".encode()
        await _send(connection, self.head + length)
        missing_bytes = 0 if self.complete else MISSING_BYTES
        sent_bytes = self.size_bytes - missing_bytes
        await _send_zeros(connection, sent_bytes, self.pause_seconds)


@dataclass(frozen=True)
class ChunkedClient:
    """Sends a request in chunks, usually without the last one."""

    #: Head up to its last header.
    head: bytes
    size_bytes: int
    chunk_bytes: int
    complete: bool = False

    async def act(self, connection: socket.socket) -> None:
        """Sends the request."""
        await _send(connection, self.head + b"transfer-encoding: chunked\r\n\r\n")
        size_line = f"{self.chunk_bytes:x}\r\n".encode()
        count = -(-self.size_bytes // self.chunk_bytes)
        if self.chunk_bytes >= PIECE_BYTES:
            for _ in range(count):
                await _send(connection, size_line)
                await _send_zeros(connection, self.chunk_bytes)
                await _send(connection, b"\r\n")
        else:
            chunk = size_line + bytes(self.chunk_bytes) + b"\r\n"
            per_send = PIECE_BYTES // len(chunk) + 1
            block = chunk * per_send
            for _ in range(count // per_send):
                await _send(connection, block)
        if self.complete:
            await _send(connection, b"0\r\n\r\n")


@dataclass(frozen=True)
class SlowReader:
    """Sends a request and reads the response slowly, without an end."""

    request: bytes

    async def act(self, connection: socket.socket) -> None:
        """Sends the request and reads until it is disconnected."""
        await _send(connection, self.request)
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(connection, SLOW_READ_BYTES):  # noqa: ASYNC110
            await asyncio.sleep(SLOW_READ_PAUSE_SECONDS)


@dataclass(frozen=True)
class FrameClient:
    """Sends messages with a length prefix, the last one without its last bytes."""

    #: Complete messages before the last one.
    messages: tuple[bytes, ...]
    size_bytes: int

    async def act(self, connection: socket.socket) -> None:
        """Sends the messages."""
        for message in self.messages:
            await _send(connection, _LENGTH_PREFIX.pack(len(message)) + message)
        await _send(connection, _LENGTH_PREFIX.pack(self.size_bytes))
        await _send_zeros(connection, self.size_bytes - MISSING_BYTES)


@dataclass
class ProcessWatch:
    """Observes the memory and descriptors of a process until it is closed."""

    pid: int
    #: Ports on which it listens, for connections that it has not accepted.
    ports: Sequence[int]
    #: Most resident memory and bytes that it has received and not read, together.
    peak_bytes: int = 0
    most_unread_bytes: int = 0
    #: Most open descriptors.
    most_descriptors: int = 0
    is_alive: bool = True
    _stopped: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def observe(self) -> None:
        """Takes one sample."""
        process = Path(f"/proc/{self.pid}")
        try:
            # Read first, so that bytes which are read meanwhile count at least once.
            files = self._list_open_files()
            unread_bytes = self._count_unread_bytes(files)
            status = (process / "status").read_text()
        except OSError:
            self.is_alive = False
            return
        fields = dict(line.split(":", 1) for line in status.splitlines())
        if "VmRSS" not in fields:
            # The process has ended and was not waited for.
            self.is_alive = False
            return
        resident_bytes = int(fields["VmRSS"].split()[0]) * 1024
        highest_bytes = int(fields["VmHWM"].split()[0]) * 1024
        self.most_unread_bytes = max(self.most_unread_bytes, unread_bytes)
        self.peak_bytes = max(
            self.peak_bytes, resident_bytes + unread_bytes, highest_bytes
        )
        self.most_descriptors = max(self.most_descriptors, len(files))

    def close(self) -> None:
        """Ends the observation with one more sample."""
        self._stopped.set()
        self._thread.join()
        self.observe()

    def _run(self) -> None:
        while self.is_alive and not self._stopped.wait(OBSERVE_SECONDS):
            self.observe()

    def _list_open_files(self) -> list[str]:
        directory = Path(f"/proc/{self.pid}/fd")
        files = []
        for name in os.listdir(directory):
            # A file may be closed meanwhile.
            with contextlib.suppress(FileNotFoundError):
                files.append(os.readlink(directory / name))
        return files

    def _count_unread_bytes(self, files: Sequence[str]) -> int:
        prefix = "socket:["
        inodes = {f[len(prefix) : -1] for f in files if f.startswith(prefix)}
        ports = {f"{port:04X}" for port in self.ports}
        unread_bytes = 0
        lines = Path(f"/proc/{self.pid}/net/tcp").read_text().splitlines()
        for line in lines[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            is_own = fields[9] in inodes or fields[1].rsplit(":", 1)[1] in ports
            if is_own and not is_listening:
                unread_bytes += int(fields[4].split(":")[1], 16)
        return unread_bytes


class ClientCrowd:
    """Clients that act at the same time and stay connected until it is closed."""

    def __init__(self, *, reconnects: bool = False) -> None:
        """:param reconnects: whether disconnected clients connect anew."""
        self._reconnects = reconnects
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._connections: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self, port: int, clients: Iterable[Client], interval_seconds: float = 0.0
    ) -> None:
        """Has each client connect to the port and act, one after each interval."""
        asyncio.run_coroutine_threadsafe(
            self._start(port, tuple(clients), interval_seconds), self._loop
        ).result()

    def wait(self, seconds: float) -> None:
        """Returns when no client acts any more, or after some time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(task.done() for task in tuple(self._tasks)):
                return
            time.sleep(OBSERVE_SECONDS)

    def close(self) -> None:
        """Disconnects all clients."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _start(
        self, port: int, clients: Sequence[Client], interval_seconds: float
    ) -> None:
        connecting = asyncio.Semaphore(CONNECTING_CLIENTS)
        for client in clients:
            self._tasks.append(
                asyncio.create_task(self._run_client(client, port, connecting))
            )
            if interval_seconds:
                await asyncio.sleep(interval_seconds)

    async def _run_client(
        self, client: Client, port: int, connecting: asyncio.Semaphore
    ) -> None:
        connection = await self._connect_client(client, port, connecting)
        while self._reconnects:
            with contextlib.suppress(OSError):
                while await self._loop.sock_recv(connection, SLOW_READ_BYTES):
                    pass
            self._connections.remove(connection)
            connection.close()
            await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
            connection = await self._connect_client(client, port, connecting)

    async def _connect_client(
        self, client: Client, port: int, connecting: asyncio.Semaphore
    ) -> socket.socket:
        connection = socket.socket()
        self._connections.append(connection)
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # A client may be refused or disconnected.
        with contextlib.suppress(OSError):
            async with connecting:
                await self._loop.sock_connect(connection, (HOST, port))
            await client.act(connection)
        return connection

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._connections:
            connection.close()


def interleave(*groups: Sequence[Client]) -> list[Client]:
    """Returns the clients of all groups in turn."""
    rows = itertools.zip_longest(*groups)
    return [client for row in rows for client in row if client is not None]
