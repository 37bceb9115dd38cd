"""The callers of a scenario and the platform's balancer before the entry instances.

A process of its own, so that neither the harness nor the processes under test delay
the load. It reads the planned calls from a JSON file, prints the wall-clock time of
the start, sends each call at its intended time, and writes the outcomes to a file.
"""

import asyncio
import json
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import aiohttp

#: Longest wait of a caller for its answer.
CALL_TIMEOUT_SECONDS = 10.0

#: Time between two looks at an entry instance, and the longest wait for its answer.
CHECK_SECONDS = 0.5

#: Time between reading the plan and the first intended send.
LEAD_SECONDS = 0.3

POST_BODY = b'{"amount": 25, "currency": "EUR", "donor": "4711"}'


@dataclass(frozen=True)
class SentCall:
    """What a caller saw of one call."""

    #: Status, or 0 if the connection broke or nothing came in time.
    status: int
    #: Value of ``x-refusal-reason``, empty for answers of upstreams.
    reason: str
    #: Value of ``x-request-run`` of refusals.
    run: str
    #: Time from the intended send to the end of the answer.
    latency_seconds: float
    #: Time from the intended send to the real one.
    lag_seconds: float
    #: A complete answer to another request, or of the wrong length.
    wrong: bool
    #: An answer that broke off after its status.
    cut: bool


class PlatformBalancer:
    """Sends callers of an entry instance that does not answer checks to another."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self._entries = entries
        self._usable = [True] * len(entries)

    def choose_url(self, entry: int) -> str:
        """Returns the base URL of ``entry``, or of the next usable one."""
        count = len(self._entries)
        for offset in range(count):
            if self._usable[(entry + offset) % count]:
                return str(self._entries[(entry + offset) % count]["url"])
        return str(self._entries[entry]["url"])

    async def check(self, entry: int) -> None:
        """Looks at one entry instance again and again."""
        target = self._entries[entry]
        timeout = aiohttp.ClientTimeout(total=CHECK_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                began = time.monotonic()
                self._usable[entry] = await self._answers(session, target)
                rest = began + CHECK_SECONDS - time.monotonic()
                await asyncio.sleep(max(0.0, rest))

    async def _answers(
        self, session: aiohttp.ClientSession, target: dict[str, Any]
    ) -> bool:
        try:
            if target["readiness_url"]:
                async with session.get(target["readiness_url"]) as response:
                    return response.status == 200
            async with asyncio.timeout(CHECK_SECONDS):
                host, _, port = target["url"].removeprefix("http://").partition(":")
                _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return True


class Callers:
    """All callers of one load."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self._keys = plan["keys"]
        self._calls = plan["calls"]
        self._balancer = PlatformBalancer(plan["entries"])
        self._outcomes: list[SentCall | None] = [None] * len(self._calls)

    async def run(self) -> list[SentCall | None]:
        """Sends every call at its time and returns the outcomes."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        ) as session:
            # aiohttp repeats idempotent calls by itself, which would hide lost ones.
            session._retry_connection = False
            checks = [
                asyncio.create_task(self._balancer.check(entry))
                for entry in range(len(self._balancer._entries))
            ]
            print(time.time() + LEAD_SECONDS, flush=True)
            start = time.monotonic() + LEAD_SECONDS
            async with asyncio.TaskGroup() as tasks:
                for number, call in enumerate(self._calls):
                    delay = start + call["at_seconds"] - time.monotonic()
                    if delay > 0:
                        await asyncio.sleep(delay)
                    tasks.create_task(self._send(session, number, start))
            for check in checks:
                check.cancel()
        return self._outcomes

    async def _send(
        self, session: aiohttp.ClientSession, number: int, start: float
    ) -> None:
        call = self._calls[number]
        intended = start + call["at_seconds"]
        lag = time.monotonic() - intended
        headers = {
            "x-echo": call["echo"],
            "authorization": f"Bearer {self._keys[call['organisation']]}",
        }
        status, reason, run, wrong, began = 0, "", "", False, False
        try:
            async with session.request(
                call["method"],
                self._balancer.choose_url(call["entry"]) + call["target"],
                headers=headers,
                data=POST_BODY if call["method"] == "POST" else None,
            ) as response:
                began = True
                body = await response.read()
                status = response.status
                reason = response.headers.get("x-refusal-reason", "")
                run = response.headers.get("x-request-run", "")
                wrong = status == 200 and not _is_right(call, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        self._outcomes[number] = SentCall(
            status=status,
            reason=reason,
            run=run,
            latency_seconds=time.monotonic() - intended,
            lag_seconds=lag,
            wrong=wrong,
            cut=began and status == 0,
        )


def _is_right(call: dict[str, Any], body: bytes) -> bool:
    if call["answer_bytes"]:
        return len(body) == int(call["answer_bytes"])
    try:
        echo: object = json.loads(body)["echo"]
    except (ValueError, KeyError, TypeError):
        return False
    return echo == str(call["echo"])


def main() -> None:
    """Runs the plan of the file named first; writes outcomes to the second."""
    plan_file, outcome_file = map(Path, sys.argv[1:3])
    outcomes = asyncio.run(Callers(json.loads(plan_file.read_text())).run())
    outcome_file.write_text(json.dumps([asdict(item) for item in outcomes if item]))


if __name__ == "__main__":
    main()
