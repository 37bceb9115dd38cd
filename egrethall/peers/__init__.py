"""Peer protocol and membership of entry instances."""

from egrethall.peers._codec import decode_message, encode_message
from egrethall.peers._connect import PeerAddress, parse_peer_address
from egrethall.peers._counters import MessageCount, PeerCounters
from egrethall.peers._errors import (
    PeerCodecError,
    PeerError,
    PeerHandshakeError,
    PeerSettingsError,
)
from egrethall.peers._handler import PeerHandler
from egrethall.peers._handshake import HANDSHAKE_SECONDS
from egrethall.peers._link import SILENCE_SECONDS, PeerLink
from egrethall.peers._members import MemberView
from egrethall.peers._membership import Membership
from egrethall.peers._schema import (
    MAXIMUM_CONFIGURATION_BYTES,
    MAXIMUM_FRAME_BYTES,
    MAXIMUM_HANDSHAKE_FRAME_BYTES,
    PROTOCOL_VERSION,
)
from egrethall.peers._service import PeerService
from egrethall.peers._settings import PeerSettings, PeerTlsFiles

__all__ = [
    "HANDSHAKE_SECONDS",
    "MAXIMUM_CONFIGURATION_BYTES",
    "MAXIMUM_FRAME_BYTES",
    "MAXIMUM_HANDSHAKE_FRAME_BYTES",
    "MemberView",
    "Membership",
    "MessageCount",
    "PROTOCOL_VERSION",
    "PeerAddress",
    "PeerCodecError",
    "PeerCounters",
    "PeerError",
    "PeerHandler",
    "PeerHandshakeError",
    "PeerLink",
    "PeerService",
    "PeerSettings",
    "PeerSettingsError",
    "PeerTlsFiles",
    "SILENCE_SECONDS",
    "decode_message",
    "encode_message",
    "parse_peer_address",
]
