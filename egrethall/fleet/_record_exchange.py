"""Reads records from another instance instead of the store."""

import zlib

import anyio
import msgpack

from egrethall.fleet._frames import (
    MAX_MESSAGE_BYTES,
    receive_exactly,
    receive_length,
    send_frame,
)
from egrethall.http1 import ConnectError, expect_long_message, open_stream
from egrethall.types import Record, RecordBatch, RecordSourceError

#: Timeout for the whole exchange. Waiting longer is pointless, since another instance
#: can be asked.
EXCHANGE_TIMEOUT_SECONDS = 1.5

#: Time until the response begins, for an instance that lacks changes only. One that
#: does not respond must leave time to read from another.
RESPONSE_TIMEOUT_SECONDS = 0.5

#: Compression level of records: bytes between availability zones are billed, and a
#: starting fleet reads all records many times. Higher levels save little more.
COMPRESSION_LEVEL = 3


def encode_records(batch: RecordBatch) -> bytes:
    """Returns the message that carries ``batch``."""
    records = [[r.key, r.revision, r.value] for r in batch.records]
    message = msgpack.packb([batch.revision, batch.whole, records])
    return zlib.compress(message, COMPRESSION_LEVEL)


def decode_records(packed: bytes) -> RecordBatch:
    """Returns the batch in a message; raises :class:`ValueError`.

    Fields that a later release appends to the message or to a record are ignored.
    """
    try:
        revision, whole, records, *_ = msgpack.unpackb(_decompress(packed))
        return RecordBatch(
            int(revision),
            tuple(Record(str(key), int(at), value) for key, at, value, *_ in records),
            bool(whole),
        )
    except TypeError as error:
        raise ValueError(f"malformed records: {error}") from error


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
                expect_long_message(stream)
                await send_frame(stream, msgpack.packb(after_revision))
                length = await receive_length(stream)
                limit.deadline += EXCHANGE_TIMEOUT_SECONDS - begin_timeout_seconds
                packed = await receive_exactly(stream, length)
        return decode_records(packed)
    except (
        ConnectError,
        TimeoutError,
        anyio.EndOfStream,
        anyio.IncompleteRead,
        anyio.BrokenResourceError,
        ValueError,
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
