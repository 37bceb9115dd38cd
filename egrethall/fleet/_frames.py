"""Messages with a length prefix on a stream between two instances."""

import struct

from anyio.abc import SocketStream

#: Limit for a message: the store's largest value and a thousand upstream entries.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

_LENGTH_PREFIX = struct.Struct(">I")


async def send_frame(stream: SocketStream, message: bytes) -> None:
    """Sends one message."""
    await stream.send(_LENGTH_PREFIX.pack(len(message)) + message)


async def receive_frame(
    stream: SocketStream, max_bytes: int = MAX_MESSAGE_BYTES
) -> bytes:
    """Returns the next message; raises :class:`ValueError` if it is too long."""
    return await receive_exactly(stream, await receive_length(stream, max_bytes))


async def receive_length(
    stream: SocketStream, max_bytes: int = MAX_MESSAGE_BYTES
) -> int:
    """Returns the length of the next message; :class:`ValueError` if it is too long."""
    prefix = await receive_exactly(stream, _LENGTH_PREFIX.size)
    length: int = _LENGTH_PREFIX.unpack(prefix)[0]
    if length > max_bytes:
        raise ValueError(f"message of {length} bytes exceeds the limit")
    return length


async def receive_exactly(stream: SocketStream, length: int) -> bytes:
    """Returns ``length`` bytes; raises :class:`anyio.EndOfStream` without them."""
    received = bytearray()
    while len(received) < length:
        received += await stream.receive(length - len(received))
    return bytes(received)
