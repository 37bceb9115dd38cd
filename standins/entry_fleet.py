"""Entry instances with a stand-in store and stand-in upstreams, on loopback."""

import functools
import json
import os
import shutil
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from standins.ports import PortAllocator
from standins.processes import ProcessGroup

HOST = "club.example"
SERVICE = "reads"

#: Time in which the processes of a fleet are there on a busy machine.
START_SECONDS = 30.0

#: Time within which an instance says whether it is ready.
READY_SECONDS = 2.0

BOUNDS = {
    "quota_window": "5s",
    "quota_excess_ratio": 0.25,
    "quota_slack_requests": 20,
    "retry_ratio": 0.2,
    "retry_slack_requests": 58,
    "grace": "6s",
}

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1048576,
    "header_timeout": "1000ms",
    "idle_timeout": "15000ms",
}


def make_route(name: str, kind: str, **fields: object) -> dict[str, Any]:
    """Returns a route of the configuration, below the path of its name."""
    route = {
        "name": name,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": "1500ms",
        "slo": "400ms",
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
    }
    return {**route, **fields}


def make_configuration(version: int, **fields: object) -> dict[str, Any]:
    """Returns a configuration with the routes read, trade and open."""
    configuration: dict[str, Any] = {
        "version": f"{version:08x}",
        "services": [{"name": SERVICE, "health_path": "/healthz", "warmup_per_s": 11}],
        "limits": LIMITS,
        "tenants": [
            {
                "name": "cuka",
                "api_keys": ["cuka-key"],
                "rate_per_s": 1000,
                "burst": 1000,
            },
            {"name": "dune", "api_keys": ["dune-key"], "rate_per_s": 2, "burst": 4},
        ],
        "virtual_hosts": [
            {
                "host": HOST,
                "paths": [
                    make_route("read", "idempotent"),
                    make_route("slow", "idempotent", timeout="5000ms", slo="2000ms"),
                    make_route("filing", "non_idempotent", timeout="9000ms"),
                    make_route("trade", "non_idempotent"),
                    make_route("open", "idempotent", public=True),
                ],
            }
        ],
    }
    return {**configuration, **fields}


