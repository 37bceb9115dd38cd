"""The response that the forwarder returns for relaying to the caller."""

from collections.abc import AsyncIterator

import anyio

from egrethall.types import (
    AttemptOutcome,
    ConnectionBrokenError,
    Headers,
    LoadReport,
    UpstreamResponse,
    UpstreamTicket,
)

MIN_FAILURE_STATUS = 500


class ForwardedResponse:
    """An upstream's response together with the ticket of its attempt.

    The ticket is finished exactly once: when the body has been read to its end, when
    the connection breaks, or by :meth:`aclose`, whichever comes first. The receiver of
    a response must therefore always call :meth:`aclose`.
    """

    def __init__(
        self, response: UpstreamResponse, ticket: UpstreamTicket, attempts: int
    ) -> None:
        self.status = response.status
        self.headers: Headers = response.headers
        self.load_report: LoadReport | None = response.load_report
        self.not_run = response.not_run
        #: Name of the upstream that answered.
        self.upstream = ticket.upstream.name
        #: Number of attempts made for the request, including this one.
        self.attempts = attempts
        self._response = response
        self._ticket = ticket
        self._finished = False
        #: Whether the body was read to its end, so that nothing is left to close.
        self._is_read_to_end = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields the body; raises :class:`ConnectionBrokenError` if it is truncated."""
        try:
            async for piece in self._response.stream():
                yield piece
        except ConnectionBrokenError:
            self._finish(AttemptOutcome.BROKEN)
            raise
        self._is_read_to_end = True
        if self.status >= MIN_FAILURE_STATUS:
            self._finish(AttemptOutcome.FAILED)
        else:
            self._finish(AttemptOutcome.ANSWERED)

    async def aclose(self) -> None:
        """Closes the response, which is cancelled if it was not read to its end."""
        if self._is_read_to_end:
            return
        try:
            with anyio.CancelScope(shield=True):
                await self._response.aclose()
        finally:
            self._finish(AttemptOutcome.CANCELLED)

    def _finish(self, outcome: AttemptOutcome) -> None:
        if self._finished:
            return
        self._finished = True
        self._ticket.finish(outcome)
