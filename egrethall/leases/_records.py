"""Records that the lease table returns or keeps for each shard."""

from dataclasses import dataclass, field

from egrethall.types import InstanceId


@dataclass(frozen=True)
class LeaseRequest:
    """The shard sets that the next heartbeat carries."""

    sequence: int
    held_shards: int
    wanted_shards: int


@dataclass(frozen=True)
class LeaseTenure:
    """One uninterrupted period during which an instance holds a shard."""

    #: Incremented each time this process acquires the shard.
    number: int
    acquired_at_seconds: float
    #: End of the previous tenure of the same process, 0 if there was none.
    previous_end_seconds: float = 0.0


@dataclass(frozen=True)
class DueHandover:
    """A shard that this instance holds and another one should hold."""

    shard: int
    successor: InstanceId


@dataclass
class ShardLease:
    """The votes received for one shard and the state of its lease."""

    #: Expiry time of each voter's vote, by the voter's name.
    vote_expiries_seconds: dict[str, float] = field(default_factory=dict)
    held_until_seconds: float = 0.0
    given_up_at_seconds: float = 0.0
    tenure: LeaseTenure = LeaseTenure(0, 0.0)
    #: Votes that answer heartbeats below this sequence number are ignored.
    first_valid_sequence: int = 0
    candidate_since_seconds: float | None = None
    backoff_until_seconds: float = 0.0
