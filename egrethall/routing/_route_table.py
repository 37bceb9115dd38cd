"""Maps request methods and targets to service routes."""

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from egrethall.types import Configuration, Route, Service

_MALFORMED_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_ENCODED_SEPARATOR = re.compile(rb"%(?:2f|5c)", re.IGNORECASE)
# An upstream that decodes twice would see a different path.
_DOUBLE_ENCODED = re.compile(rb"%25(?:25)*(?:[0-9A-Fa-f]{2}|%)")
_RAW_FORBIDDEN = re.compile(rb"[\x00-\x20\x7f-\xff\\#]")
#: Fast path for the common case: no escapes, parameters, dot segments or empty
#: segments, so every upstream parses the path in the same way.
_PLAIN_PATH = re.compile(rb"(?:/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+/?")
_DECODED_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")


@dataclass(frozen=True)
class RouteMatch:
    """The route that matches a request, and its service."""

    service: Service
    route: Route


@dataclass(frozen=True)
class RouteNotFound:
    """No route's prefix matches the path."""


@dataclass(frozen=True)
class MethodNotAllowed:
    """No route with the longest matching prefix allows the method."""

    #: Methods of all routes with that prefix, for the ``allow`` header.
    allowed_methods: frozenset[str]


@dataclass(frozen=True)
class TargetRefused:
    """The target is ambiguous: an upstream might parse it as a different path."""

    detail: str


RouteResult = RouteMatch | RouteNotFound | MethodNotAllowed | TargetRefused

_Segments = tuple[bytes, ...]


class RouteTable:
    """Matches requests by longest path prefix, then by method.

    A prefix matches whole path segments: ``/lookup`` matches ``/lookup`` and
    ``/lookup/7``, not ``/lookups``. A longer prefix without the request's method
    hides a shorter one that allows it, so that the choice of method cannot bypass a
    route.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._routes: dict[_Segments, list[RouteMatch]] = {}
        for service in configuration.services:
            for route in service.routes:
                prefix = _split(route.path_prefix.encode())
                self._routes.setdefault(prefix, []).append(RouteMatch(service, route))

    def find(self, method: str, target: bytes) -> RouteResult:
        """Returns the route for ``method`` and ``target``, or the reason for none.

        :param target: path and query as the caller sent them (origin form).
        """
        path = target.partition(b"?")[0]
        if _PLAIN_PATH.fullmatch(path):
            plain = tuple(path.split(b"/")[1:])
            return self._find_by_segments(method, plain if plain[-1] else plain[:-1])
        ambiguity = _find_ambiguity(path)
        if ambiguity is not None:
            return TargetRefused(ambiguity)
        segments = _split(path)
        # Some upstreams strip path parameters after ";", others keep them as text. The
        # target is accepted only if both interpretations match the same route.
        without_parameters = tuple(segment.partition(b";")[0] for segment in segments)
        result = self._find_by_segments(method, segments)
        if without_parameters != segments and result != self._find_by_segments(
            method, without_parameters
        ):
            return TargetRefused('a path parameter (";") hides a route')
        return result

    def _find_by_segments(self, method: str, segments: _Segments) -> RouteResult:
        for length in range(len(segments), -1, -1):
            matches = self._routes.get(segments[:length])
            if matches is None:
                continue
            for match in matches:
                if method in match.route.methods:
                    return match
            return MethodNotAllowed(
                frozenset().union(*(match.route.methods for match in matches))
            )
        return RouteNotFound()


def _split(path: bytes) -> _Segments:
    """Returns the decoded segments of a path, ignoring a trailing slash."""
    segments = tuple(unquote_to_bytes(part) for part in path.split(b"/")[1:])
    return segments[:-1] if segments and not segments[-1] else segments


def _find_ambiguity(path: bytes) -> str | None:
    """Returns why a raw path is ambiguous, or None if it is unambiguous."""
    if not path.startswith(b"/"):
        return 'the target must be a path that starts with "/"'
    if _RAW_FORBIDDEN.search(path):
        return "the path contains a character that must be percent-encoded"
    if _MALFORMED_ESCAPE.search(path):
        return "the path contains a malformed percent-encoding"
    if _ENCODED_SEPARATOR.search(path):
        return "the path contains an encoded separator"
    if _DOUBLE_ENCODED.search(path):
        return "the path contains a doubly encoded character"
    if b"//" in path:
        return "the path contains an empty segment"
    return _find_decoded_ambiguity(path)


def _find_decoded_ambiguity(path: bytes) -> str | None:
    decoded = unquote_to_bytes(path)
    if _DECODED_CONTROL.search(decoded):
        return "the path contains a control character"
    try:
        decoded.decode()
    except UnicodeDecodeError:
        # Lenient decoders read overlong encodings such as %c0%ae as ".".
        return "the path is not valid UTF-8"
    for segment in decoded.split(b"/"):
        if segment.partition(b";")[0] in (b".", b".."):
            return "the path contains a dot segment"
        if segment.startswith(b";"):
            return "the path contains an empty segment with parameters"
    return None
