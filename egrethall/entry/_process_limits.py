"""Limits of the process: its memory and its descriptors."""

from __future__ import annotations

import resource
from dataclasses import dataclass, field
from pathlib import Path

from egrethall.configuration import ObjectReader

BYTES_PER_MB = 1_000_000

#: Memory of an instance without connections, with room for the records of a large
#: fleet. A process with few records takes 45 MB.
BASE_MEMORY_BYTES = 56 * BYTES_PER_MB

#: Part of the remaining memory that clients may occupy. The rest covers what the
#: allocator does not return and what no reservation counts.
CLIENT_MEMORY_RATIO = 0.75

#: Smallest budget for clients, which lets a few ordinary requests through.
MIN_CLIENT_MEMORY_BYTES = 8 * BYTES_PER_MB

#: Descriptors for files, as the platform reserves them.
RESERVED_FILES = 200

#: Part of the other descriptors that clients may use. Each of their requests may need
#: as many connections again to upstreams, other instances and the store.
CLIENT_DESCRIPTORS_RATIO = 0.5

MIN_CLIENT_CONNECTIONS = 16

#: Part of them for streams from other instances, which read records and forward
#: requests. The rest is for connections to upstreams, other instances and the store.
PEER_DESCRIPTORS_RATIO = 0.2

#: Bounds of the settings.
MIN_MEMORY_MB = 64
MAX_MEMORY_MB = 1_000_000
MIN_DESCRIPTORS = 64
MAX_DESCRIPTORS = 10_000_000

#: Time without progress after which a connection may be closed for others, while room
#: is short. Without shortage only the timeouts of the configuration apply.
DEFAULT_STALL_MS = 1000.0
MIN_STALL_MS = 10.0
MAX_STALL_MS = 3_600_000.0

_CGROUP_MEMORY_FILES = (
    Path("/sys/fs/cgroup/memory.max"),
    Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)
_MEMORY_INFORMATION_FILE = Path("/proc/meminfo")


@dataclass(frozen=True)
class ProgressLimits:
    """Times without progress after which connections may be closed for others."""

    #: While a client sends the head of a request.
    head_seconds: float = DEFAULT_STALL_MS / 1000
    #: While a client sends the body of a request.
    body_seconds: float = DEFAULT_STALL_MS / 1000
    #: While a client does not read its response.
    write_seconds: float = DEFAULT_STALL_MS / 1000


@dataclass(frozen=True)
class ProcessLimits:
    """What the process may use; None if the settings leave it to the machine."""

    #: Memory beyond which the process is killed.
    memory_bytes: int | None = None
    #: Number of descriptors that the process may have open.
    max_descriptors: int | None = None
    progress: ProgressLimits = field(default_factory=ProgressLimits)

    def find_client_memory_bytes(self) -> int:
        """Returns the memory that connections, requests and responses may occupy."""
        memory_bytes = self.memory_bytes
        if memory_bytes is None:
            memory_bytes = measure_machine_memory_bytes()
        usable_bytes = int((memory_bytes - BASE_MEMORY_BYTES) * CLIENT_MEMORY_RATIO)
        return max(MIN_CLIENT_MEMORY_BYTES, usable_bytes)

    def find_max_client_connections(self) -> int:
        """Returns the number of connections that callers may have open."""
        return self._share_descriptors(CLIENT_DESCRIPTORS_RATIO)

    def find_max_peer_connections(self) -> int:
        """Returns the number of streams that other instances may have open."""
        return self._share_descriptors(PEER_DESCRIPTORS_RATIO)

    def _share_descriptors(self, ratio: float) -> int:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = MAX_DESCRIPTORS
        if self.max_descriptors is not None:
            descriptors = min(descriptors, self.max_descriptors)
        usable = int((descriptors - RESERVED_FILES) * ratio)
        return max(MIN_CLIENT_CONNECTIONS, usable)


def read_process_limits(reader: ObjectReader) -> ProcessLimits:
    """Returns the settings below ``limits``, each of which may be null or absent."""
    if reader.is_empty("limits"):
        return ProcessLimits()
    limits = reader.read_object("limits")
    if limits is None:
        return ProcessLimits()
    memory_bytes = None
    if not limits.is_empty("memory_mb"):
        memory_mb = limits.read_number("memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB)
        memory_bytes = int(memory_mb * BYTES_PER_MB)
    max_descriptors = None
    if not limits.is_empty("max_fds"):
        max_descriptors = limits.read_integer(
            "max_fds", MIN_DESCRIPTORS, MAX_DESCRIPTORS
        )
    progress = ProgressLimits(
        head_seconds=_read_stall_seconds(limits, "head_stall_ms"),
        body_seconds=_read_stall_seconds(limits, "body_stall_ms"),
        write_seconds=_read_stall_seconds(limits, "write_stall_ms"),
    )
    limits.finish()
    return ProcessLimits(memory_bytes, max_descriptors, progress)


def _read_stall_seconds(limits: ObjectReader, key: str) -> float:
    if limits.is_empty(key):
        return DEFAULT_STALL_MS / 1000
    return limits.read_number(key, MIN_STALL_MS, MAX_STALL_MS) / 1000


def measure_machine_memory_bytes() -> int:
    """Returns the memory of the machine, or of the control group if it has less."""
    sizes = [_read_total_memory_bytes()]
    for path in _CGROUP_MEMORY_FILES:
        try:
            text = path.read_text().strip()
        except OSError:
            continue
        if text.isdigit():
            sizes.append(int(text))
    return min(sizes)


def _read_total_memory_bytes() -> int:
    for line in _MEMORY_INFORMATION_FILE.read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError(f"{_MEMORY_INFORMATION_FILE} states no memory")
