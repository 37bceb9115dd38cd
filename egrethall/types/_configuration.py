"""The published configuration: organisations, plans, services and upstreams."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class KeyDigest:
    """The stored form of a caller's key."""

    #: Eight hexadecimal digits that name the key in lists, logs and metrics.
    key_id: str
    #: SHA-256 of the whole key.
    digest: bytes


@dataclass(frozen=True)
class Organisation:
    """A customer of the reseller, with the keys of its callers."""

    name: str
    #: The name of the :class:`Plan` that the organisation is on.
    plan: str
    keys: tuple[KeyDigest, ...] = ()


@dataclass(frozen=True)
class Plan:
    """What an organisation may use, over the whole fleet together."""

    name: str
    rate_per_second: float
    #: Requests that may come at once after a pause.
    burst: int
    #: Names of the services that the plan gives access to.
    services: frozenset[str]


@dataclass(frozen=True)
class Route:
    """A set of requests, by path and method, that one service answers."""

    path_prefix: str
    methods: frozenset[str]
    #: Methods whose requests may be sent again after a failure.
    idempotent_methods: frozenset[str]
    #: True if requests need no key.
    open: bool = False


@dataclass(frozen=True)
class Upstream:
    """A back end of a service."""

    name: str
    #: IP number and port, for example ``127.0.0.1:9001``.
    address: str
    availability_zone: str
    #: Requests that the upstream works on at the same time.
    slots: int
    #: Open connections that the upstream accepts from the whole fleet.
    max_connections: int
    #: Requests per second that the upstream bears right after its start.
    cold_rate_per_second: float
    #: Requests that the upstream bears at once right after its start.
    cold_burst: int


@dataclass(frozen=True)
class Service:
    """A named group of upstreams with the routes that lead to it."""

    name: str
    #: Time from a request's arrival until its answer must have begun.
    deadline_ms: int
    max_body_bytes: int
    #: Requests that wait for an upstream in one instance.
    max_queue: int
    routes: tuple[Route, ...]
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True)
class Configuration:
    """One published revision, as parsed and validated."""

    revision: int
    #: Upper bound on the entry instances that run at the same time.
    max_entry_instances: int
    organisations: tuple[Organisation, ...] = ()
    plans: tuple[Plan, ...] = ()
    services: tuple[Service, ...] = ()
    #: Availability zones that operators have taken out of service.
    zones_out_of_service: frozenset[str] = field(default_factory=frozenset)
    #: Names of instances and upstreams that operators have taken out of service.
    instances_out_of_service: frozenset[str] = field(default_factory=frozenset)
