"""Bounds the connections of clients, and chooses those that are closed for others."""

from __future__ import annotations

import enum
from collections import Counter

import anyio

from egrethall.entry._memory_account import MemoryAccount
from egrethall.entry._process_limits import ProgressLimits
from egrethall.types import Clock

#: Memory of an open connection: socket, task and parser take 12 kB, what the kernel
#: holds of its unread bytes 12 KiB, and one read or the beginning of a later request 8.
CONNECTION_BYTES = 32 * 1024

#: A connection that has moved fewer bytes than this within the time of its phase has
#: made no progress. It matters only when room is short.
PROGRESS_BYTES = 16 * 1024

#: Interval at which a full instance looks for connections to close.
RETRY_SECONDS = 0.1


class ConnectionPhase(enum.Enum):
    """What a connection of a client waits for."""

    #: No part of a request has arrived.
    IDLE = "idle"
    #: The client sends the head of a request.
    HEAD = "head"
    #: The client sends the body of a request.
    BODY = "body"
    #: The client waits until memory for its request is granted.
    WAITING = "waiting"
    #: The request is handled. It may have been passed to an upstream.
    SERVING = "serving"
    #: The client receives a response.
    SENDING = "sending"


class ClientSlot:
    """One connection of a client, as the limiter sees it."""

    def __init__(
        self, limiter: ConnectionLimiter, scope: anyio.CancelScope, clock: Clock
    ) -> None:
        self._limiter = limiter
        self._clock = clock
        self.scope = scope
        self.lease = limiter.account.open_lease()
        self.phase = ConnectionPhase.IDLE
        #: Bytes moved since the last progress, and the monotonic clock reading of it.
        self._moved_bytes = 0
        self.progress_at_seconds = clock.monotonic_seconds()
        self.is_closing = False

    async def reserve(self, size_bytes: int) -> None:
        """Waits for ``size_bytes`` in total besides those of the connection.

        Raises :class:`MemoryShortError` if they are not granted in time.
        """
        await self.lease.grow(CONNECTION_BYTES + size_bytes)

    def begin_serving(self) -> None:
        """Keeps the connection from being closed for others, and returns its memory."""
        self.lease.release(CONNECTION_BYTES)
        self.enter(ConnectionPhase.SERVING)

    def observe_stalled_write(self) -> None:
        """Records that the client did not read its response in time."""
        self._limiter.stalled_writes += 1

    def enter(self, phase: ConnectionPhase) -> None:
        """Begins a phase, which counts as progress."""
        self.phase = phase
        self._moved_bytes = 0
        self.progress_at_seconds = self._clock.monotonic_seconds()
        self._limiter.update(self)

    def observe_bytes(self, size_bytes: int) -> None:
        """Records that bytes were received from the client, or sent to it."""
        self._moved_bytes += size_bytes
        if self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progress_at_seconds = self._clock.monotonic_seconds()


class ConnectionLimiter:
    """Keeps the number of connections within a limit, and their memory in an account.

    If room is short, connections are closed in this order: idle ones, longest first,
    then those that make no progress. Made for up to some thousand connections, most of
    which may be idle or stalled.
    """

    def __init__(
        self,
        max_connections: int,
        account: MemoryAccount,
        clock: Clock,
        progress: ProgressLimits,
    ) -> None:
        self.max_connections = max_connections
        self.account = account
        self._clock = clock
        #: Time without progress by phase. Other phases do not depend on the client.
        self._stall_seconds = {
            ConnectionPhase.HEAD: progress.head_seconds,
            ConnectionPhase.BODY: progress.body_seconds,
            ConnectionPhase.SENDING: progress.write_seconds,
        }
        #: Idle connections; the one that is idle for longest is the first.
        self._idle: dict[ClientSlot, None] = {}
        self._busy: set[ClientSlot] = set()
        self._closing: set[ClientSlot] = set()
        self._released = anyio.Event()
        #: Connections closed for others, by their phase.
        self.closed: Counter[str] = Counter()
        #: Errors of accept.
        self.accept_errors = 0
        #: Responses that were cut since their caller did not read.
        self.stalled_writes = 0

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._idle) + len(self._busy) + len(self._closing)

    def open_slot(self, scope: anyio.CancelScope) -> ClientSlot:
        """Returns the slot of a new connection; ``scope`` ends it."""
        slot = ClientSlot(self, scope, self._clock)
        self._idle[slot] = None
        return slot

    def close_slot(self, slot: ClientSlot) -> None:
        """Removes a connection that has ended."""
        self._idle.pop(slot, None)
        self._busy.discard(slot)
        self._closing.discard(slot)
        slot.lease.release()
        self._released.set()

    def update(self, slot: ClientSlot) -> None:
        """Sorts a connection in by its phase."""
        if slot.is_closing:
            return
        self._idle.pop(slot, None)
        self._busy.discard(slot)
        if slot.phase is ConnectionPhase.IDLE:
            self._idle[slot] = None
        else:
            self._busy.add(slot)

    async def wait_for_room(self) -> None:
        """Waits until another connection may be accepted; closes others for it."""
        while self.open_count >= self.max_connections:
            if not self._closing:
                self.close_one()
            self._released = anyio.Event()
            with anyio.move_on_after(RETRY_SECONDS):
                await self._released.wait()

    def close_one(self) -> bool:
        """Closes the connection that is needed least; returns whether there is one."""
        slot = next(iter(self._idle), None) or self._find_stalled()
        if slot is None:
            return False
        self._close(slot)
        return True

    def observe_accept_error(self) -> None:
        """Closes a connection, since accepting one failed for lack of a descriptor."""
        self.accept_errors += 1
        self.close_one()

    def count_events(self) -> dict[str, int]:
        """Returns how often room was short, by kind of event."""
        return {
            "accept-error": self.accept_errors,
            "stalled-write": self.stalled_writes,
            **{f"closed-{phase}": count for phase, count in self.closed.items()},
        }

    def make_room(self, size_bytes: int) -> None:
        """Closes connections that hold ``size_bytes`` together, as far as there are."""
        missing_bytes = size_bytes - sum(s.lease.held_bytes for s in self._closing)
        # Closing all idle connections does not make room for a large body.
        if missing_bytes <= len(self._idle) * CONNECTION_BYTES:
            while missing_bytes > 0 and self._idle:
                missing_bytes -= self._close(next(iter(self._idle)))
        while missing_bytes > 0 and (slot := self._find_stalled()) is not None:
            missing_bytes -= self._close(slot)

    def _find_stalled(self) -> ClientSlot | None:
        now_seconds = self._clock.monotonic_seconds()
        stalled = [
            slot
            for slot in self._busy
            if slot.phase in self._stall_seconds
            and now_seconds - slot.progress_at_seconds
            >= self._stall_seconds[slot.phase]
        ]
        return max(stalled, key=lambda slot: slot.lease.held_bytes, default=None)

    def _close(self, slot: ClientSlot) -> int:
        """Closes a connection; returns the bytes that it releases when it has ended."""
        self._idle.pop(slot, None)
        self._busy.discard(slot)
        self._closing.add(slot)
        slot.is_closing = True
        self.closed[slot.phase.value] += 1
        slot.scope.cancel()
        return slot.lease.held_bytes
