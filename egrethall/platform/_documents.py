"""Decodes the JSON documents in the platform's store."""

import json
import math
import re
from collections.abc import Callable, Mapping
from typing import TypeVar

from egrethall.configuration import ADDRESS_RULE, is_address
from egrethall.types import (
    CallerLimits,
    ConfigurationPublished,
    PublishedChange,
    PublishedConfiguration,
    PublishedOrganisation,
    PublishedRoute,
    PublishedService,
    Record,
    RequestKind,
    ServiceShare,
    UnusableRecordError,
    UpstreamEntry,
    UpstreamPublished,
    UpstreamWithdrawn,
    ZoneServiceChanged,
)

#: Key of the configuration that operators publish.
CONFIGURATION_KEY = "op/config"

#: Key prefix; the name of an availability zone that is out of service follows.
EVACUATED_ZONE_PREFIX = "op/evacuate/"

#: Key prefix; the name of an upstream follows.
UPSTREAM_PREFIX = "servers/"

_REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
}

#: Whether an upstream is draining, by its published state.
_DRAINING_BY_STATE = {"ready": False, "draining": True}

_UPSTREAM_NAME = re.compile(r"[!-~]+")

Value = TypeVar("Value")


class DocumentError(UnusableRecordError):
    """A document in the store is invalid.

    :param key: the document's key.
    :param problem: what is wrong with it.
    :param field: path of the invalid field within the document; empty for the document.
    """

    def __init__(self, key: str, problem: str, field: str = "") -> None:
        upstream = key.removeprefix(UPSTREAM_PREFIX)
        super().__init__(
            f"{key}.{field}: {problem}" if field else f"{key}: {problem}",
            "" if upstream == key else upstream,
        )


