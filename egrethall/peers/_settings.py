"""Settings of the peer protocol."""

import ssl
from dataclasses import dataclass, field

from egrethall.peers._errors import PeerSettingsError
from egrethall.types import InstanceId

#: 128 bits, so that the secret cannot be guessed from the MACs of a recorded
#: handshake.
MINIMUM_SECRET_BYTES = 16


@dataclass(frozen=True)
class PeerTlsFiles:
    """The TLS files for connections between entry instances, in PEM format."""

    certificate_file: str
    private_key_file: str
    #: Certificates of the authority that signed the certificates of all instances.
    authority_file: str

    def create_server_context(self) -> ssl.SSLContext:
        """Returns the TLS context of the accepting side.

        :raises PeerSettingsError: a file is missing or damaged.
        """
        return self._create_context(ssl.PROTOCOL_TLS_SERVER)

    def create_client_context(self) -> ssl.SSLContext:
        """Returns the TLS context of the dialing side.

        :raises PeerSettingsError: a file is missing or damaged.
        """
        return self._create_context(ssl.PROTOCOL_TLS_CLIENT)

    def _create_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are dialed by IP address; the handshake after TLS proves the name.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self.certificate_file, self.private_key_file)
            context.load_verify_locations(self.authority_file)
        except (OSError, ssl.SSLError) as error:
            raise PeerSettingsError(
                f"cannot load the peer TLS files {self.certificate_file},"
                f" {self.private_key_file} and {self.authority_file}: {error}"
            ) from error
        return context


@dataclass(frozen=True)
class PeerSettings:
    """The settings that one entry instance needs to connect to its peers."""

    instance: InstanceId
    availability_zone: str
    #: IP address on which the instance listens for peers.
    listen_host: str
    #: Port on which the instance listens for peers; 0 lets the operating system choose.
    listen_port: int
    #: The fleet's shared secret.
    secret: bytes = field(repr=False)
    tls_files: PeerTlsFiles | None = None

    def __post_init__(self) -> None:
        if len(self.secret) < MINIMUM_SECRET_BYTES:
            raise PeerSettingsError(
                f"the peer secret has {len(self.secret)} bytes,"
                f" at least {MINIMUM_SECRET_BYTES} are needed"
            )
        if not 0 <= self.listen_port <= 65_535:
            raise PeerSettingsError(
                f"listen_port is {self.listen_port}, allowed are 0 to 65535"
            )
