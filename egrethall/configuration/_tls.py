"""Checks of TLS files before anything binds."""

import ssl
from pathlib import Path


def find_key_fault(certificate_file: Path, key_file: Path) -> str:
    """Returns why a certificate and a key cannot be used together, or nothing."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        # Without a password of ours, OpenSSL would ask for one on the terminal.
        context.load_cert_chain(certificate_file, key_file, password=_refuse_password)
    except _PasswordNeededError:
        return "protected by a password"
    except (ssl.SSLError, OSError, ValueError) as error:
        return _describe(error)
    return ""


def find_authority_fault(authority_file: Path) -> str:
    """Returns why a file of authorities' certificates cannot be used, or nothing."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_verify_locations(cafile=authority_file)
    except (ssl.SSLError, OSError, ValueError) as error:
        return _describe(error)
    return ""


class _PasswordNeededError(Exception):
    """A key file asks for a password."""


def _refuse_password() -> str:
    raise _PasswordNeededError


def _describe(error: Exception) -> str:
    if isinstance(error, ssl.SSLError):
        return f"not usable ({error.reason or 'no PEM data'})"
    return f"not usable ({error})"
