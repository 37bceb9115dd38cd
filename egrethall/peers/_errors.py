"""Errors of the protocol between entry instances."""

from egrethall.types import EgrethallError


class PeerError(EgrethallError):
    """The base class of the errors of the peer protocol."""


class PeerCodecError(PeerError):
    """A frame is malformed, or a message has a value out of range."""


class PeerSettingsError(PeerError):
    """A setting of the peer protocol is missing or out of range."""


class PeerHandshakeError(PeerError):
    """A connection was refused before it became a link to a peer.

    :ivar reason: The key in :attr:`PeerCounters.dropped_peers` that counts the refusal.
    """

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
