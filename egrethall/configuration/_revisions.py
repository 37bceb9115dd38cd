"""Parsing and validation of a published revision."""

import re
from collections.abc import Callable

from egrethall.configuration._addresses import (
    ADDRESS_RULE,
    is_address,
    normalize_address,
)
from egrethall.configuration._faults import Fault, InvalidRevisionError, quote_value
from egrethall.configuration._json import read_json
from egrethall.configuration._readers import (
    NAME_RULE,
    ObjectReader,
    UniqueValues,
    is_name,
)
from egrethall.configuration._routes import check_overlaps, read_route
from egrethall.types import (
    Configuration,
    KeyDigest,
    Organisation,
    Plan,
    Route,
    Service,
    Upstream,
)

#: The largest integer that every JSON reader represents exactly.
MAX_REVISION = 2**53 - 1
MAX_ENTRY_INSTANCES = 1000
MIN_RATE_PER_SECOND = 0.001
MAX_RATE_PER_SECOND = 1_000_000.0
MAX_BURST = 1_000_000
MAX_DEADLINE_MS = 600_000
MAX_BODY_BYTES = 2**40
MAX_QUEUE = 100_000
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000

_KEY_ID = re.compile(r"[0-9a-f]{8}")
_DIGEST = re.compile(r"sha256:[0-9a-f]{64}")
_KEY_ID_RULE = "8 lower-case hexadecimal digits"
_DIGEST_RULE = "sha256: and 64 lower-case hexadecimal digits"


class _References:
    """Names that are unique in a revision, and the references to them."""

    def __init__(self, faults: list[Fault]) -> None:
        self.organisations = UniqueValues("organisation name", faults)
        self.plans = UniqueValues("plan name", faults)
        self.services = UniqueValues("service name", faults)
        self.upstreams = UniqueValues("upstream name", faults)
        # Two names for one upstream would double what it gets in a cold start.
        self.addresses = UniqueValues("upstream address", faults)
        self.key_ids = UniqueValues("key id", faults)
        self.digests = UniqueValues("digest", faults)
        self.routes: list[tuple[str, Route]] = []
        self.used_plans: list[tuple[str, str]] = []
        self.used_services: list[tuple[str, str]] = []


def parse_revision(text: bytes, source: str = "") -> Configuration:
    """Returns the configuration in ``text``, all of it or nothing.

    Raises :class:`InvalidRevisionError` with every fault of ``text``.
    """
    value, faults = read_json(text)
    configuration = None if faults else read_configuration(value, faults)
    if configuration is None or faults:
        located = [fault.locate_in(source) for fault in faults]
        raise InvalidRevisionError("the revision is not usable", located)
    return configuration


def read_configuration(value: object, faults: list[Fault]) -> Configuration:
    """Returns the configuration in a JSON value and adds to ``faults``.

    The result is meaningless if there are faults.
    """
    reader = ObjectReader(value, "$", faults)
    references = _References(faults)
    revision = reader.read_integer("revision", 1, MAX_REVISION)
    max_entry_instances = _read_fleet(reader)
    organisations = tuple(
        _read_organisation(item, references)
        for item in reader.iterate_objects("organisations")
    )
    plans = tuple(
        _read_plan(item, references) for item in reader.iterate_objects("plans")
    )
    services = tuple(
        _read_service(item, references) for item in reader.iterate_objects("services")
    )
    zones, instances = _read_out_of_service(reader)
    reader.finish()
    _check_references(references, faults)
    return Configuration(
        revision=revision,
        max_entry_instances=max_entry_instances,
        organisations=organisations,
        plans=plans,
        services=services,
        zones_out_of_service=zones,
        instances_out_of_service=instances,
    )


def _read_fleet(reader: ObjectReader) -> int:
    fleet = reader.read_object("fleet")
    if fleet is None:
        return 1
    limit = fleet.read_integer("max_entry_instances", 1, MAX_ENTRY_INSTANCES)
    fleet.finish()
    return limit


def _read_organisation(reader: ObjectReader, references: _References) -> Organisation:
    name = reader.read_name("name")
    references.organisations.add(name, reader.path_of("name"))
    plan = reader.read_name("plan")
    references.used_plans.append((reader.path_of("plan"), plan))
    keys = tuple(_read_key(item, references) for item in reader.iterate_objects("keys"))
    reader.finish()
    return Organisation(name, plan, keys)


