"""Reading and comparison of routes."""

import re

from egrethall.configuration._faults import Fault, quote_value
from egrethall.configuration._readers import ObjectReader
from egrethall.types import Route

MAX_PATH_PREFIX_CHARACTERS = 200

#: The characters of RFC 3986 that need no escape in a path segment.
_PATH_PREFIX = re.compile(r"(?:/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+|/")
_PATH_PREFIX_RULE = (
    f"a path of at most {MAX_PATH_PREFIX_CHARACTERS} characters that begins with a "
    "slash and has no empty, '.' or '..' segment, escape, query or slash at its end"
)

#: CONNECT and TRACE are left out: they are addressed to the next hop itself.
KNOWN_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
_METHOD_RULE = f"one of {', '.join(KNOWN_METHODS)}"


def read_route(reader: ObjectReader) -> Route:
    """Returns the route in a JSON object and notes its faults."""
    path_prefix = reader.read_string("path_prefix", _PATH_PREFIX_RULE, _is_path_prefix)
    methods = reader.read_strings(
        "methods", _METHOD_RULE, KNOWN_METHODS.__contains__, minimum=1
    )
    names = frozenset(method for _, method in methods)
    idempotent_methods = reader.read_strings(
        "idempotent_methods", _METHOD_RULE, KNOWN_METHODS.__contains__, required=False
    )
    for path, method in idempotent_methods:
        if method not in names:
            reader.add_fault(path, quote_value(method), "a method of this route")
    is_open = reader.read_boolean("open", default=False)
    reader.finish()
    return Route(
        path_prefix=path_prefix,
        methods=names,
        idempotent_methods=frozenset(method for _, method in idempotent_methods),
        open=is_open,
    )


def check_overlaps(routes: list[tuple[str, Route]], faults: list[Fault]) -> None:
    """Notes routes that answer the same requests as an earlier one.

    Longer prefixes win over shorter ones, so only equal prefixes overlap.
    """
    owners: dict[tuple[str, str], str] = {}
    for path, route in routes:
        if not route.path_prefix:
            continue
        for method in sorted(route.methods):
            owner = owners.setdefault((route.path_prefix, method), path)
            if owner == path:
                continue
            found = f"{method} {route.path_prefix}"
            faults.append(Fault(path, found, f"a route of its own (also at {owner})"))


def _is_path_prefix(text: str) -> bool:
    return (
        len(text) <= MAX_PATH_PREFIX_CHARACTERS
        and _PATH_PREFIX.fullmatch(text) is not None
        and not {".", ".."}.intersection(text.split("/"))
    )
