"""One authenticated connection to a peer."""

from ssl import SSLError
from typing import Protocol

import anyio
import anyio.abc

from egrethall.leases import HEARTBEAT_SECONDS
from egrethall.peers._codec import (
    LENGTH_BYTES,
    decode_message,
    encode_message,
)
from egrethall.peers._counters import PeerMeter
from egrethall.peers._errors import PeerCodecError
from egrethall.peers._frames import FrameReader
from egrethall.peers._handshake import AuthenticatedPeer
from egrethall.peers._queue import SendQueue
from egrethall.types import (
    Clock,
    Heartbeat,
    HeartbeatAck,
    PeerMessage,
)

#: Extra time that the accepting side waits for the heartbeat of the dialing side. The
#: accepting side then sends its own heartbeat together with the answer, which saves one
#: TCP segment per pair of instances and interval.
ACCEPTOR_HEARTBEAT_DELAY_SECONDS = 0.1
#: Time without a frame after which a link is closed: three heartbeat intervals.
SILENCE_SECONDS = 1.5
#: Limit on receiving one frame; a large configuration text on a slow connection may
#: take this long.
FRAME_SECONDS = 10.0

#: Exceptions that a stream raises when its connection is closed or broken.
STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    SSLError,
)


class LinkReceiver(Protocol):
    """Builds the heartbeats and handles the messages of a :class:`PeerLink`."""

    def send_heartbeat(self, link: "PeerLink") -> None:
        """Queues the next heartbeat on ``link``."""
        ...

    def receive_message(self, link: "PeerLink", message: PeerMessage) -> None:
        """Handles a message; must not block, because it would delay heartbeats."""
        ...


