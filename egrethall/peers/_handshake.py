"""Mutual authentication of two entry instances with the fleet's shared secret.

The dialing side sends its :class:`Hello`, the accepting side answers with its own,
then the dialing side sends its proof first, so that the accepting side sends no MAC
to an unauthenticated client. A proof is an HMAC-SHA-256 (RFC 2104) over the role of
the sender, the version and all fields of both :class:`Hello` messages. The nonces
prevent replay of a recorded proof, and the role prevents reflection.
"""

import enum
import hmac
import secrets
from dataclasses import dataclass
from typing import TypeVar

import anyio
import anyio.abc
import msgpack

from egrethall.peers._codec import decode_message, encode_message, frame_payload
from egrethall.peers._errors import PeerCodecError, PeerHandshakeError
from egrethall.peers._frames import FrameReader
from egrethall.peers._schema import (
    MAXIMUM_HANDSHAKE_FRAME_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
)
from egrethall.peers._settings import PeerSettings
from egrethall.types import Hello, HelloProof, InstanceId, PeerMessage

#: Limit on the whole handshake, TLS included.
HANDSHAKE_SECONDS = 1.0
#: Domain separation: keeps these MACs distinct from other uses of the same secret.
MAC_CONTEXT = "egrethall-peer-handshake"

ExpectedMessage = TypeVar("ExpectedMessage", Hello, HelloProof)


class HandshakeRole(enum.Enum):
    """The side of a connection that a proof comes from."""

    DIALER = "dialer"
    LISTENER = "listener"


@dataclass(frozen=True)
class AuthenticatedPeer:
    """The other side of a connection, after both proofs have been verified."""

    instance: InstanceId
    availability_zone: str


def compute_proof(
    secret: bytes, role: HandshakeRole, dialer: Hello, listener: Hello
) -> HelloProof:
    """Returns the proof that the side ``role`` sends.

    :param secret: The fleet's shared secret.
    :param role: The side that sends the proof.
    :param dialer: The :class:`Hello` of the dialing side.
    :param listener: The :class:`Hello` of the accepting side.
    """
    fields = [
        [
            hello.version,
            hello.sender.name,
            hello.sender.incarnation,
            hello.availability_zone,
            hello.nonce,
        ]
        for hello in (dialer, listener)
    ]
    signed: bytes = msgpack.packb([MAC_CONTEXT, role.value, *fields])
    return HelloProof(mac=hmac.digest(secret, signed, "sha256"))


async def authenticate_listener(
    stream: anyio.abc.ByteStream,
    reader: FrameReader,
    settings: PeerSettings,
    expected_name: str,
) -> AuthenticatedPeer:
    """Authenticates both sides of a connection that this instance opened.

    :param expected_name: Name of the instance that the address belongs to.
    :raises PeerHandshakeError: the other side is not that instance of this fleet.
    :raises anyio.EndOfStream: the other side closed the connection.
    """
    own = _create_hello(settings)
    await _send(stream, own)
    other = await _receive(reader, Hello)
    _check_hello(own, other)
    if other.sender.name != expected_name:
        raise PeerHandshakeError(
            "unexpected-name",
            f"dialed {expected_name!r}, got {other.sender.name!r}",
        )
    await _send(
        stream, compute_proof(settings.secret, HandshakeRole.DIALER, own, other)
    )
    proof = await _receive(reader, HelloProof)
    _check_proof(
        proof, compute_proof(settings.secret, HandshakeRole.LISTENER, own, other)
    )
    reader.allow_large_frames()
    return AuthenticatedPeer(other.sender, other.availability_zone)


async def authenticate_dialer(
    stream: anyio.abc.ByteStream, reader: FrameReader, settings: PeerSettings
) -> AuthenticatedPeer:
    """Authenticates both sides of a connection that this instance accepted.

    :raises PeerHandshakeError: the other side is not an instance of this fleet, or
        its name does not sort before that of this instance, so that it must not dial.
    :raises anyio.EndOfStream: the other side closed the connection.
    """
    other = await _receive(reader, Hello)
    own = _create_hello(settings)
    _check_hello(own, other)
    if not may_dial(other.sender.name, own.sender.name):
        raise PeerHandshakeError(
            "wrong-direction",
            f"{other.sender.name!r} must wait for {own.sender.name!r} to dial",
        )
    await _send(stream, own)
    proof = await _receive(reader, HelloProof)
    _check_proof(
        proof, compute_proof(settings.secret, HandshakeRole.DIALER, other, own)
    )
    await _send(
        stream, compute_proof(settings.secret, HandshakeRole.LISTENER, other, own)
    )
    reader.allow_large_frames()
    return AuthenticatedPeer(other.sender, other.availability_zone)


def may_dial(dialer_name: str, listener_name: str) -> bool:
    """Returns whether the first of two instances opens the connections between them."""
    return dialer_name < listener_name


def _create_hello(settings: PeerSettings) -> Hello:
    return Hello(
        version=PROTOCOL_VERSION,
        sender=settings.instance,
        availability_zone=settings.availability_zone,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )


async def _send(stream: anyio.abc.ByteStream, message: PeerMessage) -> None:
    await stream.send(frame_payload(encode_message(message)))


async def _receive(
    reader: FrameReader, expected: type[ExpectedMessage]
) -> ExpectedMessage:
    try:
        payload = await reader.receive_frame()
        message = decode_message(payload, MAXIMUM_HANDSHAKE_FRAME_BYTES)
    except PeerCodecError as error:
        raise PeerHandshakeError("malformed-handshake", str(error)) from error
    if not isinstance(message, expected):
        raise PeerHandshakeError(
            "malformed-handshake",
            f"expected {expected.__name__}, got {type(message).__name__}",
        )
    return message


def _check_hello(own: Hello, other: Hello) -> None:
    if other.version != own.version:
        raise PeerHandshakeError(
            "version", f"version {other.version}, this instance has {own.version}"
        )
    if other.sender.name == own.sender.name:
        raise PeerHandshakeError(
            "own-name", f"another process uses the name {own.sender.name!r}"
        )


def _check_proof(received: HelloProof, expected: HelloProof) -> None:
    if not hmac.compare_digest(received.mac, expected.mac):
        raise PeerHandshakeError(
            "wrong-secret",
            "the proof does not match; compare the secrets in the settings",
        )
