"""Probes of upstreams' load over HTTP."""

import json
from collections import OrderedDict

import anyio
import httpx

from egrethall.forwarding.transport._aiohttp import open_aiohttp_connection
from egrethall.forwarding.transport._connections import IDLE_SECONDS
from egrethall.forwarding.transport._headers import parse_load_report
from egrethall.forwarding.transport._messages import (
    OutgoingMessage,
    UpstreamConnection,
)
from egrethall.types import (
    AttemptTimeoutError,
    Clock,
    ConnectFailedError,
    ConnectionBrokenError,
    LoadReport,
    SystemClock,
    Upstream,
)

#: Longest answer of a probe that is read.
MAX_PROBE_BYTES = 4096

OK_STATUS = 200


class HttpUpstreamProber:
    """Reads ``GET /load``, with the fields of ``load-report`` as a JSON object.

    Each upstream has one connection of its own, which is closed when it was idle too
    long.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        #: Idle connections and the times since then, by address, oldest first.
        self._idle: OrderedDict[str, tuple[UpstreamConnection, float]] = OrderedDict()

    async def aclose(self) -> None:
        """Closes the connections."""
        while self._idle:
            await self._idle.popitem()[1][0].aclose()

    async def probe(self, upstream: Upstream, timeout_seconds: float) -> LoadReport:
        """Returns the load of ``upstream``.

        Raises :class:`~egrethall.types.UpstreamError`: without a connection
        :class:`~egrethall.types.ConnectFailedError`.
        """
        await self._close_old()
        idle = self._idle.pop(upstream.address, None)
        connection = open_aiohttp_connection() if idle is None else idle[0]
        try:
            with anyio.fail_after(timeout_seconds):
                content = await _read_load(
                    connection, upstream.address, timeout_seconds
                )
        except BaseException as error:
            await connection.aclose()
            if isinstance(error, httpx.ConnectError):
                raise ConnectFailedError(
                    upstream.name, "probe not connected"
                ) from error
            if isinstance(error, (TimeoutError, httpx.TimeoutException)):
                raise AttemptTimeoutError(upstream.name, "probe timed out") from error
            if isinstance(error, (httpx.HTTPError, OSError, ValueError)):
                raise ConnectionBrokenError(upstream.name, "probe broke off") from error
            raise
        await self._keep(upstream.address, connection)
        report = None if content is None else _parse_load(content)
        if report is None:
            raise ConnectionBrokenError(upstream.name, "probe answer is malformed")
        return report

    async def _keep(self, address: str, connection: UpstreamConnection) -> None:
        surplus = self._idle.pop(address, None)
        self._idle[address] = (connection, self._clock.monotonic_seconds())
        if surplus is not None:
            await surplus[0].aclose()

    async def _close_old(self) -> None:
        limit = self._clock.monotonic_seconds() - IDLE_SECONDS
        while self._idle:
            address, (connection, since) = next(iter(self._idle.items()))
            if since > limit:
                return
            del self._idle[address]
            await connection.aclose()


async def _read_load(
    connection: UpstreamConnection, address: str, timeout_seconds: float
) -> bytes | None:
    """Returns the content of an answer, or None if its status is not 200.

    Raises :class:`ValueError` if the content is too long for a load.
    """
    message = OutgoingMessage(
        address,
        "GET",
        b"/load",
        [(b"host", address.encode("ascii")), (b"accept", b"application/json")],
        b"",
        None,
        timeout_seconds,
        None,
    )
    response = await connection.exchange(message)
    content = b""
    while piece := await response.read():
        content += piece
        if len(content) > MAX_PROBE_BYTES:
            raise ValueError(f"longer than {MAX_PROBE_BYTES} bytes")
    await response.finish()
    return content if response.status == OK_STATUS else None


def _parse_load(content: bytes) -> LoadReport | None:
    try:
        fields = json.loads(content)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    text = ";".join(f"{name}={value}" for name, value in fields.items())
    return parse_load_report(text.encode("utf-8", "replace"))
