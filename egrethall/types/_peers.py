"""Interfaces between the decisions and the connections to peers."""

from typing import Protocol

from egrethall.types._errors import EgrethallError
from egrethall.types._instances import InstanceId
from egrethall.types._peer_messages import (
    Borrow,
    Loan,
    PeerMessage,
    Reserve,
    ReserveReply,
)


class PeerUnavailableError(EgrethallError):
    """No answer came from a peer: it is unknown whether it got the request."""


class LeaseView(Protocol):
    """Which shards this instance may act for at this moment."""

    def is_held(self, shard: int) -> bool:
        """Returns whether this instance holds an unexpired lease of ``shard``."""
        ...

    def remaining_seconds(self, shard: int) -> float:
        """Returns the time left of the lease of ``shard``, 0 if not held."""
        ...


class ShardDirectory(Protocol):
    """Who holds each shard, as far as this instance has heard."""

    def find_holder(self, shard: int) -> InstanceId | None:
        """Returns the last known holder of ``shard``; may be this instance."""
        ...

    def find_successor(self, shard: int) -> InstanceId | None:
        """Returns the reachable instance next in line for ``shard``."""
        ...


class PeerRequester(Protocol):
    """Sends requests and notices to peers.

    Requests raise :class:`PeerUnavailableError` if no answer comes in time.
    """

    async def request_loan(
        self, holder: InstanceId, borrow: Borrow, timeout_seconds: float
    ) -> Loan:
        """Sends a :class:`Borrow` and returns its answer."""
        ...

    async def request_reservation(
        self, holder: InstanceId, reserve: Reserve, timeout_seconds: float
    ) -> ReserveReply:
        """Sends a :class:`Reserve` and returns its answer."""
        ...

    def send_notice(self, receiver: InstanceId, message: PeerMessage) -> None:
        """Queues a message to one peer; it is dropped if the peer is not reachable."""
        ...

    def broadcast_notice(self, message: PeerMessage) -> None:
        """Queues a message to every reachable peer."""
        ...
