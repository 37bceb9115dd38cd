"""Shapes of services, from which a published configuration is built."""

from dataclasses import dataclass
from typing import Any

from standins.upstream import UpstreamOptions


@dataclass(frozen=True)
class ServiceShape:
    """One service of the fleet and its upstreams."""

    name: str
    upstreams: tuple[UpstreamOptions, ...]
    zones: tuple[str, ...]
    deadline_ms: int = 2000
    max_body_bytes: int = 1024 * 1024
    max_queue: int = 200
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    methods: tuple[str, ...] = ("GET", "HEAD", "POST")
    open: bool = False
    cold_rate_per_second: float = 20.0
    cold_burst: int = 1

    def build_configuration(self) -> dict[str, Any]:
        """Returns the service as the published configuration has it."""
        return {
            "name": self.name,
            "deadline_ms": self.deadline_ms,
            "max_body_bytes": self.max_body_bytes,
            "max_queue": self.max_queue,
            "routes": [
                {
                    "path_prefix": f"/{self.name}",
                    "methods": list(self.methods),
                    "idempotent_methods": list(self.idempotent_methods),
                    "open": self.open,
                }
            ],
            "upstreams": [
                {
                    "name": upstream.name,
                    "address": f"127.0.0.1:{upstream.port}",
                    "availability_zone": self.zones[index % len(self.zones)],
                    "slots": upstream.slots,
                    "max_connections": upstream.max_connections,
                    "cold_rate_per_second": self.cold_rate_per_second,
                    "cold_burst": self.cold_burst,
                }
                for index, upstream in enumerate(self.upstreams)
            ],
        }
