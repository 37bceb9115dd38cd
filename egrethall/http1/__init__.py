"""Client and server connections that speak HTTP/1.1 through :mod:`h11`."""

from egrethall.http1._body_buffer import BodyBuffer
from egrethall.http1._client import ClientConnection, ResponseHead
from egrethall.http1._errors import (
    ConnectError,
    ConnectionLostError,
    HttpConnectionError,
)
from egrethall.http1._listeners import (
    ConnectionLimits,
    open_client_listener,
    serve_listener,
)
from egrethall.http1._server import RequestHead, RequestRejectedError, ServerConnection
from egrethall.http1._sockets import (
    IDLE_READ_BYTES,
    IDLE_RECEIVE_BUFFER_BYTES,
    expect_long_message,
    open_stream,
)

__all__ = [
    "IDLE_READ_BYTES",
    "IDLE_RECEIVE_BUFFER_BYTES",
    "BodyBuffer",
    "ClientConnection",
    "ConnectError",
    "ConnectionLimits",
    "ConnectionLostError",
    "HttpConnectionError",
    "RequestHead",
    "RequestRejectedError",
    "ResponseHead",
    "ServerConnection",
    "expect_long_message",
    "open_client_listener",
    "open_stream",
    "serve_listener",
]
