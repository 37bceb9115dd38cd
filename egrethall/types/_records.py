"""Records of a store that instances read and pass on to each other."""

from dataclasses import dataclass
from typing import Protocol

from egrethall.types._errors import EgrethallError

#: Low bits of a revision that hold the store's own revision; the era is above them.
_REVISION_BITS = 48


def make_revision(era: int, number: int) -> int:
    """Returns a revision that is higher than all those of earlier eras.

    A store that is restored from an older copy begins a new era, in which it gives the
    same numbers out again. Epoch and counter are combined as in the transaction IDs of
    ZooKeeper (Junqueira, Reed and Serafini 2011, section 3).

    :param era: number of times that the store was restored.
    :param number: the store's own revision.
    """
    return era << _REVISION_BITS | number


def split_revision(revision: int) -> tuple[int, int]:
    """Returns the era of a revision and the store's own revision in it."""
    return revision >> _REVISION_BITS, revision & ((1 << _REVISION_BITS) - 1)


def describe_revision(revision: int) -> str:
    """Returns a revision for a log line: its era, a dot, and its number."""
    era, number = split_revision(revision)
    return f"{era}.{number}"


class RecordSourceError(EgrethallError):
    """The source of records gave no usable answer."""


class HistoryLostError(RecordSourceError):
    """The source no longer knows what changed since the revision asked for."""


@dataclass(frozen=True)
class Record:
    """The newest state of one key."""

    key: str
    #: Revision of the store at its last change; see :func:`make_revision`.
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


class RecordSource(Protocol):
    """A store whose records can be read and watched."""

    async def read_all(self, response_timeout_seconds: float) -> RecordBatch:
        """Returns all records; raises :class:`RecordSourceError`.

        :param response_timeout_seconds: longest time for each part of the response.
        """
        ...

    async def wait_for_changes(
        self,
        after_revision: int,
        wait_seconds: float,
        response_timeout_seconds: float,
    ) -> RecordBatch:
        """Returns the changes after a revision, which may be none.

        Raises :class:`HistoryLostError` or :class:`RecordSourceError`.

        :param wait_seconds: time that the source waits for a change.
        :param response_timeout_seconds: longest time for the response on top of that.
        """
        ...

    async def close(self) -> None:
        """Closes the connection to the source; the next call opens a new one."""
        ...
