"""Single connections of the default transport of ``httpx``."""

import httpx

from egrethall.forwarding.transport._connections import (
    IDLE_SECONDS,
    UNUSED_TLS_CONTEXT,
)
from egrethall.forwarding.transport._httpx import HttpxConnection


def open_default_connection() -> HttpxConnection:
    """Returns a transport of ``httpx`` that opens at most one connection."""
    return HttpxConnection(
        httpx.AsyncHTTPTransport(
            verify=UNUSED_TLS_CONTEXT,
            trust_env=False,
            retries=0,
            limits=httpx.Limits(
                max_connections=1,
                max_keepalive_connections=1,
                keepalive_expiry=IDLE_SECONDS,
            ),
        )
    )
