"""Measures egrethall and the naive balancer on the same scenarios: ``make measure``.

Prints one line of key=value pairs for each scenario, balancer, shape and round. Both
balancers run on fleets of their own on the same machine and take turns, in an order
that is reversed in every other scenario, with the same seeded load. Only ratios within
one run are figures: the machine may be shared.
"""

import argparse
import os
import sys
from contextlib import ExitStack
from dataclasses import dataclass

from measure.scenario_figures import compute_figures
from measure.scenario_side import EGRETHALL, NAIVE, Side
from measure.scenarios import LONG_STALE_SECONDS, SCENARIOS, Scenario
from measure.shapes import SHAPES, Shape
from standins.fleet import stop_on_exit_signal

SCENARIO_NAMES = [scenario.name for scenario in SCENARIOS]

#: Scenarios of each shape without options: all of them for the first, and what the
#: other user weighs most, so that a plain run ends within some eight minutes.
PLAIN_SCENARIOS = {
    "recu-solidaire": SCENARIO_NAMES,
    "minca-studio": ["noisy-neighbours", "over-rate", "zone-out-and-back"],
}


@dataclass(frozen=True)
class Options:
    """Options of the command line."""

    scenarios: list[str] | None
    shapes: list[str]
    rounds: int
    seconds: float
    seed: int
    long: bool


def read_options() -> Options:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(prog="python -m measure", description=__doc__)
    parser.add_argument(
        "--scenario",
        action="append",
        choices=SCENARIO_NAMES,
        help="run this scenario only; may be repeated",
    )
    parser.add_argument(
        "--shape", action="append", choices=sorted(SHAPES), help="may be repeated"
    )
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument(
        "--seconds",
        type=float,
        default=6.0,
        help="length of each load; scenarios that need longer take longer",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--long", action="store_true", help="keep the configuration stale for a minute"
    )
    found = parser.parse_args()
    if found.rounds < 1 or found.seconds <= 0:
        parser.error("--rounds and --seconds must be positive")
    return Options(
        found.scenario,
        found.shape or list(SHAPES),
        found.rounds,
        found.seconds,
        found.seed,
        found.long,
    )


def find_scenarios(options: Options, shape: Shape) -> list[Scenario]:
    """Returns the scenarios to run on a shape."""
    names = options.scenarios or PLAIN_SCENARIOS[shape.name]
    if options.long and not options.scenarios:
        names = SCENARIO_NAMES
    return [scenario for scenario in SCENARIOS if scenario.name in names]


def find_seconds(options: Options, scenario: Scenario) -> float:
    """Returns the length of a scenario's load."""
    seconds = max(options.seconds, scenario.min_seconds)
    if options.long and scenario.name == "stale-configuration":
        return max(seconds, LONG_STALE_SECONDS + 1.0)
    return seconds


def run_scenario(options: Options, side: Side, scenario: Scenario, number: int) -> None:
    """Runs one scenario on one side and prints its line."""
    factors = scenario.find_factors(side.shape)
    label = f"{scenario.name}-{number}"
    side.make_ready()
    evidence = side.run(label, find_seconds(options, scenario), factors, scenario.act)
    fields = {
        "scenario": scenario.name,
        "balancer": side.balancer,
        "shape": side.shape.name,
        "seed": options.seed,
        "round": number,
        **compute_figures(evidence),
        "load_average": f"{os.getloadavg()[0]:.1f}",
    }
    print(" ".join(f"{name}={value}" for name, value in fields.items()), flush=True)


def run_shape(options: Options, shape: Shape) -> None:
    """Runs all rounds of one shape, both balancers in turn."""
    with ExitStack() as stack:
        sides = [
            stack.enter_context(Side(shape, balancer, options.seed))
            for balancer in (EGRETHALL, NAIVE)
        ]
        for number in range(1, options.rounds + 1):
            for scenario in find_scenarios(options, shape):
                for side in sides:
                    run_scenario(options, side, scenario, number)
                sides.reverse()


def main() -> int:
    """Runs the measurement and returns the exit status."""
    stop_on_exit_signal()
    options = read_options()
    for name in options.shapes:
        run_shape(options, SHAPES[name])
    return 0


if __name__ == "__main__":
    sys.exit(main())
