"""Entries of the audit trail."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class AuditEvent:
    """One change of what the instance acts on."""

    #: Kind of the change, for example ``configuration`` or ``upstream-state``.
    kind: str
    #: Who or what made the change.
    actor: str
    #: What was changed.
    subject: str
    before: str
    after: str
    #: Configuration revision in force at the change.
    revision: int


class AuditTrail(Protocol):
    """A receiver of audit events."""

    def record(self, event: AuditEvent) -> None:
        """Adds an event with the current time."""
        ...
