"""The bounded queue of messages to one peer."""

from collections import deque

import anyio

from egrethall.peers._codec import LENGTH_BYTES, frame_payload

#: Limit on messages waiting for one peer; about 1 s of loans at 1,000 per second.
MAXIMUM_QUEUED_MESSAGES = 1024
#: Limit on bytes waiting for one peer: one configuration text and one handover.
MAXIMUM_QUEUED_BYTES = 2_621_440
#: Limit on waiting heartbeats and answers; a longer queue is older than the silence
#: limit.
MAXIMUM_QUEUED_HEARTBEATS = 8
#: Frames are joined up to this size into one write.
MAXIMUM_BATCH_BYTES = 65_536


class SendQueue:
    """The frames waiting for the write loop of one link.

    Heartbeats and their answers have a separate queue that is sent first, so that a
    backlog of other messages does not delay them and make a live peer appear silent.
    """

    def __init__(self) -> None:
        self._heartbeats: deque[tuple[str, bytes]] = deque()
        self._messages: deque[tuple[str, bytes]] = deque()
        self._queued_bytes = 0
        self._not_empty = anyio.Event()

    @property
    def is_empty(self) -> bool:
        """True if no frame is waiting."""
        return not self._heartbeats and not self._messages

    @property
    def queued_bytes(self) -> int:
        """Total size of the waiting frames, heartbeats not included."""
        return self._queued_bytes

    @property
    def queued_messages(self) -> int:
        """Number of waiting messages, heartbeats not included."""
        return len(self._messages)

    def offer_heartbeat(self, kind: str, payload: bytes) -> bool:
        """Queues a heartbeat or its answer; returns False if their queue is full."""
        if len(self._heartbeats) >= MAXIMUM_QUEUED_HEARTBEATS:
            return False
        self._heartbeats.append((kind, frame_payload(payload)))
        self._not_empty.set()
        return True

    def offer(self, kind: str, payload: bytes) -> bool:
        """Queues a message; returns False if the queue is full."""
        frame_bytes = LENGTH_BYTES + len(payload)
        if (
            len(self._messages) >= MAXIMUM_QUEUED_MESSAGES
            or self._queued_bytes + frame_bytes > MAXIMUM_QUEUED_BYTES
        ):
            return False
        self._messages.append((kind, frame_payload(payload)))
        self._queued_bytes += frame_bytes
        self._not_empty.set()
        return True

    async def wait_until_not_empty(self) -> None:
        """Waits until at least one frame is queued."""
        while self.is_empty:
            self._not_empty = anyio.Event()
            await self._not_empty.wait()

    def take_batch(self) -> list[tuple[str, bytes]]:
        """Removes and returns the next frames with their kinds, at least one if any."""
        batch: list[tuple[str, bytes]] = []
        batch_bytes = 0
        while queue := self._heartbeats or self._messages:
            frame = queue[0][1]
            if batch and batch_bytes + len(frame) > MAXIMUM_BATCH_BYTES:
                break
            if queue is self._messages:
                self._queued_bytes -= len(frame)
            batch.append(queue.popleft())
            batch_bytes += len(frame)
        return batch
