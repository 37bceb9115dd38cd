"""Measures the time that a balancer adds to a call: ``python -m measure.speed``.

One entry instance of egrethall with all decisions on, the naive proxy and the direct
call take turns in each round, in an order that is reversed in every other round. The
callers are processes of their own with keep-alive connections. With ``--base DIR``,
the egrethall of another work tree takes its turns as well, as
``balancer=egrethall-base``; ratios then show what the changes between both are worth.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from egrethall.admission import make_key
from measure.speed_caller import CallerFigures, CallerPlan
from standins.fleet import Fleet, stop_on_exit_signal
from standins.service_shapes import ServiceShape
from standins.upstream import UpstreamOptions

UPSTREAM_COUNT = 6
UPSTREAM_PROCESSES = 2

#: Far above what is reached, so that no call is refused.
RATE_PER_SECOND = 100_000.0
BURST = 50_000

#: Shares of a side's saturation at which an open loop is run.
#: 0 stands for one caller in a closed loop.
SHARES = {"one-caller": 0.0, "fifth": 0.2, "half": 0.5, "four-fifths": 0.8}

#: Calls that make the upstreams warm.
WARM_UP_SECONDS = 2.0

CALLER_MARGIN_SECONDS = 30.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class MeasurementError(Exception):
    """A measurement could not be made as planned."""


@dataclass(frozen=True)
class Side:
    """One way for calls to reach the upstreams."""

    name: str
    ports: tuple[int, ...]
    key: str
    #: The process whose processor time counts; None for the direct call.
    process: subprocess.Popen[bytes] | None


@dataclass(frozen=True)
class Figures:
    """What one run of one side showed."""

    calls_per_second: float
    p50_ms: float
    p99_ms: float
    processor_ms_per_call: float
    failed: int


def read_processor_seconds(process: subprocess.Popen[bytes]) -> float:
    """Returns the time that a process has spent, in user code and in the kernel."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def build_configuration(
    upstreams: tuple[UpstreamOptions, ...], key_count: int = 1
) -> tuple[dict[str, Any], str]:
    """Returns a first revision without its number, and a key of its organisation."""
    keys = [make_key() for _ in range(key_count)]
    published_keys = [
        {
            "key_id": key.digest.key_id,
            "digest": f"sha256:{key.digest.digest.hex()}",
        }
        for key in keys
    ]
    service = ServiceShape("lookup", upstreams, ("a",), cold_rate_per_second=1000.0)
    configuration = {
        "fleet": {"max_entry_instances": 1},
        "organisations": [{"name": "atlas", "plan": "large", "keys": published_keys}],
        "plans": [
            {
                "name": "large",
                "rate_per_second": RATE_PER_SECOND,
                "burst": BURST,
                "services": ["lookup"],
            }
        ],
        "services": [service.build_configuration()],
        "out_of_service": {"availability_zones": [], "instances": []},
    }
    return configuration, keys[0].key


