"""The wire format of messages between entry instances.

A frame is a four-byte big-endian length followed by a ``msgpack`` array: the kind of
the message and its fields in the order of the data class. Values are decoded one by
one against the field types of the kind, so that a malicious frame is rejected at its
first invalid value and the decoder never builds larger objects than the largest valid
message.
"""

import struct

import msgpack

from egrethall.peers._errors import PeerCodecError
from egrethall.peers._fields import COUNT
from egrethall.peers._schema import (
    KIND_BY_CLASS,
    MAXIMUM_FRAME_BYTES,
    RECORD_BY_KIND,
)
from egrethall.types import PeerMessage

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size


def encode_message(message: PeerMessage) -> bytes:
    """Returns the payload of the frame that carries ``message``.

    :raises PeerCodecError: a value is out of range or the payload is too large.
    """
    known = KIND_BY_CLASS.get(type(message))
    if known is None:
        raise PeerCodecError(f"{type(message).__name__} is not a peer message")
    kind, record = known
    try:
        payload: bytes = msgpack.packb([kind, *record.pack(message)])
    except PeerCodecError as error:
        raise PeerCodecError(f"{type(message).__name__}.{error}") from None
    except UnicodeEncodeError as error:
        raise PeerCodecError(f"{type(message).__name__}: {error}") from None
    if len(payload) > MAXIMUM_FRAME_BYTES:
        raise PeerCodecError(
            f"{type(message).__name__} takes {len(payload)} bytes,"
            f" at most {MAXIMUM_FRAME_BYTES} allowed"
        )
    return payload


def decode_message(
    payload: bytes, maximum_bytes: int = MAXIMUM_FRAME_BYTES
) -> PeerMessage:
    """Returns the message in the payload of a frame.

    :raises PeerCodecError: the payload is not one valid message.
    """
    if len(payload) > maximum_bytes:
        raise PeerCodecError(f"{len(payload)} bytes, at most {maximum_bytes} allowed")
    # Arrays are read through their headers only, so msgpack itself never builds a
    # container.
    unpacker = msgpack.Unpacker(
        read_size=max(len(payload), 1),
        max_buffer_size=max(len(payload), 1),
        max_array_len=0,
        max_map_len=0,
        max_ext_len=0,
    )
    try:
        unpacker.feed(payload)
        message = _read_message(unpacker)
        read_bytes = unpacker.tell()
    except PeerCodecError:
        raise
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        # UnicodeDecodeError quotes the invalid bytes in its text; report its type only.
        raise PeerCodecError(f"not msgpack as expected: {type(error).__name__}") from (
            error
        )
    if read_bytes != len(payload):
        raise PeerCodecError(f"{len(payload) - read_bytes} bytes after the message")
    return message


def _read_message(unpacker: msgpack.Unpacker) -> PeerMessage:
    count = unpacker.read_array_header()
    if count < 1:
        raise PeerCodecError("the message has no kind")
    kind = COUNT.unpack(unpacker)
    record = RECORD_BY_KIND.get(kind)
    if record is None:
        raise PeerCodecError(f"unknown kind {kind}")
    message: PeerMessage = record.unpack_values(unpacker, count - 1)
    return message


def frame_payload(payload: bytes) -> bytes:
    """Returns the frame of ``payload``: its length and the payload itself."""
    return _LENGTH.pack(len(payload)) + payload


def read_frame_length(header: bytes | bytearray, maximum_bytes: int) -> int:
    """Returns the payload length in the header of a frame.

    :raises PeerCodecError: the length is 0 or above ``maximum_bytes``.
    """
    length: int = _LENGTH.unpack_from(header)[0]
    if not 1 <= length <= maximum_bytes:
        raise PeerCodecError(
            f"frame of {length} bytes, allowed are 1 to {maximum_bytes}"
        )
    return length
