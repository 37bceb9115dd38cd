"""Headers of HTTP messages."""

#: Names in lower case, and values.
Headers = tuple[tuple[bytes, bytes], ...]

#: Headers that concern one connection only (RFC 9110 section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
