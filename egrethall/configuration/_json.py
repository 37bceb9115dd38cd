"""A reader of JSON texts that reports what a lenient reader passes over."""

import json
import math
import re
from collections.abc import Iterator

from egrethall.configuration._faults import Fault, quote_value

#: The configuration service's upper bound on a value; also the settings' bound.
MAX_TEXT_BYTES = 1_000_000

#: Valid texts need 6 levels; the bound keeps the reader far from Python's own.
MAX_NESTING = 16

#: Integers with more digits are faults; no range of the project needs them.
MAX_INTEGER_DIGITS = 18

_IDENTIFIER = re.compile(r"[A-Za-z_][A-Za-z0-9_]{0,63}")


class JsonObject(dict[str, object]):
    """A JSON object that remembers keys which its text contains twice."""

    def __init__(self, pairs: list[tuple[str, object]]) -> None:
        super().__init__(pairs)
        seen: set[str] = set()
        self.repeated_keys: list[str] = []
        for key, _ in pairs:
            if key in seen:
                self.repeated_keys.append(key)
            seen.add(key)


class _UnusableNumber:
    """Stands for a number that is not finite or has too many digits."""

    def __init__(self, literal: str) -> None:
        self.literal = literal


def join_path(path: str, key: str | int) -> str:
    """Returns the JSON path of ``key`` below ``path``."""
    if isinstance(key, int):
        return f"{path}[{key}]"
    if _IDENTIFIER.fullmatch(key):
        return f"{path}.{key}"
    return f"{path}[{quote_value(key)}]"


def read_json(text: bytes) -> tuple[object, list[Fault]]:
    """Returns the value of a JSON text and the faults that prevent its use.

    The value is None if the text cannot be read at all.
    """
    if len(text) > MAX_TEXT_BYTES:
        allowed = f"a text of at most {MAX_TEXT_BYTES} bytes"
        return None, [Fault("$", f"{len(text)} bytes long", allowed)]
    try:
        decoded = text.decode("utf-8")
    except UnicodeDecodeError as error:
        found = f"not UTF-8 at byte {error.start}"
        return None, [Fault("$", found, "a JSON text in UTF-8")]
    depth = _measure_nesting(decoded)
    if depth > MAX_NESTING:
        return None, [
            Fault("$", f"nested {depth} deep", f"at most {MAX_NESTING} levels")
        ]
    try:
        value = json.loads(
            decoded,
            object_pairs_hook=JsonObject,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_UnusableNumber,
        )
    except json.JSONDecodeError as error:
        found = f"not JSON at line {error.lineno} column {error.colno} ({error.msg})"
        return None, [Fault("$", found, "a JSON text")]
    return value, list(_find_faults(value, "$"))


def _measure_nesting(text: str) -> int:
    """Returns the depth of brackets outside of strings."""
    depth = deepest = 0
    for token in re.finditer(r'"(?:[^"\\]|\\.)*+"|[\[{]|[\]}]', text, re.DOTALL):
        match token.group():
            case "[" | "{":
                depth += 1
                deepest = max(deepest, depth)
            case "]" | "}":
                depth -= 1
    return deepest


def _parse_integer(literal: str) -> object:
    if len(literal.lstrip("-")) > MAX_INTEGER_DIGITS:
        return _UnusableNumber(literal)
    return int(literal)


def _parse_float(literal: str) -> object:
    number = float(literal)
    return number if math.isfinite(number) else _UnusableNumber(literal)


def _find_faults(value: object, path: str) -> Iterator[Fault]:
    match value:
        case _UnusableNumber():
            literal = value.literal[:40]
            yield Fault(
                path, literal, f"a finite number of at most {MAX_INTEGER_DIGITS} digits"
            )
        case JsonObject():
            for key in value.repeated_keys:
                yield Fault(
                    join_path(path, key), "repeated", "each key once in an object"
                )
            for key, item in value.items():
                yield from _find_faults(item, join_path(path, key))
        case list():
            for index, item in enumerate(value):
                yield from _find_faults(item, join_path(path, index))
