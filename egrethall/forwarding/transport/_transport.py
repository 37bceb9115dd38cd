"""The transport of requests to upstreams."""

import ipaddress
import itertools
import re
from collections.abc import Callable

import anyio
import httpx

from egrethall.forwarding._failures import MalformedResponseError
from egrethall.forwarding.transport._aiohttp import open_aiohttp_connection
from egrethall.forwarding.transport._connections import (
    CONNECT_TIMEOUT_SECONDS,
    IDLE_SECONDS,
    ConnectionFactory,
    ConnectionPool,
    MalformedMessageError,
)
from egrethall.forwarding.transport._headers import build_request_headers
from egrethall.forwarding.transport._messages import OutgoingBody, OutgoingMessage
from egrethall.forwarding.transport._responses import (
    BODY_IDLE_TIMEOUT_SECONDS,
    ConnectionUse,
    HttpxUpstreamResponse,
)
from egrethall.types import (
    AttemptTimeoutError,
    CallRequest,
    Clock,
    ConnectFailedError,
    ConnectionBrokenError,
    Refusal,
    RefusalReason,
    RefusedError,
    SystemClock,
    Upstream,
    UpstreamResponse,
)

#: Characters that may stand in a request target (RFC 9112, section 3.2, and the
#: visible characters that browsers leave unquoted).
TARGET_PATTERN = re.compile(rb"[\x21-\x7e]+")

#: Bytes that would end a field early.
LINE_BREAK_PATTERN = re.compile(rb"[\r\n\0]")

#: Time between two searches for connections that were idle too long.
CLEANING_INTERVAL_SECONDS = 1.0


class HttpxUpstreamTransport:
    """An :class:`~egrethall.types.UpstreamTransport` over transports of httpx.

    Nothing of an HTTP client stands between: no cookies, redirects, proxy variables,
    decompression, added fields or retries. Each connection is a transport of its
    own, so that the number and age of connections are known here, and a connection
    whose request was cancelled, timed out or broke is closed for certain.

    :param connection_limit: Returns how many connections this instance may have to
        an upstream, both kinds of requests together.
    :param open_connection: Opens the transport of one connection.
    """

    def __init__(
        self,
        connection_limit: Callable[[Upstream], int],
        clock: Clock | None = None,
        open_connection: ConnectionFactory = open_aiohttp_connection,
        body_idle_timeout_seconds: float = BODY_IDLE_TIMEOUT_SECONDS,
    ) -> None:
        self._connection_limit = connection_limit
        self._clock = clock or SystemClock()
        self._open_connection = open_connection
        self._body_idle_timeout_seconds = body_idle_timeout_seconds
        self._pools: dict[str, ConnectionPool] = {}

    async def send(
        self, upstream: Upstream, request: CallRequest, timeout_seconds: float
    ) -> UpstreamResponse:
        """Returns the response once its header fields have arrived.

        Raises :class:`ConnectFailedError` if no connection was made,
        :class:`ConnectionBrokenError` or :class:`AttemptTimeoutError` if the request
        may have run, :class:`RequestBodyError` if the caller's body broke off, and
        :class:`RefusedError` with ``bad-request`` for a target or field that cannot
        be sent as it is.
        """
        _check_sendable(request)
        pool = self._find_pool(upstream)
        started_seconds = self._clock.monotonic_seconds()
        use = await self._acquire(pool, upstream, request, timeout_seconds)
        waited_seconds = self._clock.monotonic_seconds() - started_seconds
        left_seconds = timeout_seconds - waited_seconds
        try:
            if left_seconds <= 0:
                raise ConnectFailedError(
                    upstream.name, "the wait for a connection took all the time"
                )
            return await self._exchange(use, upstream, request, left_seconds)
        except BaseException:
            await use.discard()
            raise

    async def close_idle(self, older_than_seconds: float = IDLE_SECONDS) -> None:
        """Closes idle connections and forgets upstreams that have none."""
        for address, pool in list(self._pools.items()):
            await pool.close_idle(older_than_seconds)
            if pool.is_unused:
                self._pools.pop(address, None)

    async def run(self) -> None:
        """Closes connections that were idle too long, until cancelled."""
        try:
            while True:
                await anyio.sleep(CLEANING_INTERVAL_SECONDS)
                await self.close_idle()
        finally:
            with anyio.CancelScope(shield=True):
                await self.close_idle(0.0)

    def count_connections(self, upstream: Upstream) -> int:
        """Returns the number of connections to ``upstream``, idle ones included."""
        pool = self._pools.get(upstream.address)
        return 0 if pool is None else pool.open_count

    async def _acquire(
        self,
        pool: ConnectionPool,
        upstream: Upstream,
        request: CallRequest,
        timeout_seconds: float,
    ) -> ConnectionUse:
        limit = max(1, self._connection_limit(upstream))
        fresh = not request.idempotent
        idle = pool.take_idle(limit, fresh)
        if idle is not None:
            return ConnectionUse(pool, idle)
        wait_seconds = min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
        try:
            with anyio.fail_after(wait_seconds):
                connection = await pool.acquire(limit, fresh)
        except TimeoutError as error:
            raise ConnectFailedError(
                upstream.name, f"none of {limit} connections came free in time"
            ) from error
        return ConnectionUse(pool, connection)

    async def _exchange(
        self,
        use: ConnectionUse,
        upstream: Upstream,
        request: CallRequest,
        timeout_seconds: float,
    ) -> UpstreamResponse:
        body = OutgoingBody(request)
        idle_seconds = self._body_idle_timeout_seconds
        # The time limit of the connection itself is cheaper than one for each piece
        # of the body, but it would also cut a longer wait for the header fields.
        is_watched = timeout_seconds < idle_seconds
        outgoing = _build_message(
            upstream,
            request,
            body,
            timeout_seconds,
            idle_seconds if is_watched else None,
        )
        try:
            response = await use.channel.exchange(outgoing)
        except TimeoutError as error:
            raise AttemptTimeoutError(
                upstream.name, f"no response within {timeout_seconds:.3f} s"
            ) from error
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise ConnectFailedError(
                upstream.name, f"no connection to {upstream.address}: {error}"
            ) from error
        except MalformedMessageError as error:
            raise MalformedResponseError(
                upstream.name, f"no HTTP response from {upstream.address}: {error}"
            ) from error
        except (httpx.TransportError, OSError) as error:
            if body.error is not None:
                raise body.error from error
            raise ConnectionBrokenError(
                upstream.name, f"connection to {upstream.address} broke: {error}"
            ) from error
        return HttpxUpstreamResponse(
            upstream.name,
            response,
            use,
            lambda: body.sent_whole or request.body.complete,
            None if is_watched else idle_seconds,
        )

    def _find_pool(self, upstream: Upstream) -> ConnectionPool:
        pool = self._pools.get(upstream.address)
        if pool is None:
            _check_address(upstream)
            pool = ConnectionPool(self._open_connection, self._clock)
            self._pools[upstream.address] = pool
        return pool