class PeerLink:
    """The connection to one run of a peer, with its read, write and heartbeat loops."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        reader: FrameReader,
        peer: AuthenticatedPeer,
        receiver: LinkReceiver,
        clock: Clock,
        meter: PeerMeter,
        initiates_heartbeats: bool,
    ) -> None:
        """Takes over a connection after its handshake.

        :param stream: The connection; :meth:`run` closes it.
        :param reader: The reader that took part in the handshake.
        :param peer: The authenticated other side.
        :param receiver: Builds heartbeats and handles messages.
        :param clock: Measures silence.
        :param meter: Counts messages.
        :param initiates_heartbeats: True on the dialing side.
        """
        self._stream = stream
        self._reader = reader
        self._peer = peer
        self._receiver = receiver
        self._clock = clock
        self._meter = meter
        self._queue = SendQueue()
        self._is_writing = False
        self._flushed = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._close_reason: str | None = None
        self._last_frame_seconds = clock.monotonic_seconds()
        self._last_bytes_seconds = self._last_frame_seconds
        self._initiates_heartbeats = initiates_heartbeats
        self._heartbeat_due_seconds = self._last_frame_seconds
        if not initiates_heartbeats:
            self._heartbeat_due_seconds += ACCEPTOR_HEARTBEAT_DELAY_SECONDS

    @property
    def peer(self) -> AuthenticatedPeer:
        """The other side."""
        return self._peer

    @property
    def close_reason(self) -> str | None:
        """Why the link was closed, or None while it is open."""
        return self._close_reason

    @property
    def is_flushed(self) -> bool:
        """True if all queued messages have been passed to the operating system."""
        return self._queue.is_empty and not self._is_writing

    @property
    def send_queue(self) -> SendQueue:
        """The messages waiting for the write loop."""
        return self._queue

    def send_message(self, message: PeerMessage) -> bool:
        """Queues ``message``; returns False if it was dropped, which is counted.

        :raises PeerCodecError: a value of ``message`` is out of range.
        """
        return self.send_payload(type(message).__name__, encode_message(message))

    def send_payload(self, kind: str, payload: bytes) -> bool:
        """Queues an encoded message; returns False if it was dropped."""
        if self._close_reason is not None:
            self._meter.count_dropped_message("link-closed")
            return False
        if kind in _HEARTBEAT_KINDS:
            is_queued = self._queue.offer_heartbeat(kind, payload)
        else:
            is_queued = self._queue.offer(kind, payload)
        if not is_queued:
            self._meter.count_dropped_message("queue-full")
        return is_queued

    def close(self, reason: str) -> None:
        """Ends :meth:`run`; later calls do not change the reason."""
        if self._close_reason is None:
            self._close_reason = reason
        self._flushed.set()
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    async def wait_flushed(self) -> bool:
        """Waits until the send queue is written; returns False if the link closed."""
        while not self.is_flushed and self._close_reason is None:
            if self._flushed.is_set():
                self._flushed = anyio.Event()
            await self._flushed.wait()
        return self._close_reason is None

    async def run(self) -> None:
        """Serves the connection until it breaks, times out or is closed."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                if self._close_reason is not None:
                    return
                tasks.start_soon(self._read_messages)
                tasks.start_soon(self._write_frames)
                tasks.start_soon(self._send_heartbeats)
        finally:
            self.close("stopped")
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _read_messages(self) -> None:
        try:
            while True:
                # Frames may have been received together with the end of the handshake.
                self._handle_frames()
                if self._close_reason is not None:
                    return
                await self._reader.receive_bytes()
                self._last_bytes_seconds = self._clock.monotonic_seconds()
        except PeerCodecError:
            self.close("malformed")
        except STREAM_ERRORS:
            self.close("disconnected")

    def _handle_frames(self) -> None:
        for payload in self._reader.iterate_frames():
            self._last_frame_seconds = self._last_bytes_seconds
            message = decode_message(payload)
            kind = type(message).__name__
            self._meter.count_received(kind, LENGTH_BYTES + len(payload))
            self._receiver.receive_message(self, message)
            if self._close_reason is not None:
                return
            if type(message) is Heartbeat:
                self._send_heartbeat_with_ack(self._last_bytes_seconds)

    async def _write_frames(self) -> None:
        try:
            while True:
                await self._queue.wait_until_not_empty()
                batch = self._queue.take_batch()
                self._is_writing = True
                await self._stream.send(b"".join([frame for _, frame in batch]))
                self._is_writing = False
                if self._queue.is_empty:
                    self._flushed.set()
                for kind, frame in batch:
                    self._meter.count_sent(kind, len(frame))
        except STREAM_ERRORS:
            self.close("disconnected")

    async def _send_heartbeats(self) -> None:
        while True:
            now_seconds = self._clock.monotonic_seconds()
            if now_seconds >= self._find_silence_deadline():
                self.close("silent")
                return
            if now_seconds >= self._heartbeat_due_seconds:
                self._send_heartbeat(now_seconds)
            wake_seconds = min(
                self._heartbeat_due_seconds, self._find_silence_deadline()
            )
            await anyio.sleep(wake_seconds - now_seconds)

    def _send_heartbeat_with_ack(self, now_seconds: float) -> None:
        remaining_seconds = self._heartbeat_due_seconds - now_seconds
        if not self._initiates_heartbeats and remaining_seconds < HEARTBEAT_SECONDS / 2:
            self._send_heartbeat(now_seconds)

    def _send_heartbeat(self, now_seconds: float) -> None:
        if self._initiates_heartbeats:
            # All links that this instance dialed send at the same moments, so that the
            # process wakes up once for them. Adding a quarter of the interval keeps
            # a timer that fires early from scheduling the same moment again.
            elapsed_intervals = (
                now_seconds + HEARTBEAT_SECONDS / 4
            ) // HEARTBEAT_SECONDS
            self._heartbeat_due_seconds = (elapsed_intervals + 1) * HEARTBEAT_SECONDS
        else:
            self._heartbeat_due_seconds = (
                now_seconds + HEARTBEAT_SECONDS + ACCEPTOR_HEARTBEAT_DELAY_SECONDS
            )
        self._receiver.send_heartbeat(self)

    def _find_silence_deadline(self) -> float:
        if self._reader.has_partial_frame:
            return min(
                self._last_bytes_seconds + SILENCE_SECONDS,
                self._last_frame_seconds + FRAME_SECONDS,
            )
        return self._last_frame_seconds + SILENCE_SECONDS


_HEARTBEAT_KINDS = frozenset({Heartbeat.__name__, HeartbeatAck.__name__})
