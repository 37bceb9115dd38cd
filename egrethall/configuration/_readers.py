"""Typed reading of JSON values that collects faults instead of stopping."""

import difflib
import re
from collections.abc import Callable, Iterator
from typing import TypeVar

from egrethall.configuration._faults import Fault, quote_value
from egrethall.configuration._json import join_path

Item = TypeVar("Item")

#: Names become parts of resource names, metric labels and paths of the operators'
#: interface, so they contain neither slashes nor spaces.
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
NAME_RULE = "1 to 63 letters, digits, dots, underscores or hyphens, not one first"

_NAME = re.compile(NAME_PATTERN)
_MISSING = object()


class ObjectReader:
    """Reads the fields of one JSON object and notes every fault.

    Each ``read_`` method returns a usable value of its type; after a fault it is a
    stand-in, which the caller throws away together with the whole text.
    """

    def __init__(self, value: object, path: str, faults: list[Fault]) -> None:
        self.path = path
        self.faults = faults
        self._known_keys: list[str] = []
        self._fields: dict[str, object] = {}
        #: False if the value is no object, which makes all reads stand-ins.
        self.usable = isinstance(value, dict)
        if isinstance(value, dict):
            self._fields = value
        else:
            self.add_fault(path, quote_value(value), "an object")

    def add_fault(self, path: str, value: str, allowed: str) -> None:
        """Notes a fault at ``path``."""
        self.faults.append(Fault(path, value, allowed))

    def path_of(self, key: str) -> str:
        """Returns the JSON path of the field ``key``."""
        return join_path(self.path, key)

    def allow(self, key: str) -> None:
        """Notes that ``key`` is known although it is not read."""
        self._known_keys.append(key)

    def has(self, key: str) -> bool:
        """Returns whether the object has the field ``key``."""
        return key in self._fields

    def is_empty(self, key: str) -> bool:
        """Returns whether the field ``key`` is missing or null; it counts as known."""
        self.allow(key)
        return self.usable and self._fields.get(key) is None

    def read_value(self, key: str) -> object:
        """Returns any value, None if it is missing."""
        value = self._take(key, "a value")
        return None if value is _MISSING else value

    def read_string(self, key: str, allowed: str, check: Callable[[str], bool]) -> str:
        """Returns a text that ``check`` accepts."""
        value = self._take(key, allowed)
        if value is _MISSING:
            return ""
        if not isinstance(value, str) or not check(value):
            self.add_fault(self.path_of(key), quote_value(value), allowed)
            return ""
        return value

    def read_name(self, key: str) -> str:
        """Returns a name, see :data:`NAME_PATTERN`."""
        return self.read_string(key, NAME_RULE, is_name)

    def read_secret(self, key: str, allowed: str, check: Callable[[str], bool]) -> str:
        """Returns a text that no message shows."""
        value = self._take(key, allowed)
        if value is _MISSING:
            return ""
        if not isinstance(value, str) or not check(value):
            found = (
                f"a text of {len(value)} characters"
                if isinstance(value, str)
                else "not a text"
            )
            self.add_fault(self.path_of(key), found, allowed)
            return ""
        return value

    def read_integer(self, key: str, minimum: int, maximum: int) -> int:
        """Returns an integer between two bounds, both included.

        As in JSON Schema, 7.0 is an integer.
        """
        allowed = f"an integer from {minimum} to {maximum}"
        value = self._take(key, allowed)
        if value is _MISSING:
            return minimum
        if isinstance(value, float) and value.is_integer():
            value = int(value)
        if (
            not isinstance(value, int)
            or isinstance(value, bool)
            or not minimum <= value <= maximum
        ):
            self.add_fault(self.path_of(key), quote_value(value), allowed)
            return minimum
        return value

    def read_number(
        self, key: str, minimum: float, maximum: float, default: float | None = None
    ) -> float:
        """Returns a number between two bounds, both included."""
        allowed = f"a number from {minimum:g} to {maximum:g}"
        if default is not None and not self.has(key):
            self.allow(key)
            return default
        value = self._take(key, allowed)
        if value is _MISSING:
            return minimum
        if (
            not isinstance(value, int | float)
            or isinstance(value, bool)
            or not minimum <= value <= maximum
        ):
            self.add_fault(self.path_of(key), quote_value(value), allowed)
            return minimum
        return float(value)

    def read_boolean(self, key: str, default: bool) -> bool:
        """Returns true or false."""
        value = self._take(key, "true or false", default)
        if not isinstance(value, bool):
            self.add_fault(self.path_of(key), quote_value(value), "true or false")
            return default
        return value

    def read_object(self, key: str, required: bool = True) -> "ObjectReader | None":
        """Returns a reader of an object, or None if the field is missing."""
        value = self._take(key, "an object", _MISSING if required else None)
        if value is _MISSING or (value is None and not self.has(key)):
            return None
        return ObjectReader(value, self.path_of(key), self.faults)

    def iterate_objects(self, key: str) -> Iterator["ObjectReader"]:
        """Yields a reader for each object of a list."""
        for path, value in self._iterate_items(key, required=True):
            yield ObjectReader(value, path, self.faults)

    def read_strings(
        self,
        key: str,
        allowed: str,
        check: Callable[[str], bool],
        required: bool = True,
        minimum: int = 0,
    ) -> list[tuple[str, str]]:
        """Returns the path and text of each item of a list of different texts."""
        items: dict[str, str] = {}
        count = 0
        for path, value in self._iterate_items(key, required):
            count += 1
            if not isinstance(value, str) or not check(value):
                self.add_fault(path, quote_value(value), allowed)
            elif value in items:
                also = f"each item once (also at {items[value]})"
                self.add_fault(path, quote_value(value), also)
            else:
                items[value] = path
        if isinstance(self._fields.get(key), list) and count < minimum:
            self.add_fault(
                self.path_of(key), f"a list of {count} items", f"at least {minimum}"
            )
        return [(path, value) for value, path in items.items()]

    def finish(self) -> None:
        """Notes the fields that were not read; each names the nearest known key."""
        if not self.usable:
            return
        for key in self._fields:
            if key in self._known_keys:
                continue
            near = difflib.get_close_matches(key, self._known_keys, n=1, cutoff=0.0)
            known = ", ".join(self._known_keys)
            allowed = f"one of {known}"
            if near:
                allowed += f" (nearest: {near[0]})"
            self.add_fault(self.path_of(key), "an unknown key", allowed)

    def _iterate_items(self, key: str, required: bool) -> Iterator[tuple[str, object]]:
        value = self._take(key, "a list", _MISSING if required else [])
        if value is _MISSING:
            return
        path = self.path_of(key)
        if not isinstance(value, list):
            self.add_fault(path, quote_value(value), "a list")
            return
        for index, item in enumerate(value):
            yield join_path(path, index), item

    def _take(self, key: str, allowed: str, default: object = _MISSING) -> object:
        self.allow(key)
        if key in self._fields:
            return self._fields[key]
        if default is _MISSING and self.usable:
            self.add_fault(self.path_of(key), "missing", allowed)
        return default


class UniqueValues:
    """Finds values that occur twice in a text where each may occur once."""

    def __init__(self, what: str, faults: list[Fault]) -> None:
        self._what = what
        self._faults = faults
        self._paths: dict[str, str] = {}

    def add(self, value: str, path: str) -> None:
        """Notes ``value``, and a fault if it was noted before."""
        if not value:
            return
        if value in self._paths:
            allowed = f"each {self._what} once (also at {self._paths[value]})"
            self._faults.append(Fault(path, quote_value(value), allowed))
            return
        self._paths[value] = path

    def __contains__(self, value: str) -> bool:
        return value in self._paths

    def describe(self) -> str:
        """Returns the noted values as text for a message."""
        names = sorted(self._paths)
        shown = ", ".join(names[:10])
        return f"{shown}, ..." if len(names) > 10 else shown or "none"


def is_name(text: str) -> bool:
    """Returns whether ``text`` is a valid name."""
    return _NAME.fullmatch(text) is not None
