"""What limits the clients of all listeners of an instance, for logs and metrics."""

from __future__ import annotations

from collections.abc import Mapping

import structlog

from egrethall.entry._connection_limiter import ConnectionLimiter
from egrethall.entry._memory_account import MemoryAccount
from egrethall.entry._process_limits import ProcessLimits
from egrethall.types import Clock

#: Connections to the readiness page, and to the metrics. A platform needs one or two.
MAX_PAGE_CONNECTIONS = 16

logger = structlog.get_logger(__name__)


class ClientLimits:
    """The shared account of memory, and a limiter of connections for each listener.

    Limits of their own keep the readiness page and the other instances reachable
    while callers use all connections that they may have.
    """

    def __init__(self, limits: ProcessLimits, clock: Clock) -> None:
        self.account = MemoryAccount(limits.find_client_memory_bytes())

        def build_limiter(max_connections: int) -> ConnectionLimiter:
            return ConnectionLimiter(
                max_connections, self.account, clock, limits.progress
            )

        self.callers = build_limiter(limits.find_max_client_connections())
        self.peers = build_limiter(limits.find_max_peer_connections())
        self.readiness = build_limiter(MAX_PAGE_CONNECTIONS)
        self.metrics = build_limiter(MAX_PAGE_CONNECTIONS)
        # Connections of callers hold nearly all of the memory.
        self.account.make_room = self.callers.make_room
        self._logged_events = self.count_events()

    @property
    def limiters(self) -> Mapping[str, ConnectionLimiter]:
        """The limiters by the name of their listener."""
        return {
            "callers": self.callers,
            "peers": self.peers,
            "readiness": self.readiness,
            "metrics": self.metrics,
        }

    def count_events(self) -> Mapping[tuple[str, str], int]:
        """Returns how often room was short, by listener and kind of event.

        Memory is shared, so that its events count for the callers.
        """
        events = {
            ("callers", "memory-refused"): self.account.refused_count,
            ("callers", "response-not-buffered"): self.account.declined_count,
        }
        for listener, limiter in self.limiters.items():
            for kind, count in limiter.count_events().items():
                events[listener, kind] = count
        return events

    def log_events(self) -> None:
        """Logs what has happened since the last call; called once per second."""
        events = self.count_events()
        if events == self._logged_events:
            return
        before = self._logged_events
        self._logged_events = events
        logger.warning(
            "clients limited",
            events=",".join(
                f"{_describe(listener, kind)}={count - before.get((listener, kind), 0)}"
                for (listener, kind), count in events.items()
                if count != before.get((listener, kind), 0)
            ),
            connections=self.callers.open_count,
            max_connections=self.callers.max_connections,
            held_bytes=self.account.held_bytes,
            budget_bytes=self.account.budget_bytes,
        )


def _describe(listener: str, kind: str) -> str:
    return kind if listener == "callers" else f"{listener}:{kind}"
