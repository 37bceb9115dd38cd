"""Load and life states of upstreams."""

import enum
from dataclasses import dataclass


class UpstreamState(enum.Enum):
    """The life state of an upstream."""

    #: Nothing is known yet; treated like :attr:`COLD`.
    UNKNOWN = "unknown"
    COLD = "cold"
    #: Answers well; its rate is being raised.
    WARMING = "warming"
    WARM = "warm"
    #: Takes no new work.
    DRAINING = "draining"


@dataclass(frozen=True)
class LoadReport:
    """What an upstream says of itself, in an answer or to a probe."""

    in_flight: int
    slots: int
    state: UpstreamState
    #: Changes with each start of the upstream's process.
    start_id: str


@dataclass(frozen=True)
class UpstreamFact:
    """What the holder of an upstream's shard tells the other instances."""

    upstream: str
    state: UpstreamState
    start_id: str
    #: Load of the latest reading, or -1 if there is none.
    in_flight: int
    #: Age of the reading when the message was sent.
    age_seconds: float
