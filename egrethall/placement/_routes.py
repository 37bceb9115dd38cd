"""Routes a request by its host and path, and chooses a service of the route."""

from egrethall.types import (
    PublishedConfiguration,
    PublishedOrganisation,
    PublishedRoute,
    RandomSource,
)


class HostRoutes:
    """Indexes the routes and keys of one version of the configuration."""

    def __init__(self, configuration: PublishedConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, PublishedRoute]] = {}
        for route in configuration.routes:
            paths = self._routes_by_host.setdefault(route.host, {})
            paths[route.path_prefix] = route
        self._organisations_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }

    @property
    def requires_key(self) -> bool:
        """Whether a request needs a key unless its route is public."""
        configuration = self.configuration
        return configuration.requires_keys or bool(configuration.organisations)

    def find_route(self, host: str, target: bytes) -> PublishedRoute | None:
        """Returns the route with the longest matching prefix, or None."""
        paths = self._routes_by_host.get(host)
        if paths is None:
            return None
        path = target.split(b"?", 1)[0].decode("latin-1")
        end = path.rfind("/")
        while end >= 0:
            route = paths.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_organisation(self, key: str | None) -> PublishedOrganisation | None:
        """Returns the organisation that ``key`` belongs to, or None."""
        return None if key is None else self._organisations_by_key.get(key)


def choose_service(route: PublishedRoute, random_source: RandomSource) -> str:
    """Returns one of the route's services at random, in proportion to their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    point = random_source.random() * sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
