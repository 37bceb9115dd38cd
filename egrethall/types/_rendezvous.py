"""Rendezvous hashing."""

from hashlib import blake2b

#: Enough that ties do not happen in practice.
WEIGHT_BYTES = 8


def weigh(resource: str, instance: str) -> bytes:
    """Returns the weight of an instance for a resource.

    All that know the same instances find the same heaviest ones, without messages
    (Thaler and Ravishankar 1998).
    """
    return blake2b(
        f"{resource}\0{instance}".encode(), digest_size=WEIGHT_BYTES
    ).digest()