def _build_message(
    upstream: Upstream,
    request: CallRequest,
    body: OutgoingBody,
    timeout_seconds: float,
    read_timeout_seconds: float | None,
) -> OutgoingMessage:
    whole = request.body.prefix if request.body.complete else None
    length = len(whole) if whole is not None else request.content_length
    timeout_ms = max(1, int(timeout_seconds * 1000))
    return OutgoingMessage(
        upstream.address,
        request.method,
        request.target,
        build_request_headers(request, upstream.address, length, timeout_ms),
        whole,
        body,
        timeout_seconds,
        read_timeout_seconds,
    )


def _check_sendable(request: CallRequest) -> None:
    if not TARGET_PATTERN.fullmatch(request.target):
        raise RefusedError(
            Refusal(
                RefusalReason.BAD_REQUEST,
                "the request target contains a space, control or non-ASCII character",
            )
        )
    if _is_sendable_text(b" ".join(itertools.chain.from_iterable(request.headers))):
        return
    for name, value in request.headers:
        if not (_is_sendable_text(name) and _is_sendable_text(value)):
            raise RefusedError(
                Refusal(
                    RefusalReason.BAD_REQUEST,
                    f"field {name.decode('latin-1')} is not UTF-8 or has a line break",
                )
            )


def _is_sendable_text(text: bytes) -> bool:
    if LINE_BREAK_PATTERN.search(text):
        return False
    if text.isascii():
        return True
    try:
        text.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return True


def _check_address(upstream: Upstream) -> None:
    host, _, port = upstream.address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ConnectFailedError(
            upstream.name,
            f"address {upstream.address!r} must be an IP number and port",
        ) from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConnectFailedError(
            upstream.name, f"port of {upstream.address!r} must be 1 to 65535"
        )
