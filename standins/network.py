"""The network of a fleet, led through one fault-injecting proxy.

Every entry instance reaches the configuration service and its peers through links of
its own, so that a test can cut, silence or freeze each of them. The instance with the
lower name dials, so one link serves each pair of peers.
"""

from collections.abc import Iterable
from typing import Any

from standins.fleet import Fleet

PROCESS_NAME = "fault-proxy"


class FaultyNetwork:
    """Links between the entry instances of a fleet and to its configuration service."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._control_port = fleet.ports.allocate()
        #: Listening port of each link.
        self._ports: dict[str, int] = {}

    def start(self) -> None:
        """Starts the proxy process, without links."""
        self._fleet.start_process(
            PROCESS_NAME, "standins.fault_proxy", str(self._control_port)
        )
        self._fleet.wait_for_port(self._control_port)

    def add_link(self, name: str, target: int) -> int:
        """Adds a link to a loopback port and returns the port that it listens on."""
        port = self._fleet.ports.allocate()
        self._post("/control/links", {"name": name, "listen": port, "target": target})
        self._ports[name] = port
        return port

    def connect_instances(self) -> None:
        """Adds the missing links of all entry instances of the fleet.

        Must be called before an instance is started, because its settings name its
        link to the configuration service.
        """
        names = sorted(self._fleet.instances)
        for name in names:
            link = platform_link(name)
            if link not in self._ports:
                port = self.add_link(link, self._fleet.configuration_port)
                self._fleet.configuration_ports[name] = port
            for other in names:
                if name < other and peer_link(name, other) not in self._ports:
                    target = self._fleet.instances[other].peer_port
                    self.add_link(peer_link(name, other), target)

    def publish_instances(self, leaving: Iterable[str] = ()) -> None:
        """Publishes to each reader a list whose peer ports lead through the links."""
        gone = tuple(leaving)
        names = sorted(self._fleet.instances)
        for reader in names:
            ports = {
                other: self._ports[peer_link(reader, other)]
                for other in names
                if reader < other
            }
            self._fleet.publish_instances(gone, reader, **ports)

    def set_faults(
        self,
        link: str,
        **faults: Any,  # noqa: ANN401
    ) -> None:
        """Changes faults of a link, or of all whose name begins with ``PREFIX*``."""
        self._post(f"/control/links/{link}/faults", faults)

    def split(self, one: Iterable[str], other: Iterable[str], silent: bool) -> None:
        """Silences the links between two groups of instances, or heals them."""
        others = tuple(other)
        for name in one:
            for peer in others:
                self.set_faults(peer_link(name, peer), silent=silent)

    def _post(self, path: str, fields: dict[str, Any]) -> None:
        self._fleet.client.post(
            f"http://127.0.0.1:{self._control_port}{path}", json=fields
        ).raise_for_status()


def platform_link(instance: str) -> str:
    """Returns the name of an instance's link to the configuration service."""
    return f"platform.{instance}"


def peer_link(one: str, other: str) -> str:
    """Returns the name of the link between two instances."""
    lower, higher = sorted((one, other))
    return f"peer.{lower}.{higher}"
