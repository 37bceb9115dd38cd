"""A fleet of real processes on loopback, for the demonstration, tests and measurements.

The fleet starts the stand-ins and the entry instances, publishes configurations and
stops everything by process id. Entry instances are real daemons; the naive balancer
can take their place.
"""

import json
import os
import shutil
import signal
import tempfile
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpx

from standins.ports import PortAllocator
from standins.processes import ProcessGroup
from standins.upstream import UpstreamOptions

SHARED_SECRET = "loopback-fleet-shared-secret-0123456789abcdef"

#: Peer address of listed upstreams, which speak no peer protocol.
UNUSED_PEER_ADDRESS = "127.0.0.1:9"


#: Upstreams that one stand-in process serves.
UPSTREAMS_PER_PROCESS = 6


@dataclass(frozen=True)
class EntryInstance:
    """The addresses of one entry instance."""

    name: str
    availability_zone: str
    caller_port: int
    peer_port: int
    operator_port: int

    @property
    def url(self) -> str:
        """The base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def operator_url(self) -> str:
        """The base URL for operators."""
        return f"http://127.0.0.1:{self.operator_port}"


@dataclass
class Fleet(ProcessGroup):
    """Processes, files and ports of one fleet; a context manager."""

    seed: int = 1
    ready_lag_seconds: float = 0.2
    ports: PortAllocator = field(default_factory=PortAllocator)
    instances: dict[str, EntryInstance] = field(default_factory=dict)
    configuration: dict[str, Any] = field(default_factory=dict)
    #: Ports through which readers reach the configuration service, if not directly.
    configuration_ports: dict[str, int] = field(default_factory=dict)
    #: Names of upstreams that the instance list has as leaving, not as live.
    leaving_upstreams: set[str] = field(default_factory=set)
    #: Control port of the process that serves an upstream.
    upstream_controls: dict[str, int] = field(default_factory=dict)

    def __enter__(self) -> Self:
        self.directory = Path(tempfile.mkdtemp(prefix="egrethall-"))
        self.client = httpx.Client(timeout=10.0, trust_env=False)
        self.configuration_port = self.ports.allocate()
        self.start_process(
            "configuration-service",
            "standins.configuration_service",
            str(self.configuration_port),
        )
        self.wait_for_port(self.configuration_port)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop_all()
        self.client.close()
        if kind is None:
            shutil.rmtree(self.directory, ignore_errors=True)

    # Configuration and instance list

    def publish(self, reader: str = "", **changes: Any) -> int:  # noqa: ANN401
        """Publishes the next revision with some parts replaced; returns its number."""
        self.configuration = {
            **self.configuration,
            **changes,
            "revision": self.configuration.get("revision", 0) + 1,
        }
        self.put_value("configuration", self.configuration, reader)
        return int(self.configuration["revision"])

    def put_value(self, name: str, value: dict[str, Any], reader: str = "") -> None:
        """Publishes a value to all readers or to one."""
        self.client.put(
            f"{self.configuration_url()}/control/values/{name}",
            params={"reader": reader} if reader else {},
            headers={"x-revision": str(value["revision"])},
            content=json.dumps(value).encode(),
        ).raise_for_status()

    def set_service_faults(self, reader: str = "", **faults: Any) -> None:  # noqa: ANN401
        """Switches faults of the configuration service, for all readers or one."""
        self.client.post(
            f"{self.configuration_url()}/control/faults",
            json={"reader": reader, **faults},
        ).raise_for_status()

    def configuration_url(self, reader: str = "") -> str:
        """Returns the base URL of the configuration service for one reader."""
        port = self.configuration_ports.get(reader, self.configuration_port)
        base = f"http://127.0.0.1:{port}"
        return f"{base}/readers/{reader}" if reader else base

    def publish_instances(
        self, leaving: Iterable[str] = (), reader: str = "", **peer_ports: int
    ) -> None:
        """Publishes the instance list; ``peer_ports`` replace ports of instances."""
        gone = set(leaving)
        self.instance_revision = getattr(self, "instance_revision", 0) + 1
        listing = {
            "revision": self.instance_revision,
            "instances": [
                {
                    "name": instance.name,
                    "peer_address": "127.0.0.1:"
                    f"{peer_ports.get(instance.name, instance.peer_port)}",
                    "availability_zone": instance.availability_zone,
                    "state": "leaving" if instance.name in gone else "live",
                }
                for instance in self.instances.values()
            ]
            + [
                {
                    "name": name,
                    "peer_address": UNUSED_PEER_ADDRESS,
                    "availability_zone": "unknown",
                    "state": "leaving" if name in self.leaving_upstreams else "live",
                }
                for name in sorted(self.upstream_controls)
            ],
        }
        self.put_value("instances", listing, reader)

    # Upstreams

    def start_upstreams(self, upstreams: Iterable[UpstreamOptions]) -> None:
        """Starts stand-in upstreams, several in each process."""
        waiting = list(upstreams)
        while waiting:
            group = waiting[:UPSTREAMS_PER_PROCESS]
            waiting = waiting[UPSTREAMS_PER_PROCESS:]
            name = f"upstreams-{len(self.upstream_controls)}"
            port = self.ports.allocate()
            options = self.directory / f"{name}.json"
            options.write_text(json.dumps([asdict(item) for item in group]))
            self.start_process(
                name,
                "standins.upstream",
                str(options),
                str(port),
                f"--seed={self.seed}",
            )
            self.upstream_controls.update({item.name: port for item in group})
            self.wait_for_port(port)

    def build_upstreams(
        self,
        service: str,
        count: int,
        **options: Any,  # noqa: ANN401
    ) -> tuple[UpstreamOptions, ...]:
        """Returns options of ``count`` upstreams with ports of their own."""
        return tuple(
            UpstreamOptions(
                name=f"{service}-{index}", port=self.ports.allocate(), **options
            )
            for index in range(count)
        )

    def control_upstream(
        self,
        name: str,
        action: str,
        **fields: Any,  # noqa: ANN401
    ) -> None:
        """Posts to the control side of one upstream, for example ``turn-cold``."""
        self.client.post(
            f"http://127.0.0.1:{self.upstream_controls[name]}"
            f"/control/upstreams/{name}/{action}",
            json=fields,
        ).raise_for_status()

    def list_records(self, name: str) -> list[dict[str, Any]]:
        """Returns the runs of one upstream."""
        response = self.client.get(
            f"http://127.0.0.1:{self.upstream_controls[name]}"
            f"/control/upstreams/{name}/records"
        )
        return list(response.json())

    def list_probes(self, name: str) -> list[float]:
        """Returns the wall-clock times of the probes of one upstream."""
        response = self.client.get(
            f"http://127.0.0.1:{self.upstream_controls[name]}"
            f"/control/upstreams/{name}/probes"
        )
        return list(response.json())

    def list_all_records(self) -> list[dict[str, Any]]:
        """Returns the runs of all upstreams, each with its ``upstream``."""
        return [
            {**record, "upstream": name}
            for name in self.upstream_controls
            for record in self.list_records(name)
        ]

    def summarise_upstreams(self) -> dict[str, dict[str, Any]]:
        """Returns counters and load of every upstream."""
        summary: dict[str, dict[str, Any]] = {}
        for port in sorted(set(self.upstream_controls.values())):
            response = self.client.get(f"http://127.0.0.1:{port}/control/summary")
            summary.update(response.json())
        return summary

    # Entry instances

    def add_instance(self, name: str, availability_zone: str) -> EntryInstance:
        """Adds an entry instance, not started yet."""
        instance = EntryInstance(
            name,
            availability_zone,
            self.ports.allocate(),
            self.ports.allocate(),
            self.ports.allocate(),
        )
        self.instances[name] = instance
        return instance

    def write_settings(self, instance: EntryInstance) -> Path:
        """Writes the settings file of an entry instance."""
        path = self.directory / f"{instance.name}.json"
        settings = {
            "name": instance.name,
            "availability_zone": instance.availability_zone,
            "caller_address": f"127.0.0.1:{instance.caller_port}",
            "peer_address": f"127.0.0.1:{instance.peer_port}",
            "peer_secret": SHARED_SECRET,
            "operator_address": f"127.0.0.1:{instance.operator_port}",
            "configuration_service_url": self.configuration_url(instance.name),
            "ready_lag_seconds": self.ready_lag_seconds,
            "grace_seconds": self.grace_seconds,
            "access_log_sample_ratio": 0.0,
        }
        path.write_text(json.dumps(settings))
        return path

    def start_instance(self, name: str, module: str = "egrethall") -> None:
        """Starts the daemon of an entry instance, or the naive balancer."""
        path = self.write_settings(self.instances[name])
        if module == "egrethall":
            self.start_process(name, module, "serve", "--settings", str(path))
            return
        self.start_process(name, module, str(path))

    def is_ready(self, name: str) -> bool:
        """Returns whether an entry instance says that it is ready."""
        url = f"{self.instances[name].operator_url}/readyz"
        return self.client.get(url).status_code == 200

    def wait_until_ready(self, seconds: float = 15.0) -> None:
        """Waits until every started entry instance is ready."""
        for name in self.instances:
            if name in self.processes:
                self.wait_until(
                    lambda name=name: self.is_ready(name),  # type: ignore[misc]
                    seconds,
                    f"{name} is ready; log: {self.read_log(name)[-2000:]}",
                )

    def read_state(self, name: str) -> dict[str, Any]:
        """Returns the state that an entry instance shows to operators."""
        response = self.client.get(f"{self.instances[name].operator_url}/state")
        return dict(response.json())


def stop_on_exit_signal() -> None:
    """Makes SIGTERM end the program through its context managers."""
    signal.signal(signal.SIGTERM, lambda *_: os.kill(os.getpid(), signal.SIGINT))
