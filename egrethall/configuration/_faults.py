"""Faults that are found in settings and in published revisions."""

import json
from collections.abc import Sequence
from typing import Self

from egrethall.types import EgrethallError

#: Longest quotation of a faulty value in a message.
MAX_QUOTED_CHARACTERS = 80

#: Faults reported in one group; a hostile text of 1 MB can contain 100,000s.
MAX_REPORTED_FAULTS = 200


class Fault(EgrethallError):
    """One thing that is wrong in a JSON text.

    :param path: JSON path of the faulty value, for example ``$.plans[0].burst``.
    :param value: the faulty value as JSON, shortened; empty if it is missing or
        must not be shown.
    :param allowed: what the place allows.
    :param source: the file that contains the path; empty if there is only one.
    """

    def __init__(self, path: str, value: str, allowed: str, source: str = "") -> None:
        self.path = path
        self.value = value
        self.allowed = allowed
        self.source = source
        place = f"{source}: {path}" if source else path
        found = f" is {value}" if value else ""
        super().__init__(f"{place}{found}; allowed: {allowed}")

    def locate_in(self, source: str) -> "Fault":
        """Returns the same fault with the name of its file."""
        return Fault(self.path, self.value, self.allowed, source)


class FaultGroup(ExceptionGroup[Fault], EgrethallError):
    """Everything that is wrong in one text, reported together."""

    def __new__(cls, message: str, faults: Sequence[Fault]) -> Self:
        return super().__new__(cls, message, list(faults)[:MAX_REPORTED_FAULTS])

    def __init__(self, message: str, faults: Sequence[Fault]) -> None:
        super().__init__(message, list(faults)[:MAX_REPORTED_FAULTS])
        #: Number of faults found, those left out of the report included.
        self.fault_count = len(faults)

    @property
    def faults(self) -> tuple[Fault, ...]:
        """The faults in the order in which they were found."""
        return tuple(fault for fault in self.exceptions if isinstance(fault, Fault))

    def derive(self, excs: Sequence[Fault], /) -> "FaultGroup":  # type: ignore[override]
        """Returns a group of the same kind with other faults."""
        return type(self)(self.message, excs)


class InvalidSettingsError(FaultGroup):
    """The settings of an instance are faulty; nothing was started."""


class InvalidRevisionError(FaultGroup):
    """A published revision is faulty; none of it was taken over."""


def quote_value(value: object) -> str:
    """Returns ``value`` as short ASCII JSON for a message."""
    match value:
        case dict():
            return f"an object with {len(value)} keys"
        case list():
            return f"a list of {len(value)} items"
    text = json.dumps(value)
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return text
    return f"{text[:MAX_QUOTED_CHARACTERS]}... ({len(text)} characters)"
