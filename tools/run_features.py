"""Runs the ``behave`` features of every package and counts their scenarios.

Each feature file in a ``tests`` directory below the repository's root is one run of
``behave`` in a process of its own, several at a time. Scenarios that
``KNOWN-RED.txt`` names are run and printed, and do not change the exit status.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAULTS_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_FAULT_PREFIX = "scenario: "

#: Where the deploy file's build puts its copy of the package.
BUILD_FOLDER = "target"

#: Upper bound on one feature's run; a hanging test fails instead of stopping CI.
FEATURE_TIMEOUT_SECONDS = 900.0

#: Packages whose features start fleets of processes.
FLEET_PACKAGES = frozenset({"daemon", "entry", "soak"})

#: Features with fleets of processes that run at the same time. Each fleet is a dozen
#: processes whose answers have deadlines, which do not hold beside another fleet on six
#: cores.
DEFAULT_FLEET_JOBS = 1

#: Other features that run at the same time.
DEFAULT_JOBS = 2

#: Tag of features that run one at a time, when no other feature runs. Their crowds of
#: clients occupy the machine.
ISOLATED_TAG = "@isolated"


@dataclass(frozen=True)
class ScenarioResult:
    """The outcome of one scenario."""

    name: str
    passed: bool


@dataclass(frozen=True)
class FeatureResult:
    """The outcome of one feature file."""

    feature: Path
    scenarios: tuple[ScenarioResult, ...]
    output: str
    complete: bool


def find_features(selected: list[str]) -> list[Path]:
    """Returns the feature files, without copies in hidden and build folders."""
    features = sorted(
        path
        for path in ROOT.rglob("tests/*.feature")
        if not any(
            part.startswith(".") or part == BUILD_FOLDER
            for part in path.relative_to(ROOT).parts
        )
    )
    if selected:
        features = [
            path
            for path in features
            if any(word in str(path.relative_to(ROOT)) for word in selected)
        ]
    return features


def starts_fleets(feature: Path) -> bool:
    """Returns whether a feature starts fleets of processes."""
    return not FLEET_PACKAGES.isdisjoint(feature.relative_to(ROOT).parts)


def is_isolated(feature: Path) -> bool:
    """Returns whether a feature must run apart from all others."""
    return feature.read_text(encoding="utf-8").startswith(ISOLATED_TAG)


def run_features(
    features: list[Path], fleet_jobs: int, jobs: int
) -> list[FeatureResult]:
    """Runs features with fleets beside the others, and isolated ones at the end."""
    isolated = [feature for feature in features if is_isolated(feature)]
    with ThreadPoolExecutor(fleet_jobs) as fleets, ThreadPoolExecutor(jobs) as others:
        running = [
            (fleets if starts_fleets(feature) else others).submit(run_feature, feature)
            for feature in features
            if feature not in isolated
        ]
        results = [result.result() for result in running]
    return results + [run_feature(feature) for feature in isolated]


def read_known_faults() -> frozenset[str]:
    """Returns the names of the scenarios that ``KNOWN-RED.txt`` lists."""
    if not KNOWN_FAULTS_FILE.exists():
        return frozenset()
    lines = KNOWN_FAULTS_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(KNOWN_FAULT_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_FAULT_PREFIX)
    )


def iterate_scenarios(report: Path) -> Iterator[ScenarioResult]:
    """Yields the results in a JSON report of ``behave``."""
    for feature in json.loads(report.read_text(encoding="utf-8")):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            yield ScenarioResult(
                element["name"].strip(), element.get("status") == "passed"
            )


def run_feature(feature: Path) -> FeatureResult:
    """Runs ``behave`` on one feature file."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--no-color",
            "--format=json",
            f"--outfile={report}",
            "--format=progress3",
            "--outfile=/dev/stdout",
            "--show-timings",
            str(feature),
        ]
        try:
            finished = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_SECONDS,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
        except subprocess.TimeoutExpired:
            return FeatureResult(feature, (), "timed out", complete=False)
        output = finished.stdout + finished.stderr
        try:
            scenarios = tuple(iterate_scenarios(report))
        except (OSError, ValueError) as error:
            return FeatureResult(feature, (), f"{output}{error}", complete=False)
    failed = any(not scenario.passed for scenario in scenarios)
    complete = bool(scenarios) and (finished.returncode == 0 or failed)
    return FeatureResult(feature, scenarios, output, complete)


def print_result(result: FeatureResult, known_faults: frozenset[str]) -> None:
    """Prints the failures of one feature."""
    name = result.feature.relative_to(ROOT)
    failed = [scenario for scenario in result.scenarios if not scenario.passed]
    print(f"{name}: {len(result.scenarios) - len(failed)} of {len(result.scenarios)}")
    for scenario in failed:
        label = "known fault" if scenario.name in known_faults else "failed"
        print(f"  {label}: {scenario.name}")
    if failed or not result.complete:
        print(result.output)


def main() -> int:
    """Runs the selected features and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("selected", nargs="*", help="parts of file names")
    parser.add_argument(
        "--jobs", type=int, default=DEFAULT_JOBS, help="features at the same time"
    )
    parser.add_argument(
        "--fleet-jobs",
        type=int,
        default=DEFAULT_FLEET_JOBS,
        help="features with fleets of processes at the same time",
    )
    arguments = parser.parse_args()
    known_faults = read_known_faults()
    features = find_features(arguments.selected)
    results = run_features(features, arguments.fleet_jobs, arguments.jobs)
    for result in results:
        print_result(result, known_faults)
    scenarios = [scenario for result in results for scenario in result.scenarios]
    passed = sum(scenario.passed for scenario in scenarios)
    failed = [scenario for scenario in scenarios if not scenario.passed]
    known = sum(scenario.name in known_faults for scenario in failed)
    unexpected = len(failed) - known
    unexpected += sum(not result.complete for result in results)
    # The end of the output names what failed, since only that may have been kept.
    for result in results:
        if not result.complete:
            print(f"incomplete: {result.feature.relative_to(ROOT)}")
    for scenario in failed:
        if scenario.name not in known_faults:
            print(f"failed: {scenario.name}")
    if known:
        print(f"known faults: {known} (see {KNOWN_FAULTS_FILE.name})")
    print(f"{passed} passed, {unexpected} failed")
    return 0 if scenarios and not unexpected else 1


if __name__ == "__main__":
    sys.exit(main())
