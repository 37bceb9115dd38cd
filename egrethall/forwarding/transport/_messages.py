"""What a connection to an upstream sends and receives."""

from collections.abc import AsyncGenerator, Sequence
from typing import Protocol

from egrethall.types import CallRequest, RequestBodyError

Fields = list[tuple[bytes, bytes]]


class OutgoingBody:
    """A request body that is sent as it arrives, with what happened to it."""

    def __init__(self, request: CallRequest) -> None:
        self._request = request
        self.sent_whole = False
        self.error: RequestBodyError | None = None

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        try:
            async for piece in self._request.body.stream():
                if piece:
                    yield piece
        except RequestBodyError as error:
            self.error = error
            raise
        self.sent_whole = True


class OutgoingMessage:
    """A request as it goes to an upstream."""

    __slots__ = (
        "address",
        "body",
        "content",
        "fields",
        "method",
        "read_timeout_seconds",
        "target",
        "timeout_seconds",
    )

    def __init__(
        self,
        address: str,
        method: str,
        target: bytes,
        fields: Fields,
        content: bytes | None,
        body: OutgoingBody | None,
        timeout_seconds: float,
        read_timeout_seconds: float | None,
    ) -> None:
        #: IP number and port.
        self.address = address
        self.method = method
        self.target = target
        #: All header fields, ``content-length`` or ``transfer-encoding`` included.
        self.fields = fields
        #: The whole content, or None if ``body`` has it. One of them is there.
        self.content = content
        self.body = body
        #: Time until the header fields of the response.
        self.timeout_seconds = timeout_seconds
        #: Time limit for each read of the connection, None for none.
        self.read_timeout_seconds = read_timeout_seconds


class IncomingMessage(Protocol):
    """A response whose body has not been read yet."""

    @property
    def status(self) -> int:
        """The status."""
        ...

    @property
    def fields(self) -> Sequence[tuple[bytes, bytes]]:
        """The header fields, in order and with repetitions."""
        ...

    async def read(self) -> bytes:
        """Returns the next piece of the body, empty at its end.

        Raises :class:`TimeoutError`, :class:`OSError` or an error of httpx.
        """
        ...

    async def finish(self) -> None:
        """Ends a response whose body was read to its end."""
        ...


class UpstreamConnection(Protocol):
    """Opens at most one connection and carries one request at a time."""

    async def exchange(self, message: OutgoingMessage) -> IncomingMessage:
        """Returns the response once its header fields have arrived.

        Raises :class:`TimeoutError` if they do not arrive in time,
        :class:`httpx.ConnectError` if no connection was made,
        :class:`~egrethall.forwarding.transport._connections.MalformedMessageError`
        for a response that is not HTTP, and other errors of httpx if the request may
        have been sent.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection at once, whatever is in progress on it."""
        ...
