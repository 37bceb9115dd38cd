"""Records of a store that instances read and pass on to each other."""

from dataclasses import dataclass
from typing import Protocol

from egrethall.types._errors import EgrethallError


class RecordSourceError(EgrethallError):
    """The source of records gave no usable answer."""


class HistoryLostError(RecordSourceError):
    """The source no longer knows what changed since the revision asked for."""


@dataclass(frozen=True)
class Record:
    """The newest state of one key."""

    key: str
    #: Revision of the store at its last change.
    revision: int
    #: None if the key was removed.
    value: bytes | None


@dataclass(frozen=True)
class RecordBatch:
    """Records and the revision of the store up to which they are complete."""

    revision: int
    records: tuple[Record, ...]
    #: True if keys that are not among the records do not exist.
    whole: bool = False
    #: Number of times that the store was restored from a copy; 0 if it does not say.
    era: int = 0


class RecordSource(Protocol):
    """A store whose records can be read and watched."""

    async def read_all(self) -> RecordBatch:
        """Returns all records; raises :class:`RecordSourceError`."""
        ...

    async def wait_for_changes(self, after_revision: int) -> RecordBatch:
        """Returns the changes after a revision, after a wait if there are none.

        Raises :class:`HistoryLostError` or :class:`RecordSourceError`.
        """
        ...