@dataclass
class EntryFleet(ProcessGroup):
    """The processes, their addresses and what is published."""

    entries: int = 2
    upstreams: int = 3
    grace_seconds: float = 8.0
    #: Settings of the instances besides those that each of them needs.
    further_settings: dict[str, Any] = field(default_factory=dict)
    ports: dict[str, int] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="egrethall-entry-"))
        self.client = httpx.Client(timeout=10.0)
        self._allocator = PortAllocator()
        self.entry_names = [f"entry-{n}" for n in range(self.entries)]
        self.upstream_names = [f"u-{n}" for n in range(self.upstreams)]
        names = [f"store-{name}" for name in self.entry_names] + self.upstream_names
        for name in self.entry_names:
            names += [name, f"ready-{name}", f"peer-{name}", f"metrics-{name}"]
        self.ports = {name: self._allocator.allocate() for name in names}

    def start(self) -> None:
        """Starts everything and publishes configuration and upstreams."""
        store_ports = [str(self.ports[f"store-{name}"]) for name in self.entry_names]
        self.start_process("store", "standins.record_store", *store_ports)
        for name in self.upstream_names:
            port = str(self.ports[name])
            self.start_process(name, "standins.platform_upstream", name, port)
        for name in ("store-entry-0", *self.upstream_names):
            self.wait_for_port(self.ports[name], START_SECONDS)
        self.publish_all()
        for name in self.entry_names:
            self.start_entry(name, first_start=True)
        for name in self.entry_names:
            self.wait_until(
                functools.partial(self.is_ready, name), START_SECONDS, "ready"
            )

    def find_port(self, name: str) -> int:
        """Returns the port at which instances find the store or an upstream."""
        return self.ports[name]

    def start_entry(self, name: str, first_start: bool = False) -> None:
        """Starts one entry instance."""
        settings = {
            "name": name,
            "availability_zone": "east",
            "caller_address": f"127.0.0.1:{self.ports[name]}",
            "ready_address": f"127.0.0.1:{self.ports[f'ready-{name}']}",
            "peer_address": f"127.0.0.1:{self.ports[f'peer-{name}']}",
            "metrics_address": f"127.0.0.1:{self.ports[f'metrics-{name}']}",
            "seeds": [f"127.0.0.1:{self.ports['peer-entry-0']}"],
            "store_address": f"127.0.0.1:{self.find_port(f'store-{name}')}",
            "first_start": first_start,
            "bounds": BOUNDS,
            **self.further_settings,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.run_entry(name, str(path))

    def run_entry(self, name: str, settings_path: str) -> None:
        """Starts the process of one entry instance."""
        variables = {"EGRETHALL_CONFIG": settings_path}
        self.start_process(name, "egrethall.entry", environment=variables)

    def publish_all(self) -> None:
        """Publishes the first configuration and all upstreams as ready."""
        self.publish("op/config", make_configuration(1))
        for name in self.upstream_names:
            self.publish_upstream(name)

    def publish(self, key: str, value: object) -> None:
        """Writes a record of the store."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.client.put(self._store_url(f"records/{key}"), content=data)

    def withdraw(self, key: str) -> None:
        """Removes a record of the store."""
        self.client.delete(self._store_url(f"records/{key}"))

    def publish_upstream(self, name: str, **fields: object) -> None:
        """Writes the entry of an upstream."""
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.find_port(name)}",
            "zone": "east",
            "version": "v1",
            "concurrency_limit": 6,
            "state": "ready",
            "warmup_left": "0ms",
            "sequence": 1,
            "born": 1,
        }
        self.publish(f"servers/{name}", {**entry, **fields})

    def control_store(self, command: str) -> None:
        """Calls a control command of the store, such as ``restore``."""
        self.client.post(self._store_url(command))

    def set_store_faults(self, entry: str, **faults: object) -> None:
        """Sets what one entry instance meets at the store."""
        url = f"http://127.0.0.1:{self.ports[f'store-{entry}']}/control/faults"
        self.client.post(url, json=faults)

    def set_behaviour(self, name: str, **fields: object) -> None:
        """Sets how an upstream answers, and forgets its runs."""
        url = f"http://127.0.0.1:{self.ports[name]}/control/behaviour"
        self.client.post(url, json=fields)

    def read_runs(self, name: str | None = None) -> list[dict[str, Any]]:
        """Returns the requests that one upstream, or all, began to run."""
        runs: list[dict[str, Any]] = []
        for upstream in [name] if name else self.upstream_names:
            url = f"http://127.0.0.1:{self.ports[upstream]}/control/runs"
            runs += [
                {**run, "upstream": upstream} for run in self.client.get(url).json()
            ]
        return runs

    def read_arrivals(self, name: str) -> list[float]:
        """Returns the Unix times of all requests to an upstream, probes included."""
        url = f"http://127.0.0.1:{self.ports[name]}/control/arrivals"
        arrivals: list[float] = self.client.get(url).json()
        return arrivals

    def read_peak_memory_kilobytes(self, name: str) -> int:
        """Returns the largest resident memory that a process has had."""
        pid = self.processes[name].pid
        status = Path(f"/proc/{pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1])

    def count_descriptors(self, name: str) -> int:
        """Returns the number of descriptors that a process has open."""
        return len(os.listdir(f"/proc/{self.processes[name].pid}/fd"))

    def is_ready(self, name: str) -> bool:
        """Returns whether an entry instance says that it is ready."""
        url = f"http://127.0.0.1:{self.ports[f'ready-{name}']}/ready"
        return self.client.get(url, timeout=READY_SECONDS).status_code == 200

    def reads_store(self, name: str) -> bool:
        """Returns whether an entry instance is calling the store at this moment."""
        url = f"http://127.0.0.1:{self.ports[f'metrics-{name}']}/metrics"
        open_call = "egrethall_record_source_open_call_seconds "
        return any(
            line.startswith(open_call) and float(line.split()[1]) > 0.0
            for line in self.client.get(url).text.splitlines()
        )

    def close(self) -> None:
        """Ends all processes and removes their files."""
        self.stop_all()
        self.client.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def _store_url(self, path: str) -> str:
        return f"http://127.0.0.1:{self.ports['store-entry-0']}/control/{path}"
