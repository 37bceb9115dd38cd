"""After an outage of the store, targets that have left still get requests."""

import asyncio
import signal
import sys
import time

import stand_ins as s

ZONES = ["sfax-a", "sfax-b", "sousse-a"]
INSTANCES = 9
SERVERS = 3
#: The largest dose of an outage of the store, and the calm after it.
OUTAGE_SECONDS = 4.5
CALM_SECONDS = 9.0
#: The bound, and how much longer a target serves that has left.
DRAIN_SECONDS = 2.0
FURTHER_SECONDS = 0.25
#: Targets that leave one after the other, each replaced before.
LEAVING = 8
INTERVAL_SECONDS = 7.0
#: As many as the targets have slots for while one of them is leaving, and some more.
REQUESTS_PER_SECOND = 130
TIMEOUT_MS = 1500
AIM_MS = 500


class Traffic:
    """Consumers that send requests at an even rate, each on a new connection."""

    def __init__(self, deployment: s.Deployment) -> None:
        self._deployment = deployment
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: list[s.Answer] = []

    async def run(self) -> None:
        """Sends requests until cancelled."""
        started_at, count = time.time(), 0
        while True:
            count += 1
            task = asyncio.create_task(self._send(count % INSTANCES))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_at = started_at + count / REQUESTS_PER_SECOND
            await asyncio.sleep(max(0.0, due_at - time.time()))

    async def _send(self, node: int) -> None:
        consumer = s.Consumer(self._deployment.entries[node].ip)
        answer = await consumer.send(
            "POST", "/issue/busy/210", TIMEOUT_MS, body=b"gift"
        )
        consumer.close()
        self.answers.append(answer)
        self._deployment.note(f"node {node} {answer}")


async def leave(d: s.Deployment, name: str) -> float:
    """A target leaves without a report; returns when the store has confirmed it."""
    target = d.targets[name]
    target.silent = True
    target.signal(signal.SIGUSR1)
    await d.store.put(f"servers/{name}", None)
    left_at = time.time()
    d.note(f"the store confirms that {name} has left")
    await asyncio.sleep(DRAIN_SECONDS + FURTHER_SECONDS)
    target.signal(signal.SIGKILL)
    d.note(f"{name} ends")
    return left_at


async def play(d: s.Deployment, trouble: bool) -> int:
    """Plays the case."""
    for n in range(SERVERS):
        await d.start_target(f"i-{n}", n, service="issue-svc", zone=ZONES[n % 3])
    routes = [("/issue/", "non_idempotent", "issue-svc", TIMEOUT_MS, AIM_MS)]
    await d.store.put("op/config", s.make_configuration(5, routes, ["issue-svc"]))
    for n in range(INSTANCES):
        d.start_entry(n, zone=ZONES[n % 3], count=INSTANCES)
    for n in range(INSTANCES):
        await d.wait_until_ready(n)
    tasks = [asyncio.create_task(d.keep_beating())]
    await asyncio.sleep(3)
    if trouble:
        d.note("the store is silent")
        d.store.silent = True
    await asyncio.sleep(OUTAGE_SECONDS)
    d.store.silent = False
    await asyncio.sleep(CALM_SECONDS)
    traffic = Traffic(d)
    tasks.append(asyncio.create_task(traffic.run()))
    leaving: dict[str, asyncio.Task[float]] = {}
    for n in range(LEAVING):
        await asyncio.sleep(INTERVAL_SECONDS - 0.1)
        new = SERVERS + n
        await d.start_target(f"i-{new}", new, service="issue-svc", zone=ZONES[new % 3])
        await asyncio.sleep(0.1)
        leaving[f"i-{n}"] = asyncio.create_task(leave(d, f"i-{n}"))
    await asyncio.sleep(DRAIN_SECONDS + 2)
    for task in tasks:
        task.cancel()
    left_at = {name: await task for name, task in leaving.items()}
    late = []
    for note in d.read_target_logs():
        after = note["t"] - left_at.get(note["target"], note["t"])
        if note["what"] == "run" and after > DRAIN_SECONDS:
            late.append(note["id"])
            d.note(f"{note['target']}: {note['id']} came {after:.3f} s after it left")
    status = {answer.id: answer.status for answer in traffic.answers}
    lost = sum(status.get(attempt, 0) != 200 for attempt in late)
    served = sum(answer.status == 200 for answer in traffic.answers)
    d.say(f"requests: {len(traffic.answers)}, served: {served}")
    d.say(f"run by a target later than {DRAIN_SECONDS:g} s after it left: {len(late)}")
    d.say(f"of these, which must not run twice, without their answer: {lost}")
    if not served:
        raise s.CannotRunError("no request was served")
    return s.BROKEN if late else s.HELD


if __name__ == "__main__":
    sys.exit(s.main(play, __file__))
