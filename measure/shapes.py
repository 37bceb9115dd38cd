"""The two users of section 2.1 of the design page, scaled to one machine.

A shape has a quarter of a user's upstreams, but at least three in each service, so
that one of them may be ejected as at the full size. Rates leave the slots of the
largest service a little under half busy.
"""

import random
from dataclasses import dataclass

from egrethall.admission import make_key
from standins.fleet import Fleet
from standins.service_shapes import ServiceShape

#: Weight of the entry instance of each rank in the traffic of one organisation.
ENTRY_WEIGHTS = (8.0, 4.0, 2.0, 1.0)

ARCHIVE_BYTES = 200_000

#: Largest share of a cold upstream's only slot that its cold rate keeps busy.
COLD_BUSY_RATIO = 0.4


@dataclass(frozen=True)
class ServiceLoad:
    """One service, and its part of the calls."""

    name: str
    upstreams: int
    work_ms: float
    share: float
    method: str = "GET"
    answer_bytes: int = 0
    deadline_ms: int = 1000


@dataclass(frozen=True)
class OrganisationLoad:
    """One organisation: its plan and what it sends."""

    name: str
    rate_per_second: float
    burst: int
    sent_per_second: float


@dataclass(frozen=True)
class Shape:
    """One user's fleet and traffic."""

    name: str
    zones: tuple[str, ...]
    #: Availability zones of the entry instances.
    entry_zones: tuple[str, ...]
    slots: int
    max_connections: int
    probe_ms: float
    services: tuple[ServiceLoad, ...]
    organisations: tuple[OrganisationLoad, ...]


@dataclass(frozen=True)
class PlannedCall:
    """One call of the seeded load; ``at_seconds`` is the intended send."""

    at_seconds: float
    organisation: str
    service: str
    entry: int
    method: str
    target: str
    echo: str
    answer_bytes: int


def _build_organisations(large: float, small: float) -> tuple[OrganisationLoad, ...]:
    loads = [
        OrganisationLoad(f"large-{number}", large, int(large * 2 / 3), large * 0.6)
        for number in (1, 2)
    ]
    loads += [
        OrganisationLoad(f"small-{number}", small, int(small), small * 0.5)
        for number in range(1, 7)
    ]
    return tuple(loads)


RECU_SOLIDAIRE = Shape(
    name="recu-solidaire",
    zones=("a", "b", "c"),
    entry_zones=("a", "b", "c", "c"),
    slots=6,
    max_connections=200,
    # The user states no time; that of the other one is taken.
    probe_ms=5.0,
    services=(
        ServiceLoad("lookup", 4, 80.0, 0.70),
        ServiceLoad("issue", 3, 120.0, 0.15, "POST", deadline_ms=2000),
        ServiceLoad("export", 3, 150.0, 0.05, "GET", ARCHIVE_BYTES, 3000),
        ServiceLoad("ledger", 3, 60.0, 0.10, "POST", deadline_ms=2000),
    ),
    organisations=_build_organisations(60.0, 16.0),
)

MINCA_STUDIO = Shape(
    name="minca-studio",
    zones=("a", "b", "c", "d"),
    entry_zones=("a", "b", "c", "d"),
    slots=4,
    max_connections=250,
    probe_ms=5.0,
    services=(
        ServiceLoad("catalogue", 5, 80.0, 0.75),
        ServiceLoad("trade", 3, 80.0, 0.10, "POST", deadline_ms=2000),
        ServiceLoad("archive", 3, 120.0, 0.05, "GET", ARCHIVE_BYTES, 3000),
        ServiceLoad("find", 3, 60.0, 0.10, "POST", deadline_ms=2000),
    ),
    organisations=_build_organisations(60.0, 16.0),
)

SHAPES = {shape.name: shape for shape in (RECU_SOLIDAIRE, MINCA_STUDIO)}


def publish_shape(shape: Shape, fleet: Fleet) -> dict[str, str]:
    """Starts the upstreams of a shape, publishes it and returns the callers' keys."""
    keys: dict[str, str] = {}
    organisations, plans, services = [], [], []
    for load in shape.organisations:
        key = make_key()
        keys[load.name] = key.key
        digest = f"sha256:{key.digest.digest.hex()}"
        organisations.append(
            {
                "name": load.name,
                "plan": load.name,
                "keys": [{"key_id": key.digest.key_id, "digest": digest}],
            }
        )
        plans.append(
            {
                "name": load.name,
                "rate_per_second": load.rate_per_second,
                "burst": load.burst,
                "services": [service.name for service in shape.services],
            }
        )
    for service in shape.services:
        upstreams = fleet.build_upstreams(
            service.name,
            service.upstreams,
            slots=shape.slots,
            work_ms=service.work_ms,
            max_connections=shape.max_connections,
        )
        fleet.start_upstreams(upstreams)
        published = ServiceShape(
            service.name,
            upstreams,
            shape.zones,
            deadline_ms=service.deadline_ms,
            cold_rate_per_second=COLD_BUSY_RATIO * 1000.0 / service.work_ms,
        )
        services.append(published.build_configuration())
    for number, zone in enumerate(shape.entry_zones, start=1):
        fleet.add_instance(f"entry-{number}", zone)
    fleet.publish(
        fleet={"max_entry_instances": len(shape.entry_zones)},
        organisations=organisations,
        plans=plans,
        services=services,
        out_of_service={"availability_zones": [], "instances": []},
    )
    fleet.publish_instances()
    return keys


def plan_calls(
    shape: Shape,
    seconds: float,
    seed: str,
    label: str,
    factors: dict[str, float] | None = None,
) -> list[PlannedCall]:
    """Returns the calls of all organisations in the order of their intended sends.

    :param label: Part of every target, by which runs are told from other loads' runs.
    :param factors: Multiples of the usual traffic of some organisations.
    """
    calls = []
    shares = [service.share for service in shape.services]
    for rank, load in enumerate(shape.organisations):
        source = random.Random(f"{seed}/{load.name}")
        rate = load.sent_per_second * (factors or {}).get(load.name, 1.0)
        at = source.expovariate(rate)
        number = 0
        while at < seconds:
            (service,) = source.choices(shape.services, shares)
            (entry,) = source.choices(range(len(ENTRY_WEIGHTS)), ENTRY_WEIGHTS)
            size = f"?size={service.answer_bytes}" if service.answer_bytes else ""
            call = PlannedCall(
                at_seconds=at,
                organisation=load.name,
                service=service.name,
                # Each organisation has an entry instance of its own that it prefers.
                entry=(entry + rank) % len(ENTRY_WEIGHTS),
                method=service.method,
                target=f"/{service.name}/{label}/{load.name}/{number}{size}",
                echo=f"{load.name}-{number}",
                answer_bytes=service.answer_bytes,
            )
            calls.append(call)
            at += source.expovariate(rate)
            number += 1
    return sorted(calls, key=lambda call: call.at_seconds)


def scale_organisation(shape: Shape, name: str, factor: float) -> dict[str, float]:
    """Returns the factors with which an organisation sends ``factor`` x its rate."""
    load = next(item for item in shape.organisations if item.name == name)
    return {name: factor * load.rate_per_second / load.sent_per_second}
