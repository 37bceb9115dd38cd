"""Header fields on the way to and from an upstream."""

import functools
from collections.abc import Sequence
from dataclasses import dataclass

from egrethall.types import (
    HOP_BY_HOP_HEADERS,
    CallRequest,
    Headers,
    LoadReport,
    UpstreamState,
)

#: Fields that only egrethall may set on a request. ``expect`` is answered at the
#: caller's connection; a client would wait for it a second time.
OWN_REQUEST_FIELDS = HOP_BY_HOP_HEADERS | {
    b"content-length",
    b"expect",
    b"request-timeout-ms",
    b"x-organisation",
    b"x-request-id",
}

LOAD_REPORT_FIELD = b"load-report"
LOAD_SHED_FIELD = b"load-shed"

NOT_RUN_VALUE = b"not-run"

#: Distinct reports that are kept parsed; most responses repeat one of few.
REPORT_CACHE_SIZE = 1024

LOAD_REPORT_MAX_BYTES = 256
LOAD_REPORT_MAX_COUNT = 1_000_000
START_ID_MAX_LENGTH = 64

#: States that an upstream may report; the others are conclusions of egrethall.
REPORTED_STATES = {
    "cold": UpstreamState.COLD,
    "warm": UpstreamState.WARM,
    "draining": UpstreamState.DRAINING,
}

#: Methods whose requests carry ``content-length: 0`` if they have no content
#: (RFC 9110, section 8.6).
METHODS_WITH_CONTENT = frozenset({"POST", "PUT", "PATCH"})


def build_request_headers(
    request: CallRequest, address: str, content_length: int | None, timeout_ms: int
) -> list[tuple[bytes, bytes]]:
    """Returns the fields to send, in the caller's order.

    :param content_length: Length of the content in bytes, None if it is not known.
    """
    fields = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in OWN_REQUEST_FIELDS
    ]
    if not any(name.lower() == b"host" for name, _ in fields):
        fields.insert(0, (b"host", address.encode("ascii")))
    if content_length is None:
        fields.append((b"transfer-encoding", b"chunked"))
    elif content_length or request.method in METHODS_WITH_CONTENT:
        fields.append((b"content-length", b"%d" % content_length))
    fields.append((b"x-request-id", request.request_id.encode("utf-8")))
    if request.organisation is not None:
        fields.append((b"x-organisation", request.organisation.name.encode("utf-8")))
    fields.append((b"request-timeout-ms", b"%d" % timeout_ms))
    return fields


@dataclass(frozen=True)
class ResponseFields:
    """The header fields of a response, sorted by whom they concern."""

    #: What the caller gets, in order and with repetitions.
    end_to_end: Headers
    load_report: LoadReport | None
    #: Whether the upstream says that it did not run the request.
    says_not_run: bool


def sort_response_fields(raw: Sequence[tuple[bytes, bytes]]) -> ResponseFields:
    """Returns the fields of a response for its caller and for egrethall."""
    kept: list[tuple[bytes, bytes, bytes]] = []
    reports: list[bytes] = []
    sheds: list[bytes] = []
    named: set[bytes] = set()
    for name, value in raw:
        lower = name.lower()
        if lower == LOAD_REPORT_FIELD:
            reports.append(value)
        elif lower == LOAD_SHED_FIELD:
            sheds.append(value)
        elif lower == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
        elif lower not in HOP_BY_HOP_HEADERS:
            kept.append((lower, name, value))
    # Content-Length frames the message for the next hop too.
    named.discard(b"content-length")
    return ResponseFields(
        tuple((name, value) for lower, name, value in kept if lower not in named),
        parse_load_report(reports[0]) if len(reports) == 1 else None,
        sheds == [NOT_RUN_VALUE],
    )


@functools.lru_cache(maxsize=REPORT_CACHE_SIZE)
def parse_load_report(value: bytes) -> LoadReport | None:
    """Returns the report of a response, or None if it is malformed.

    A report that is partly wrong is dropped as a whole: a reading with a default in
    it would look like a real one.
    """
    if len(value) > LOAD_REPORT_MAX_BYTES:
        return None
    fields: dict[str, str] = {}
    for part in value.decode("latin-1").split(";"):
        name, separator, text = part.strip().partition("=")
        if not separator or name in fields:
            return None
        fields[name] = text
    in_flight = _parse_count(fields.get("in_flight", ""))
    slots = _parse_count(fields.get("slots", ""))
    state = REPORTED_STATES.get(fields.get("state", ""))
    start_id = fields.get("start_id", "")
    if in_flight is None or not slots or state is None:
        return None
    if not 0 < len(start_id) <= START_ID_MAX_LENGTH or not _is_visible(start_id):
        return None
    return LoadReport(in_flight, slots, state, start_id)


def _parse_count(text: str) -> int | None:
    if not (text.isascii() and text.isdigit() and len(text) <= 7):
        return None
    count = int(text)
    return count if count <= LOAD_REPORT_MAX_COUNT else None


def _is_visible(text: str) -> bool:
    return all("!" <= character <= "~" for character in text)
