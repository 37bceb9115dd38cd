"""The sequence of an upgrade and of the way back."""

import time
from dataclasses import dataclass, field
from typing import Any

from tools.rolling_upgrade._callers import Callers, Exchange
from tools.rolling_upgrade._fleet import UpgradeFleet
from tools.rolling_upgrade._releases import Release

UPSTREAMS = 9

#: Time of load before the first and after the last change.
STEADY_SECONDS = 3.0

#: Time after which a change that is not in force is given up.
GIVE_UP_SECONDS = 15.0

#: Time between the changes of the upstreams, in which their effects show.
CHANGE_SECONDS = 5.0

#: Time without a path to upstreams of one instance of each release, so that it forwards
#: requests to the others.
CUT_SECONDS = 4.0

POLL_SECONDS = 0.02


@dataclass(frozen=True)
class UpstreamChange:
    """An upstream was published or removed."""

    upstream: str
    published: bool
    #: Unix time.
    at_seconds: float


@dataclass
class UpgradeResult:
    """What one run has shown."""

    exchanges: list[Exchange] = field(default_factory=list)
    runs: list[dict[str, Any]] = field(default_factory=list)
    refused_connections: int = 0
    #: Seconds until a configuration was in force, by what was waited for.
    in_force_seconds: dict[str, float] = field(default_factory=dict)
    upstream_changes: list[UpstreamChange] = field(default_factory=list)
    #: Exit statuses of the instances that were stopped.
    stop_statuses: list[int] = field(default_factory=list)
    #: Answered forwarded requests by releases of sender and recipient, of each change.
    forwarded: list[dict[tuple[str, str], int]] = field(default_factory=list)


def run_upgrade(
    earlier: Release, new: Release, instances: int, rate_per_second: float
) -> UpgradeResult:
    """Replaces all instances by the new release and then by the earlier one."""
    fleet = UpgradeFleet(entries=instances, upstreams=UPSTREAMS, earlier=earlier)
    result = UpgradeResult()
    try:
        fleet.start()
        callers = Callers(fleet, rate_per_second)
        callers.start()
        try:
            time.sleep(STEADY_SECONDS)
            for release in (new, earlier):
                callers.phase = f"to {release.name}"
                _replace_all(fleet, release, result)
            time.sleep(STEADY_SECONDS)
        finally:
            callers.stop()
        result.exchanges = callers.exchanges
        result.refused_connections = callers.refused_connections
        result.runs = fleet.read_runs()
        return result
    finally:
        fleet.close()


def _replace_all(fleet: UpgradeFleet, release: Release, result: UpgradeResult) -> None:
    middle = len(fleet.entry_names) // 2
    for number, name in enumerate(fleet.entry_names):
        if number == middle:
            _change(fleet, [fleet.entry_names[0], fleet.entry_names[-1]], result)
        started_at_seconds = time.monotonic()
        result.stop_statuses.append(fleet.replace(name, release))
        label = f"{name} of {release.name} when ready"
        result.in_force_seconds |= _wait_for_newest(fleet, {name: label})
        elapsed_seconds = time.monotonic() - started_at_seconds
        print(f"{name}: {release.name} after {elapsed_seconds:.1f} s", flush=True)


def _change(fleet: UpgradeFleet, cut_off: list[str], result: UpgradeResult) -> None:
    """Changes configuration, upstreams and paths while both releases run."""
    fleet.publish_version()
    labels = {
        name: f"version {fleet.version} at {name} of {fleet.find_release(name).name}"
        for name in fleet.entry_names
    }
    result.in_force_seconds |= _wait_for_newest(fleet, labels)
    removed = next(name for name in fleet.upstream_names if name != fleet.unpublished)
    added, fleet.unpublished = fleet.unpublished, removed
    fleet.withdraw(f"servers/{removed}")
    result.upstream_changes.append(UpstreamChange(removed, False, time.time()))
    time.sleep(CHANGE_SECONDS)
    fleet.publish_upstream(added)
    result.upstream_changes.append(UpstreamChange(added, True, time.time()))
    time.sleep(CHANGE_SECONDS)
    before = fleet.count_forwarded()
    fleet.cut_off(cut_off, refuse=True)
    fleet.reset_links(cut_off)
    time.sleep(CUT_SECONDS)
    fleet.heal()
    result.forwarded.append(dict(fleet.count_forwarded() - before))


def _wait_for_newest(fleet: UpgradeFleet, labels: dict[str, str]) -> dict[str, float]:
    """Returns after how many seconds instances had the newest configuration."""
    started_at_seconds = time.monotonic()
    seconds: dict[str, float] = {}
    waiting = dict(labels)
    while waiting and time.monotonic() - started_at_seconds < GIVE_UP_SECONDS:
        for name in list(waiting):
            if fleet.has_newest_version(name):
                seconds[waiting.pop(name)] = time.monotonic() - started_at_seconds
        time.sleep(POLL_SECONDS)
    return seconds | dict.fromkeys(waiting.values(), float("inf"))
