"""The settings of one entry instance."""

from dataclasses import dataclass, field
from pathlib import Path

from egrethall.configuration._addresses import (
    ADDRESS_RULE,
    URL_RULE,
    is_address,
    is_service_url,
    normalize_address,
)
from egrethall.configuration._faults import Fault, InvalidSettingsError, quote_value
from egrethall.configuration._json import MAX_TEXT_BYTES, read_json
from egrethall.configuration._readers import ObjectReader, UniqueValues
from egrethall.configuration._tls import find_authority_fault, find_key_fault

#: Shared secrets are keys of HMAC-SHA-256; shorter ones could be guessed.
MIN_SECRET_CHARACTERS = 32
MAX_SECRET_CHARACTERS = 4096
SECRET_RULE = (
    f"{MIN_SECRET_CHARACTERS} to {MAX_SECRET_CHARACTERS} printable ASCII characters "
    "without spaces"
)

#: Covers the interval at which a platform's balancer looks at ``/readyz``.
DEFAULT_READY_LAG_SECONDS = 3.0
DEFAULT_GRACE_SECONDS = 30.0
MAX_READY_LAG_SECONDS = 600.0
MAX_GRACE_SECONDS = 3600.0
DEFAULT_ACCESS_LOG_SAMPLE_RATIO = 0.01

_FILE_RULE = "the path of a readable file, relative to the settings file or absolute"


@dataclass(frozen=True)
class TlsFiles:
    """The certificate and key of a server."""

    certificate_file: Path
    key_file: Path


@dataclass(frozen=True)
class PeerTlsFiles:
    """The files for TLS between entry instances, both sides authenticated."""

    certificate_file: Path
    key_file: Path
    #: Certificates of the authorities that sign the peers' certificates.
    authority_file: Path


@dataclass(frozen=True)
class Settings:
    """What one entry instance is told at its start."""

    name: str
    availability_zone: str
    #: IP number and port on which callers' requests arrive.
    caller_address: str
    #: IP number and port of the peer protocol, as the instance list has it.
    peer_address: str
    #: IP number and port of the operators' interface.
    operator_address: str
    #: Base URL of the configuration service, without a slash at its end.
    configuration_service_url: str
    #: Secret that all entry instances share; never part of a message.
    peer_secret: bytes = field(repr=False)
    caller_tls: TlsFiles | None = None
    peer_tls: PeerTlsFiles | None = None
    #: Time for which requests are served after the instance became not ready.
    ready_lag_seconds: float = DEFAULT_READY_LAG_SECONDS
    #: Time that requests in progress get during a stop.
    grace_seconds: float = DEFAULT_GRACE_SECONDS
    #: Share of the successful requests that are written to the access log.
    access_log_sample_ratio: float = DEFAULT_ACCESS_LOG_SAMPLE_RATIO


def load_settings(path: Path) -> Settings:
    """Returns the settings in the file ``path``.

    Raises :class:`InvalidSettingsError` with every fault of the file.
    """
    try:
        text = _read_bounded(path, MAX_TEXT_BYTES)
    except OSError as error:
        fault = Fault("$", f"not readable ({error.strerror})", "a readable file")
        raise InvalidSettingsError(
            f"{path} is not usable", [fault.locate_in(str(path))]
        ) from error
    return parse_settings(text, path.parent, str(path))


def parse_settings(text: bytes, directory: Path, source: str = "settings") -> Settings:
    """Returns the settings in ``text``; file names are relative to ``directory``.

    Raises :class:`InvalidSettingsError` with every fault of ``text``.
    """
    value, faults = read_json(text)
    if faults:
        raise _reject(source, faults)
    reader = ObjectReader(value, "$", faults)
    settings = Settings(
        name=reader.read_name("name"),
        availability_zone=reader.read_name("availability_zone"),
        caller_address=reader.read_string("caller_address", ADDRESS_RULE, is_address),
        peer_address=reader.read_string("peer_address", ADDRESS_RULE, is_address),
        operator_address=reader.read_string(
            "operator_address", ADDRESS_RULE, is_address
        ),
        configuration_service_url=reader.read_string(
            "configuration_service_url", URL_RULE, is_service_url
        ).rstrip("/"),
        peer_secret=_read_peer_secret(reader, directory),
        caller_tls=_read_caller_tls(reader, directory),
        peer_tls=_read_peer_tls(reader, directory),
        ready_lag_seconds=reader.read_number(
            "ready_lag_seconds", 0.0, MAX_READY_LAG_SECONDS, DEFAULT_READY_LAG_SECONDS
        ),
        grace_seconds=reader.read_number(
            "grace_seconds", 0.0, MAX_GRACE_SECONDS, DEFAULT_GRACE_SECONDS
        ),
        access_log_sample_ratio=reader.read_number(
            "access_log_sample_ratio", 0.0, 1.0, DEFAULT_ACCESS_LOG_SAMPLE_RATIO
        ),
    )
    addresses = UniqueValues("listening address", faults)
    addresses.add(normalize_address(settings.caller_address), "$.caller_address")
    addresses.add(normalize_address(settings.peer_address), "$.peer_address")
    addresses.add(normalize_address(settings.operator_address), "$.operator_address")
    reader.finish()
    if faults:
        raise _reject(source, faults)
    return settings


