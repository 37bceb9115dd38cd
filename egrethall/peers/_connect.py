"""Opens and accepts connections and authenticates both sides."""

import ipaddress
import ssl
from dataclasses import dataclass

import anyio
import anyio.abc
from anyio.streams.tls import TLSStream

from egrethall.peers._errors import PeerHandshakeError, PeerSettingsError
from egrethall.peers._frames import FrameReader
from egrethall.peers._handshake import (
    HANDSHAKE_SECONDS,
    AuthenticatedPeer,
    authenticate_dialer,
    authenticate_listener,
)
from egrethall.peers._link import STREAM_ERRORS
from egrethall.peers._settings import PeerSettings


@dataclass(frozen=True)
class PeerConnection:
    """A connection whose other side is authenticated."""

    stream: anyio.abc.ByteStream
    reader: FrameReader
    peer: AuthenticatedPeer


@dataclass(frozen=True)
class PeerAddress:
    """The address on which an instance listens for peers."""

    host: str
    port: int


def parse_peer_address(text: str) -> PeerAddress:
    """Returns the address in a text such as ``10.0.0.7:7400`` or ``[::1]:7400``.

    :raises PeerSettingsError: the text is not an IP address and a port.
    """
    host, separator, port = text.rpartition(":")
    try:
        parsed = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        number = int(port)
    except ValueError:
        number = 0
    if not separator or not 1 <= number <= 65_535:
        raise PeerSettingsError(
            f"peer address {text!r} is not an IP number and a port from 1 to 65535"
        )
    return PeerAddress(str(parsed), number)


class PeerConnector:
    """Opens and accepts connections within the time limit of the handshake."""

    def __init__(self, settings: PeerSettings) -> None:
        """Loads the TLS files of ``settings``, if any.

        :raises PeerSettingsError: a TLS file is missing or damaged.
        """
        self._settings = settings
        self._server_context: ssl.SSLContext | None = None
        self._client_context: ssl.SSLContext | None = None
        if settings.tls_files is not None:
            self._server_context = settings.tls_files.create_server_context()
            self._client_context = settings.tls_files.create_client_context()

    async def open_connection(self, name: str, address: PeerAddress) -> PeerConnection:
        """Connects to the instance ``name`` and authenticates both sides.

        :raises PeerHandshakeError: the instance was not reached or not authenticated.
        """
        try:
            with anyio.fail_after(HANDSHAKE_SECONDS):
                stream = await anyio.connect_tcp(address.host, address.port)
        except TimeoutError as error:
            raise PeerHandshakeError("connect-failed", "timed out") from error
        except OSError as error:
            raise PeerHandshakeError("connect-failed", str(error)) from error
        return await self._authenticate(stream, self._client_context, name)

    async def accept_connection(self, stream: anyio.abc.ByteStream) -> PeerConnection:
        """Authenticates both sides of an accepted connection.

        :raises PeerHandshakeError: the other side was not authenticated.
        """
        return await self._authenticate(stream, self._server_context, None)

    async def _authenticate(
        self,
        stream: anyio.abc.ByteStream,
        context: ssl.SSLContext | None,
        dialed_name: str | None,
    ) -> PeerConnection:
        is_authenticated = False
        try:
            with anyio.fail_after(HANDSHAKE_SECONDS):
                connection = await self._perform_handshake(stream, context, dialed_name)
            is_authenticated = True
            return connection
        except TimeoutError as error:
            raise PeerHandshakeError(
                "handshake-timeout", f"not finished in {HANDSHAKE_SECONDS} s"
            ) from error
        except ssl.SSLError as error:
            raise PeerHandshakeError("tls-failed", str(error)) from error
        except STREAM_ERRORS as error:
            raise PeerHandshakeError(
                "handshake-broken", f"{type(error).__name__} {error}".strip()
            ) from error
        finally:
            if not is_authenticated:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _perform_handshake(
        self,
        stream: anyio.abc.ByteStream,
        context: ssl.SSLContext | None,
        dialed_name: str | None,
    ) -> PeerConnection:
        if context is not None:
            stream = await TLSStream.wrap(
                stream,
                server_side=dialed_name is None,
                ssl_context=context,
                standard_compatible=False,
            )
        reader = FrameReader(stream)
        if dialed_name is None:
            peer = await authenticate_dialer(stream, reader, self._settings)
        else:
            peer = await authenticate_listener(
                stream, reader, self._settings, dialed_name
            )
        return PeerConnection(stream, reader, peer)
