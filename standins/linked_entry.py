"""Runs an entry instance whose connections to upstreams lead through a proxy.

The environment variable ``ENTRY_LINKS`` holds a JSON object with the address of the
link by the address that it leads to. On loopback all instances have the same address,
so that a proxy in front of the upstreams could not tell them apart.
"""

import json
import os
import sys

from anyio.abc import SocketStream

from egrethall.entry.__main__ import main
from egrethall.http1 import _client, open_stream

LINKS_VARIABLE = "ENTRY_LINKS"

_LINKS: dict[str, str] = json.loads(os.environ.get(LINKS_VARIABLE, "{}"))


async def open_linked_stream(address: str, timeout_seconds: float) -> SocketStream:
    """Returns a stream to the link of an address, or to the address without one."""
    return await open_stream(_LINKS.get(address, address), timeout_seconds)


if __name__ == "__main__":
    _client.open_stream = open_linked_stream  # type: ignore[attr-defined]
    sys.exit(main())
