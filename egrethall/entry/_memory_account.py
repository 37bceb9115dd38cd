"""Accounts for the memory that clients occupy in the whole process."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from egrethall.types import EgrethallError

#: Leases up to this size belong to ordinary requests, which may use the whole budget.
SMALL_LEASE_BYTES = 256 * 1024

#: Part of the budget that is kept for ordinary requests, and its upper limit. An
#: instance of 152 MB has 72 MB for clients, of which the largest legal body takes 67.
RESERVE_RATIO = 0.25
MAX_RESERVE_BYTES = 4_000_000

#: Time that a reservation waits for others to end; longer than a connection needs to
#: count as stalled, so that stalled ones make room for those that wait.
GRANT_TIMEOUT_SECONDS = 1.5

#: Interval at which a waiting reservation asks for room again, since connections become
#: idle or stall meanwhile.
RETRY_SECONDS = 0.1

#: Reservations that wait at once. Each may hold one read from its socket.
MAX_WAITING = 64


class MemoryShortError(EgrethallError):
    """Memory was not granted in time."""


@dataclass(eq=False)
class _WaitingGrant:
    """A reservation that waits until others are released."""

    lease: MemoryLease
    size_bytes: int
    granted: anyio.Event = field(default_factory=anyio.Event)


class MemoryLease:
    """The memory that one connection, request or response has reserved."""

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.held_bytes = 0

    def try_grow(self, held_bytes: int) -> bool:
        """Reserves up to ``held_bytes`` in total; returns whether they were granted."""
        return self._account.try_grow(self, held_bytes)

    async def grow(self, held_bytes: int) -> None:
        """Waits until ``held_bytes`` in total are reserved.

        Raises :class:`MemoryShortError` if they are not granted in time.
        """
        if not self._account.try_grow(self, held_bytes):
            await self._account.wait_for_grant(self, held_bytes)

    def release(self, held_bytes: int = 0) -> None:
        """Returns all but ``held_bytes``."""
        self._account.shrink(self, held_bytes)

    def __del__(self) -> None:
        # Cancelled tasks may drop a response without closing it.
        if self.held_bytes:
            self._account.shrink(self, 0)


class MemoryAccount:
    """Grants memory from a budget, in the order of the requests for it.

    Large leases leave a reserve to small ones, which do not wait behind them. Made for
    some hundred connections of which any number sends or reads as much as it may.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        reserve_bytes = min(MAX_RESERVE_BYTES, int(budget_bytes * RESERVE_RATIO))
        self._large_budget_bytes = budget_bytes - reserve_bytes
        self.held_bytes = 0
        self._large_held_bytes = 0
        self._waiting: deque[_WaitingGrant] = deque()
        #: Reservations that were not granted.
        self.refused_count = 0
        #: Parts of responses that were not buffered, since they need not be.
        self.declined_count = 0
        #: Asks others to make room for a number of bytes; set by their owner.
        self.make_room: Callable[[int], None] = lambda size_bytes: None

    def open_lease(self) -> MemoryLease:
        """Returns a lease that holds nothing yet."""
        return MemoryLease(self)

    def try_grow(self, lease: MemoryLease, held_bytes: int) -> bool:
        """Grants ``held_bytes`` in total to a lease, unless others wait or have it."""
        if held_bytes <= lease.held_bytes:
            return True
        if held_bytes > SMALL_LEASE_BYTES and self._has_large_waiting():
            return False
        return self._grant(lease, held_bytes)

    async def wait_for_grant(self, lease: MemoryLease, held_bytes: int) -> None:
        """Waits for a grant; raises :class:`MemoryShortError`."""
        fits = held_bytes <= self._large_budget_bytes
        if not fits or len(self._waiting) >= MAX_WAITING:
            self.refused_count += 1
            raise MemoryShortError(f"{held_bytes} bytes are not available")
        waiting = _WaitingGrant(lease, held_bytes)
        self._waiting.append(waiting)
        try:
            with anyio.move_on_after(GRANT_TIMEOUT_SECONDS):
                while not waiting.granted.is_set():
                    self.make_room(self._measure_shortage(lease, held_bytes))
                    with anyio.move_on_after(RETRY_SECONDS):
                        await waiting.granted.wait()
        finally:
            if not waiting.granted.is_set():
                self._waiting.remove(waiting)
                self._grant_waiting()
        if not waiting.granted.is_set():
            self.refused_count += 1
            raise MemoryShortError(f"{held_bytes} bytes were not available in time")

    def shrink(self, lease: MemoryLease, held_bytes: int) -> None:
        """Takes back what a lease has beyond ``held_bytes``."""
        if held_bytes >= lease.held_bytes:
            return
        self._set_held(lease, held_bytes)
        self._grant_waiting()

    def _has_large_waiting(self) -> bool:
        return any(w.size_bytes > SMALL_LEASE_BYTES for w in self._waiting)

    def _grant(self, lease: MemoryLease, held_bytes: int) -> bool:
        if self._measure_shortage(lease, held_bytes) > 0:
            return False
        self._set_held(lease, held_bytes)
        return True

    def _measure_shortage(self, lease: MemoryLease, held_bytes: int) -> int:
        """Returns the bytes that others must return first; 0 or less if there is room.

        It is that of the whole budget or of the part for large leases.
        """
        shortage_bytes = (
            self.held_bytes + held_bytes - lease.held_bytes - self.budget_bytes
        )
        if held_bytes <= SMALL_LEASE_BYTES:
            return shortage_bytes
        large_bytes = self._large_held_bytes - _count_large(lease.held_bytes)
        return max(shortage_bytes, large_bytes + held_bytes - self._large_budget_bytes)

    def _set_held(self, lease: MemoryLease, held_bytes: int) -> None:
        self.held_bytes += held_bytes - lease.held_bytes
        self._large_held_bytes += _count_large(held_bytes) - _count_large(
            lease.held_bytes
        )
        lease.held_bytes = held_bytes

    def _grant_waiting(self) -> None:
        large_blocked = False
        for waiting in tuple(self._waiting):
            is_large = waiting.size_bytes > SMALL_LEASE_BYTES
            if is_large and large_blocked:
                continue
            if self._grant(waiting.lease, waiting.size_bytes):
                self._waiting.remove(waiting)
                waiting.granted.set()
            elif is_large:
                large_blocked = True


def _count_large(held_bytes: int) -> int:
    return held_bytes if held_bytes > SMALL_LEASE_BYTES else 0
