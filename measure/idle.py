"""Measures what an instance spends without calls: ``python -m measure.idle``.

For each size of the fleet, egrethall's own processes run with six upstreams and no
calls. Printed are the share of a core and the resident memory of an instance. With
``--base DIR`` a fleet of another work tree is measured in turn.
"""

import argparse
import os
import statistics
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

from measure.speed import (
    UPSTREAM_COUNT,
    UPSTREAM_PROCESSES,
    build_configuration,
    read_processor_seconds,
)
from standins.fleet import Fleet, stop_on_exit_signal

SIZES = (3, 6, 12)

#: Time until leases have settled and upstreams were probed.
SETTLE_SECONDS = 6.0

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes(process: subprocess.Popen[bytes]) -> int:
    """Returns the memory of a process that is not swapped out."""
    fields = Path(f"/proc/{process.pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def start_instances(fleet: Fleet, size: int, tree: Path | None) -> None:
    """Starts ``size`` instances and waits until they are ready."""
    upstreams = fleet.build_upstreams("lookup", UPSTREAM_COUNT)
    for index in range(UPSTREAM_PROCESSES):
        fleet.start_upstreams(upstreams[index::UPSTREAM_PROCESSES])
    for index in range(size):
        fleet.add_instance(f"entry-{index}", "a")
    configuration, _ = build_configuration(upstreams)
    configuration["fleet"] = {"max_entry_instances": size}
    fleet.publish(**configuration)
    fleet.publish_instances()
    for name, instance in fleet.instances.items():
        settings = fleet.write_settings(instance)
        with (fleet.directory / f"{name}.log").open("ab") as output:
            fleet.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "egrethall", "serve", f"--settings={settings}"],
                cwd=tree,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
    fleet.wait_until_ready(60.0)
    time.sleep(SETTLE_SECONDS)


def measure_fleet(fleet: Fleet, seconds: float) -> tuple[list[float], list[float]]:
    """Returns the share of a core and the MiB of each instance."""
    processes = [fleet.processes[name] for name in fleet.instances]
    before = [read_processor_seconds(process) for process in processes]
    began = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - began
    after = [read_processor_seconds(process) for process in processes]
    shares = [(end - start) / elapsed for start, end in zip(before, after, strict=True)]
    return shares, [read_resident_bytes(item) / 2**20 for item in processes]


def main() -> int:
    """Runs the measurement and returns the exit status."""
    parser = argparse.ArgumentParser(description="Measure idle instances.")
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--seconds", type=float, default=10.0, help="of each run")
    parser.add_argument("--base", type=Path, help="work tree of another version")
    arguments = parser.parse_args()
    stop_on_exit_signal()
    trees: dict[str, Path | None] = {"egrethall": None}
    if arguments.base is not None:
        trees["egrethall-base"] = arguments.base
    for size in arguments.sizes:
        with ExitStack() as stack:
            fleets = {name: stack.enter_context(Fleet()) for name in trees}
            for name, fleet in fleets.items():
                start_instances(fleet, size, trees[name])
            for name, fleet in fleets.items():
                shares, memory = measure_fleet(fleet, arguments.seconds)
                print(
                    f"scenario=speed-idle balancer={name} instances={size} "
                    f"upstreams={UPSTREAM_COUNT} "
                    f"processor_share={statistics.mean(shares):.4f} "
                    f"spread={min(shares):.4f}..{max(shares):.4f} "
                    f"resident_mib={statistics.mean(memory):.1f} "
                    f"load_average={os.getloadavg()[0]:.1f}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
