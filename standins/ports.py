"""Loopback ports for the stand-ins and the processes under test."""

import fcntl
import os
import socket
import tempfile
from pathlib import Path
from typing import IO

#: Ports below the range from which Linux draws the ports of outgoing connections.
FIRST_PORT = 10_000
BLOCK_SIZE = 200
BLOCK_COUNT = 100


class PortAllocator:
    """Hands out ports that no other process of the project uses.

    Each allocator locks blocks of ports with lock files, so that test runs in parallel
    never collide. The locks end with the process.
    """

    def __init__(self) -> None:
        self._locks: list[IO[str]] = []
        self._next = self._end = 0

    def allocate(self) -> int:
        """Returns a port on which nothing listens; raises :class:`OSError`."""
        while True:
            if self._next == self._end:
                lock, block = self._lock_block()
                self._locks.append(lock)
                self._next = FIRST_PORT + block * BLOCK_SIZE
                self._end = self._next + BLOCK_SIZE
            port = self._next
            self._next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port

    @staticmethod
    def _lock_block() -> tuple[IO[str], int]:
        directory = Path(tempfile.gettempdir()) / "egrethall-ports"
        directory.mkdir(exist_ok=True)
        for offset in range(BLOCK_COUNT):
            block = (os.getpid() + offset) % BLOCK_COUNT
            lock = (directory / f"{block}.lock").open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            return lock, block
        raise OSError("all blocks of ports are in use")
