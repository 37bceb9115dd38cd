"""Single connections of ``httpx-aiohttp``, without the habits of a client."""

import contextvars
import socket
from typing import NoReturn

import aiohttp
import httpx
import httpx_aiohttp
import yarl

from egrethall.forwarding.transport._connections import (
    FIELD_BYTES,
    IDLE_SECONDS,
    READ_BUFFER_BYTES,
    UNUSED_TLS_CONTEXT,
    MalformedMessageError,
    open_socket,
)
from egrethall.forwarding.transport._httpx import HttpxConnection

_target_variable: contextvars.ContextVar[tuple[str, list[tuple[bytes, bytes]]]] = (
    contextvars.ContextVar("egrethall_upstream_target")
)


class _NotConnectedError(Exception):
    """No connection was made. Not an error of aiohttp, which would be mapped."""


class _ConnectionLostError(Exception):
    """The connection was lost. Not an error of aiohttp, which would send again."""


class _MalformedError(Exception):
    """What came back is not HTTP."""


class _NumericResolver(aiohttp.abc.AbstractResolver):
    """A resolver that refuses names: addresses of upstreams are IP numbers."""

    async def resolve(
        self, host: str, port: int = 0, family: socket.AddressFamily = socket.AF_INET
    ) -> NoReturn:
        raise OSError(f"{host} is not an IP number; names are not looked up")

    async def close(self) -> None:
        """Does nothing: there is nothing open."""


async def _send_verbatim(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends target and fields as given, once.

    aiohttp sends an idempotent request again after a lost connection. It decides
    this by the class of the error, so this middleware raises one of another class.
    httpx-aiohttp maps "server disconnected" to a connect timeout, which would count
    as "not run"; the classes raised here pass it unmapped.
    """
    target, fields = _target_variable.get()
    # ``raw_path_qs`` of a path that contains "?" is the path itself, so that an
    # empty query keeps its question mark.
    request.url = yarl.URL.build(
        scheme="http",
        host=request.url.raw_host or "",
        port=request.url.port,
        path=target,
        encoded=True,
    )
    request.headers.clear()
    for name, value in fields:
        request.headers.add(name.decode("ascii"), value.decode("utf-8"))
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise _NotConnectedError(str(error)) from error
    except aiohttp.ClientResponseError as error:
        raise _MalformedError(error.message) from error
    except (aiohttp.ClientError, OSError) as error:
        raise _ConnectionLostError(str(error) or type(error).__name__) from error


def _open_socket(address_info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    return open_socket(family, kind, protocol)


def _open_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=1,
        keepalive_timeout=IDLE_SECONDS,
        happy_eyeballs_delay=None,
        use_dns_cache=False,
        resolver=_NumericResolver(),
        socket_factory=_open_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        requote_redirect_url=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type", "User-Agent"),
        middlewares=(_send_verbatim,),
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=FIELD_BYTES,
        max_field_size=FIELD_BYTES,
        timeout=aiohttp.ClientTimeout(total=None),
    )


class AiohttpConnection(httpx.AsyncBaseTransport):
    """One connection to one upstream.

    A request is sent with the target of its extension ``target`` and exactly its
    header fields. :class:`httpx.ConnectError` means that no connection was made;
    all other errors say that the request may have been sent.
    """

    def __init__(self) -> None:
        self._session = _open_session()
        self._transport = httpx_aiohttp.AiohttpTransport(
            verify=UNUSED_TLS_CONTEXT, trust_env=False, client=self._session
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Returns the response once its header fields have arrived."""
        target = request.extensions["target"].decode("ascii")
        token = _target_variable.set((target, request.headers.raw))
        try:
            response: httpx.Response = await self._transport.handle_async_request(
                request
            )
        except _NotConnectedError as error:
            raise httpx.ConnectError(str(error), request=request) from error
        except _MalformedError as error:
            raise MalformedMessageError(str(error), request=request) from error
        except (_ConnectionLostError, httpx.TransportError) as error:
            raise httpx.ReadError(str(error), request=request) from error
        finally:
            _target_variable.reset(token)
        return response

    async def aclose(self) -> None:
        """Closes the connection at once, whatever is in progress on it."""
        await self._session.close()


def open_aiohttp_connection() -> HttpxConnection:
    """Returns a transport of httpx-aiohttp that opens at most one connection."""
    return HttpxConnection(AiohttpConnection())
