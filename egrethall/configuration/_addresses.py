"""Addresses by IP number, without names that a resolver would have to look up."""

import ipaddress
import re
from functools import lru_cache

ADDRESS_RULE = "an IP number and a port from 1 to 65535, such as 10.0.0.1:8080"
URL_RULE = (
    "http:// or https:// with an IP number and a port, such as http://10.0.0.1:80"
)

_URL_PATH = re.compile(r"(?:/[A-Za-z0-9._~/-]*)?")
_PORT = re.compile(r"[1-9][0-9]{0,4}")
MAX_PORT = 65535

#: Each revision repeats nearly all addresses of the one before, and parsing them took
#: a third of the time that reading a revision with 1,300 upstreams takes.
CACHED_ADDRESSES = 4096


@lru_cache(maxsize=CACHED_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of ``address``.

    IPv6 numbers stand in brackets. Raises :class:`ValueError` if ``address`` is not
    an IP number with a port.
    """
    host, separator, port = address.rpartition(":")
    number: ipaddress.IPv4Address | ipaddress.IPv6Address
    try:
        if host.startswith("[") and host.endswith("]"):
            number = ipaddress.IPv6Address(host[1:-1])
        else:
            number = ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(f"{address!r} is not {ADDRESS_RULE}") from None
    has_port = bool(separator) and _PORT.fullmatch(port) and int(port) <= MAX_PORT
    # The name of an interface means something on one machine only.
    has_interface = "%" in host
    if not has_port or has_interface:
        raise ValueError(f"{address!r} is not {ADDRESS_RULE}")
    return str(number), int(port)


def normalize_address(address: str) -> str:
    """Returns the one spelling that all spellings of a valid address share.

    Any other text is returned as it is.
    """
    if not is_address(address):
        return address
    host, port = split_address(address)
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def is_address(text: str) -> bool:
    """Returns whether ``text`` is an IP number and a port."""
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def is_service_url(text: str) -> bool:
    """Returns whether ``text`` is a URL with an IP number and no query."""
    scheme, separator, rest = text.partition("://")
    address, slash, path = rest.partition("/")
    return (
        scheme in ("http", "https")
        and bool(separator)
        and is_address(address)
        and _URL_PATH.fullmatch(slash + path) is not None
    )
