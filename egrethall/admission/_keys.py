"""API keys of callers and the organisations that they identify."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from egrethall.types import KeyDigest, Organisation

KEY_ID_DIGITS = 8
SECRET_BYTES = 32

KEY_PATTERN = re.compile(rb"egk_([0-9a-f]{8})_[A-Za-z0-9_-]{43}")

#: Digest to compare with if the key id is unknown, so that an unknown id takes as long
#: to reject as a wrong key.
PLACEHOLDER_DIGEST = bytes(hashlib.sha256().digest_size)


@dataclass(frozen=True)
class NewKey:
    """A newly generated key; the only object that holds a key in clear text."""

    #: The key as the caller sends it.
    key: str
    #: The key's id and digest, for the published configuration.
    digest: KeyDigest


def make_key() -> NewKey:
    """Returns a new key from the operating system's secure random generator."""
    key_id = secrets.token_hex(KEY_ID_DIGITS // 2)
    key = f"egk_{key_id}_{secrets.token_urlsafe(SECRET_BYTES)}"
    return NewKey(key, KeyDigest(key_id, digest_key(key.encode())))


def digest_key(key: bytes) -> bytes:
    """Returns the SHA-256 digest of a key, including its prefix and id."""
    return hashlib.sha256(key).digest()


class KeyRing:
    """The keys of one revision; the next revision gets a new key ring."""

    def __init__(self, organisations: Iterable[Organisation] = ()) -> None:
        self._entries: dict[str, tuple[bytes, Organisation | None]] = {}
        for organisation in organisations:
            for key in organisation.keys:
                self._entries[key.key_id] = (key.digest, organisation)

    def identify(self, key: bytes) -> Organisation | None:
        """Returns the organisation that ``key`` belongs to, or None.

        Digests are compared in constant time, also for unknown key ids, so the
        response time does not reveal which key ids exist.
        """
        match = KEY_PATTERN.fullmatch(key)
        key_id = match.group(1).decode() if match else ""
        expected, organisation = self._entries.get(key_id, (PLACEHOLDER_DIGEST, None))
        if not hmac.compare_digest(digest_key(key), expected):
            return None
        return organisation
