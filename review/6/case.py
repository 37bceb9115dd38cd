"""Two processes are killed and start again while targets leave; a third one is slow."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    Entry,
    Record,
    Store,
    Target,
    call,
    make_configuration,
    run_script,
)

INSTANCES = 7

#: Targets that stay, and those that leave in each round (scale_in, share 0.2). They
#: never report draining, as some targets do: their entries are removed.
STAYING = 16
LEAVING = 4
PAUSE_SECONDS = 0.1

#: The slow machine (node_slow: share 0.15, x 5.5, for 5.5 s) runs for the first of
#: these times, then stands still for the second one.
SLOW_RUN_SECONDS = 0.001
SLOW_STOP_SECONDS = 0.004
SLOW_SECONDS = 5.5

#: They go on serving for this long after their entry was removed ("at times many
#: seconds", PROTOCOL.md), then they end.
SERVING_ON_SECONDS = 7.0

#: Rounds; the script ends with the first one that breaks the rule.
ROUNDS = 9

#: Requests to each machine of a round, once it is in touch again.
REQUESTS = 60


class Play:
    def __init__(self, record: Record, directory: Path) -> None:
        self.record = record
        self.store = Store()
        zones = ("east", "west", "north")
        self.entries = [
            Entry(f"entry-{n}", zones[n % len(zones)], directory)
            for n in range(INSTANCES)
        ]
        #: The first one turns slow, the others are killed at the same moment
        #: (herd_kill: share 0.55 at most).
        self.seeds = self.entries[:3]
        self.late: list[str] = []
        self.answers: dict[int, int] = {}

    async def run(self, trouble: bool) -> int:
        await self.store.start()
        self.store.write("op/config", make_configuration(1))
        for n in range(STAYING):
            await Target(f"i-{n:04d}", self.store, self.record).start()
        try:
            for entry in self.entries:
                await entry.start(self.store, self.seeds, first_start=True)
            for entry in self.entries:
                await entry.wait_until_ready()
            for number in range(ROUNDS):
                await self.play_round(number, trouble)
                if self.late:
                    break
        finally:
            for entry in self.entries:
                if entry.process is not None and entry.process.returncode is None:
                    await entry.kill()
        self.record.write(f"answers by status, 0 for none: {self.answers}")
        for line in self.late:
            self.record.write(line)
        self.record.write("DRAIN broken" if self.late else "DRAIN held")
        return 1 if self.late else 0

    async def play_round(self, number: int, trouble: bool) -> None:
        self.record.write(f"round {number}")
        leaving = [
            Target(f"i-{number}{n:03d}x", self.store, self.record, work_seconds=0.15)
            for n in range(LEAVING)
        ]
        for target in leaving:
            await target.start()
        await asyncio.sleep(1.5)
        slow, *restarted = self.seeds
        slowness = None
        if trouble:
            for entry in restarted:
                self.record.write(f"SIGKILL to {entry.name}")
                entry.send_signal(signal.SIGKILL)
            for entry in restarted:
                await entry.wait()
            slowness = asyncio.create_task(self.slow_down(slow))
            for entry in restarted:
                await entry.start(self.store, self.seeds, first_start=False)
                self.record.write(f"{entry.name} starts")
        removed: dict[str, float] = {}
        for target in leaving:
            revision = target.withdraw()
            removed[target.name] = self.record.now()
            self.record.write(
                f"the store confirms: servers/{target.name} removed at {revision}"
            )
            await asyncio.sleep(PAUSE_SECONDS)
        for entry in restarted:
            await entry.wait_until_ready()
        if slowness is not None:
            slowness.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await slowness
        ready_at = time.monotonic()
        last_start = max(entry.started_at_seconds for entry in restarted)
        in_touch_at = max(
            last_start + CONTACT_SECONDS + 0.5,
            ready_at + 0.5,
            time.monotonic() + DRAIN_SECONDS + 0.5,
        )
        await asyncio.sleep(in_touch_at - time.monotonic())
        before = {target.name: len(target.runs) for target in leaving}
        end_at = self.record.now()
        ends = [
            asyncio.create_task(
                self.end(target, removed[target.name] + SERVING_ON_SECONDS - end_at)
            )
            for target in leaving
        ]
        self.record.write("all machines are in touch: requests are sent")
        calls = []
        for n in range(REQUESTS):
            for entry in restarted:
                calls.append(asyncio.create_task(self.send(entry, number, n)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)
        for target in leaving:
            for at, attempt, _, _ in target.runs[before[target.name] :]:
                after = at - removed[target.name]
                if after > DRAIN_SECONDS:
                    self.late.append(
                        f"{attempt} reached {target.name} {after:.2f} s after its"
                        f" removal was confirmed; allowed: {DRAIN_SECONDS:g} s"
                    )
        for task in ends:
            task.cancel()
        await asyncio.gather(*ends, return_exceptions=True)
        for target in leaving:
            target.stop()

    async def slow_down(self, entry: Entry) -> None:
        """Lets a process run for a part of the time only."""
        self.record.write(f"{entry.name} turns slow")
        end = time.monotonic() + SLOW_SECONDS
        try:
            while time.monotonic() < end:
                entry.send_signal(signal.SIGSTOP)
                await asyncio.sleep(SLOW_STOP_SECONDS)
                entry.send_signal(signal.SIGCONT)
                await asyncio.sleep(SLOW_RUN_SECONDS)
        finally:
            entry.send_signal(signal.SIGCONT)
            self.record.write(f"{entry.name} is as fast as before")

    async def end(self, target: Target, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds))
        self.record.write(f"target {target.name} ends")
        target.stop()

    async def send(self, entry: Entry, number: int, n: int) -> None:
        status, _ = await call(
            self.record, entry, f"/trade/{number}/{n}", method="POST", body=b"x"
        )
        self.answers[status] = self.answers.get(status, 0) + 1


async def play(record: Record, directory: Path, trouble: bool) -> int:
    return await Play(record, directory).run(trouble)


if __name__ == "__main__":
    sys.exit(run_script(Path(__file__).parent, play))