class SpeedMeasurement:
    """The processes and the runs of one measurement."""

    def __init__(self, stack: ExitStack, arguments: argparse.Namespace) -> None:
        self._stack = stack
        self._arguments = arguments
        fleet = stack.enter_context(Fleet())
        upstreams = fleet.build_upstreams(
            "lookup", UPSTREAM_COUNT, work_ms=arguments.work_ms, slots=16
        )
        for index in range(UPSTREAM_PROCESSES):
            fleet.start_upstreams(upstreams[index::UPSTREAM_PROCESSES])
        self._upstreams = upstreams
        self.sides = [
            Side("direct", tuple(item.port for item in upstreams), "none", None),
            self._start("egrethall", fleet, None),
            self._start("naive", stack.enter_context(Fleet()), None),
        ]
        self.sides = [item for item in self.sides if item.name not in arguments.without]
        if arguments.base is not None:
            base = stack.enter_context(Fleet())
            self.sides.append(self._start("egrethall-base", base, arguments.base))

    def warm_up(self) -> None:
        """Calls each side until all upstreams are warm."""
        for side in self.sides:
            self.run_side(side, WARM_UP_SECONDS, 8, 0.0, 0)

    def run_side(
        self, side: Side, seconds: float, connections: int, rate: float, seed: int
    ) -> Figures:
        """Runs the callers against one side."""
        plan = CallerPlan(
            side.ports, "/lookup/1", side.key, seconds, connections, rate, seed
        )
        began = 0.0 if side.process is None else read_processor_seconds(side.process)
        results = self._run_callers(plan, 1 if rate or connections == 1 else 2)
        ended = 0.0 if side.process is None else read_processor_seconds(side.process)
        calls = sum(item.calls for item in results)
        if not calls:
            raise MeasurementError(f"no call to {side.name} was answered")
        return Figures(
            sum(item.calls / item.seconds for item in results),
            statistics.mean(item.p50_ms for item in results),
            max(item.p99_ms for item in results),
            (ended - began) / calls * 1e3,
            sum(item.failed for item in results),
        )

    def _start(self, name: str, fleet: Fleet, tree: Path | None) -> Side:
        instance = fleet.add_instance("entry-1", "a")
        configuration, key = build_configuration(self._upstreams)
        fleet.publish(**configuration)
        fleet.publish_instances()
        if name == "naive":
            fleet.start_instance("entry-1", "standins.naive_proxy")
            fleet.wait_for_port(instance.caller_port)
        elif tree is None:
            fleet.start_instance("entry-1")
            fleet.wait_until_ready(30.0)
        else:
            settings = fleet.write_settings(instance)
            with (fleet.directory / "entry-1.log").open("ab") as output:
                fleet.processes["entry-1"] = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "egrethall",
                        "serve",
                        f"--settings={settings}",
                    ],
                    cwd=tree,
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    stdin=subprocess.DEVNULL,
                )
            fleet.wait_until_ready(30.0)
        return Side(name, (instance.caller_port,), key, fleet.processes["entry-1"])

    @staticmethod
    def _run_callers(plan: CallerPlan, processes: int) -> list[CallerFigures]:
        share = replace(plan, connections=max(1, plan.connections // processes))
        callers = [
            subprocess.Popen(
                [sys.executable, "-m", "measure.speed_caller"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(processes)
        ]
        try:
            for caller in callers:
                if caller.stdin is None:
                    raise MeasurementError("a caller has no input")
                caller.stdin.write(json.dumps(asdict(share)))
                caller.stdin.close()
                caller.stdin = None
            margin = plan.seconds + CALLER_MARGIN_SECONDS
            outputs = [caller.communicate(timeout=margin)[0] for caller in callers]
        finally:
            for caller in callers:
                caller.kill()
        return [CallerFigures(**json.loads(output)) for output in outputs]


class Report:
    """The figures of all rounds, printed as they come and as medians at the end."""

    def __init__(self) -> None:
        #: Figures of scenario, side and metric, one for each round.
        self._values: dict[tuple[str, str, str], list[float]] = {}

    def add(self, scenario: str, side: str, **figures: float) -> None:
        """Prints the figures of one run and keeps them."""
        for name, value in figures.items():
            self._values.setdefault((scenario, side, name), []).append(value)
        shown = " ".join(f"{name}={value:.3f}" for name, value in figures.items())
        print(f"scenario={scenario} balancer={side} {shown}", flush=True)

    def print_medians(self) -> None:
        """Prints the median of each figure with its spread over the rounds."""
        for (scenario, side, name), values in self._values.items():
            print(
                f"scenario={scenario}-median balancer={side} "
                f"{name}={statistics.median(values):.3f} runs={len(values)} "
                f"spread={min(values):.3f}..{max(values):.3f}"
            )

    def print_ratios(self, scenario: str, name: str, first: str, second: str) -> None:
        """Prints ``first`` in terms of ``second``, from pairs of the same round."""
        if (scenario, second, name) not in self._values:
            return
        ratios = [
            one / other
            for one, other in zip(
                self._values.get((scenario, first, name), []),
                self._values.get((scenario, second, name), []),
                strict=True,
            )
            if other
        ]
        if not ratios:
            return
        quarters = statistics.quantiles(ratios, n=4) if len(ratios) > 1 else ratios
        print(
            f"scenario={scenario}-ratio balancer={first} to={second} "
            f"{name}_ratio={statistics.median(ratios):.3f} runs={len(ratios)} "
            f"spread={min(ratios):.3f}..{max(ratios):.3f} "
            f"quartiles={quarters[0]:.3f}..{quarters[-1]:.3f}"
        )


def order_sides(sides: list[Side], round_number: int) -> Iterator[Side]:
    """Yields the sides, in the reverse order in every other round."""
    yield from sides if round_number % 2 else reversed(sides)


def measure_round(
    measurement: SpeedMeasurement,
    report: Report,
    number: int,
    seconds: float,
    scenarios: list[str],
) -> None:
    """Runs the saturation and ``scenarios`` once on every side."""
    saturations: dict[str, float] = {}
    for side in order_sides(measurement.sides, number):
        figures = measurement.run_side(side, seconds, 16, 0.0, number)
        saturations[side.name] = figures.calls_per_second
        report.add(
            "speed-saturation",
            side.name,
            calls_per_second=figures.calls_per_second,
            processor_ms_per_call=figures.processor_ms_per_call,
            failed=figures.failed,
        )
    # The direct call is made as often as calls through egrethall.
    saturations["direct"] = saturations["egrethall"]
    for scenario in scenarios:
        share = SHARES[scenario]
        results = {
            side.name: measurement.run_side(
                side, seconds, 1 if not share else 4, share * saturations[side.name], 7
            )
            for side in order_sides(measurement.sides, number)
        }
        for name, figures in results.items():
            report.add(
                f"speed-{scenario}",
                name,
                calls_per_second=figures.calls_per_second,
                p50_ms=figures.p50_ms,
                p99_ms=figures.p99_ms,
                added_p50_ms=figures.p50_ms - results["direct"].p50_ms,
                added_p99_ms=figures.p99_ms - results["direct"].p99_ms,
                processor_ms_per_call=figures.processor_ms_per_call,
                failed=figures.failed,
            )


def main() -> int:
    """Runs the measurement and returns the exit status."""
    parser = argparse.ArgumentParser(description="Measure the time that is added.")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0, help="of each run")
    parser.add_argument("--work-ms", type=float, default=0.0, help="of the upstreams")
    parser.add_argument("--base", type=Path, help="work tree of another version")
    parser.add_argument(
        "--scenarios", nargs="*", choices=[*SHARES], default=[*SHARES], help="more runs"
    )
    parser.add_argument(
        "--without", nargs="*", default=[], help="sides that are left out"
    )
    arguments = parser.parse_args()
    if "direct" in arguments.without and arguments.scenarios:
        parser.error("the added time is measured against the direct side")
    stop_on_exit_signal()
    report = Report()
    print(f"scenario=speed-machine load_average={os.getloadavg()[0]:.1f}")
    with ExitStack() as stack:
        measurement = SpeedMeasurement(stack, arguments)
        measurement.warm_up()
        for number in range(1, arguments.rounds + 1):
            measure_round(
                measurement, report, number, arguments.seconds, arguments.scenarios
            )
    report.print_medians()
    for other in ("naive", "egrethall-base"):
        for name in ("calls_per_second", "processor_ms_per_call"):
            report.print_ratios("speed-saturation", name, "egrethall", other)
        for scenario in arguments.scenarios:
            for name in ("added_p50_ms", "added_p99_ms", "processor_ms_per_call"):
                report.print_ratios(f"speed-{scenario}", name, "egrethall", other)
    print(f"scenario=speed-machine load_average={os.getloadavg()[0]:.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
