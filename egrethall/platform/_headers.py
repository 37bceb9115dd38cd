"""Decodes and encodes the platform's HTTP headers."""

import math
import re

from egrethall.types import (
    HOP_BY_HOP_HEADERS,
    CallerHead,
    Headers,
    UpstreamHead,
    UpstreamReading,
)

_ATTEMPT_ID = b"x-attempt-id"
_DEADLINE_MS = b"x-deadline-ms"
_EXPECTED_INSTANCE = b"x-expected-instance"
_INSTANCE_ID = b"x-instance-id"
_API_KEY = b"x-api-key"
_SERVER_LOAD = b"x-server-load"
_SERVER_LIMIT = b"server-limit"
_SERVER_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_NOT_EXECUTED = b"x-not-executed"
_SERVER_SIGNATURE = b"x-server-signature"
_TENANT = b"x-tenant"
_WARMUP_MS = b"x-warmup-ms"

#: Headers that are forwarded even if a ``Connection`` header lists them.
_ALWAYS_FORWARDED = frozenset({b"host", _ATTEMPT_ID})

#: Request headers that the instance sets itself or must not forward.
_NOT_FORWARDED_ON_REQUESTS = HOP_BY_HOP_HEADERS | {
    _DEADLINE_MS,
    _EXPECTED_INSTANCE,
    _API_KEY,
    _TENANT,
    b"content-length",
    b"expect",
}

_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,\s])timeout=(\d+)")

#: Fourth figure of ``x-server-load`` while requests take their usual time.
_USUAL_SLOWNESS_PERCENT = 100.0

MISDIRECTED_REQUEST_STATUS = 421
UNAVAILABLE_STATUS = 503


class PlatformExchangeFormat:
    """Implements :class:`~egrethall.types.ExchangeFormat` for the platform."""

    def decode_caller_head(self, headers: Headers) -> CallerHead:
        """Decodes the headers of a caller's request."""
        first_values = _index_first_values(headers)
        dropped = _NOT_FORWARDED_ON_REQUESTS | _find_connection_options(headers)
        time_limit_ms = _parse_non_negative(first_values.get(_DEADLINE_MS))
        key = first_values.get(_API_KEY)
        return CallerHead(
            request_id=first_values.get(_ATTEMPT_ID, b"").decode("latin-1"),
            time_limit_seconds=None
            if time_limit_ms is None
            else time_limit_ms / 1000.0,
            key=None if key is None else key.decode("latin-1"),
            # Some upstreams treat an underscore in a name as a hyphen, so that
            # ``x_tenant`` would act as ``x-tenant``.
            headers=tuple(
                pair for pair in headers if pair[0].replace(b"_", b"-") not in dropped
            ),
        )

    def encode_upstream_headers(
        self,
        head: CallerHead,
        organisation: str | None,
        upstream: str,
        time_left_seconds: float,
    ) -> Headers:
        """Returns the headers of a request to ``upstream``, without a body length."""
        added = [
            (_DEADLINE_MS, str(max(1, int(time_left_seconds * 1000))).encode()),
            (_EXPECTED_INSTANCE, upstream.encode("latin-1")),
        ]
        if organisation is not None:
            added.append((_TENANT, organisation.encode("latin-1")))
        return (*head.headers, *added)

    def decode_upstream_head(self, status: int, headers: Headers) -> UpstreamHead:
        """Decodes the status and the headers of an upstream's response."""
        first_values = _index_first_values(headers)
        dropped = (
            HOP_BY_HOP_HEADERS | {b"content-length"} | _find_connection_options(headers)
        )
        keep_alive = _KEEP_ALIVE_TIMEOUT.search(first_values.get(b"keep-alive", b""))
        return UpstreamHead(
            status=status,
            headers=tuple(pair for pair in headers if pair[0] not in dropped),
            request_id=first_values.get(_ATTEMPT_ID, b"").decode("latin-1"),
            signed=_SERVER_SIGNATURE in first_values,
            not_run=_NOT_EXECUTED in first_values
            or status == MISDIRECTED_REQUEST_STATUS,
            encoded=first_values.get(b"content-encoding", b"identity") != b"identity",
            misdirected=status == MISDIRECTED_REQUEST_STATUS,
            reading=_parse_load(first_values.get(_SERVER_LOAD)),
            upstream=first_values.get(_INSTANCE_ID, b"").decode("latin-1"),
            cold_seconds=(_parse_non_negative(first_values.get(_WARMUP_MS)) or 0.0)
            / 1000.0,
            rate_limit_per_second=_parse_non_negative(first_values.get(_SERVER_LIMIT)),
            leaving=first_values.get(_SERVER_LEAVING) == b"1",
            retry_after_seconds=_parse_non_negative(first_values.get(_RETRY_AFTER))
            if status == UNAVAILABLE_STATUS
            else None,
            idle_seconds=None if keep_alive is None else float(keep_alive.group(1)),
        )


def _index_first_values(headers: Headers) -> dict[bytes, bytes]:
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        first_values.setdefault(name, value)
    return first_values


def _find_connection_options(headers: Headers) -> frozenset[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    options = {
        option.strip().lower() for value in values for option in value.split(b",")
    }
    return frozenset(options - _ALWAYS_FORWARDED)


def _parse_non_negative(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_load(value: bytes | None) -> UpstreamReading | None:
    """Parses ``running,waiting,slots`` and, from shared machines, the slowness."""
    if value is None:
        return None
    figures = [_parse_non_negative(part) for part in value.split(b",")]
    if len(figures) < 3 or any(figure is None for figure in figures):
        return None
    running, waiting, slots, *optional = (figure or 0.0 for figure in figures)
    slowness_percent = optional[0] if optional else _USUAL_SLOWNESS_PERCENT
    return UpstreamReading(
        running=int(running),
        waiting=int(waiting),
        slots=max(1, int(slots)),
        slowness_ratio=slowness_percent / _USUAL_SLOWNESS_PERCENT,
    )
