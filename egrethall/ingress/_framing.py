"""Checks of a request's framing that the HTTP server leaves open.

A request that two programs could delimit or address in different ways is refused:
the difference could let one caller's bytes run as another caller's request.
"""

import functools
import re
from collections.abc import Iterable

from egrethall.ingress._asgi import Scope
from egrethall.ingress._key_search import contains_key
from egrethall.types import Refusal, RefusalReason, RefusedError

#: Bound on names and values together; the server's own bound is higher.
MAX_HEADER_BYTES = 32 * 1024
MAX_HEADER_COUNT = 100
MAX_TARGET_BYTES = 8 * 1024
MAX_IDEMPOTENCY_KEY_BYTES = 255

#: Header names whose check is remembered; callers use few different ones.
NAME_CACHE_SIZE = 1024

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_METHOD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
#: Control characters except the horizontal tab (RFC 9110 section 5.5).
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_TARGET = re.compile(rb"/[\x21\x22\x24-\x7e]*")
_QUERY = re.compile(rb"[\x21\x22\x24-\x7e]*")
_LENGTH = re.compile(rb"[0-9]{1,18}")
#: A registered name or an IP literal, with an optional port (RFC 3986 section 3.2).
_HOST = re.compile(
    rb"(?:[A-Za-z0-9._~!$&'()*+,;=%-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?"
)
_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]+")

#: Headers that RFC 9113 section 8.2.2 forbids in HTTP/2.
_CONNECTION_SPECIFIC = frozenset(
    {b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding"}
    | {b"upgrade", b"http2-settings"}
)


def check_framing(scope: Scope) -> int | None:
    """Returns the announced length of the body: None for chunked, 0 for no body.

    HTTP/2 requests without ``content-length`` count as chunked. Raises
    :class:`~egrethall.types.RefusedError` with ``bad-request``,
    ``headers-too-large`` or ``key-misplaced``.
    """
    version = scope["http_version"]
    if version not in ("1.1", "2"):
        raise _refuse("HTTP/1.1 or HTTP/2 is required.")
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    _check_headers(headers)
    _check_target(scope)
    _check_host(headers)
    if version == "2":
        _check_http2_headers(headers)
    return _check_length(headers, version)


def find_idempotency_key(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Returns the value of ``Idempotency-Key``, if any.

    Raises :class:`~egrethall.types.RefusedError` for a value that cannot be
    honoured; running the request without the guarantee would be worse.
    """
    values = [value for name, value in headers if name == b"idempotency-key"]
    if not values:
        return None
    if len(values) > 1:
        raise _refuse("Idempotency-Key occurs more than once.")
    if contains_key(values[0]):
        raise RefusedError(
            Refusal(RefusalReason.KEY_MISPLACED, "Idempotency-Key contains a key.")
        )
    if not _IDEMPOTENCY_KEY.fullmatch(values[0]) or (
        len(values[0]) > MAX_IDEMPOTENCY_KEY_BYTES
    ):
        raise _refuse(
            "Idempotency-Key must be 1 to 255 visible ASCII characters without spaces."
        )
    return values[0]


def _check_headers(headers: list[tuple[bytes, bytes]]) -> None:
    size = sum(len(name) + len(value) for name, value in headers)
    if size > MAX_HEADER_BYTES or len(headers) > MAX_HEADER_COUNT:
        raise RefusedError(
            Refusal(
                RefusalReason.HEADERS_TOO_LARGE,
                f"At most {MAX_HEADER_COUNT} headers with {MAX_HEADER_BYTES} bytes "
                "are allowed.",
            )
        )
    if not all(_is_token(name) for name, _ in headers):
        raise _refuse("A header name contains a forbidden character.")
    # The space between the values is no control character.
    if _CONTROL.search(b" ".join([value for _, value in headers])):
        raise _refuse("A header value contains a control character.")
    if any(
        name == b"expect" and value.lower() != b"100-continue"
        for name, value in headers
    ):
        raise _refuse("Expect may only be 100-continue.")


@functools.lru_cache(maxsize=NAME_CACHE_SIZE)
def _is_token(name: bytes) -> bool:
    return _TOKEN.fullmatch(name) is not None


def _check_target(scope: Scope) -> None:
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    if scope["method"] == "CONNECT" or not _METHOD.fullmatch(scope["method"]):
        raise _refuse("The method is not supported.")
    if len(path) + len(query) > MAX_TARGET_BYTES:
        raise _refuse(f"The target must have at most {MAX_TARGET_BYTES} bytes.")
    if not _TARGET.fullmatch(path) or not _QUERY.fullmatch(query):
        raise _refuse(
            "The target must be a path that starts with a slash, and printable ASCII."
        )
    if contains_key(path):
        raise RefusedError(
            Refusal(RefusalReason.KEY_MISPLACED, "The path contains a key.")
        )


def _check_host(headers: list[tuple[bytes, bytes]]) -> None:
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1 or not _HOST.fullmatch(hosts[0]):
        raise _refuse("Exactly one valid Host is required.")
    if contains_key(hosts[0]):
        raise RefusedError(Refusal(RefusalReason.KEY_MISPLACED, "Host contains a key."))


def _check_http2_headers(headers: list[tuple[bytes, bytes]]) -> None:
    for name, value in headers:
        if name in _CONNECTION_SPECIFIC or (name == b"te" and value != b"trailers"):
            raise _refuse("HTTP/2 forbids headers about the connection.")


def _check_length(headers: list[tuple[bytes, bytes]], version: str) -> int | None:
    lengths = [value for name, value in headers if name == b"content-length"]
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    if encodings and lengths:
        raise _refuse("Content-Length and Transfer-Encoding exclude each other.")
    if len(lengths) > 1 or (lengths and not _LENGTH.fullmatch(lengths[0])):
        raise _refuse("Content-Length must occur once, as a decimal number.")
    if len(encodings) > 1 or (encodings and encodings[0].lower() != b"chunked"):
        raise _refuse("Transfer-Encoding may only be chunked.")
    if lengths:
        return int(lengths[0])
    return None if encodings or version == "2" else 0


def _refuse(detail: str) -> RefusedError:
    return RefusedError(Refusal(RefusalReason.BAD_REQUEST, detail))
