"""Differences between two revisions, in words."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, fields
from typing import TypeVar

from egrethall.types import Configuration, Organisation, Plan, Route, Service, Upstream

Item = TypeVar("Item")

#: Stands for a thing that one of the two revisions does not have.
ABSENT = "-"


@dataclass(frozen=True)
class Change:
    """One difference between two revisions."""

    #: What differs, for example ``organisation atlas plan``.
    subject: str
    before: str
    after: str
    #: The difference as a sentence for a person.
    sentence: str


def describe_changes(
    old: Configuration | None, new: Configuration
) -> tuple[Change, ...]:
    """Returns the differences between two configurations, in a fixed order.

    Without an old configuration, everything in the new one is an addition. The
    revision numbers themselves are not compared.
    """
    before = old or Configuration(revision=0, max_entry_instances=0)
    return tuple(_iterate_changes(before, new))


def _iterate_changes(old: Configuration, new: Configuration) -> Iterator[Change]:
    if old.max_entry_instances != new.max_entry_instances:
        yield _from_to(
            "fleet",
            "max_entry_instances",
            old.max_entry_instances,
            new.max_entry_instances,
        )
    yield from _compare_availability(
        "availability zone", old.zones_out_of_service, new.zones_out_of_service
    )
    yield from _compare_availability(
        "instance", old.instances_out_of_service, new.instances_out_of_service
    )
    yield from _compare_items(
        "plan", old.plans, new.plans, _name_of, _summarise_plan, _compare_plans
    )
    yield from _compare_items(
        "organisation",
        old.organisations,
        new.organisations,
        _name_of,
        lambda organisation: f"plan {organisation.plan}",
        _compare_organisations,
    )
    yield from _compare_items(
        "service",
        old.services,
        new.services,
        _name_of,
        lambda service: f"deadline_ms {service.deadline_ms}",
        _compare_services,
    )


def _compare_items(
    kind: str,
    old: Iterable[Item],
    new: Iterable[Item],
    key_of: Callable[[Item], str],
    summarise: Callable[[Item], str],
    compare: Callable[[str, Item | None, Item], Iterator[Change]],
) -> Iterator[Change]:
    """Yields additions, removals and, by ``compare``, changes within items."""
    old_items = {key_of(item): item for item in old}
    new_items = {key_of(item): item for item in new}
    for key, item in old_items.items():
        if key not in new_items:
            subject, summary = f"{kind} {key}", summarise(item)
            yield Change(subject, summary, ABSENT, f"{subject} removed ({summary})")
    for key, item in new_items.items():
        subject, earlier = f"{kind} {key}", old_items.get(key)
        if earlier is None:
            summary = summarise(item)
            yield Change(subject, ABSENT, summary, f"{subject} added ({summary})")
        yield from compare(subject, earlier, item)


def _compare_availability(
    kind: str, old: frozenset[str], new: frozenset[str]
) -> Iterator[Change]:
    for name in sorted(new - old):
        subject = f"{kind} {name}"
        sentence = f"{subject} taken out of service"
        yield Change(subject, "in service", "out of service", sentence)
    for name in sorted(old - new):
        subject = f"{kind} {name}"
        sentence = f"{subject} back in service"
        yield Change(subject, "out of service", "in service", sentence)


def _compare_plans(subject: str, old: Plan | None, new: Plan) -> Iterator[Change]:
    if old is None:
        old = Plan(new.name, new.rate_per_second, new.burst, frozenset())
    yield from _compare_fields(subject, old, new, "rate_per_second", "burst")
    for service in sorted(new.services - old.services):
        sentence = f"{subject} gives access to service {service}"
        yield Change(f"{subject} service {service}", "no", "yes", sentence)
    for service in sorted(old.services - new.services):
        sentence = f"{subject} no longer gives access to service {service}"
        yield Change(f"{subject} service {service}", "yes", "no", sentence)


def _compare_organisations(
    subject: str, old: Organisation | None, new: Organisation
) -> Iterator[Change]:
    if old is None:
        old = Organisation(new.name, new.plan)
    yield from _compare_fields(subject, old, new, "plan")
    old_keys = {key.key_id: key.digest for key in old.keys}
    new_keys = {key.key_id: key.digest for key in new.keys}
    for key_id in sorted(old_keys.keys() - new_keys.keys()):
        sentence = f"{subject}: key {key_id} withdrawn"
        yield Change(f"{subject} key {key_id}", "granted", "withdrawn", sentence)
    for key_id in sorted(new_keys.keys() - old_keys.keys()):
        sentence = f"{subject}: key {key_id} granted"
        yield Change(f"{subject} key {key_id}", ABSENT, "granted", sentence)
    for key_id in sorted(old_keys.keys() & new_keys.keys()):
        if old_keys[key_id] != new_keys[key_id]:
            sentence = f"{subject}: digest of key {key_id} changed"
            yield Change(f"{subject} key {key_id}", "granted", "replaced", sentence)


def _compare_services(
    subject: str, old: Service | None, new: Service
) -> Iterator[Change]:
    if old is not None:
        yield from _compare_fields(
            subject, old, new, "deadline_ms", "max_body_bytes", "max_queue"
        )
    yield from _compare_items(
        f"{subject}: route",
        old.routes if old else (),
        new.routes,
        _summarise_route,
        lambda route: route.path_prefix,
        _compare_nothing,
    )
    yield from _compare_items(
        f"{subject}: upstream",
        old.upstreams if old else (),
        new.upstreams,
        _name_of,
        lambda upstream: f"{upstream.address}, zone {upstream.availability_zone}",
        _compare_upstreams,
    )


def _compare_upstreams(
    subject: str, old: Upstream | None, new: Upstream
) -> Iterator[Change]:
    if old is None:
        return
    names = [field.name for field in fields(Upstream) if field.name != "name"]
    yield from _compare_fields(subject, old, new, *names)


def _compare_nothing(subject: str, old: Item | None, new: Item) -> Iterator[Change]:
    """Yields nothing: the item's key contains all of it."""
    yield from ()


def _compare_fields(
    subject: str, old: object, new: object, *names: str
) -> Iterator[Change]:
    for name in names:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            yield _from_to(subject, name, before, after)


def _from_to(subject: str, name: str, before: object, after: object) -> Change:
    return Change(
        subject=f"{subject} {name}",
        before=f"{before}",
        after=f"{after}",
        sentence=f"{subject}: {name} from {before} to {after}",
    )


def _name_of(item: Plan | Organisation | Service | Upstream) -> str:
    return item.name


def _summarise_plan(plan: Plan) -> str:
    return f"rate_per_second {plan.rate_per_second}, burst {plan.burst}"


def _summarise_route(route: Route) -> str:
    methods = ",".join(sorted(route.methods))
    idempotent = ",".join(sorted(route.idempotent_methods)) or "none"
    access = "open to all" if route.open else "with key"
    return f"{methods} {route.path_prefix} (idempotent: {idempotent}; {access})"
