"""Connections behind the transport interface of ``httpx``."""

import functools
from collections.abc import AsyncIterator

import anyio
import httpx

from egrethall.forwarding.transport._connections import (
    CONNECT_TIMEOUT_SECONDS,
    MalformedMessageError,
)
from egrethall.forwarding.transport._messages import OutgoingMessage
from egrethall.types import FINAL_STATUSES

#: Addresses of upstreams whose parsed form is kept.
URL_CACHE_SIZE = 4096


class _HttpxMessage:
    """An :class:`IncomingMessage` over a response of httpx."""

    def __init__(self, response: httpx.Response) -> None:
        self.status = response.status_code
        self.fields = response.headers.raw
        self._response = response
        self._pieces: AsyncIterator[bytes] | None = None

    async def read(self) -> bytes:
        """Returns the next piece of the body, empty at its end."""
        if self._pieces is None:
            stream = self._response.stream
            if not isinstance(stream, httpx.AsyncByteStream):
                raise TypeError(f"stream of {type(stream).__name__} cannot be awaited")
            self._pieces = aiter(stream)
        while True:
            piece = await anext(self._pieces, None)
            if piece is None:
                return b""
            if piece:
                return piece

    async def finish(self) -> None:
        """Ends a response whose body was read to its end."""
        await self._response.aclose()


class HttpxConnection:
    """An :class:`UpstreamConnection` over a transport of httpx."""

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        self._transport = transport

    async def exchange(self, message: OutgoingMessage) -> _HttpxMessage:
        """Returns the response once its header fields have arrived."""
        with anyio.fail_after(message.timeout_seconds):
            response = await self._transport.handle_async_request(
                _build_request(message)
            )
        if response.status_code not in FINAL_STATUSES:
            # aiohttp takes 101 and all statuses outside 100 to 199 for final ones.
            raise MalformedMessageError(f"invalid status {response.status_code}")
        return _HttpxMessage(response)

    async def aclose(self) -> None:
        """Closes the connection at once, whatever is in progress on it."""
        await self._transport.aclose()


class _BodyStream(httpx.AsyncByteStream):
    """The body of a request for httpx."""

    def __init__(self, message: OutgoingMessage) -> None:
        self._body = message.body

    def __aiter__(self) -> AsyncIterator[bytes]:
        if self._body is None:
            raise httpx.LocalProtocolError("the message has neither content nor body")
        return aiter(self._body)


def _build_request(message: OutgoingMessage) -> httpx.Request:
    connect_seconds = min(CONNECT_TIMEOUT_SECONDS, message.timeout_seconds)
    extensions = {
        "target": message.target,
        "timeout": {
            "connect": connect_seconds,
            "pool": connect_seconds,
            "read": message.read_timeout_seconds,
            "write": None,
        },
    }
    outgoing = httpx.Request(
        message.method,
        _build_url(message.address),
        headers=message.fields,
        extensions=extensions,
        stream=_BodyStream(message) if message.content is None else None,
        # With empty content, httpx would add a length to requests without content.
        content=message.content or None,
    )
    # Saves httpx trying encodings on each field; all values are UTF-8.
    outgoing.headers.encoding = "utf-8"
    return outgoing


@functools.lru_cache(maxsize=URL_CACHE_SIZE)
def _build_url(address: str) -> httpx.URL:
    return httpx.URL(f"http://{address}/")
