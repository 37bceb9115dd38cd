"""Shards: the units in which authority over the fleet's state is leased."""

import hashlib
from collections.abc import Iterable, Iterator

from egrethall.types import InstanceId

#: Number of shards. A set of shards is a bit mask of this many bits, also on the wire.
SHARD_COUNT = 64

#: Size of the hashes; large enough that rendezvous weights do not tie in practice.
DIGEST_BYTES = 8


def shard_of(resource: str) -> int:
    """Returns the shard of ``resource``, from 0 to :data:`SHARD_COUNT` - 1."""
    digest = hashlib.blake2b(resource.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") % SHARD_COUNT


def iterate_shards(shards: int) -> Iterator[int]:
    """Yields the shards in the bit mask ``shards`` in ascending order."""
    while shards:
        lowest_bit = shards & -shards
        yield lowest_bit.bit_length() - 1
        shards ^= lowest_bit


def rank_members(shard: int, members: Iterable[InstanceId]) -> list[InstanceId]:
    """Returns ``members`` in order of preference as holder of ``shard``.

    The order is that of rendezvous hashing (Thaler and Ravishankar 1998). It uses
    only instance names, so that a restarted process gets its predecessor's shards.
    """
    return sorted(
        members, key=lambda member: _weight_of(shard, member.name), reverse=True
    )


def choose_holder(shard: int, members: Iterable[InstanceId]) -> InstanceId | None:
    """Returns the member that should hold ``shard``, or None if there are none."""
    return max(members, key=lambda member: _weight_of(shard, member.name), default=None)


def _weight_of(shard: int, name: str) -> tuple[bytes, str]:
    text = f"{shard}/{name}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), name