def _reject(source: str, faults: list[Fault]) -> InvalidSettingsError:
    located = [fault.locate_in(source) for fault in faults]
    return InvalidSettingsError(f"{source} is not usable", located)


def _read_peer_secret(reader: ObjectReader, directory: Path) -> bytes:
    if reader.has("peer_secret") and reader.has("peer_secret_file"):
        reader.add_fault(
            reader.path_of("peer_secret_file"),
            "set together with peer_secret",
            "either peer_secret or peer_secret_file",
        )
    if not reader.has("peer_secret_file"):
        secret = reader.read_secret("peer_secret", SECRET_RULE, _is_secret)
        reader.allow("peer_secret_file")
        return secret.encode("utf-8")
    reader.allow("peer_secret")
    path = _read_file_path(reader, "peer_secret_file", directory)
    if path is None:
        return b""
    try:
        content = _read_bounded(path, MAX_SECRET_CHARACTERS + 2).rstrip(b"\r\n")
    except OSError:
        # The file went away since its path was checked.
        content = b""
    if not _is_secret(content.decode("latin-1")):
        found = f"a file with a secret of {len(content)} bytes"
        reader.add_fault(reader.path_of("peer_secret_file"), found, SECRET_RULE)
    return content


def _read_caller_tls(reader: ObjectReader, directory: Path) -> TlsFiles | None:
    tls = reader.read_object("caller_tls", required=False)
    if tls is None:
        return None
    files = _read_certificate(tls, directory)
    tls.finish()
    return files


def _read_peer_tls(reader: ObjectReader, directory: Path) -> PeerTlsFiles | None:
    tls = reader.read_object("peer_tls", required=False)
    if tls is None:
        return None
    files = _read_certificate(tls, directory)
    authority_file = _read_file_path(tls, "authority_file", directory)
    if authority_file is not None:
        found = find_authority_fault(authority_file)
        if found:
            allowed = "a file with certificates of authorities in PEM form"
            tls.add_fault(tls.path_of("authority_file"), found, allowed)
    tls.finish()
    if files is None or authority_file is None:
        return None
    return PeerTlsFiles(files.certificate_file, files.key_file, authority_file)


def _read_certificate(reader: ObjectReader, directory: Path) -> TlsFiles | None:
    """Returns a certificate and a key that belong together, or notes a fault."""
    certificate_file = _read_file_path(reader, "certificate_file", directory)
    key_file = _read_file_path(reader, "key_file", directory)
    if certificate_file is None or key_file is None:
        return None
    found = find_key_fault(certificate_file, key_file)
    if found:
        allowed = "a certificate and its key in PEM form, without a password"
        reader.add_fault(reader.path_of("key_file"), found, allowed)
        return None
    return TlsFiles(certificate_file, key_file)


def _read_file_path(reader: ObjectReader, key: str, directory: Path) -> Path | None:
    """Returns the path of a file that could be opened, or notes a fault."""
    name = reader.read_string(key, _FILE_RULE, _is_file_name)
    if not name:
        return None
    path = directory / name
    try:
        _read_bounded(path, 1)
    except OSError as error:
        found = f"{quote_value(name)} ({error.strerror})"
        reader.add_fault(reader.path_of(key), found, _FILE_RULE)
        return None
    return path


def _read_bounded(path: Path, max_bytes: int) -> bytes:
    """Returns at most one byte more than ``max_bytes`` of a regular file."""
    if path.exists() and not path.is_file():
        raise OSError(0, "not a regular file")
    with path.open("rb") as file:
        return file.read(max_bytes + 1)


def _is_file_name(text: str) -> bool:
    return 0 < len(text) <= 4096 and text.isprintable()


def _is_secret(text: str) -> bool:
    return (
        MIN_SECRET_CHARACTERS <= len(text) <= MAX_SECRET_CHARACTERS
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )
