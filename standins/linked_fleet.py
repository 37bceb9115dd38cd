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

    #: Port of each link, by its name ``INSTANCE:UPSTREAM``.
    links: dict[str, int] = field(init=False, default_factory=dict)

    def start(self) -> None:
        """Starts everything, the proxy first."""
        control = self.ports[PROXY] = self._allocator.allocate()
        self.start_process(PROXY, "standins.fault_proxy", str(control))
        self.wait_for_port(control, START_SECONDS)
        self.add_links()
        super().start()

    def add_links(self) -> None:
        """Adds the links of each instance to each upstream."""
        for entry in self.entry_names:
            for upstream in self.upstream_names:
                self.add_link(f"{entry}:{upstream}", upstream)

    def add_link(self, name: str, target: str) -> None:
        """Adds a link to a process."""
        port = self.links[name] = self._allocator.allocate()
        fields = {"name": name, "listen": port, "target": self.ports[target]}
        self._control("/control/links", fields)

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
            self.set_links(f"{entry}:*", **faults)

    def set_links(self, name: str, **faults: Any) -> None:  # noqa: ANN401
        """Sets the faults of one link, or of those with a prefix before ``*``."""
        fields = vars(LinkFaults(**faults))
        self._control(f"/control/links/{name}/faults", fields)

    def heal(self) -> None:
        """Ends all faults of links."""
        self.set_links("*")

    def reset_links(self, entries: Iterable[str]) -> None:
        """Resets the open connections of some instances to upstreams."""
        for entry in entries:
            self._control(f"/control/links/{entry}:*/reset", {})

    def _control(self, path: str, fields: dict[str, Any]) -> None:
        url = f"http://127.0.0.1:{self.ports[PROXY]}{path}"
        self.client.post(url, json=fields).raise_for_status()