def _read_key(reader: ObjectReader, references: _References) -> KeyDigest:
    key_id = reader.read_string("key_id", _KEY_ID_RULE, _matches(_KEY_ID))
    references.key_ids.add(key_id, reader.path_of("key_id"))
    # A whole key pasted here by mistake must not reach a log.
    digest = reader.read_secret("digest", _DIGEST_RULE, _matches(_DIGEST))
    references.digests.add(digest, reader.path_of("digest"))
    reader.finish()
    return KeyDigest(key_id, bytes.fromhex(digest.removeprefix("sha256:")))


def _read_plan(reader: ObjectReader, references: _References) -> Plan:
    name = reader.read_name("name")
    references.plans.add(name, reader.path_of("name"))
    rate = reader.read_number(
        "rate_per_second", MIN_RATE_PER_SECOND, MAX_RATE_PER_SECOND
    )
    burst = reader.read_integer("burst", 1, MAX_BURST)
    services = reader.read_strings("services", NAME_RULE, is_name)
    references.used_services.extend(services)
    reader.finish()
    return Plan(name, rate, burst, frozenset(service for _, service in services))


def _read_service(reader: ObjectReader, references: _References) -> Service:
    name = reader.read_name("name")
    references.services.add(name, reader.path_of("name"))
    deadline_ms = reader.read_integer("deadline_ms", 1, MAX_DEADLINE_MS)
    max_body_bytes = reader.read_integer("max_body_bytes", 0, MAX_BODY_BYTES)
    max_queue = reader.read_integer("max_queue", 0, MAX_QUEUE)
    routes = []
    for item in reader.iterate_objects("routes"):
        route = read_route(item)
        routes.append(route)
        references.routes.append((item.path, route))
    upstreams = tuple(
        _read_upstream(item, references) for item in reader.iterate_objects("upstreams")
    )
    reader.finish()
    return Service(
        name=name,
        deadline_ms=deadline_ms,
        max_body_bytes=max_body_bytes,
        max_queue=max_queue,
        routes=tuple(routes),
        upstreams=upstreams,
    )


def _read_upstream(reader: ObjectReader, references: _References) -> Upstream:
    upstream = Upstream(
        name=reader.read_name("name"),
        address=reader.read_string("address", ADDRESS_RULE, is_address),
        availability_zone=reader.read_name("availability_zone"),
        slots=reader.read_integer("slots", 1, MAX_SLOTS),
        max_connections=reader.read_integer("max_connections", 1, MAX_CONNECTIONS),
        cold_rate_per_second=reader.read_number(
            "cold_rate_per_second", MIN_RATE_PER_SECOND, MAX_RATE_PER_SECOND
        ),
        cold_burst=reader.read_integer("cold_burst", 1, MAX_BURST),
    )
    references.upstreams.add(upstream.name, reader.path_of("name"))
    address = normalize_address(upstream.address)
    references.addresses.add(address, reader.path_of("address"))
    reader.finish()
    return upstream


def _read_out_of_service(
    reader: ObjectReader,
) -> tuple[frozenset[str], frozenset[str]]:
    out_of_service = reader.read_object("out_of_service", required=False)
    if out_of_service is None:
        return frozenset(), frozenset()
    zones = out_of_service.read_strings(
        "availability_zones", NAME_RULE, is_name, required=False
    )
    instances = out_of_service.read_strings(
        "instances", NAME_RULE, is_name, required=False
    )
    out_of_service.finish()
    return (
        frozenset(zone for _, zone in zones),
        frozenset(instance for _, instance in instances),
    )


def _check_references(references: _References, faults: list[Fault]) -> None:
    for path, plan in references.used_plans:
        if plan and plan not in references.plans:
            allowed = f"the name of a plan ({references.plans.describe()})"
            faults.append(Fault(path, quote_value(plan), allowed))
    for path, service in references.used_services:
        if service not in references.services:
            allowed = f"the name of a service ({references.services.describe()})"
            faults.append(Fault(path, quote_value(service), allowed))
    check_overlaps(references.routes, faults)


def _matches(pattern: re.Pattern[str]) -> Callable[[str], bool]:
    return lambda text: pattern.fullmatch(text) is not None
