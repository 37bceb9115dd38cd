"""Links of the fault-injecting proxy between the processes of a fleet."""

from typing import Any

from standins.fault_proxy import LinkFaults
from standins.fleet import Fleet


class FaultLinks:
    """One proxy process of a fleet with its links."""

    def __init__(self, fleet: Fleet, name: str = "fault-proxy") -> None:
        self._fleet = fleet
        self._url = f"http://127.0.0.1:{(port := fleet.ports.allocate())}/control/links"
        fleet.start_process(name, "standins.fault_proxy", str(port))
        fleet.wait_for_port(port)

    def add(self, name: str, target_port: int) -> int:
        """Adds a link to a loopback port and returns the port that it listens on."""
        port = self._fleet.ports.allocate()
        link = {"name": name, "listen": port, "target": target_port}
        self._post("", link)
        return port

    def set_faults(self, name: str, **faults: Any) -> None:  # noqa: ANN401
        """Changes fields of :class:`LinkFaults` of one link, or of ``PREFIX*``."""
        self._post(f"/{name}/faults", faults)

    def reset(self, name: str) -> None:
        """Resets the open connections of one link, or of ``PREFIX*``."""
        self._post(f"/{name}/reset", {})

    def heal(self, name: str = "*") -> None:
        """Ends all faults; connections that a half-open fault caught stay silent."""
        faults = LinkFaults()
        self.set_faults(name, **vars(faults))

    def _post(self, path: str, fields: dict[str, Any]) -> None:
        response = self._fleet.client.post(self._url + path, json=fields)
        response.raise_for_status()
