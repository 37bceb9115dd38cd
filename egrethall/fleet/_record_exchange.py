"""Reads records from another instance instead of the store."""

import struct
import zlib

import anyio
import msgpack
import structlog
from anyio.abc import SocketStream

from egrethall.configuration import split_address
from egrethall.http1 import ConnectError, open_stream
from egrethall.records import RecordCache
from egrethall.types import Record, RecordBatch, RecordSourceError

#: Timeout for the whole exchange. Waiting longer is pointless, since another instance
#: can be asked.
EXCHANGE_TIMEOUT_SECONDS = 1.5

#: Time until the response begins, for an instance that lacks changes only. One that
#: does not respond must leave time to read from another.
RESPONSE_TIMEOUT_SECONDS = 0.5

#: Limit for a message: the store's largest value and a thousand upstream entries.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

#: Compression level of records: bytes between availability zones are billed, and a
#: starting fleet reads all records many times. Higher levels save little more.
COMPRESSION_LEVEL = 3

_LENGTH_PREFIX = struct.Struct(">I")

logger = structlog.get_logger(__name__)


class RecordServer:
    """Serves records to the instances that lack them."""

    def __init__(self, address: str, cache: RecordCache) -> None:
        self._address = address
        self._cache = cache

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = split_address(self._address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        await listener.serve(self._handle)

    async def _handle(self, stream: SocketStream) -> None:
        async with stream:
            try:
                with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
                    after_revision = int(msgpack.unpackb(await _receive(stream)))
                    batch = self._cache.find_changes(after_revision)
                    await _send(stream, encode_records(batch))
            except Exception as error:
                # A malformed request of one instance must not stop the server.
                logger.info("record request not answered", error=repr(error))


def encode_records(batch: RecordBatch) -> bytes:
    """Returns the message that carries ``batch``."""
    records = [[r.key, r.revision, r.value] for r in batch.records]
    message = msgpack.packb([batch.revision, batch.whole, records])
    return zlib.compress(message, COMPRESSION_LEVEL)


async def read_records_from_peer(address: str, after_revision: int) -> RecordBatch:
    """Returns the changes after a revision, read from the instance at ``address``.

    Raises :class:`RecordSourceError`.
    """
    begin_timeout_seconds = (
        RESPONSE_TIMEOUT_SECONDS if after_revision else EXCHANGE_TIMEOUT_SECONDS
    )
    try:
        with anyio.fail_after(begin_timeout_seconds) as limit:
            async with await open_stream(address, begin_timeout_seconds) as stream:
                await _send(stream, msgpack.packb(after_revision))
                length = await _receive_length(stream)
                limit.deadline += EXCHANGE_TIMEOUT_SECONDS - begin_timeout_seconds
                packed = await _receive_exactly(stream, length)
                revision, whole, records = msgpack.unpackb(_decompress(packed))
        return RecordBatch(
            int(revision),
            tuple(Record(str(key), int(at), value) for key, at, value in records),
            bool(whole),
        )
    except (
        ConnectError,
        TimeoutError,
        anyio.EndOfStream,
        anyio.IncompleteRead,
        anyio.BrokenResourceError,
        ValueError,
        TypeError,
    ) as error:
        raise RecordSourceError(f"{address}: {error!r}") from error


def _decompress(packed: bytes) -> bytes:
    """Returns the decompressed message; raises :class:`ValueError`."""
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(packed, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(f"message cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"message of over {MAX_MESSAGE_BYTES} bytes or cut off")
    return message


async def _send(stream: SocketStream, message: bytes) -> None:
    await stream.send(_LENGTH_PREFIX.pack(len(message)) + message)


async def _receive(stream: SocketStream) -> bytes:
    return await _receive_exactly(stream, await _receive_length(stream))


async def _receive_length(stream: SocketStream) -> int:
    prefix = await _receive_exactly(stream, _LENGTH_PREFIX.size)
    length: int = _LENGTH_PREFIX.unpack(prefix)[0]
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f"message of {length} bytes exceeds the limit")
    return length


async def _receive_exactly(stream: SocketStream, length: int) -> bytes:
    received = bytearray()
    while len(received) < length:
        received += await stream.receive(length - len(received))
    return bytes(received)
