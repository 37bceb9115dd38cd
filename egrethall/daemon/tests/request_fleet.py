"""The fleets of the request features."""

import itertools
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from egrethall.admission import make_key
from egrethall.daemon.tests.request_calls import (
    Action,
    Answer,
    Call,
    Received,
    RunLedger,
    run_calls,
)
from standins.fleet import Fleet
from standins.links import FaultLinks
from standins.service_shapes import ServiceShape

#: Start of a fleet: two leases without votes and a settled revision.
START_SECONDS = 20.0

#: Time in which a healed fleet is warm again: the longest back-off that the features
#: can cause, and the doublings of the cold rate.
RECOVERY_SECONDS = 30.0

WARM_UP_CALLS = 30

#: Options of an upstream without faults.
NO_FAULTS = {
    "shed": False,
    "fail_fast": False,
    "draining": False,
    "reported_in_flight": None,
}


@dataclass(frozen=True)
class ServicePlan:
    """One service: the number and options of its upstreams and its own options."""

    name: str
    upstreams: int
    options: dict[str, Any] = field(default_factory=dict)
    shape: dict[str, Any] = field(default_factory=dict)
    #: Without the fault proxy, so that a crashed upstream refuses connections.
    direct: bool = False


@dataclass(frozen=True)
class FleetPlan:
    """What one feature needs."""

    services: tuple[ServicePlan, ...]
    instances: int = 3
    #: Rate and burst of each organisation.
    organisations: dict[str, tuple[float, int]] = field(
        default_factory=lambda: {"atlas": (2000.0, 1000), "birch": (2000.0, 1000)}
    )
    seed: int = 11


