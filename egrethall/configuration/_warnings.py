"""Valid configurations that probably are not what the operators mean."""

from collections import Counter
from collections.abc import Iterator

from egrethall.types import Configuration, Route, Service


def find_warnings(configuration: Configuration) -> tuple[str, ...]:
    """Returns a sentence for each part that is valid and probably a mistake.

    Nothing is rejected for these: each of them can be meant, for example during a
    move to other upstreams.
    """
    return (
        *_check_plans(configuration),
        *_check_organisations(configuration),
        *_check_services(configuration),
        *_check_fleet(configuration),
    )


def _check_plans(configuration: Configuration) -> Iterator[str]:
    used = {organisation.plan for organisation in configuration.organisations}
    for plan in configuration.plans:
        if plan.name not in used:
            yield f"plan {plan.name}: no organisation is on it"
        if not plan.services:
            yield f"plan {plan.name}: it gives access to no service"


def _check_organisations(configuration: Configuration) -> Iterator[str]:
    for organisation in configuration.organisations:
        if not organisation.keys:
            yield f"organisation {organisation.name}: it has no key"


def _check_services(configuration: Configuration) -> Iterator[str]:
    granted = {service for plan in configuration.plans for service in plan.services}
    for service in configuration.services:
        if not service.routes:
            yield f"service {service.name}: no route leads to it"
        is_open = any(route.open for route in service.routes)
        if service.name not in granted and not is_open:
            yield f"service {service.name}: no plan gives access to it"
        for route in service.routes:
            yield from _check_route(service, route)
        yield from _check_upstreams(service, configuration)


def _check_route(service: Service, route: Route) -> Iterator[str]:
    if route.open and not route.methods <= {"GET", "HEAD", "OPTIONS"}:
        methods = ", ".join(sorted(route.methods - {"GET", "HEAD", "OPTIONS"}))
        yield (
            f"service {service.name}: route {route.path_prefix} is open to all and "
            f"has the methods {methods}"
        )
    for method in sorted(route.idempotent_methods & {"PATCH", "POST"}):
        yield (
            f"service {service.name}: route {route.path_prefix} may run {method} "
            "requests twice, because they are listed as idempotent"
        )


def _check_upstreams(service: Service, configuration: Configuration) -> Iterator[str]:
    """Yields what is wrong with a service's upstreams as a group."""
    if not service.upstreams:
        yield f"service {service.name}: it has no upstream"
        return
    zones = Counter(
        upstream.availability_zone
        for upstream in service.upstreams
        if upstream.availability_zone not in configuration.zones_out_of_service
        and upstream.name not in configuration.instances_out_of_service
    )
    if not zones:
        yield f"service {service.name}: all its upstreams are out of service"
    if len(zones) == 1 and len(service.upstreams) > 1:
        (zone,) = zones
        yield (
            f"service {service.name}: all upstreams in service are in availability "
            f"zone {zone}"
        )
    limit = configuration.max_entry_instances
    for upstream in service.upstreams:
        if upstream.max_connections < limit:
            yield (
                f"service {service.name}: upstream {upstream.name} accepts "
                f"{upstream.max_connections} connections, but each of {limit} entry "
                "instances may open one"
            )


def _check_fleet(configuration: Configuration) -> Iterator[str]:
    if configuration.max_entry_instances == 2:
        yield (
            "fleet: with max_entry_instances 2 both instances are the majority, so "
            "the loss of one stops all keyed requests"
        )
    known_zones = {
        upstream.availability_zone
        for service in configuration.services
        for upstream in service.upstreams
    }
    for zone in sorted(configuration.zones_out_of_service - known_zones):
        yield f"out_of_service: no upstream is in availability zone {zone}"
