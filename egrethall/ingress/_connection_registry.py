"""Bounds the connections of callers, and chooses those that are closed for others."""

from __future__ import annotations

import resource
from collections.abc import Callable

import structlog

#: Descriptors for files, and for connections to operators, other instances and the
#: configuration service.
RESERVED_DESCRIPTORS = 100

#: Part of the other descriptors that callers may use. Each of their requests may need
#: another one for its upstream.
CALLER_DESCRIPTORS_RATIO = 0.5

MIN_CONNECTIONS = 16

#: Connections that are closed for others at the same time.
MAX_CLOSING = 32

#: Closed connections between two log lines about them.
LOGGED_INTERVAL = 100

_logger = structlog.get_logger("egrethall.ingress")


class CallerSlot:
    """One connection of a caller."""

    def __init__(
        self, registry: ConnectionRegistry, close: Callable[[], object]
    ) -> None:
        self._registry = registry
        #: Ends the connection at once.
        self.close = close
        self.running_requests = 0

    def begin_request(self) -> None:
        """Records that the application handles a request of the connection."""
        self.running_requests += 1
        self._registry.update(self)

    def end_request(self) -> None:
        """Records that a request has ended."""
        self.running_requests -= 1
        self._registry.update(self)


class ConnectionRegistry:
    """The open connections of callers, of which idle ones make room for others.

    A connection is idle while the application handles no request of it, also while
    the head of a request arrives. Made for a crowd that opens as many connections as
    the process has descriptors.
    """

    def __init__(self) -> None:
        #: Idle connections; the one that is idle for longest is the first.
        self._idle: dict[CallerSlot, None] = {}
        self._busy: set[CallerSlot] = set()
        #: Connections that were closed for others and have not ended.
        self._closing: set[CallerSlot] = set()
        self._closed_count = 0

    @property
    def max_connections(self) -> int:
        """Number of connections that callers may have open."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        usable = int((descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTORS_RATIO)
        return max(MIN_CONNECTIONS, usable)

    def open_slot(self, close: Callable[[], object]) -> CallerSlot | None:
        """Returns the slot of a new connection, or None if there is no room for it.

        The connection that is idle for longest is closed for it.

        :param close: ends the new connection, whose task then closes the slot.
        """
        if len(self._idle) + len(self._busy) >= self.max_connections:
            self._observe_closed()
            if not self._idle or len(self._closing) >= MAX_CLOSING:
                return None
            oldest = next(iter(self._idle))
            self.close_slot(oldest)
            self._closing.add(oldest)
            oldest.close()
        slot = CallerSlot(self, close)
        self._idle[slot] = None
        return slot

    def close_slot(self, slot: CallerSlot) -> None:
        """Removes a connection that has ended."""
        self._idle.pop(slot, None)
        self._busy.discard(slot)
        self._closing.discard(slot)

    def update(self, slot: CallerSlot) -> None:
        """Sorts a connection in by its running requests."""
        if slot not in self._idle and slot not in self._busy:
            return
        self.close_slot(slot)
        if slot.running_requests:
            self._busy.add(slot)
        else:
            self._idle[slot] = None

    def _observe_closed(self) -> None:
        if self._closed_count % LOGGED_INTERVAL == 0:
            _logger.warning(
                "caller_connections_limited",
                closed=self._closed_count + 1,
                max_connections=self.max_connections,
            )
        self._closed_count += 1
