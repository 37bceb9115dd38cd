"""TCP streams to addresses."""

import anyio
from anyio.abc import SocketStream

from egrethall.configuration import split_address
from egrethall.http1._errors import ConnectError


async def open_stream(address: str, timeout_seconds: float) -> SocketStream:
    """Returns a connected stream; raises :class:`ConnectError`."""
    host, port = split_address(address)
    try:
        with anyio.fail_after(timeout_seconds):
            return await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"{address}: {error or 'connecting timed out'}") from error
