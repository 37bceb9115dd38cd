"""A group of real processes, started and stopped by id."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import httpx

STOP_SECONDS = 20.0
POLL_SECONDS = 0.05


class FleetError(Exception):
    """The fleet did not reach a state in time, or a process ended early."""


@dataclass
class ProcessGroup:
    """Processes by name, with a directory for their output."""

    grace_seconds: float = 10.0
    directory: Path = field(init=False)
    processes: dict[str, subprocess.Popen[bytes]] = field(
        init=False, default_factory=dict
    )
    client: httpx.Client = field(init=False)

    def start_process(
        self,
        name: str,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Starts ``python -m module`` with its output in a file of the fleet.

        :param environment: variables besides those of this process.
        """
        with (self.directory / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                cwd=self.find_source_directory(name),
                env={**os.environ, **(environment or {})},
            )

    def find_source_directory(self, name: str) -> Path | None:
        """Returns where a process finds its modules; None for the current directory."""
        return None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills one process and waits for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stops one process with SIGTERM and returns its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        return process.wait(self.grace_seconds + STOP_SECONDS)

    def stop_all(self) -> None:
        """Stops every process; one that does not end in time is killed."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 3.0
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def read_log(self, name: str) -> str:
        """Returns what a process has printed."""
        path = self.directory / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def wait_until(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> float:
        """Waits for a state and returns how long it took.

        Raises :class:`FleetError` after ``seconds``.
        """
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            with contextlib.suppress(httpx.HTTPError):
                if condition():
                    return time.monotonic() - start
            time.sleep(POLL_SECONDS)
        raise FleetError(f"not within {seconds} s: {what}")

    def wait_for_port(self, port: int, seconds: float = 10.0) -> None:
        """Waits until something answers HTTP on a loopback port."""

        def answers() -> bool:
            self.client.get(f"http://127.0.0.1:{port}/control/calls")
            return True

        self.wait_until(answers, seconds, f"an answer on port {port}")
