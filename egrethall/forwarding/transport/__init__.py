"""Sending requests to upstreams over the transport interface of ``httpx``."""

from egrethall.forwarding.transport._aiohttp import (
    AiohttpConnection,
    open_aiohttp_connection,
)
from egrethall.forwarding.transport._connections import (
    CONNECT_TIMEOUT_SECONDS,
    FRESH_IDLE_SECONDS,
    IDLE_SECONDS,
    ConnectionFactory,
)
from egrethall.forwarding.transport._default import open_default_connection
from egrethall.forwarding.transport._headers import parse_load_report
from egrethall.forwarding.transport._prober import HttpUpstreamProber
from egrethall.forwarding.transport._responses import BODY_IDLE_TIMEOUT_SECONDS
from egrethall.forwarding.transport._transport import HttpxUpstreamTransport

__all__ = [
    "HttpUpstreamProber",
    "AiohttpConnection",
    "BODY_IDLE_TIMEOUT_SECONDS",
    "CONNECT_TIMEOUT_SECONDS",
    "ConnectionFactory",
    "FRESH_IDLE_SECONDS",
    "HttpxUpstreamTransport",
    "IDLE_SECONDS",
    "open_aiohttp_connection",
    "open_default_connection",
    "parse_load_report",
]
