"""Responses of upstreams, read piece by piece."""

from collections.abc import AsyncIterator, Callable

import anyio
import httpx

from egrethall.forwarding.transport._connections import Connection, ConnectionPool
from egrethall.forwarding.transport._headers import sort_response_fields
from egrethall.forwarding.transport._messages import IncomingMessage
from egrethall.types import ConnectionBrokenError

#: An upstream that sends no byte of its body for so long has gone silent.
BODY_IDLE_TIMEOUT_SECONDS = 15.0

NOT_RUN_STATUS = 503


class ConnectionUse:
    """The use of one connection for one request."""

    def __init__(self, pool: ConnectionPool, connection: Connection) -> None:
        self.channel = connection.channel
        self._pool = pool
        self._connection = connection

    def release(self) -> None:
        """Gives the connection back for further requests."""
        self._pool.release(self._connection)

    async def discard(self) -> None:
        """Closes the connection, also in a cancelled task."""
        await self._pool.discard(self._connection)


class HttpxUpstreamResponse:
    """An :class:`~egrethall.types.UpstreamResponse` over a response of httpx.

    :param is_request_sent: Returns whether the upstream got the whole request. An
        upstream may answer before; the rest of the request would reach it as the
        start of the next one.
    :param idle_timeout_seconds: Time to wait for each piece of the body, or None if
        the connection itself watches this.
    """

    def __init__(
        self,
        upstream: str,
        response: IncomingMessage,
        use: ConnectionUse,
        is_request_sent: Callable[[], bool],
        idle_timeout_seconds: float | None,
    ) -> None:
        fields = sort_response_fields(response.fields)
        self.status = response.status
        self.headers = fields.end_to_end
        self.load_report = fields.load_report
        self.not_run = self.status == NOT_RUN_STATUS and fields.says_not_run
        self._upstream = upstream
        self._response = response
        self._use = use
        self._is_request_sent = is_request_sent
        self._idle_timeout_seconds = idle_timeout_seconds
        self._finished = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes, without decoding its content.

        Raises :class:`ConnectionBrokenError` if the connection breaks before the
        body's end or stays silent for :data:`BODY_IDLE_TIMEOUT_SECONDS`.
        """
        while True:
            try:
                if self._idle_timeout_seconds is None:
                    piece = await self._response.read()
                else:
                    with anyio.fail_after(self._idle_timeout_seconds):
                        piece = await self._response.read()
            except (TimeoutError, httpx.TimeoutException) as error:
                raise ConnectionBrokenError(
                    self._upstream, "no byte of the body came in time"
                ) from error
            except (httpx.HTTPError, httpx.StreamError, OSError) as error:
                raise ConnectionBrokenError(
                    self._upstream, f"the body broke off: {error}"
                ) from error
            if not piece:
                break
            yield piece
        await self._end_whole()

    async def aclose(self) -> None:
        """Ends the response; closes its connection if the body was not read whole."""
        if not self._finished:
            self._finished = True
            await self._use.discard()

    async def _end_whole(self) -> None:
        if self._finished:
            return
        self._finished = True
        try:
            await self._response.finish()
        except BaseException:
            await self._use.discard()
            raise
        if self._is_request_sent():
            self._use.release()
        else:
            await self._use.discard()
