"""Entry instances each of which can be cut off from the upstreams."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from standins.entry_fleet import START_SECONDS, EntryFleet
from standins.fault_proxy import LinkFaults
from standins.linked_entry import LINKS_VARIABLE

PROXY = "fault-proxy"


@dataclass
class LinkedFleet(EntryFleet):
    """Each instance reaches each upstream through a link of its own."""

    #: Port of each link, by its name ``INSTANCE/UPSTREAM``.
    links: dict[str, int] = field(init=False, default_factory=dict)

    def start(self) -> None:
        """Starts everything, the proxy first."""
        control = self.ports[PROXY] = self._allocator.allocate()
        self.start_process(PROXY, "standins.fault_proxy", str(control))
        self.wait_for_port(control, START_SECONDS)
        for entry in self.entry_names:
            for upstream in self.upstream_names:
                name = f"{entry}:{upstream}"
                port = self.links[name] = self._allocator.allocate()
                fields = {"name": name, "listen": port, "target": self.ports[upstream]}
                self._control("/control/links", fields)
        super().start()

    def run_entry(self, name: str, settings_path: str) -> None:
        """Starts the process of one entry instance."""
        links = {
            f"127.0.0.1:{self.ports[upstream]}": (
                f"127.0.0.1:{self.links[f'{name}:{upstream}']}"
            )
            for upstream in self.upstream_names
        }
        variables = {
            "EGRETHALL_CONFIG": settings_path,
            LINKS_VARIABLE: json.dumps(links),
        }
        self.start_process(name, "standins.linked_entry", environment=variables)

    def cut_off(self, entries: Iterable[str], **faults: Any) -> None:  # noqa: ANN401
        """Sets the faults of all links of some instances to upstreams."""
        for entry in entries:
            self._control(f"/control/links/{entry}:*/faults", faults)

    def heal(self) -> None:
        """Ends all faults of links."""
        self._control("/control/links/*/faults", vars(LinkFaults()))

    def reset_links(self, entries: Iterable[str]) -> None:
        """Resets the open connections of some instances to upstreams."""
        for entry in entries:
            self._control(f"/control/links/{entry}:*/reset", {})

    def _control(self, path: str, fields: dict[str, Any]) -> None:
        url = f"http://127.0.0.1:{self.ports[PROXY]}{path}"
        self.client.post(url, json=fields).raise_for_status()
