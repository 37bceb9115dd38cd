"""State of an instance as the operators' interface shows it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from egrethall.types import UpstreamState


@dataclass(frozen=True)
class Readiness:
    """Whether the platform's load balancer should send callers to the instance."""

    ready: bool
    #: Reasons for not being ready, one sentence each; empty if ready.
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True)
class PeerStatus:
    """Another entry instance, as known to this one."""

    name: str
    availability_zone: str
    connected: bool
    leaving: bool
    #: Configuration revision in its newest heartbeat.
    revision: int
    #: Time since its newest heartbeat; None if there was none.
    heard_age_seconds: float | None


@dataclass(frozen=True)
class UpstreamStatus:
    """An upstream, as known to this instance."""

    name: str
    service: str
    availability_zone: str
    state: UpstreamState
    #: Number of this instance's requests in progress at the upstream.
    in_flight: int
    #: Number of all instances' requests in the newest load reading; None without one.
    reported_in_flight: int | None
    #: Age of the newest load reading; None without one.
    reading_age_seconds: float | None
    latency_ms: float | None
    #: True while the upstream receives no requests because earlier ones failed.
    ejected: bool
    #: True while operators or the upstream itself have taken it out of service.
    out_of_service: bool


@dataclass(frozen=True)
class QueueStatus:
    """Queue of one service at this instance."""

    service: str
    waiting: int
    max_queue: int


@dataclass(frozen=True)
class InstanceStatus:
    """The state of one entry instance."""

    name: str
    availability_zone: str
    incarnation: int
    readiness: Readiness
    #: True once the instance has begun to stop.
    stopping: bool
    #: Configuration revision in force; 0 before the first one.
    revision: int
    #: Time since the revision was last confirmed as current; infinite if never.
    confirmed_age_seconds: float
    uptime_seconds: float
    #: Number of callers' requests in progress.
    in_flight: int
    #: Numbers of the shards whose leases the instance holds.
    held_shards: tuple[int, ...]
    #: True if the instance is in contact with enough others to admit requests with a
    #: key.
    has_majority: bool
    peers: tuple[PeerStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    queues: tuple[QueueStatus, ...] = ()


@dataclass(frozen=True)
class BucketStatus:
    """One token bucket of an organisation."""

    #: Name of the bucket, for example ``organisation/atlas/0``.
    resource: str
    shard: int
    #: Name of the instance that holds the shard; None if none is known.
    holder: str | None
    #: Tokens in the bucket; None unless this instance is the holder.
    level: float | None = None
    #: Tokens lent and not known to be spent; None unless this instance is the holder.
    lent: float | None = None


@dataclass(frozen=True)
class OrganisationExplanation:
    """Why an organisation's requests are admitted or refused at this instance."""

    organisation: str
    plan: str
    rate_per_second: float
    burst: int
    services: tuple[str, ...]
    key_ids: tuple[str, ...]
    #: Number of requests that passed the checks of key, plan and allowance since the
    #: instance started.
    admitted: int
    #: Number of refusals since the instance started, by reason.
    refused: Mapping[str, int] = field(default_factory=dict)
    #: Tokens that this instance has borrowed and not spent.
    wallet_tokens: float = 0.0
    buckets: tuple[BucketStatus, ...] = ()
    #: Other conditions that currently affect its requests, one sentence each.
    remarks: tuple[str, ...] = ()


class StateSource(Protocol):
    """Source of the state that the operators' interface shows."""

    def read_readiness(self) -> Readiness:
        """Returns whether the instance is ready, with the reasons if it is not."""
        ...

    def read_status(self) -> InstanceStatus:
        """Returns the current state of the instance."""
        ...

    def explain_organisation(self, organisation: str) -> OrganisationExplanation | None:
        """Returns the explanation of an organisation, or None if it is unknown."""
        ...
