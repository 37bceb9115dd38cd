"""One balancer with its own fleet of real processes, on which scenarios run."""

import contextlib
import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpx

from measure.scenario_caller import SentCall
from measure.scenario_figures import Evidence, ScenarioFacts, Span
from measure.shapes import PlannedCall, Shape, plan_calls, publish_shape
from standins.fleet import Fleet

EGRETHALL = "egrethall"
NAIVE = "naive"

MODULES = {EGRETHALL: "egrethall", NAIVE: "standins.naive_proxy"}

#: Time during which an upstream is cold in the scenarios with cold starts.
COLD_SECONDS = 3.0

#: Time for which an instance serves after it said that it is not ready; the platform's
#: balancer needs two checks to see that.
READY_LAG_SECONDS = 1.5

READY_SECONDS = 30.0

#: Longest time that upstreams get to become warm before a scenario.
WARM_UP_SECONDS = 20.0

#: Length of one load that warms upstreams up.
WARM_UP_LOAD_SECONDS = 2.0

#: Time between two scenarios, in which buckets fill up.
PAUSE_SECONDS = 1.5

#: Time after the last intended send within which the callers end.
CALLER_END_SECONDS = 15.0


@dataclass
class Stage:
    """What a scenario's faults act on while the callers run."""

    fleet: Fleet
    balancer: str
    shape: Shape
    keys: dict[str, str]
    seconds: float
    started_at_seconds: float
    facts: ScenarioFacts = field(default_factory=ScenarioFacts)

    def sleep_until(self, at_seconds: float) -> None:
        """Waits until a time from the start of the load."""
        time.sleep(max(0.0, self.started_at_seconds + at_seconds - time.time()))

    @property
    def elapsed_seconds(self) -> float:
        """Time since the start of the load."""
        return time.time() - self.started_at_seconds

    def start_instance(self, name: str) -> None:
        """Starts a new process for an entry instance."""
        self.fleet.start_instance(name, MODULES[self.balancer])

    def wait_for_instance(self, name: str) -> None:
        """Waits until an entry instance can serve."""
        wait_for_instance(self.fleet, self.balancer, name)

    def set_options(self, names: Iterable[str], **options: object) -> None:
        """Changes options of upstreams."""
        for name in names:
            self.fleet.control_upstream(name, "options", **options)

    def end_cold_starts(self, names: Iterable[str]) -> None:
        """Makes upstreams warm, also those that crash again and again while cold."""
        self.set_options(names, cold_seconds=0.0)
        for name in names:
            self.fleet.control_upstream(name, "turn-cold")

    def find_upstreams(self, zone: str) -> list[str]:
        """Returns the names of the upstreams of an availability zone."""
        zones = find_zones(self.fleet)
        return [name for name, found in zones.items() if found == zone]


