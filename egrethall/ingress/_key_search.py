"""Search for callers' keys in text that must not contain any."""

import base64
import binascii
import re
from urllib.parse import unquote_to_bytes

#: Length of a key: ``egk_``, 8 hexadecimal digits, ``_`` and 43 characters.
KEY_LENGTH = 56

#: Percent-decoding is repeated because some upstreams decode more than once.
PERCENT_DECODING_ROUNDS = 3

_KEY = re.compile(rb"egk_[0-9a-f]{8}_[a-z0-9_-]{43}", re.IGNORECASE)

#: A key of 56 bytes takes at least 75 characters of base64.
_BASE64_TOKEN = re.compile(rb"[A-Za-z0-9+/_-]{75,}")


def contains_key(text: bytes) -> bool:
    """Returns whether ``text`` contains a key, plain or encoded.

    Percent-encoding (up to three times, with digits of either case) and base64, as
    in Basic credentials, are looked through. Letters match in either case because
    header names are lowered before they can be searched.
    """
    for _ in range(PERCENT_DECODING_ROUNDS + 1):
        if len(text) < KEY_LENGTH:
            return False
        if _KEY.search(text) or _contains_key_in_base64(text):
            return True
        if b"%" not in text:
            return False
        text = unquote_to_bytes(text)
    return False


def remove_keys_from_query(query: bytes) -> bytes:
    """Returns ``query`` without the parameters that contain a key."""
    if not contains_key(query):
        return query
    kept = [part for part in query.split(b"&") if not contains_key(part)]
    return b"&".join(kept)


def _contains_key_in_base64(text: bytes) -> bool:
    if len(text) < 75:
        return False
    return any(
        _KEY.search(_decode_base64(token)) for token in _BASE64_TOKEN.findall(text)
    )


def _decode_base64(token: bytes) -> bytes:
    usable = token[: len(token) - (len(token) % 4 == 1)]
    padded = usable + b"=" * (-len(usable) % 4)
    try:
        return base64.b64decode(padded.translate(_URL_SAFE), validate=True)
    except binascii.Error:
        return b""


_URL_SAFE = bytes.maketrans(b"-_", b"+/")
