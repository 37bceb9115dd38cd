"""The scenarios: what happens to a fleet while the seeded load runs."""

import signal
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass

from measure.scenario_figures import Span
from measure.scenario_side import (
    COLD_SECONDS,
    Stage,
    make_span,
)
from measure.shapes import Shape, scale_organisation

#: Largest factor by which a noisy neighbour slows a run down.
NOISE_FACTOR = 5.0

OVER_RATE_FACTOR = 5.0
PAUSED_SECONDS = 10.0
REPLACED_AFTER_SECONDS = 3.0
STALE_SECONDS = 15.0
LONG_STALE_SECONDS = 60.0

#: Longest time of an instance's graceful stop.
STOP_SECONDS = 20.0


@dataclass(frozen=True)
class Scenario:
    """One scenario and its shortest length."""

    name: str
    act: Callable[[Stage], None]
    min_seconds: float = 6.0
    #: Organisation that sends several times its rate, empty for none.
    over_rate: str = ""

    def find_factors(self, shape: Shape) -> dict[str, float]:
        """Returns the multiples of the usual traffic of organisations."""
        if not self.over_rate:
            return {}
        return scale_organisation(shape, self.over_rate, OVER_RATE_FACTOR)


def keep_steady(_stage: Stage) -> None:
    """Changes nothing."""


def disturb_upstreams(stage: Stage) -> None:
    """Gives all upstreams noisy neighbours, whose load shifts every few ms."""
    stage.set_options(stage.fleet.upstream_controls, noise_factor=NOISE_FACTOR)
    stage.sleep_until(stage.seconds + 0.5)
    stage.set_options(stage.fleet.upstream_controls, noise_factor=1.0)


def exceed_rate(stage: Stage) -> None:
    """Notes which organisation sends several times its rate."""
    stage.facts.over_rate = frozenset({"large-2"})


def move_zone(stage: Stage) -> None:
    """Takes an availability zone out of service and brings it back.

    The platform stops the zone's entry instances after the bound and starts them
    again at the return, whatever they do by themselves. The zone's upstreams were
    restarted meanwhile and are cold.
    """
    fleet = stage.fleet
    zone = stage.shape.zones[0]
    upstreams = stage.find_upstreams(zone)
    names = [
        name for name, item in fleet.instances.items() if item.availability_zone == zone
    ]
    stage.sleep_until(0.2 * stage.seconds)
    fleet.publish(out_of_service={"availability_zones": [zone], "instances": []})
    published_at = time.time()
    stage.sleep_until(0.2 * stage.seconds + 3.5)
    for name in names:
        stop_instance(stage, name)
    stage.sleep_until(0.75 * stage.seconds)
    stage.facts.zones_out.append(make_span(zone, published_at))
    turn_cold(stage, upstreams, "turn-cold")
    fleet.publish(out_of_service={"availability_zones": [], "instances": []})
    for name in names:
        stage.start_instance(name)
    stage.sleep_until(stage.seconds)
    stage.end_cold_starts(upstreams)


def turn_upstreams_cold(stage: Stage) -> None:
    """Crashes one upstream of the largest service and turns another one cold."""
    names = [
        name
        for name in stage.fleet.upstream_controls
        if name.startswith(stage.shape.services[0].name)
    ]
    stage.sleep_until(0.15 * stage.seconds)
    turn_cold(stage, names[:1], "crash")
    stage.sleep_until(0.5 * stage.seconds)
    turn_cold(stage, names[1:2], "turn-cold")
    stage.sleep_until(stage.seconds)
    stage.end_cold_starts(names)


def turn_cold(stage: Stage, names: list[str], action: str) -> None:
    """Crashes upstreams or turns them cold, for some seconds."""
    stage.set_options(names, cold_seconds=COLD_SECONDS)
    for name in names:
        began = time.time()
        stage.fleet.control_upstream(name, action)
        stage.facts.turned_cold.append(Span(name, began, began + COLD_SECONDS))


def fail_upstream_fast(stage: Stage) -> None:
    """Lets one upstream of the largest service answer 500 at once for a while."""
    name = f"{stage.shape.services[0].name}-1"
    stage.sleep_until(0.25 * stage.seconds)
    stage.set_options([name], fail_fast=True)
    stage.sleep_until(0.75 * stage.seconds)
    stage.set_options([name], fail_fast=False)


def kill_instance(stage: Stage) -> None:
    """Kills an entry instance and starts another in its place."""
    stage.sleep_until(0.2 * stage.seconds)
    stage.fleet.kill("entry-2")
    stage.sleep_until(0.2 * stage.seconds + REPLACED_AFTER_SECONDS)
    stage.start_instance("entry-2")


def pause_instance(stage: Stage) -> None:
    """Stops an entry instance's process for a while, then lets it go on."""
    stage.sleep_until(2.0)
    stage.fleet.send_signal("entry-2", signal.SIGSTOP)
    stage.sleep_until(2.0 + PAUSED_SECONDS)
    stage.fleet.send_signal("entry-2", signal.SIGCONT)


def withdraw_key(stage: Stage) -> None:
    """Withdraws a key while all instances but one read a stale configuration."""
    fleet = stage.fleet
    readers = list(fleet.instances)[1:]
    organisations = fleet.configuration["organisations"]
    withdrawn = organisations[-1]["name"]
    for reader in readers:
        fleet.set_service_faults(reader, stale=True)
    stage.sleep_until(1.0)
    rest = [item for item in organisations if item["name"] != withdrawn]
    fleet.publish(organisations=[*rest, {**organisations[-1], "keys": []}])
    published_at = time.time()
    stage.sleep_until(stage.seconds)
    stage.facts.keys_withdrawn.append(make_span(withdrawn, published_at))
    for reader in readers:
        fleet.set_service_faults(reader, stale=False)
    fleet.publish(organisations=organisations)


def replace_instances(stage: Stage) -> None:
    """Replaces every entry instance in turn, in order."""
    for name in stage.fleet.instances:
        if stage.elapsed_seconds > stage.seconds:
            return
        stop_instance(stage, name)
        stage.start_instance(name)
        stage.wait_for_instance(name)
        time.sleep(0.5)


def stop_instance(stage: Stage, name: str) -> None:
    """Stops an entry instance as the platform does before it takes the machine."""
    process = stage.fleet.processes.pop(name, None)
    if process is None:
        return
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


SCENARIOS = (
    Scenario("steady", keep_steady),
    Scenario("noisy-neighbours", disturb_upstreams),
    Scenario("over-rate", exceed_rate, over_rate="large-2"),
    Scenario("zone-out-and-back", move_zone, min_seconds=14.0),
    Scenario("upstreams-turn-cold", turn_upstreams_cold, min_seconds=8.0),
    Scenario("upstream-fails-fast", fail_upstream_fast),
    Scenario("instance-killed", kill_instance, min_seconds=13.0),
    Scenario("instance-paused", pause_instance, min_seconds=PAUSED_SECONDS + 6.0),
    Scenario("stale-configuration", withdraw_key, min_seconds=STALE_SECONDS + 1.0),
    Scenario("instances-replaced", replace_instances, min_seconds=48.0),
)
