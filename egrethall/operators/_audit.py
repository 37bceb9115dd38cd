"""Audit trail of one instance."""

import dataclasses
from collections import deque
from dataclasses import dataclass
from datetime import datetime

import structlog

from egrethall.operators._redaction import redact_keys
from egrethall.types import AuditEvent, Clock

#: Number of events kept for the operators' interface; older ones are only logged.
AUDIT_RING_CAPACITY = 1000

#: Longer fields are truncated, so that the size of audited values does not determine
#: the memory used by the ring.
MAX_FIELD_CHARACTERS = 2000


@dataclass(frozen=True)
class RecordedEvent:
    """An audit event with its sequence number and time."""

    #: Sequence number since the start, from 1. Events no longer in the ring count too.
    number: int
    at: datetime
    event: AuditEvent


class AuditRing:
    """An :class:`AuditTrail` that logs events and keeps the newest in a ring buffer."""

    def __init__(self, clock: Clock, capacity: int = AUDIT_RING_CAPACITY) -> None:
        self._clock = clock
        self._log = structlog.get_logger("egrethall.audit")
        self._events: deque[RecordedEvent] = deque(maxlen=capacity)
        self._recorded_count = 0

    def record(self, event: AuditEvent) -> None:
        """Adds an event with the current time, and logs it; keys are redacted."""
        redacted = dataclasses.replace(
            event,
            actor=_redact_and_truncate(event.actor),
            subject=_redact_and_truncate(event.subject),
            before=_redact_and_truncate(event.before),
            after=_redact_and_truncate(event.after),
        )
        self._recorded_count += 1
        self._events.append(
            RecordedEvent(self._recorded_count, self._clock.now(), redacted)
        )
        self._log.info("audit", **dataclasses.asdict(redacted))

    def select_newest(
        self, limit: int = AUDIT_RING_CAPACITY, kind: str | None = None
    ) -> tuple[RecordedEvent, ...]:
        """Returns at most ``limit`` events, the newest first.

        :param limit: Largest number of events.
        :param kind: Selects the events with this :attr:`AuditEvent.kind`; None
            selects all.
        """
        selected: list[RecordedEvent] = []
        for recorded in reversed(self._events):
            if len(selected) >= limit:
                break
            if kind is None or recorded.event.kind == kind:
                selected.append(recorded)
        return tuple(selected)


def _redact_and_truncate(text: str) -> str:
    return redact_keys(text)[:MAX_FIELD_CHARACTERS]
