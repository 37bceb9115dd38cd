"""Fingerprints that identify repeated requests without keeping their bodies."""

import hashlib

from egrethall.types import CallRequest

FINGERPRINT_BYTES = 16
KEY_BYTES = 32

#: BLAKE2 personalisation of the derived key, so that other uses of the shared secret
#: get different keys.
KEY_PERSONALIZATION = b"egrethall-crash"


class Fingerprinter:
    """Computes the same fingerprint for equal requests on every instance.

    The key is derived from the fleet's shared secret, so that a caller cannot
    construct two requests with the same fingerprint.
    """

    def __init__(self, shared_secret: bytes) -> None:
        self._key = hashlib.blake2b(
            shared_secret, digest_size=KEY_BYTES, person=KEY_PERSONALIZATION
        ).digest()

    def compute(self, request: CallRequest) -> bytes:
        """Returns a keyed BLAKE2b digest of what identifies the request.

        These are the organisation, the service, the method, the target, the content
        length and the prefix of the body.

        Each part is prefixed with its length, so that moving bytes from one part to
        the next changes the digest.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=self._key)
        organisation = request.organisation
        for part in (
            b"-" if organisation is None else b"+" + organisation.name.encode(),
            request.service.name.encode(),
            request.method.encode(),
            request.target,
            b"%d" % (-1 if request.content_length is None else request.content_length),
            request.body.prefix,
        ):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()
