"""Allowance counters for metrics, and bucket snapshots for the state page."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True)
class BucketSnapshot:
    """The state of one bucket that this instance holds."""

    resource: str
    level: float
    #: Tokens on loan, neither reported as spent nor expired.
    lent: int
    rate_per_second: float
    burst: float


@dataclass
class AllowanceCounts:
    """Counters of one entry instance since its start."""

    #: Requests admitted, by organisation.
    admitted: Counter[str] = field(default_factory=Counter)
    #: Requests refused, by organisation and refusal code.
    refused: Counter[tuple[str, str]] = field(default_factory=Counter)
    #: Borrows sent to other instances.
    borrows: int = 0
    #: Borrows that timed out or whose holder was unreachable.
    unanswered_borrows: int = 0
    #: Borrows sent to an instance that does not hold the shard.
    misdirected_borrows: int = 0
    #: Tokens borrowed from other instances.
    borrowed_tokens: int = 0
    #: Borrowed tokens that expired unused or had expired on arrival.
    expired_tokens: int = 0
