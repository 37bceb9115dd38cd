"""The body of a caller's request, read through the ASGI interface."""

import asyncio
import enum
from collections.abc import AsyncIterator

import anyio

from egrethall.ingress._asgi import Message, Receive
from egrethall.types import Refusal, RefusalReason, RefusedError, RequestBodyError

#: Bytes that are read before a request is sent to an upstream (section 5.7).
MAX_PREFIX_BYTES = 64 * 1024

#: Longest silence of a caller that sends a body (section 5.7).
CALLER_IDLE_SECONDS = 15.0

#: Bound on the whole prefix, for callers that send single bytes just in time.
MAX_PREFIX_SECONDS = 60.0


#: Time for which the connection of a refused call is kept while its caller still
#: sends. Closing it with unread bytes makes the kernel reset it, and the caller can
#: lose the refusal.
LINGER_SECONDS = 1.0

#: Bound on reading the rest of a body that nobody wants.
DISCARD_SECONDS = 30.0

#: Passes of the event loop without a message after which the server has no more.
QUIET_LOOP_PASSES = 10

#: Tasks are referenced here because the event loop keeps weak references only.
_discarding_tasks: set[asyncio.Task[None]] = set()


class BodyFailure(enum.Enum):
    """Why a body could not be read to its end."""

    CALLER_GONE = "caller-gone"
    TOO_SLOW = "too-slow"
    TOO_LARGE = "too-large"
    #: The upstream's answer was whole before the body.
    NOT_NEEDED = "not-needed"
    #: More bytes than announced, or fewer.
    WRONG_LENGTH = "wrong-length"


class CallerReceiver:
    """The ASGI ``receive`` of one request, which notes when the body has ended."""

    def __init__(self, receive: Receive) -> None:
        self.ended = False
        self._receive = receive
        self._received_messages = 0
        self._discarding: asyncio.Task[None] | None = None

    async def __call__(self) -> Message:
        """Returns the next message of the server."""
        message = await self._receive()
        self._received_messages += 1
        if message["type"] == "http.disconnect" or not message.get("more_body", False):
            self.ended = True
        return message

    def discard_rest(self) -> None:
        """Starts to read and drop the rest of the body.

        The server waits for room in the queue of the call's messages, also when it
        ends the call: a call that leaves messages unread would block its connection
        for ever. A task of its own reads them, because the server's last message only
        comes after the application has returned.
        """
        if self.ended or self._discarding is not None:
            return
        self._discarding = asyncio.create_task(self._discard())
        _discarding_tasks.add(self._discarding)
        self._discarding.add_done_callback(_discarding_tasks.discard)

    async def wait_for_rest(self) -> None:
        """Returns when the body has ended, or after :data:`LINGER_SECONDS`."""
        if self._discarding is not None:
            await asyncio.wait({self._discarding}, timeout=LINGER_SECONDS)

    async def wait_until_quiet(self) -> None:
        """Returns when the server has handed over all that it has received."""
        passes_without_message = 0
        while not self.ended and passes_without_message < QUIET_LOOP_PASSES:
            received = self._received_messages
            await asyncio.sleep(0)
            passes_without_message += 1
            if self._received_messages != received:
                passes_without_message = 0

    async def _discard(self) -> None:
        with anyio.move_on_after(DISCARD_SECONDS):
            while not self.ended:
                await self()


