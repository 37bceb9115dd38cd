"""Counts of forwarding events, for metrics."""

import enum
from collections import Counter
from dataclasses import dataclass


class ForwardingEvent(enum.Enum):
    """Something that happens to a request while it is forwarded."""

    #: A request came from a caller.
    CALL = "call"
    #: A request was sent to an upstream, retries and hedges included.
    ATTEMPT = "attempt"
    #: A request was sent again after an attempt that certainly did not run it.
    RESEND = "resend"
    #: An idempotent request was sent again after its connection broke.
    RETRY = "retry"
    #: An idempotent request was sent to a second upstream because the first was late.
    HEDGE = "hedge"
    #: The upstream of the hedge answered first.
    HEDGE_WON = "hedge-won"
    #: A retry was prevented only by the retry budget.
    BUDGET_EMPTY = "budget-empty"
    #: A connection broke before the response; a strike against the request.
    STRIKE = "strike"
    #: A request was refused because it is in quarantine.
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class ForwardingCount:
    """How often an event has happened since the process started."""

    service: str
    event: ForwardingEvent
    count: int


class ForwardingCounts:
    """Counts events by service; the number of services bounds the table."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, ForwardingEvent]] = Counter()

    def record(self, service: str, event: ForwardingEvent) -> None:
        """Counts one event."""
        self._counts[service, event] += 1

    def find(self, service: str, event: ForwardingEvent) -> int:
        """Returns how often ``event`` has happened to requests of ``service``."""
        return self._counts[service, event]

    def list_all(self) -> tuple[ForwardingCount, ...]:
        """Returns all counts that are not zero."""
        return tuple(
            ForwardingCount(service, event, count)
            for (service, event), count in self._counts.items()
        )