class Side:
    """The fleet of one balancer and one shape; a context manager."""

    def __init__(self, shape: Shape, balancer: str, seed: int) -> None:
        self.shape = shape
        self.balancer = balancer
        self._seed = seed
        self._loads = 0
        self.fleet = Fleet(seed=seed, ready_lag_seconds=READY_LAG_SECONDS)

    def __enter__(self) -> Self:
        self.fleet.__enter__()
        try:
            self._keys = publish_shape(self.shape, self.fleet)
            for name in self.fleet.instances:
                self.fleet.start_instance(name, MODULES[self.balancer])
            self.make_ready()
        except BaseException:
            self.fleet.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.fleet.__exit__(kind, error, trace)

    def make_ready(self) -> None:
        """Waits until all instances serve and no upstream is cold."""
        for name in self.fleet.instances:
            self._restart_if_ended(name)
            wait_for_instance(self.fleet, self.balancer, name)
        deadline = time.monotonic() + WARM_UP_SECONDS
        while time.monotonic() < deadline and not (self._loads and self._is_warm()):
            self._run_callers(f"warm-up-{self._loads}", WARM_UP_LOAD_SECONDS, {})
        if not self._is_warm():
            self._log_cold_upstreams()
        time.sleep(PAUSE_SECONDS)

    def _restart_if_ended(self, name: str) -> None:
        """Starts an instance again whose process has ended, and says so."""
        process = self.fleet.processes.get(name)
        if process is not None and process.poll() is None:
            return
        log = self.fleet.read_log(name)[-1000:]
        print(f"{self.balancer} {name} has ended; log: {log}", file=sys.stderr)
        self.fleet.start_instance(name, MODULES[self.balancer])

    def _log_cold_upstreams(self) -> None:
        """Prints which upstreams are not warm yet, to standard error."""
        summary = self.fleet.summarise_upstreams()
        cold = [name for name, item in summary.items() if item["state"] != "warm"]
        found = {
            f"{name}/{upstream['name']}={upstream['state']}"
            for name in self.fleet.instances
            if self.balancer == EGRETHALL
            for upstream in self.fleet.read_state(name)["upstreams"]
            if upstream["state"] != "warm" or upstream["ejected"]
        }
        print(f"not warm: {cold} {sorted(found)}", file=sys.stderr)

    def _is_warm(self) -> bool:
        with contextlib.suppress(httpx.HTTPError):
            if self.balancer == EGRETHALL:
                return all(
                    upstream["state"] == "warm" and not upstream["ejected"]
                    for name in self.fleet.instances
                    for upstream in self.fleet.read_state(name)["upstreams"]
                )
            summary = self.fleet.summarise_upstreams().values()
            return all(upstream["state"] == "warm" for upstream in summary)
        return False

    def run(
        self,
        label: str,
        seconds: float,
        factors: dict[str, float],
        act: Callable[[Stage], None],
    ) -> Evidence:
        """Runs one load with the scenario's faults and collects what it left."""
        before = self.fleet.summarise_upstreams()
        calls, sent, stage = self._run_callers(label, seconds, factors, act)
        after = self.fleet.summarise_upstreams()
        return Evidence(
            shape=self.shape,
            calls=calls,
            sent=sent,
            started_at_seconds=stage.started_at_seconds,
            seconds=seconds,
            records=[
                record
                for record in self.fleet.list_all_records()
                if record["path"].split("/")[2:3] == [label]
            ],
            zones=find_zones(self.fleet),
            probes=_count(after, "probes") - _count(before, "probes"),
            cold_overloads=_count(after, "cold_overloads")
            - _count(before, "cold_overloads"),
            facts=stage.facts,
        )

    def _run_callers(
        self,
        label: str,
        seconds: float,
        factors: dict[str, float],
        act: Callable[[Stage], None] | None = None,
    ) -> tuple[list[PlannedCall], list[SentCall], Stage]:
        self._loads += 1
        calls = plan_calls(self.shape, seconds, f"{self._seed}/{label}", label, factors)
        plan_file = self.fleet.directory / "callers.json"
        outcome_file = self.fleet.directory / f"outcomes-{label}.json"
        plan_file.write_text(json.dumps(self._describe_load(calls)))
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "measure.scenario_caller",
                str(plan_file),
                str(outcome_file),
            ],
            stdout=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        try:
            if process.stdout is None:
                raise RuntimeError("the callers have no output")
            start = float(process.stdout.readline())
            stage = Stage(
                self.fleet, self.balancer, self.shape, self._keys, seconds, start
            )
            if act is not None:
                act(stage)
            rest = start + seconds + CALLER_END_SECONDS - time.time()
            process.wait(max(1.0, rest))
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
        return calls, _read_outcomes(outcome_file), stage

    def _describe_load(self, calls: list[PlannedCall]) -> dict[str, Any]:
        return {
            "keys": self._keys,
            "calls": [asdict(call) for call in calls],
            "entries": [
                {
                    "url": instance.url,
                    "readiness_url": f"{instance.operator_url}/readyz"
                    if self.balancer == EGRETHALL
                    else "",
                }
                for instance in self.fleet.instances.values()
            ],
        }


def wait_for_instance(fleet: Fleet, balancer: str, name: str) -> None:
    """Waits until an entry instance can serve."""
    if balancer == EGRETHALL:
        what = f"{name} is ready; log: {fleet.read_log(name)[-2000:]}"
        fleet.wait_until(lambda: fleet.is_ready(name), READY_SECONDS, what)
    else:
        fleet.wait_for_port(fleet.instances[name].caller_port, READY_SECONDS)


def find_zones(fleet: Fleet) -> dict[str, str]:
    """Returns the availability zone of each upstream."""
    return {
        upstream["name"]: upstream["availability_zone"]
        for service in fleet.configuration["services"]
        for upstream in service["upstreams"]
    }


def make_span(name: str, from_seconds: float) -> Span:
    """Returns a span that ends now, on the wall clock."""
    return Span(name, from_seconds, time.time())


def _count(summary: dict[str, dict[str, Any]], counter: str) -> int:
    return sum(upstream[counter] for upstream in summary.values())


def _read_outcomes(path: Path) -> list[SentCall]:
    return [SentCall(**fields) for fields in json.loads(path.read_text())]
