"""Entry instances of two releases, beside stand-ins of the earlier one."""

import functools
import re
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from standins.entry_fleet import HOST, START_SECONDS, make_configuration
from standins.linked_fleet import LinkedFleet
from tools.rolling_upgrade._releases import Release

#: Log line of a request that was answered for another instance.
_FORWARDED = re.compile(r"event=request .*outcome=answered .*forwarded_from=(\S+)")


@dataclass
class UpgradeFleet(LinkedFleet):
    """Runs each instance from the directory of its release."""

    earlier: Release = field(kw_only=True)
    #: Release of each instance that is not of the earlier one.
    releases: dict[str, Release] = field(init=False, default_factory=dict)
    version: int = field(init=False, default=1)
    #: The upstream that is not published now.
    unpublished: str = field(init=False, default="")

    def find_source_directory(self, name: str) -> Path:
        """Returns the directory of the release of a process."""
        return self.find_release(name).directory

    def find_release(self, name: str) -> Release:
        """Returns the release of an instance; stand-ins are of the earlier one."""
        return self.releases.get(name, self.earlier)

    def publish_all(self) -> None:
        """Publishes the first configuration and all upstreams but one."""
        self.unpublished = self.upstream_names[-1]
        self.publish_version()
        for name in self.upstream_names[:-1]:
            self.publish_upstream(name)

    def publish_version(self) -> None:
        """Publishes the next configuration, with a key that only it has."""
        self.version += 1
        tenant = {"name": "cuka", "rate_per_s": 0, "burst": 0}
        keys = ["cuka-key", self._make_key()]
        tenants = [{**tenant, "api_keys": keys}]
        configuration = make_configuration(self.version, tenants=tenants)
        self.publish("op/config", configuration)

    def has_newest_version(self, name: str) -> bool:
        """Returns whether an instance accepts the key of the newest configuration."""
        headers = {
            "host": HOST,
            "x-attempt-id": f"{time.time_ns():016x}",
            "x-deadline-ms": "1000",
            "x-api-key": self._make_key(),
        }
        url = f"http://127.0.0.1:{self.ports[name]}/read/version"
        return self.client.get(url, headers=headers).status_code == 200

    def replace(self, name: str, release: Release) -> int:
        """Stops an instance, starts a release under its name and waits until ready.

        Returns the exit status of the stopped process.
        """
        status = self.stop(name)
        self.releases[name] = release
        self.start_entry(name)
        ready = functools.partial(self.is_ready, name)
        self.wait_until(ready, START_SECONDS, f"{name} ready")
        return status

    def count_forwarded(self) -> Counter[tuple[str, str]]:
        """Returns the answered forwarded requests by releases of sender and recipient.

        The releases are those of now, also for requests before a replacement.
        """
        counts: Counter[tuple[str, str]] = Counter()
        for recipient in self.entry_names:
            for sender in _FORWARDED.findall(self.read_log(recipient)):
                releases = [
                    self.find_release(name).name for name in (sender, recipient)
                ]
                counts[releases[0], releases[1]] += 1
        return counts

    def answers_ready(self, name: str) -> bool:
        """Returns whether an instance says that it is ready."""
        try:
            return self.is_ready(name)
        except httpx.HTTPError:
            return False

    def _make_key(self) -> str:
        return f"key-of-version-{self.version}"
