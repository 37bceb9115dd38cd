"""The interface through which the daemon handles messages of peers."""

from typing import Protocol

from egrethall.types import (
    Borrow,
    Complete,
    ConfigurationRequest,
    ConfigurationText,
    CrashReport,
    Handover,
    Heartbeat,
    HeartbeatAck,
    InstanceId,
    Loan,
    Release,
    Reserve,
    ReserveReply,
    UpstreamEvent,
)


class PeerHandler(Protocol):
    """Receives the messages of all peers.

    Plain methods are called in the order in which a peer sent its messages, and must
    return within about a millisecond, because heartbeats wait for them. Coroutine
    methods run in separate tasks and may take longer. An exception raised by any
    method is logged and counted, and the message is dropped.
    """

    def build_heartbeat(self, peer: InstanceId) -> Heartbeat:
        """Returns the next heartbeat for ``peer``; called right before it is sent."""
        ...

    def on_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> HeartbeatAck:
        """Returns the answer to a heartbeat, with the votes of this instance."""
        ...

    def on_ack(self, peer: InstanceId, ack: HeartbeatAck) -> None:
        """Handles the answer to a heartbeat of this instance."""
        ...

    def on_release(self, peer: InstanceId, release: Release) -> None:
        """Handles the release of votes by ``peer``."""
        ...

    def on_handover(self, peer: InstanceId, handover: Handover) -> None:
        """Imports the state of a shard that ``peer`` hands over."""
        ...

    def on_borrow(self, peer: InstanceId, borrow: Borrow) -> Loan:
        """Returns the loan for a request of ``peer``."""
        ...

    async def on_reserve(self, peer: InstanceId, reserve: Reserve) -> ReserveReply:
        """Returns the decision on a request with an ``Idempotency-Key``."""
        ...

    def on_complete(self, peer: InstanceId, complete: Complete) -> None:
        """Records the outcome of a reserved request."""
        ...

    def on_configuration_request(
        self, peer: InstanceId, request: ConfigurationRequest
    ) -> ConfigurationText | None:
        """Returns the text of the requested revision or a higher one, if known."""
        ...

    async def on_configuration_text(
        self, peer: InstanceId, text: ConfigurationText
    ) -> None:
        """Validates and applies a configuration text."""
        ...

    def on_upstream_event(self, peer: InstanceId, event: UpstreamEvent) -> None:
        """Applies the state of an upstream that ``peer`` observed."""
        ...

    def on_crash_report(self, peer: InstanceId, report: CrashReport) -> None:
        """Records a strike against a request or the end of its suspicion."""
        ...

    def on_peer_connected(self, peer: InstanceId) -> None:
        """Called when a connection to ``peer`` has passed its handshake."""
        ...

    def on_peer_lost(self, peer: InstanceId, reason: str) -> None:
        """Called when the connection to ``peer`` ended and was not replaced by another.

        The same run of the peer may reconnect later.
        """
        ...
