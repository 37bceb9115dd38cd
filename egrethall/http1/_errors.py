"""Errors of HTTP/1.1 connections."""

from egrethall.types import EgrethallError


class HttpConnectionError(EgrethallError):
    """An HTTP connection could not be opened, or it failed."""


class ConnectError(HttpConnectionError):
    """The connection could not be opened, so nothing was sent."""


class ConnectionLostError(HttpConnectionError):
    """An open connection ended early, or an HTTP protocol error occurred on it."""
