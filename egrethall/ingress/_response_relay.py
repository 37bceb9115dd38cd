"""Relays an upstream's answer to the caller."""

from email.utils import formatdate

from egrethall.ingress._caller_writer import CallerWriter
from egrethall.ingress._header_hygiene import clean_response_headers
from egrethall.types import ConnectionBrokenError, UpstreamResponse

#: Statuses whose answers have no body whatever their headers say (RFC 9110, 6.4.1).
BODILESS_STATUSES = frozenset({204, 304})


async def relay_answer(
    writer: CallerWriter,
    response: UpstreamResponse,
    request_id: str,
    method: str,
    close: bool,
) -> bytes:
    """Sends status, headers and body of ``response``, but for the body's last piece.

    Returns the last piece, which is to be sent with the end, or nothing if it is only
    known to have been the last after it was sent.

    The next piece is read from the upstream only when the last one has been sent.
    Raises :class:`~egrethall.ingress._caller_writer.CallerStalledError`, and
    :class:`~egrethall.types.ConnectionBrokenError` if the upstream's answer breaks
    off or does not have the length that it announced. The server does not check the
    length for HTTP/2 callers, so it is checked here.
    """
    try:
        headers = clean_response_headers(response.headers)
    except ValueError as error:
        raise ConnectionBrokenError("", str(error)) from error
    if response.status in BODILESS_STATUSES:
        # Callers built on the library h2 take this length for that of a body.
        headers = [pair for pair in headers if pair[0] != b"content-length"]
    headers.append((b"x-request-id", request_id.encode("ascii")))
    if not any(name == b"date" for name, _ in headers):
        headers.append((b"date", formatdate(usegmt=True).encode("ascii")))
    if close:
        headers.append((b"connection", b"close"))
    await writer.send_start(response.status, tuple(headers))
    announced_bytes = _find_announced_length(response, method)
    received_bytes = 0
    last_piece = b""
    async for chunk in response.stream():
        received_bytes += len(chunk)
        if announced_bytes is None or received_bytes < announced_bytes:
            await writer.send_body(chunk)
        elif received_bytes == announced_bytes and not last_piece:
            last_piece = chunk
        elif chunk:
            break
    if announced_bytes is not None and received_bytes != announced_bytes:
        raise ConnectionBrokenError(
            "", f"{received_bytes} bytes of body instead of {announced_bytes}"
        )
    return last_piece


def _find_announced_length(response: UpstreamResponse, method: str) -> int | None:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return None
    values = [
        value for name, value in response.headers if name.lower() == b"content-length"
    ]
    return int(values[0]) if values and values[0].isdigit() else None
