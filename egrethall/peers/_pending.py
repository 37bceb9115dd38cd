"""Requests to peers that are waiting for their answers."""

from dataclasses import dataclass, field
from typing import TypeVar

import anyio

from egrethall.peers._counters import PeerMeter
from egrethall.peers._errors import PeerCodecError
from egrethall.peers._link import PeerLink
from egrethall.types import (
    Borrow,
    Loan,
    PeerUnavailableError,
    Reserve,
    ReserveReply,
)

_RequestKey = tuple[PeerLink, type[Loan] | type[ReserveReply], int]
Answer = TypeVar("Answer", Loan, ReserveReply)

#: Limit on requests waiting at the same time, over all peers.
MAXIMUM_PENDING_REQUESTS = 16_384


@dataclass
class _PendingRequest:
    """One request that has not been answered yet."""

    link: PeerLink
    answer: Loan | ReserveReply | None = None
    is_failed: bool = False
    completed: anyio.Event = field(default_factory=anyio.Event)


class PendingRequests:
    """Matches answers from peers to the requests waiting for them.

    Request ids are sent unchanged, because the holder of a bucket compares them with
    :attr:`~egrethall.types.Borrow.settled_request_id`. An answer is accepted only on
    the link that carried the request.
    """

    def __init__(self, meter: PeerMeter) -> None:
        self._meter = meter
        self._requests: dict[_RequestKey, _PendingRequest] = {}

    async def request(
        self,
        link: PeerLink,
        message: Borrow | Reserve,
        answer_type: type[Answer],
        timeout_seconds: float,
    ) -> Answer:
        """Sends ``message`` and returns its answer, with the caller's request id.

        :raises PeerUnavailableError: no answer came in time.
        """
        peer = link.peer.instance.name
        if timeout_seconds <= 0.0:
            # The holder would lend tokens that no request is waiting for.
            raise PeerUnavailableError(f"no time is left for a request to {peer!r}")
        if len(self._requests) >= MAXIMUM_PENDING_REQUESTS:
            raise PeerUnavailableError(
                f"{len(self._requests)} requests wait for peers already"
            )
        key = (link, answer_type, message.request_id)
        if key in self._requests:
            raise PeerUnavailableError(
                f"request {message.request_id} to {peer!r} is on its way already"
            )
        pending = _PendingRequest(link)
        self._requests[key] = pending
        try:
            if not link.send_message(message):
                raise PeerUnavailableError(f"the send queue to peer {peer!r} is full")
            with anyio.move_on_after(timeout_seconds):
                await pending.completed.wait()
        except PeerCodecError as error:
            raise PeerUnavailableError(f"not sent to {peer!r}: {error}") from error
        finally:
            del self._requests[key]
        if isinstance(pending.answer, answer_type):
            return pending.answer
        if pending.is_failed:
            raise PeerUnavailableError(f"the connection to peer {peer!r} was lost")
        raise PeerUnavailableError(
            f"peer {peer!r} did not answer within {timeout_seconds:.3f} s"
        )

    def complete_request(self, link: PeerLink, answer: Loan | ReserveReply) -> None:
        """Completes the request that ``answer`` belongs to.

        An answer without a waiting request is dropped and counted.
        """
        pending = self._requests.get((link, type(answer), answer.request_id))
        if pending is None:
            self._meter.count_dropped_message("late-answer")
            return
        pending.answer = answer
        pending.completed.set()

    def fail_link_requests(self, link: PeerLink) -> None:
        """Fails the requests that wait for an answer on ``link``."""
        for pending in self._requests.values():
            if pending.link is link:
                pending.is_failed = True
                pending.completed.set()
