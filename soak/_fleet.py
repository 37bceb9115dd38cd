"""The fleet of a soak: every connection to upstreams and the store has a proxy."""

import signal
from dataclasses import dataclass
from typing import Any

import httpx

from standins.linked_fleet import LinkedFleet


@dataclass
class SoakFleet(LinkedFleet):
    """Entry instances behind links that a soak can delay, cut, reset and silence."""

    def add_links(self) -> None:
        """Adds the links to upstreams and to the store."""
        super().add_links()
        for name in self.store_names:
            self.add_link(name, name)

    @property
    def store_names(self) -> list[str]:
        """The store, as each instance sees it; links have the same names."""
        return [f"store-{name}" for name in self.entry_names]

    def find_port(self, name: str) -> int:
        """Returns the proxy's port of what instances connect to."""
        return self.links.get(name, self.ports[name])

    def set_target_links(self, target: str, **faults: Any) -> None:  # noqa: ANN401
        """Sets the faults of all links to an upstream or an instance's store."""
        for name in self.links:
            if name == target or name.endswith(f":{target}"):
                self.set_links(name, **faults)

    def change_upstream(self, name: str, **fields: object) -> None:
        """Sets how an upstream answers and keeps the record of its runs."""
        self.set_behaviour(name, keep_runs=True, **fields)

    def answers_ready(self, name: str) -> bool:
        """Returns whether an instance says within a moment that it is ready."""
        try:
            return self.is_ready(name)
        except httpx.HTTPError:
            return False

    def restart(self, name: str, number: signal.Signals) -> int:
        """Ends an entry instance with a signal, starts it and returns its status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        status = process.wait(self.grace_seconds)
        self.start_entry(name)
        return status