class RequestFleet:
    """Real entry instances and stand-in upstreams behind the fault proxy."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.keys: dict[str, str] = {}
        #: Largest part of the last load for which an entry instance was ready to run
        #: and the machine gave it no processor. Bounds of times and of refusals after
        #: a wait of 50 ms grow by it, so that no verdict depends on other programs.
        self.noise_share = 0.0
        self._numbers = itertools.count()
        self.fleet = Fleet(seed=plan.seed)
        self.fleet.__enter__()
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Stops all processes by their ids."""
        self.fleet.__exit__(None, None, None)

    def _start(self) -> None:
        fleet, plan = self.fleet, self.plan
        self.links = FaultLinks(fleet)
        self.upstreams: dict[str, list[str]] = {}
        services = [self._build_service(service) for service in plan.services]
        fleet.configuration = {
            "fleet": {"max_entry_instances": plan.instances},
            **self._build_organisations(),
            "services": services,
            "out_of_service": {"availability_zones": [], "instances": []},
        }
        for number in range(1, plan.instances + 1):
            fleet.add_instance(f"entry-{number}", "a" if number % 2 else "b")
        fleet.publish()
        fleet.publish_instances()
        for name in fleet.instances:
            fleet.start_instance(name)
        fleet.wait_until_ready(START_SECONDS)

    def _build_service(self, plan: ServicePlan) -> dict[str, Any]:
        options = {"cold_slots": 1000, **plan.options}
        upstreams = self.fleet.build_upstreams(plan.name, plan.upstreams, **options)
        self.fleet.start_upstreams(upstreams)
        self.upstreams[plan.name] = [upstream.name for upstream in upstreams]
        shape = {"cold_rate_per_second": 200.0, "cold_burst": 8, **plan.shape}
        service = ServiceShape(
            plan.name, upstreams, ("a", "b"), **shape
        ).build_configuration()
        if plan.direct:
            return service
        for upstream, item in zip(upstreams, service["upstreams"], strict=True):
            port = self.links.add(upstream.name, upstream.port)
            item["address"] = f"127.0.0.1:{port}"
        return service

    def _build_organisations(self) -> dict[str, Any]:
        organisations, plans = [], []
        names = [service.name for service in self.plan.services]
        for name, (rate, burst) in self.plan.organisations.items():
            key = make_key()
            self.keys[name] = key.key
            digest = f"sha256:{key.digest.digest.hex()}"
            keys = [{"key_id": key.digest.key_id, "digest": digest}]
            organisations.append({"name": name, "plan": f"plan-{name}", "keys": keys})
            limits = {"rate_per_second": rate, "burst": burst, "services": names}
            plans.append({"name": f"plan-{name}", **limits})
        return {"organisations": organisations, "plans": plans}

    # Calls

    @property
    def entries(self) -> list[str]:
        """Names of the entry instances that run."""
        return [name for name in self.fleet.instances if name in self.fleet.processes]

    def plan_call(
        self,
        path: str,
        method: str = "GET",
        instance: str = "",
        organisation: str = "atlas",
        **fields: Any,
    ) -> Call:
        """Returns a call with an echo of its own; instances are used in turn.

        ``{n}`` in the path becomes the number of the call, because equal requests
        share a fate in the crash quarantine.
        """
        number = next(self._numbers)
        entries = self.entries
        name = instance or entries[number % len(entries)]
        return Call(
            url=self.fleet.instances[name].url + path.replace("{n}", str(number)),
            key=self.keys[organisation],
            echo=f"call-{number}",
            method=method,
            instance=name,
            **fields,
        )

    def plan_calls(
        self, count: int, path: str, per_second: float = 0.0, **fields: Any
    ) -> list[Call]:
        """Returns calls at a fixed rate, or all at once without one."""
        gap = 1.0 / per_second if per_second else 0.0
        return [
            self.plan_call(path, at_seconds=n * gap, **fields) for n in range(count)
        ]

    def run(
        self,
        calls: Iterable[Call],
        actions: Sequence[Action] = (),
        http2: bool = False,
        arriving: dict[str, Received] | None = None,
    ) -> list[Answer]:
        """Sends calls and does actions, and measures the machine's noise meanwhile."""
        with self.measure_noise():
            return run_calls(calls, actions, http2, arriving)

    @contextmanager
    def measure_noise(self) -> Iterator[None]:
        """Sets :attr:`noise_share` at its end."""
        before, start = self._read_run_delays(), time.monotonic()
        yield
        after, elapsed = self._read_run_delays(), time.monotonic() - start
        delays = [after[name] - before[name] for name in before.keys() & after.keys()]
        self.noise_share = max(delays, default=0.0) / elapsed

    def _read_run_delays(self) -> dict[str, float]:
        delays = {}
        for name in self.entries:
            pid = self.fleet.processes[name].pid
            # Second field: nanoseconds spent waiting on a run queue.
            fields = Path(f"/proc/{pid}/schedstat").read_text().split()
            delays[f"{name}/{pid}"] = int(fields[1]) / 1e9
        return delays

    def assert_served(self, answers: Sequence[Answer]) -> None:
        """Checks that every admitted call was answered whole.

        A call is not admitted if its organisation's allowance could not be asked
        in time; section 2.3 allows that for under 1 % while an instance is replaced.
        """
        failed = [answer for answer in answers if not answer.ok]
        out = [answer for answer in failed if answer.reason == "allowance-unavailable"]
        others = [str(answer) for answer in failed if answer not in out]
        assert not others, "\n".join(others[:10])
        most = max(1.0, 0.01 * len(answers))
        assert len(out) <= most, (
            f"{len(out)} of {len(answers)} were not admitted, noise "
            f"{self.noise_share:.3f}:\n"
            + "\n".join(f"at {answer.sent_seconds:.3f} s {answer}" for answer in out)
        )

    def read_ledger(self) -> RunLedger:
        """Returns the runs of all upstreams so far."""
        return RunLedger(self.fleet.list_all_records())

    def assert_truthful(self, answers: Sequence[Answer]) -> RunLedger:
        """Checks what holds of every answer; returns the runs."""
        ledger = self.read_ledger()
        faults = ledger.find_faults(answers)
        assert not faults, "\n".join(faults[:20])
        return ledger

    # States

    def recover(self, service: str) -> None:
        """Ends all faults and waits until the service's upstreams are warm again."""
        self.links.heal()
        (plan,) = [item for item in self.plan.services if item.name == service]
        defaults = {**NO_FAULTS, **plan.options}
        for name in self.upstreams[service]:
            self.fleet.control_upstream(name, "options", **defaults)
        self.warm_up(service)

    def warm_up(self, service: str, method: str = "GET") -> None:
        """Calls until every instance has every upstream of the service as warm."""
        deadline = time.monotonic() + RECOVERY_SECONDS
        while True:
            path = f"/{service}/warm-up/{{n}}"
            calls = self.plan_calls(WARM_UP_CALLS, path, 100.0, method=method)
            answers = run_calls(calls)
            states = self.read_upstream_states(service)
            cold = {item for item in states.items() if item[1] != "warm"}
            if not cold and all(answer.ok for answer in answers):
                return
            failed = [str(answer) for answer in answers if not answer.ok]
            if time.monotonic() > deadline:
                raise AssertionError(f"not warm again: {cold} {failed[:3]}")

    def read_upstream_states(self, service: str) -> dict[tuple[str, str], str]:
        """Returns the states of a service's upstreams as each instance has them."""
        return {
            (instance, upstream["name"]): (
                "ejected" if upstream.get("ejected") else upstream["state"]
            )
            for instance in self.entries
            for upstream in self.fleet.read_state(instance)["upstreams"]
            if upstream["name"] in self.upstreams[service]
        }

    def wait_until(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Waits for a state with a deadline of the design."""
        self.fleet.wait_until(condition, seconds, what)

    def start_instance(self, name: str) -> None:
        """Starts an instance that was stopped and waits until it is ready."""
        self.fleet.start_instance(name)
        self.fleet.wait_until_ready(START_SECONDS)

    def find_holder(self, shard: int) -> str:
        """Returns the instance that holds a shard now, or an empty name."""
        for name in self.entries:
            if shard in self.fleet.read_state(name)["held_shards"]:
                return name
        return ""


def share_fleet(context: Any, name: str, plans: dict[str, FleetPlan]) -> RequestFleet:
    """Returns the fleet of the feature that runs, started at its first use."""
    feature = context.feature
    if getattr(feature, "request_fleet_name", "") != name:
        fleet = RequestFleet(plans[name])
        feature.request_fleet, feature.request_fleet_name = fleet, name
        context.add_cleanup(fleet.close, layer="feature")
    return feature.request_fleet
