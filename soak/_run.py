"""One seed of the soak."""

import functools
import threading
import time
from dataclasses import dataclass

import httpx

from soak._faults import FaultInjector
from soak._fleet import SoakFleet
from soak._judge import Call, find_violations
from standins.entry_fleet import HOST, START_SECONDS

CALLERS = 6

#: Time limit of each request, as the callers send it.
TIME_LIMIT_MS = 1000

#: Bound on one call; an answer that takes longer is none.
CALL_SECONDS = 4.0

#: Time after the last fault within which every instance serves again: records are read
#: within two seconds and a failed upstream is avoided for at most four.
RECOVERY_SECONDS = 8.0

RECOVERY_CALLS = 10


@dataclass(frozen=True)
class SoakResult:
    """What one seed has shown."""

    seed: int
    calls: list[Call]
    violations: list[str]
    faults: list[str]

    def describe(self) -> str:
        """Returns one key=value line."""
        answered = sum(call.status == 200 for call in self.calls)
        return (
            f"seed={self.seed} requests={len(self.calls)} answered={answered} "
            f"faults={len(self.faults)} violations={len(self.violations)}"
        )


class CallerThreads:
    """Callers that keep their connections until they are closed."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._seed = seed
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,)) for n in range(CALLERS)
        ]

    def start(self) -> None:
        """Starts to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the calls and waits for the last answers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        entry = self._fleet.entry_names[number % len(self._fleet.entry_names)]
        kind = ("read", "trade")[number % 2]
        with httpx.Client(timeout=CALL_SECONDS) as client:
            for count in range(1_000_000):
                if self._ended.is_set():
                    return
                attempt = f"{self._seed:x}-{number}-{count}"
                call = make_call(self._fleet, client, entry, kind, attempt)
                self.calls.append(call)
                if call.status == 0:
                    time.sleep(0.05)


def make_call(
    fleet: SoakFleet, client: httpx.Client, entry: str, kind: str, attempt: str
) -> Call:
    """Makes one request with a path of its own."""
    path = f"/{kind}/{attempt}"
    headers = {
        "host": HOST,
        "x-attempt-id": attempt,
        "x-deadline-ms": str(TIME_LIMIT_MS),
        "x-api-key": "cuka-key",
    }
    url = f"http://127.0.0.1:{fleet.ports[entry]}{path}"
    method = "POST" if kind == "trade" else "GET"
    try:
        answer = client.request(method, url, headers=headers)
    except httpx.HTTPError as error:
        return Call(attempt, path, 0, type(error).__name__)
    return Call(attempt, path, answer.status_code, answer.text)


def run_seed(seed: int, seconds: float) -> SoakResult:
    """Runs the fleet under the faults of one seed and judges it."""
    fleet = SoakFleet(entries=3, upstreams=4)
    try:
        fleet.start()
        callers = CallerThreads(fleet, seed)
        injector = FaultInjector(fleet, seed)
        callers.start()
        try:
            injector.run(seconds)
        finally:
            callers.stop()
        violations = _check_recovery(fleet, seed, callers.calls)
        violations += [
            f"a stopped instance ended with status {status}"
            for status in injector.stop_statuses
            if status != 0
        ]
        violations += find_violations(callers.calls, fleet.read_runs())
        return SoakResult(seed, callers.calls, violations, injector.done)
    finally:
        fleet.close()


def _check_recovery(fleet: SoakFleet, seed: int, calls: list[Call]) -> list[str]:
    """Returns what does not work in time after the last fault."""
    violations = []
    for entry in fleet.entry_names:
        # A process that was just started may take seconds on a busy machine.
        fleet.wait_until(functools.partial(fleet.is_ready, entry), START_SECONDS, entry)
        end = time.monotonic() + RECOVERY_SECONDS
        served, count = 0, 0
        while served < RECOVERY_CALLS and time.monotonic() < end:
            attempt = f"{seed:x}-{entry}-{count}"
            count += 1
            with httpx.Client(timeout=CALL_SECONDS) as client:
                call = make_call(fleet, client, entry, "read", attempt)
            calls.append(call)
            served = served + 1 if call.status == 200 else 0
            if call.status != 200:
                time.sleep(0.1)
        if served < RECOVERY_CALLS:
            violations.append(f"{entry} does not serve again: {calls[-1]}")
    return violations
