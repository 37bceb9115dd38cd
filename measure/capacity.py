"""Measures how the cost of each role grows: ``python -m measure.capacity``.

``docs/CAPACITY.md`` works out the larger size from the slopes that this prints, one
line of key=value pairs for each size and one for each slope. Costs of single classes
are measured in this process, as processor time and as memory that Python allocated;
those of whole daemons are measured on real processes.
"""

import argparse
import os
import time
from collections.abc import Callable

import structlog

from measure.capacity_daemons import measure_daemons
from measure.capacity_edges import (
    measure_operators,
    measure_probes,
    measure_upstream_gauges,
)
from measure.capacity_report import print_line
from measure.capacity_rounds import (
    measure_choice,
    measure_heartbeats,
    measure_leases,
    measure_spread,
    measure_ticks,
)
from measure.capacity_state import (
    measure_allowances,
    measure_borrow_bytes,
    measure_revisions,
    measure_store,
)
from standins.fleet import stop_on_exit_signal

#: Each takes the number of runs.
SECTIONS: dict[str, Callable[[int], None]] = {
    "revisions": measure_revisions,
    "store": measure_store,
    "allowances": measure_allowances,
    "borrow-bytes": measure_borrow_bytes,
    "choice": measure_choice,
    "ticks": measure_ticks,
    "leases": measure_leases,
    "heartbeats": measure_heartbeats,
    "spread": measure_spread,
    "operators": measure_operators,
    "gauges": measure_upstream_gauges,
    "probes": measure_probes,
    "daemons": measure_daemons,
}


def print_machine(started_seconds: float) -> None:
    """Prints the load of the machine, which is shared, and the time taken."""
    print_line(
        measure="machine",
        load_average=os.getloadavg()[0],
        cores=os.cpu_count(),
        elapsed_seconds=time.monotonic() - started_seconds,
    )


def main() -> None:
    """Runs the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument(
        "--sections", nargs="+", choices=[*SECTIONS], default=[*SECTIONS]
    )
    arguments = parser.parse_args()
    stop_on_exit_signal()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    started_seconds = time.monotonic()
    print_machine(started_seconds)
    for name in arguments.sections:
        SECTIONS[name](arguments.runs)
    print_machine(started_seconds)


if __name__ == "__main__":
    main()
