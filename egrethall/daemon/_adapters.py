"""Small adapters between the parts of an entry instance."""

from collections.abc import Iterator

from egrethall.admission import HeldBuckets, KeyRing, upstream_resource
from egrethall.ingress import RouteAnswer
from egrethall.leases import LeaseTable, shard_of
from egrethall.peers import Membership
from egrethall.routing import (
    ColdStartController,
    MethodNotAllowed,
    RouteMatch,
    RouteNotFound,
    RouteTable,
    TargetRefused,
    UpstreamDirectory,
)
from egrethall.types import (
    Configuration,
    InstanceId,
    Organisation,
    PeerRequester,
    UpstreamEvent,
    UpstreamFact,
)


class KeysAndRoutes:
    """Keys and routes of the configuration in force, replaced as a whole."""

    def __init__(self) -> None:
        self._keys = KeyRing()
        self._routes: RouteTable | None = None
        #: Names of all configured upstreams.
        self.upstream_names: frozenset[str] = frozenset()

    def apply(self, configuration: Configuration) -> None:
        """Replaces keys and routes."""
        self._keys = KeyRing(configuration.organisations)
        self._routes = RouteTable(configuration)
        self.upstream_names = frozenset(
            upstream.name
            for service in configuration.services
            for upstream in service.upstreams
        )

    def identify(self, key: bytes) -> Organisation | None:
        """Returns the organisation that ``key`` belongs to, or None."""
        return self._keys.identify(key)

    def match(self, method: str, path: bytes) -> RouteAnswer:
        """Returns the route of a request."""
        if self._routes is None:
            return RouteAnswer()
        match self._routes.find(method, path):
            case RouteMatch(service, route):
                return RouteAnswer(service=service, route=route)
            case MethodNotAllowed(allowed_methods):
                return RouteAnswer(allowed_methods=allowed_methods)
            case TargetRefused(detail):
                return RouteAnswer(target_fault=detail)
            case RouteNotFound():
                return RouteAnswer()


class UpstreamShardView:
    """The :class:`~egrethall.routing.HolderView` over leases and membership."""

    def __init__(self, leases: LeaseTable, membership: Membership) -> None:
        self._leases = leases
        self._membership = membership
        self._shards: dict[str, int] = {}
        self._names_by_shard: dict[int, list[str]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Sorts the configured upstreams by shard and forgets the others."""
        known, self._shards = self._shards, {}
        self._names_by_shard = {}
        for service in configuration.services:
            for upstream in service.upstreams:
                name = upstream.name
                shard = known.get(name)
                if shard is None:
                    shard = shard_of(upstream_resource(name))
                self._shards[name] = shard
                self._names_by_shard.setdefault(shard, []).append(name)

    def find_shard(self, upstream: str) -> int:
        """Returns the shard of the resource ``upstream/NAME``."""
        shard = self._shards.get(upstream)
        return shard_of(upstream_resource(upstream)) if shard is None else shard

    def is_held_here(self, upstream: str) -> bool:
        """Returns whether this instance holds an unexpired lease of the shard."""
        return self._leases.is_held(self.find_shard(upstream))

    def find_held(self) -> Iterator[str]:
        """Yields the configured upstreams whose shards this instance holds."""
        for shard, names in self._names_by_shard.items():
            if self._leases.is_held(shard):
                yield from names

    def is_held_by(self, upstream: str, instance: InstanceId) -> bool:
        """Returns whether ``instance`` is the last known holder of the shard."""
        return self._membership.find_holder(self.find_shard(upstream)) == instance


class UpstreamRates:
    """Passes the rates of cold starts on to the token buckets of held shards."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        controller: ColdStartController,
        shards: UpstreamShardView,
        held_buckets: HeldBuckets,
    ) -> None:
        self._directory = directory
        self._controller = controller
        self._shards = shards
        self._held_buckets = held_buckets

    def update_all(self) -> None:
        """Sets the rate of each upstream that is not warm."""
        for name in self._shards.find_held():
            self.update(name)

    def update(self, upstream: str) -> None:
        """Sets the rate of one upstream if it is not warm and held here."""
        if not self._shards.is_held_here(upstream):
            return
        if not self._directory.needs_cold_token(upstream):
            return
        limits = self._controller.find_limits(upstream)
        if limits is not None:
            self._held_buckets.set_upstream_rate(upstream, limits.rate_per_second)


class FactBroadcaster:
    """The :class:`~egrethall.routing.FactPublisher` that tells all peers.

    ``rates`` is set once the parts that it needs exist; an upstream that turned cold
    gets its low rate at once and not at the next tick.
    """

    def __init__(self, requester: PeerRequester) -> None:
        self._requester = requester
        self.rates: UpstreamRates | None = None

    def publish_fact(self, fact: UpstreamFact) -> None:
        """Tells all peers of a sign that an upstream turned cold or drains."""
        if self.rates is not None:
            self.rates.update(fact.upstream)
        self._requester.broadcast_notice(UpstreamEvent(fact))