class _JsonObject:
    """A JSON object and its path within the document, which is empty at the top."""

    def __init__(self, value: object, key: str, path: str = "") -> None:
        if not isinstance(value, Mapping):
            raise DocumentError(key, "is not a JSON object", path)
        self._fields = value
        self._key = key
        self._path = path

    def read_string(self, name: str) -> str:
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise self.build_error(name, "is not a non-empty string")
        if not value.isprintable():
            raise self.build_error(name, "has characters that cannot be printed")
        return value

    def read_number(self, name: str, default: float | None = None) -> float:
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.build_error(name, "is not a number")
        try:
            usable = math.isfinite(value) and value >= 0
        except OverflowError:
            usable = False
        if not usable:
            raise self.build_error(name, "is negative or too large")
        return value

    def read_count(self, name: str, default: int | None = None) -> int:
        value = self.read_number(name, default)
        if value != int(value):
            raise self.build_error(name, "is not an integer")
        return int(value)

    def read_seconds(self, name: str, default: str | None = None) -> float:
        value = self._fields.get(name, default)
        if not isinstance(value, str):
            raise self.build_error(name, "is not a duration")
        try:
            return _parse_seconds(value)
        except ValueError:
            raise self.build_error(name, "is not a duration") from None

    def read_bool(self, name: str) -> bool:
        value = self._fields.get(name, False)
        if not isinstance(value, bool):
            raise self.build_error(name, "is not a boolean")
        return value

    def read_list(self, name: str) -> list[tuple[object, str]]:
        value = self._fields.get(name)
        if not isinstance(value, list):
            raise self.build_error(name, "is not a list")
        path = self._find_path(name)
        return [(item, f"{path}[{i}]") for i, item in enumerate(value)]

    def read_object(self, name: str) -> "_JsonObject":
        value = self._fields.get(name)
        return _JsonObject(value, self._key, self._find_path(name))

    def read_objects(
        self, name: str, decode: Callable[["_JsonObject"], Value]
    ) -> tuple[Value, ...]:
        return tuple(
            decode(_JsonObject(item, self._key, path))
            for item, path in self.read_list(name)
        )

    def has(self, name: str) -> bool:
        return self._fields.get(name) is not None

    def build_error(self, name: str, problem: str) -> DocumentError:
        return DocumentError(self._key, problem, self._find_path(name))

    def _find_path(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name


def decode_record(record: Record) -> PublishedChange | None:
    """Decodes a record of the store; returns None if instances don't use its key.

    Raises :class:`DocumentError`.
    """
    key, value = record.key, record.value
    if key == CONFIGURATION_KEY:
        if value is None:
            raise DocumentError(key, "was removed")
        return ConfigurationPublished(decode_configuration(value))
    if key.startswith(EVACUATED_ZONE_PREFIX):
        return ZoneServiceChanged(
            key.removeprefix(EVACUATED_ZONE_PREFIX), value is not None
        )
    if not key.startswith(UPSTREAM_PREFIX):
        return None
    if value is None:
        return UpstreamWithdrawn(key.removeprefix(UPSTREAM_PREFIX))
    return UpstreamPublished(decode_upstream(key, value))


def decode_configuration(value: bytes) -> PublishedConfiguration:
    """Decodes the configuration document.

    Raises :class:`DocumentError`, which names the invalid field.
    """
    root = _parse_document(CONFIGURATION_KEY, value)
    version_text = root.read_string("version")
    try:
        version = int(version_text, 16)
    except ValueError:
        raise root.build_error("version", "is not a hexadecimal number") from None
    routes = tuple(
        route
        for host in root.read_objects("virtual_hosts", _decode_virtual_host)
        for route in host
    )
    requires_keys = root.has("tenants")
    organisations = (
        root.read_objects("tenants", _decode_organisation) if requires_keys else ()
    )
    return PublishedConfiguration(
        version=version,
        routes=routes,
        services=root.read_objects("services", _decode_service),
        organisations=organisations,
        limits=_decode_limits(root.read_object("limits")),
        requires_keys=requires_keys,
    )


def decode_upstream(key: str, value: bytes) -> UpstreamEntry:
    """Decodes the document of an upstream; raises :class:`DocumentError`."""
    root = _parse_document(key, value)
    state = root.read_string("state")
    if state not in _DRAINING_BY_STATE:
        raise root.build_error("state", "has an unknown value")
    address = root.read_string("address")
    if not is_address(address):
        raise root.build_error("address", f"is not {ADDRESS_RULE}")
    name = key.removeprefix(UPSTREAM_PREFIX)
    # The name is the value of a header of requests.
    if not _UPSTREAM_NAME.fullmatch(name):
        raise DocumentError(key, "has a name that is not printable ASCII")
    return UpstreamEntry(
        name=name,
        service=root.read_string("service"),
        address=address,
        availability_zone=root.read_string("zone"),
        slots=max(1, root.read_count("concurrency_limit")),
        draining=_DRAINING_BY_STATE[state],
        cold_seconds=root.read_seconds("warmup_left", "0ms"),
        started_at_ms=root.read_count("born", 0),
        sequence=root.read_count("sequence", 0),
    )


def _parse_document(key: str, value: bytes) -> _JsonObject:
    try:
        return _JsonObject(json.loads(value), key)
    except (ValueError, RecursionError):
        raise DocumentError(key, "is not valid JSON") from None


def _parse_seconds(text: str) -> float:
    """Parses a duration in ``s`` or ``ms``, such as ``1500ms``."""
    for unit, unit_seconds in (("ms", 0.001), ("s", 1.0)):
        if text.endswith(unit):
            seconds = float(text.removesuffix(unit)) * unit_seconds
            if not math.isfinite(seconds) or seconds < 0:
                break
            return seconds
    raise ValueError(f"{text!r} is not a duration")


def _decode_virtual_host(fields: _JsonObject) -> tuple[PublishedRoute, ...]:
    host = fields.read_string("host").lower()
    return fields.read_objects("paths", lambda path: _decode_route(path, host))


def _decode_route(fields: _JsonObject, host: str) -> PublishedRoute:
    kind = fields.read_string("kind")
    if kind not in _REQUEST_KINDS:
        raise fields.build_error("kind", "has an unknown value")
    if fields.has("traffic_split"):
        shares = fields.read_objects("traffic_split", _decode_share)
    else:
        shares = (ServiceShare(fields.read_string("service"), 1.0),)
    if not sum(share.weight for share in shares) > 0:
        raise fields.build_error("traffic_split", "has a total weight of zero")
    timeout_seconds = fields.read_seconds("timeout")
    return PublishedRoute(
        name=fields.read_string("name"),
        host=host,
        path_prefix=fields.read_string("prefix"),
        kind=_REQUEST_KINDS[kind],
        timeout_seconds=timeout_seconds,
        objective_seconds=fields.read_seconds("slo", f"{timeout_seconds}s"),
        priority=fields.read_count("priority", 0),
        shares=shares,
        max_attempts=max(1, fields.read_count("max_attempts", 1)),
        public=fields.read_bool("public"),
    )


def _decode_share(fields: _JsonObject) -> ServiceShare:
    return ServiceShare(fields.read_string("service"), fields.read_number("weight"))


def _decode_service(fields: _JsonObject) -> PublishedService:
    return PublishedService(
        name=fields.read_string("name"),
        health_path=fields.read_string("health_path"),
        max_connections=fields.read_count("max_conns", 0),
        cold_rate_per_second=fields.read_number("warmup_per_s", 0.0),
    )


def _decode_organisation(fields: _JsonObject) -> PublishedOrganisation:
    keys = frozenset(str(key) for key, _ in fields.read_list("api_keys"))
    return PublishedOrganisation(
        name=fields.read_string("name"),
        keys=keys,
        priority=fields.read_count("priority") if fields.has("priority") else None,
        rate_per_second=fields.read_number("rate_per_s", 0.0),
        burst=fields.read_number("burst", 0.0),
    )


def _decode_limits(fields: _JsonObject) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=fields.read_count("max_header_bytes"),
        max_body_bytes=fields.read_count("max_body_bytes"),
        header_timeout_seconds=fields.read_seconds("header_timeout"),
        idle_timeout_seconds=fields.read_seconds("idle_timeout"),
    )
