"""Processor time, memory and bytes of whole daemons at rest, for the capacity."""

import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from measure.capacity_report import Slope, print_line
from measure.capacity_shapes import build_revision
from measure.speed import read_processor_seconds
from standins.fleet import Fleet

#: Real processes at once; the slope per peer at more is that of ``measure.peers``.
DAEMON_SIZES = (3, 6, 12)
#: Upstreams of the revision. They do not exist and are all out of service, so that no
#: probe is sent and the cost is that of control alone.
UPSTREAM_SIZES = (46, 650, 1300)
UPSTREAM_INSTANCES = 3
#: What a daemon imports, from the interpreter alone to all of it.
IMPORTS = ("sys", "asyncio, uvloop", "aiohttp, httpx", "hypercorn", "egrethall.daemon")
WATCHED_SECONDS = 5.0
READY_SECONDS = 40.0
#: Time after readiness in which the last shards find their holders.
SETTLE_SECONDS = 3.0


def find_resident_mb(status: str) -> float:
    """Returns the resident memory in the text of ``/proc/PID/status``."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError("the process has no resident memory")


def measure_imports(runs: int) -> None:
    """Resident memory of a process that has only imported libraries."""
    for names in IMPORTS:
        code = f"import {names}\nprint(open('/proc/self/status').read())"
        found = []
        for _ in range(runs):
            output = subprocess.run(
                [sys.executable, "-c", code], capture_output=True, text=True, check=True
            ).stdout
            found.append(find_resident_mb(output))
        print_line(
            measure="import-memory",
            unit="MB",
            imports=names.replace(" ", ""),
            median=statistics.median(found),
            runs=runs,
            lowest=min(found),
            highest=max(found),
        )


def measure_daemons(runs: int) -> None:
    """Daemons at rest, by the fleet's size and by the number of upstreams."""
    measure_imports(runs)
    shares = Slope("daemon-idle-share", "instances", "percent_of_core")
    memory = Slope("daemon-memory", "instances", "MB")
    for size in DAEMON_SIZES:
        found = watch_fleet(size, 0)
        shares.add(size, found["share"])
        memory.add(size, found["memory"])
    shares.finish(18, 100)
    memory.finish(18, 100)
    shares = Slope("daemon-idle-share", "upstreams", "percent_of_core")
    memory = Slope("daemon-memory", "upstreams", "MB")
    for size in UPSTREAM_SIZES:
        found = watch_fleet(UPSTREAM_INSTANCES, size)
        shares.add(size, found["share"])
        memory.add(size, found["memory"])
    shares.finish(46, 1300)
    memory.finish(46, 1300)


def watch_fleet(instances: int, upstreams: int) -> dict[str, list[float]]:
    """Returns shares of a core and resident MB of all instances of one fleet."""
    with Fleet() as fleet:
        names = [f"entry-{number}" for number in range(instances)]
        for name in names:
            fleet.add_instance(name, "a")
        revision: dict[str, Any] = build_revision(1, upstreams, 8, instances)
        revision["out_of_service"] = {
            "availability_zones": ["b", "c", "d", "e", "f", "g", "h"],
            "instances": [
                upstream["name"]
                for service in revision["services"]
                for upstream in service["upstreams"]
                if upstream["availability_zone"] == "a"
            ],
        }
        del revision["revision"]
        fleet.publish(**revision)
        fleet.publish_instances()
        for name in names:
            fleet.start_instance(name)
        fleet.wait_until_ready(READY_SECONDS)
        time.sleep(SETTLE_SECONDS)
        processes = [fleet.processes[name] for name in names]
        before = [read_processor_seconds(process) for process in processes]
        started = time.monotonic()
        time.sleep(WATCHED_SECONDS)
        elapsed = time.monotonic() - started
        shares = [
            100.0 * (read_processor_seconds(process) - began) / elapsed
            for process, began in zip(processes, before, strict=True)
        ]
        memory = [
            find_resident_mb(Path(f"/proc/{process.pid}/status").read_text())
            for process in processes
        ]
    print_line(
        measure="daemon-fleet",
        instances=instances,
        upstreams=upstreams,
        median_share=statistics.median(shares),
    )
    return {"share": shares, "memory": memory}
