"""Digests, resource names and statuses of ``Idempotency-Key`` records."""

import hashlib

from egrethall.types import CallRequest

DIGEST_BYTES = 32

#: Statuses of a record that are not HTTP statuses.
STATUS_RUNNING = 0
STATUS_UNKNOWN = -1
#: Removes the record, because the request certainly was not run.
STATUS_NOT_RUN = -2


def compute_key_digest(request: CallRequest, idempotency_key: bytes) -> bytes:
    """Returns the digest of organisation and key; the key itself is not stored."""
    organisation = request.organisation
    name = b"" if organisation is None else organisation.name.encode("utf-8")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(len(name).to_bytes(8, "big"))
    digest.update(name)
    digest.update(idempotency_key)
    return digest.digest()


def build_resource(key_digest: bytes) -> str:
    """Returns the name of the resource whose shard holds the record."""
    return f"idempotency/{key_digest.hex()}"
