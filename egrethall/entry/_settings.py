"""Parses and validates the settings file of an entry instance."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from egrethall.configuration import (
    ADDRESS_RULE,
    Fault,
    InvalidSettingsError,
    ObjectReader,
    is_address,
    read_json,
)
from egrethall.entry._process_limits import ProcessLimits, read_process_limits

DURATION_RULE = "a number and its unit ms or s, such as 1500ms"

#: Upper bound of counts and ratios; larger values are taken for typing errors.
MAX_NUMBER = 1e9

DEFAULT_PROBES_PER_SECOND = 60.0

#: Tolerance of an organisation's allowance without bounds for it: none beyond rate and
#: burst, over the window that platforms usually state.
DEFAULT_QUOTA_WINDOW_SECONDS = 5.0
DEFAULT_QUOTA_EXCESS_RATIO = 0.0
DEFAULT_QUOTA_SLACK_REQUESTS = 0.0

#: Retries and hedged attempts without a bound for them. A fifth more requests overload
#: no service that has the usual reserve.
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK_REQUESTS = 10.0

#: Bytes between availability zones without a setting for them, as a share of all
#: response bytes. Enough for a zone that has lost half of the upstreams that it needs.
DEFAULT_MAX_BYTE_RATIO = 0.5

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


@dataclass(frozen=True)
class EntryBounds:
    """Limits that apply to the whole fleet, not to each instance."""

    #: Length of the window over which an organisation's requests are counted.
    quota_window_seconds: float
    #: Fraction by which the requests of a window may exceed rate and burst.
    quota_excess_ratio: float
    #: Number of requests by which a window may exceed them in addition.
    quota_slack_requests: float
    #: Maximum number of retries and hedged attempts, as a fraction of all requests.
    retry_ratio: float
    #: Number of retries and hedged attempts that one window may have in addition.
    retry_slack_requests: float
    #: Time that the platform waits after SIGTERM before it sends SIGKILL.
    grace_seconds: float
    #: Probes to one upstream per second, on average.
    probes_per_second: float = DEFAULT_PROBES_PER_SECOND
    #: Keys of the settings that are absent or null, so that their defaults apply.
    defaulted_keys: tuple[str, ...] = ()


@dataclass(frozen=True)
class ZoneOverflowSettings:
    """Whether and how far requests consider other availability zones by their gain."""

    enabled: bool = False
    #: Response bytes from other zones, as a share of all response bytes.
    max_byte_ratio: float = DEFAULT_MAX_BYTE_RATIO


DEFAULT_ZONE_OVERFLOW = ZoneOverflowSettings()


@dataclass(frozen=True)
class EntrySettings:
    """The validated settings of one entry instance."""

    name: str
    availability_zone: str
    #: IP address and port that accept callers' requests.
    caller_address: str
    #: IP address and port that serve the readiness check of the platform.
    ready_address: str
    #: IP address and port for heartbeats (UDP) and records (TCP) between instances.
    peer_address: str
    #: IP address and port that serve the metrics.
    metrics_address: str
    #: Peer addresses of a few instances to join the fleet by; some may be out of date.
    seeds: tuple[str, ...]
    #: IP address and port of the store.
    store_address: str
    #: Whether the whole fleet starts for the first time.
    first_start: bool
    bounds: EntryBounds
    limits: ProcessLimits = field(default_factory=ProcessLimits)
    zone_overflow: ZoneOverflowSettings = DEFAULT_ZONE_OVERFLOW


def load_entry_settings(path: Path) -> EntrySettings:
    """Returns the settings in the file ``path``.

    Raises :class:`InvalidSettingsError` with all faults of the file.
    """
    source = str(path)
    try:
        text = path.read_bytes()
    except OSError as error:
        fault = Fault("$", f"not readable ({error.strerror})", "a readable file")
        raise InvalidSettingsError(
            f"{source} is not usable", [fault.locate_in(source)]
        ) from error
    return parse_entry_settings(text, source)


def parse_entry_settings(text: bytes, source: str = "settings") -> EntrySettings:
    """Returns the settings in ``text``; raises :class:`InvalidSettingsError`."""
    value, faults = read_json(text)
    if faults:
        raise _make_settings_error(source, faults)
    reader = ObjectReader(value, "$", faults)
    settings = EntrySettings(
        name=reader.read_name("name"),
        availability_zone=reader.read_name("availability_zone"),
        caller_address=_read_address(reader, "caller_address"),
        ready_address=_read_address(reader, "ready_address"),
        peer_address=_read_address(reader, "peer_address"),
        metrics_address=_read_address(reader, "metrics_address"),
        seeds=_read_seeds(reader),
        store_address=_read_address(reader, "store_address"),
        first_start=(
            not reader.is_empty("first_start")
            and reader.read_boolean("first_start", default=False)
        ),
        bounds=_read_bounds(reader),
        limits=read_process_limits(reader),
        zone_overflow=_read_zone_overflow(reader),
    )
    reader.finish()
    if faults:
        raise _make_settings_error(source, faults)
    return settings


def _read_bounds(reader: ObjectReader) -> EntryBounds:
    bounds = reader.read_object("bounds")
    if bounds is None:
        bounds = ObjectReader({}, "$.bounds", [])
    defaulted_keys: list[str] = []

    def read_optional(key: str, maximum: float, default: float) -> float:
        if bounds.is_empty(key):
            defaulted_keys.append(key)
            return default
        return bounds.read_number(key, 0.0, maximum)

    quota_window_seconds = DEFAULT_QUOTA_WINDOW_SECONDS
    if bounds.is_empty("quota_window"):
        defaulted_keys.append("quota_window")
    else:
        quota_window_seconds = _read_duration_seconds(bounds, "quota_window")
    result = EntryBounds(
        quota_window_seconds=quota_window_seconds,
        quota_excess_ratio=read_optional(
            "quota_excess_ratio", MAX_NUMBER, DEFAULT_QUOTA_EXCESS_RATIO
        ),
        quota_slack_requests=read_optional(
            "quota_slack_requests", MAX_NUMBER, DEFAULT_QUOTA_SLACK_REQUESTS
        ),
        retry_ratio=read_optional("retry_ratio", 1.0, DEFAULT_RETRY_RATIO),
        retry_slack_requests=read_optional(
            "retry_slack_requests", MAX_NUMBER, DEFAULT_RETRY_SLACK_REQUESTS
        ),
        grace_seconds=_read_duration_seconds(bounds, "grace"),
        probes_per_second=read_optional(
            "probes_per_second", MAX_NUMBER, DEFAULT_PROBES_PER_SECOND
        ),
        defaulted_keys=tuple(defaulted_keys),
    )
    bounds.finish()
    return result


def _read_zone_overflow(reader: ObjectReader) -> ZoneOverflowSettings:
    if reader.is_empty("zone_overflow"):
        return DEFAULT_ZONE_OVERFLOW
    overflow = reader.read_object("zone_overflow")
    if overflow is None:
        return DEFAULT_ZONE_OVERFLOW
    enabled = False
    if not overflow.is_empty("enabled"):
        enabled = overflow.read_boolean("enabled", default=False)
    max_byte_ratio = DEFAULT_MAX_BYTE_RATIO
    if not overflow.is_empty("max_byte_ratio"):
        max_byte_ratio = overflow.read_number("max_byte_ratio", 0.0, 1.0)
    overflow.finish()
    return ZoneOverflowSettings(enabled, max_byte_ratio)


def _read_seeds(reader: ObjectReader) -> tuple[str, ...]:
    if reader.is_empty("seeds"):
        # An instance without seeds is found by those that have it as their seed.
        return ()
    return tuple(
        seed for _, seed in reader.read_strings("seeds", ADDRESS_RULE, is_address)
    )


def _read_address(reader: ObjectReader, key: str) -> str:
    return reader.read_string(key, ADDRESS_RULE, is_address)


def _read_duration_seconds(reader: ObjectReader, key: str) -> float:
    check: Callable[[str], bool] = lambda text: bool(_DURATION.fullmatch(text))  # noqa: E731
    match = _DURATION.fullmatch(reader.read_string(key, DURATION_RULE, check))
    if match is None:
        return 0.0
    return float(match.group(1)) / (1000.0 if match.group(2) == "ms" else 1.0)


def _make_settings_error(source: str, faults: list[Fault]) -> InvalidSettingsError:
    located = [fault.locate_in(source) for fault in faults]
    return InvalidSettingsError(f"{source} is not usable", located)
