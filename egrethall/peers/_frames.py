"""Splits a byte stream into frames."""

from collections.abc import Iterator

import anyio.abc

from egrethall.peers._codec import LENGTH_BYTES, read_frame_length
from egrethall.peers._schema import MAXIMUM_FRAME_BYTES, MAXIMUM_HANDSHAKE_FRAME_BYTES

#: Most bytes read from a stream in one call.
RECEIVE_BYTES = 65_536


class FrameReader:
    """Splits a byte stream into the payloads of its frames.

    A length above the limit is rejected before any byte of the frame is buffered. The
    handshake limit applies until :meth:`allow_large_frames` is called.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._maximum_bytes = MAXIMUM_HANDSHAKE_FRAME_BYTES

    @property
    def has_partial_frame(self) -> bool:
        """True while the buffer holds an incomplete frame."""
        return bool(self._buffer)

    def allow_large_frames(self) -> None:
        """Raises the frame size limit, after the sender has been authenticated."""
        self._maximum_bytes = MAXIMUM_FRAME_BYTES

    async def receive_frame(self) -> bytes:
        """Waits for the next frame of a handshake and returns its payload.

        :raises PeerCodecError: the length is out of range.
        :raises anyio.EndOfStream: the stream ended.
        """
        while True:
            payload = self._take_frame()
            if payload is not None:
                return payload
            self._buffer += await self._stream.receive(MAXIMUM_HANDSHAKE_FRAME_BYTES)

    async def receive_bytes(self) -> None:
        """Waits for more bytes and adds them to the buffer."""
        self._buffer += await self._stream.receive(RECEIVE_BYTES)

    def iterate_frames(self) -> Iterator[bytes]:
        """Yields the payloads of the complete frames in the buffer.

        :raises PeerCodecError: the length of a frame is out of range.
        """
        while (payload := self._take_frame()) is not None:
            yield payload

    def _take_frame(self) -> bytes | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + read_frame_length(self._buffer, self._maximum_bytes)
        if len(self._buffer) < end:
            return None
        payload = bytes(memoryview(self._buffer)[LENGTH_BYTES:end])
        del self._buffer[:end]
        return payload
