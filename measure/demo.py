"""The demonstration: a small fleet of real processes and real calls on loopback.

Three entry instances, a dozen upstreams in two availability zones, and four
organisations, one of which sends several times its rate. Zone ``b`` is taken out of
service and brought back while calls run.
"""

import asyncio
import sys
import threading
import time
from typing import Any

from rich.console import Console
from rich.table import Table

from egrethall.admission import make_key
from standins.fleet import Fleet, stop_on_exit_signal
from standins.load import LoadSummary, Stream, run_load
from standins.service_shapes import ServiceShape

SEED = 7
LOAD_SECONDS = 20.0
ZONE_OUT_SECONDS = 7.0
ZONE_BACK_SECONDS = 12.0
WARM_UP_SECONDS = 8.0

#: Rate and burst of each plan, and the rate at which its organisation calls.
ORGANISATIONS = {
    "atlas": (120.0, 64, 60.0),
    "birch": (60.0, 32, 30.0),
    "cedar": (20.0, 16, 100.0),
    "dune": (5.0, 5, 2.0),
}


def build_configuration(fleet: Fleet, keys: dict[str, str]) -> dict[str, Any]:
    """Returns the first published revision, and fills ``keys``."""
    organisations, plans = [], []
    for name, (rate, burst, _) in ORGANISATIONS.items():
        key = make_key()
        keys[name] = key.key
        digest = f"sha256:{key.digest.digest.hex()}"
        organisations.append(
            {
                "name": name,
                "plan": f"plan-{name}",
                "keys": [{"key_id": key.digest.key_id, "digest": digest}],
            }
        )
        plans.append(
            {
                "name": f"plan-{name}",
                "rate_per_second": rate,
                "burst": burst,
                "services": ["lookup", "issue"],
            }
        )
    lookup = fleet.build_upstreams("lookup", 8, noise_factor=4.0, cold_seconds=1.0)
    issue = fleet.build_upstreams("issue", 4, work_ms=4.0, cold_seconds=1.0)
    fleet.start_upstreams((*lookup, *issue))
    services = (
        ServiceShape("lookup", lookup, ("a", "b")),
        ServiceShape("issue", issue, ("a", "b")),
    )
    return {
        "fleet": {"max_entry_instances": 3},
        "organisations": organisations,
        "plans": plans,
        "services": [service.build_configuration() for service in services],
        "out_of_service": {"availability_zones": [], "instances": []},
    }


def build_streams(fleet: Fleet, keys: dict[str, str]) -> list[Stream]:
    """Returns lookups and issues of every organisation."""
    entries = [instance.url for instance in fleet.instances.values()]
    streams = []
    for name, (_, _, rate) in ORGANISATIONS.items():
        streams.append(Stream(name, keys[name], rate * 0.8, entries, "/lookup/1"))
        streams.append(
            Stream(name, keys[name], rate * 0.2, entries, "/issue/1", method="POST")
        )
    return streams


def move_zone(fleet: Fleet, messages: list[str]) -> None:
    """Takes zone b out of service and brings it back."""
    time.sleep(ZONE_OUT_SECONDS)
    runs_before = count_zone_runs(fleet)
    fleet.publish(out_of_service={"availability_zones": ["b"], "instances": []})
    time.sleep(3.0)
    settled = count_zone_runs(fleet)
    time.sleep(ZONE_BACK_SECONDS - ZONE_OUT_SECONDS - 3.0)
    late = count_zone_runs(fleet) - settled
    fleet.publish(out_of_service={"availability_zones": [], "instances": []})
    messages.append(
        f"zone b: {runs_before} runs before it was taken out, {late} later than 3 s "
        "after that, then brought back"
    )


def count_zone_runs(fleet: Fleet) -> int:
    """Returns the number of runs at the upstreams of zone b."""
    summary = fleet.summarise_upstreams()
    return sum(
        summary[upstream["name"]]["runs"]
        for service in fleet.configuration["services"]
        for upstream in service["upstreams"]
        if upstream["availability_zone"] == "b"
    )


def print_summary(fleet: Fleet, summary: LoadSummary, messages: list[str]) -> None:
    """Prints what each organisation got and what each upstream did."""
    console = Console(width=110)
    table = Table(title="Organisations")
    for column in ("organisation", "rate", "burst", "calls", "answered", "refused"):
        table.add_column(column)
    table.add_column("p50 ms", justify="right")
    table.add_column("p99 ms", justify="right")
    for name, (rate, burst, _) in ORGANISATIONS.items():
        own = summary.of_organisation(name)
        reasons = ", ".join(
            f"{reason} {count}" for reason, count in sorted(own.count_reasons().items())
        )
        table.add_row(
            name,
            f"{rate:g}/s",
            str(burst),
            str(own.calls),
            str(own.answered),
            reasons or "-",
            f"{own.quantile_ms(0.5):.1f}",
            f"{own.quantile_ms(0.99):.1f}",
        )
    console.print(table)
    state = fleet.read_state(next(iter(fleet.instances)))
    states = {upstream["name"]: upstream for upstream in state["upstreams"]}
    table = Table(title="Upstreams")
    for column in ("upstream", "zone", "calls", "state", "probes", "cold overloads"):
        table.add_column(column)
    for name, counters in fleet.summarise_upstreams().items():
        table.add_row(
            name,
            states[name]["availability_zone"],
            str(counters["runs"]),
            states[name]["state"],
            str(counters["probes"]),
            str(counters["cold_overloads"]),
        )
    console.print(table)
    for message in messages:
        console.print(message)


def main() -> int:
    """Runs the demonstration and returns the exit status."""
    stop_on_exit_signal()
    keys: dict[str, str] = {}
    messages: list[str] = []
    with Fleet(seed=SEED) as fleet:
        fleet.configuration = build_configuration(fleet, keys)
        for name, zone in (("entry-1", "a"), ("entry-2", "a"), ("entry-3", "c")):
            fleet.add_instance(name, zone)
        fleet.publish()
        fleet.publish_instances()
        for name in fleet.instances:
            fleet.start_instance(name)
        fleet.wait_until_ready()
        print("three entry instances are ready; warming the upstreams up")
        streams = build_streams(fleet, keys)
        asyncio.run(run_load(streams, WARM_UP_SECONDS, SEED))
        print(f"calling for {LOAD_SECONDS:g} s; zone b goes out and comes back")
        mover = threading.Thread(target=move_zone, args=(fleet, messages))
        mover.start()
        summary = asyncio.run(run_load(streams, LOAD_SECONDS, SEED + 1))
        mover.join()
        print_summary(fleet, summary, messages)
        statuses = [fleet.stop(name) for name in list(fleet.instances)]
        print(f"entry instances stopped with exit statuses {statuses}")
    return 0 if not any(statuses) else 1


if __name__ == "__main__":
    sys.exit(main())
