"""Refusals as HTTP responses."""

import json
import math
from email.utils import formatdate

from egrethall.ingress._caller_writer import CallerWriter
from egrethall.types import Refusal, RefusalReason

#: Refusals after which the rest of the connection cannot be trusted or is unwanted.
_CLOSING_REASONS = frozenset(
    {
        RefusalReason.BAD_REQUEST,
        RefusalReason.HEADERS_TOO_LARGE,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.REQUEST_TIMEOUT,
        RefusalReason.STOPPING,
    }
)


def closes_connection(reason: RefusalReason) -> bool:
    """Returns whether an HTTP/1.1 connection ends after this refusal."""
    return reason in _CLOSING_REASONS


def render_refusal(refusal: Refusal) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Returns the headers and the JSON body of ``refusal``.

    ``retry-after`` is in whole seconds, rounded up and at least 1.
    """
    body = json.dumps({"reason": refusal.reason.code, "detail": refusal.detail}).encode(
        "utf-8"
    )
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode("ascii")),
        (b"date", formatdate(usegmt=True).encode("ascii")),
        (b"x-refusal-reason", refusal.reason.code.encode("ascii")),
        (b"x-request-run", refusal.reason.run.value.encode("ascii")),
    ]
    if refusal.reason.status == 401:
        # RFC 9110 section 11.6.1 requires a challenge with this status.
        headers.append((b"www-authenticate", b"Bearer"))
    if refusal.retry_after_seconds is not None:
        seconds = max(1, math.ceil(refusal.retry_after_seconds))
        headers.append((b"retry-after", str(seconds).encode("ascii")))
    return headers, body


async def send_refusal(
    writer: CallerWriter,
    refusal: Refusal,
    request_id: str,
    close: bool = False,
    allowed_methods: frozenset[str] = frozenset(),
) -> None:
    """Sends ``refusal`` as the whole answer to a request."""
    headers, body = render_refusal(refusal)
    headers.append((b"x-request-id", request_id.encode("ascii")))
    if allowed_methods:
        headers.append((b"allow", ", ".join(sorted(allowed_methods)).encode("ascii")))
    if close:
        headers.append((b"connection", b"close"))
    await writer.send_start(refusal.reason.status, tuple(headers))
    await writer.send_end(body)
