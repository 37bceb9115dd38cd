"""What may pass in headers between callers and upstreams."""

import functools
import itertools
import re
from collections.abc import Iterable

from egrethall.ingress._framing import NAME_CACHE_SIZE
from egrethall.ingress._key_search import contains_key
from egrethall.types import HOP_BY_HOP_HEADERS, Headers

#: Besides RFC 9110, ``http2-settings`` of RFC 7540 section 3.2.1.
_HOP_BY_HOP = HOP_BY_HOP_HEADERS | {b"http2-settings"}

#: Headers that carry a key or could carry one.
_CREDENTIALS = frozenset({b"authorization", b"x-api-key", b"proxy-authorization"})

#: Claims about the caller's address or identity that only egrethall may make.
_CLAIMS = frozenset(
    {
        b"forwarded",
        b"request-timeout-ms",
        b"x-organisation",
        b"x-real-ip",
        b"x-request-id",
    }
)
_CLAIM_PREFIX = b"x-forwarded"

#: ``expect`` has been answered by the server; the length of the body is in
#: :attr:`~egrethall.types.CallRequest.content_length`.
_HANDLED = frozenset({b"content-length", b"expect"})

_REMOVED_FROM_REQUESTS = _HOP_BY_HOP | _CREDENTIALS | _CLAIMS | _HANDLED

#: Headers with a meaning between upstreams and egrethall, and headers of
#: refusals, which an upstream must not be able to forge.
_REMOVED_FROM_RESPONSES = _HOP_BY_HOP | {
    b"load-report",
    b"load-shed",
    b"x-refusal-reason",
    b"x-request-id",
    b"x-request-run",
}

#: Control characters except the horizontal tab (RFC 9110 section 5.5).
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

#: Headers that stay although a caller lists them in ``Connection``.
_NEVER_HOP_BY_HOP = frozenset({b"content-length", b"host"})


def clean_request_headers(
    headers: Iterable[tuple[bytes, bytes]], request_id: str, organisation: str
) -> Headers:
    """Returns the headers that an upstream receives.

    Underscores count as hyphens when names are compared, because some upstreams
    treat them alike. ``request-timeout-ms`` is removed here and set by the transport
    for each attempt, since the time left differs between attempts.
    """
    received = [(name.lower(), value) for name, value in headers]
    listed = _find_connection_options(received)
    kept = [
        (name, value)
        for name, value in received
        if _is_end_to_end_request(name)
        and name not in listed
        and not contains_key(value)
        and not contains_key(name)
    ]
    kept.append((b"x-request-id", request_id.encode("ascii")))
    if organisation:
        kept.append((b"x-organisation", organisation.encode("utf-8")))
    return tuple(kept)


def clean_response_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an upstream's answer that a caller receives.

    Raises :class:`ValueError` for control characters, with which an upstream could
    forge headers or a whole answer.
    """
    received = [(name.lower(), value) for name, value in headers]
    # The space between the parts is no control character.
    if _CONTROL.search(b" ".join(itertools.chain.from_iterable(received))):
        raise ValueError("a header of the upstream contains a control character")
    listed = _find_connection_options(received)
    return [
        (name, value)
        for name, value in received
        if name not in _REMOVED_FROM_RESPONSES and name not in listed
    ]


@functools.lru_cache(maxsize=NAME_CACHE_SIZE)
def _is_end_to_end_request(name: bytes) -> bool:
    canonical = name.replace(b"_", b"-")
    return not (
        canonical in _REMOVED_FROM_REQUESTS or canonical.startswith(_CLAIM_PREFIX)
    )


def _find_connection_options(
    headers: Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    options = {option.strip().lower() for option in b",".join(values).split(b",")}
    return frozenset(options - _NEVER_HOP_BY_HOP)