class CallerRequestBody:
    """A :class:`~egrethall.types.RequestBody` that counts and times what it reads.

    At most :data:`MAX_PREFIX_BYTES` and one message of the server are held at a
    time. The server reads on only when a message was taken, so an upstream that
    reads slowly slows the caller down.
    """

    def __init__(
        self,
        receiver: CallerReceiver,
        announced_bytes: int | None,
        max_body_bytes: int,
        idle_seconds: float = CALLER_IDLE_SECONDS,
        max_prefix_seconds: float = MAX_PREFIX_SECONDS,
        http1: bool = False,
    ) -> None:
        """:param http1: Whether the server knows the end of a body without bytes from
        its head, so that the message comes at once.
        """
        self.prefix = b""
        self.complete = False
        #: Why reading failed; None while it has not.
        self.failure: BodyFailure | None = None
        #: True as soon as a byte may have gone to an upstream.
        self.streamed = False
        self._receiver = receiver
        self._announced_bytes = announced_bytes
        self._max_body_bytes = max_body_bytes
        self._idle_seconds = idle_seconds
        self._max_prefix_seconds = max_prefix_seconds
        self._counted_bytes = 0
        self._overflow = b""
        self._ended = False
        self._stopped = False
        self._reading = False
        self._http1 = http1
        self._reader_left = asyncio.Event()

    @property
    def length_bytes(self) -> int | None:
        """The length of the whole body, as far as it is known."""
        return len(self.prefix) if self.complete else self._announced_bytes

    async def read_prefix(self) -> None:
        """Reads until the body is complete or its prefix is full.

        Raises :class:`~egrethall.types.RefusedError` with ``body-too-large``,
        ``request-timeout`` or ``bad-request``, and
        :class:`~egrethall.types.RequestBodyError` if the caller has gone.
        """
        if self._announced_bytes == 0:
            if self._http1 and not self._receiver.ended:
                await self._receive_end()
            self.complete = True
            return
        if (
            self._announced_bytes is not None
            and self._announced_bytes > self._max_body_bytes
        ):
            self.failure = BodyFailure.TOO_LARGE
            raise RefusedError(self._describe_failure())
        try:
            with anyio.fail_after(self._max_prefix_seconds):
                await self._fill_prefix()
        except TimeoutError:
            self.failure = BodyFailure.TOO_SLOW
        except RequestBodyError:
            if self.failure is BodyFailure.CALLER_GONE:
                raise
        if self.failure is not None:
            raise RefusedError(self._describe_failure())

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields the whole body.

        Raises :class:`~egrethall.types.RequestBodyError` if the caller goes away,
        pauses too long or sends another length than it announced or may send.
        """
        if self.complete:
            self.streamed = True
            if self.prefix:
                yield self.prefix
            return
        if self.streamed:
            raise RequestBodyError("the body was sent once and cannot be read again")
        self.streamed = True
        self._reading = True
        try:
            yield self.prefix
            if self._overflow:
                overflow, self._overflow = self._overflow, b""
                yield overflow
            while not self._ended:
                chunk = await self._read_chunk()
                if chunk:
                    yield chunk
        finally:
            self._reading = False
            self._reader_left.set()

    async def wait_for_disconnect(self) -> None:
        """Returns when the caller has gone, once nobody else reads the body.

        What is left of the body then is read and dropped, so that a caller that
        sends everything before it reads the answer does not block.
        """
        if not self.complete:
            await self._reader_left.wait()
        while self.failure is not BodyFailure.CALLER_GONE:
            message = await self._receiver()
            if message["type"] == "http.disconnect":
                self.failure = BodyFailure.CALLER_GONE

    def release_reader(self) -> None:
        """Records that an upstream that has not begun to read will not begin."""
        if not self._reading:
            self._reader_left.set()

    def stop(self) -> None:
        """Ends reading for the upstream and drops the rest of the body.

        A reader that still waits gets :class:`~egrethall.types.RequestBodyError`, so
        that no upstream takes a body with a gap for a whole one.
        """
        if self._receiver.ended:
            return
        self._stopped = True
        self._receiver.discard_rest()

    async def _receive_end(self) -> None:
        message = await self._receiver()
        if message["type"] == "http.disconnect":
            raise self._fail(BodyFailure.CALLER_GONE)

    async def _fill_prefix(self) -> None:
        parts: list[bytes] = []
        held_bytes = 0
        while not self._ended and held_bytes < MAX_PREFIX_BYTES:
            chunk = await self._read_chunk()
            parts.append(chunk)
            held_bytes += len(chunk)
        whole = b"".join(parts) if len(parts) != 1 else parts[0]
        self.prefix = whole[:MAX_PREFIX_BYTES]
        self._overflow = whole[MAX_PREFIX_BYTES:]
        self.complete = self._ended and not self._overflow

    async def _read_chunk(self) -> bytes:
        if self._stopped:
            raise self._fail(BodyFailure.NOT_NEEDED)
        try:
            with anyio.fail_after(self._idle_seconds):
                message = await self._receiver()
        except TimeoutError:
            raise self._fail(BodyFailure.TOO_SLOW) from None
        if self._stopped:
            raise self._fail(BodyFailure.NOT_NEEDED)
        if message["type"] == "http.disconnect":
            raise self._fail(BodyFailure.CALLER_GONE)
        chunk: bytes = message.get("body", b"")
        self._ended = not message.get("more_body", False)
        self._counted_bytes += len(chunk)
        if self._counted_bytes > self._max_body_bytes:
            raise self._fail(BodyFailure.TOO_LARGE)
        if self._announced_bytes is not None and (
            self._counted_bytes > self._announced_bytes
            or (self._ended and self._counted_bytes < self._announced_bytes)
        ):
            raise self._fail(BodyFailure.WRONG_LENGTH)
        return chunk

    def _fail(self, failure: BodyFailure) -> RequestBodyError:
        self.failure = failure
        return RequestBodyError(f"the request body was not read: {failure.value}")

    def _describe_failure(self) -> Refusal:
        if self.failure is BodyFailure.TOO_LARGE:
            return Refusal(
                RefusalReason.BODY_TOO_LARGE,
                f"The body may have at most {self._max_body_bytes} bytes.",
            )
        if self.failure is BodyFailure.TOO_SLOW:
            return Refusal(
                RefusalReason.REQUEST_TIMEOUT, "The body did not arrive in time."
            )
        return Refusal(
            RefusalReason.BAD_REQUEST,
            "The body does not have the length that Content-Length announced.",
        )
