"""Draws faults and heals them."""

import random
import signal
import time
from collections.abc import Callable

from soak._fleet import SoakFleet
from standins.entry_fleet import make_configuration

#: Bounds of the pause between two faults and of a fault's length (seconds). Several are
#: in force at the same time.
PAUSE_SECONDS = (0.1, 0.6)
FAULT_SECONDS = (0.3, 2.5)

LINK_FAULTS = (
    {"delay_seconds": 0.05},
    {"answer_delay_seconds": 0.3},
    {"reset_requests": True},
    {"half_open": True},
    {"silent": True},
    {"closed": True},
    {"cut_after_bytes": 150},
)

#: What all connections of an instance to upstreams meet while it has no path to them.
PATH_FAULTS = (
    {"silent": True},
    {"closed": True},
    {"refuse": True},
    {"refuse": True, "reset_requests": True},
)

UPSTREAM_MODES = ("shed", "reset", "truncate", "extra", "error", "unsigned", "garbage")

WITHDRAWN_KEY = "extra-key"


class FaultInjector:
    """Draws the faults of one seed; the same seed draws the same ones."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._healing: list[tuple[float, Callable[[], None]]] = []
        self._version = 1
        #: What was done, for the report.
        self.done: list[str] = []
        #: Exit statuses of instances that were asked to stop.
        self.stop_statuses: list[int] = []

    def run(self, seconds: float) -> None:
        """Injects faults for a time and then heals all of them."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._inject()
            time.sleep(self._random.uniform(*PAUSE_SECONDS))
            self._heal(time.monotonic())
        self._heal(float("inf"))

    def _inject(self) -> None:
        kinds = (
            self._harm_link,
            self._harm_link,
            self._harm_upstream,
            self._harm_upstream,
            self._turn_away,
            self._cut_off,
            self._pause,
            self._kill,
            self._stop,
            self._publish,
            self._drain,
        )
        self._random.choice(kinds)()

    def _heal(self, until: float) -> None:
        due = [entry for entry in self._healing if entry[0] <= until]
        self._healing = [entry for entry in self._healing if entry[0] > until]
        for _, heal in due:
            heal()

    def _plan(self, heal: Callable[[], None], text: str) -> None:
        self.done.append(text)
        length = self._random.uniform(*FAULT_SECONDS)
        self._healing.append((time.monotonic() + length, heal))

    def _harm_link(self) -> None:
        fleet = self._fleet
        target = self._random.choice([*fleet.upstream_names, *fleet.store_names])
        faults = self._random.choice(LINK_FAULTS)
        fleet.set_target_links(target, **faults)
        self._plan(
            lambda: fleet.set_target_links(target), f"links to {target} {faults}"
        )

    def _cut_off(self) -> None:
        fleet = self._fleet
        count = self._random.randint(1, len(fleet.entry_names))
        names = self._random.sample(fleet.entry_names, count)
        faults = self._random.choice(PATH_FAULTS)
        fleet.cut_off(names, **faults)
        self._plan(lambda: fleet.cut_off(names), f"cut off {names} {faults}")

    def _harm_upstream(self) -> None:
        name = self._random.choice(self._fleet.upstream_names)
        mode = self._random.choice(UPSTREAM_MODES)
        self._fleet.change_upstream(name, mode=mode)
        self._plan(lambda: self._fleet.change_upstream(name), f"upstream {name} {mode}")

    def _turn_away(self) -> None:
        name = self._random.choice(self._fleet.entry_names)
        self._fleet.set_store_faults(name, status=self._random.choice((429, 503)))
        self._plan(lambda: self._fleet.set_store_faults(name), f"store refuses {name}")

    def _pause(self) -> None:
        name = self._random.choice(self._fleet.entry_names)
        process = self._fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._plan(lambda: process.send_signal(signal.SIGCONT), f"pause {name}")

    def _kill(self) -> None:
        name = self._random.choice(self._fleet.entry_names)
        self._fleet.restart(name, signal.SIGKILL)
        self.done.append(f"kill {name}")

    def _stop(self) -> None:
        name = self._random.choice(self._fleet.entry_names)
        if not self._fleet.answers_ready(name):
            # A process that is starting has no request yet and may just end.
            return
        self.stop_statuses.append(self._fleet.restart(name, signal.SIGTERM))
        self.done.append(f"stop {name}")

    def _publish(self) -> None:
        self._version += 1
        keys = ["cuka-key", WITHDRAWN_KEY] if self._version % 2 else ["cuka-key"]
        tenants = [{"name": "cuka", "api_keys": keys, "rate_per_s": 0, "burst": 0}]
        configuration = make_configuration(self._version, tenants=tenants)
        self._fleet.publish("op/config", configuration)
        self.done.append(f"version {self._version}")

    def _drain(self) -> None:
        name = self._random.choice(self._fleet.upstream_names)
        self._fleet.publish_upstream(name, state="draining")
        self._plan(lambda: self._fleet.publish_upstream(name), f"drain {name}")
