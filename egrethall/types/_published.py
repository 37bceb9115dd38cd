"""What operators and upstreams publish in a store that instances can only read."""

import enum
from dataclasses import dataclass

from egrethall.types._errors import EgrethallError


class UnusableRecordError(EgrethallError):
    """A published record cannot be used.

    :param upstream: the upstream that the record was about; empty if about none.
    """

    def __init__(self, detail: str, upstream: str = "") -> None:
        super().__init__(detail)
        self.upstream = upstream


class RequestKind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    #: Runs at most once.
    NON_IDEMPOTENT = "non-idempotent"
    #: Idempotent, with a large answer.
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RequestKind.NON_IDEMPOTENT


@dataclass(frozen=True)
class ServiceShare:
    """A part of a route's requests that one service answers."""

    service: str
    #: Relative to the weights of the route's other shares.
    weight: float


@dataclass(frozen=True)
class PublishedRoute:
    """The requests of one host below one path."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RequestKind
    #: Longest time that a caller is kept waiting.
    timeout_seconds: float
    #: Time within which an answer is worth most to the caller.
    objective_seconds: float
    #: Rank of the requests; 0 is the highest.
    priority: int
    shares: tuple[ServiceShare, ...]
    #: Upstreams that one request may be sent to.
    max_attempts: int
    #: True if requests need no key.
    public: bool


@dataclass(frozen=True)
class PublishedService:
    """A group of upstreams that answer alike."""

    name: str
    health_path: str
    #: Connections that one upstream accepts from the whole fleet.
    max_connections: int
    #: Requests per second that a cold upstream bears from the whole fleet.
    cold_rate_per_second: float


@dataclass(frozen=True)
class PublishedOrganisation:
    """A customer with its keys and what its plan allows over the whole fleet."""

    name: str
    keys: frozenset[str]
    #: Takes precedence over the route's rank; None if the plan has none.
    priority: int | None
    #: 0 for no limit.
    rate_per_second: float
    #: Requests that may come at once after a pause.
    burst: float


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclass(frozen=True)
class PublishedConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[PublishedRoute, ...]
    services: tuple[PublishedService, ...]
    organisations: tuple[PublishedOrganisation, ...]
    limits: CallerLimits
    #: Whether routes that are not public require a key. True also for an empty list of
    #: organisations, whose last key was withdrawn.
    requires_keys: bool = False


@dataclass(frozen=True)
class UpstreamEntry:
    """What one run of an upstream has published of itself."""

    name: str
    service: str
    #: IP number and port.
    address: str
    availability_zone: str
    #: Requests that it works on at the same time.
    slots: int
    draining: bool
    #: Time for which it stays cold, from the moment of its last entry.
    cold_seconds: float
    #: Unix milliseconds of its start; 0 if unknown.
    started_at_ms: int = 0
    #: Increases with each entry that the run publishes.
    sequence: int = 0

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders the entries of one upstream by the time at which it wrote them."""
        return self.started_at_ms, self.sequence


@dataclass(frozen=True)
class UpstreamReading:
    """An upstream's own report of its load, at the moment of its answer."""

    running: int
    waiting: int
    slots: int
    #: Time that work takes now, relative to the usual.
    slowness_ratio: float = 1.0


@dataclass(frozen=True)
class ConfigurationPublished:
    """Operators have published a configuration."""

    configuration: PublishedConfiguration


@dataclass(frozen=True)
class ZoneServiceChanged:
    """Operators have taken an availability zone out of service or back."""

    zone: str
    out_of_service: bool


@dataclass(frozen=True)
class UpstreamPublished:
    """An upstream has published itself anew."""

    entry: UpstreamEntry


@dataclass(frozen=True)
class UpstreamWithdrawn:
    """An upstream is published no more."""

    name: str


PublishedChange = (
    ConfigurationPublished | ZoneServiceChanged | UpstreamPublished | UpstreamWithdrawn
)
