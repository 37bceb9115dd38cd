"""Callers: open-loop load whose latency counts from the intended send."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import aiohttp

#: Longest wait of a caller for its answer.
CALL_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class CallPlan:
    """One call that will be sent."""

    #: Time of the intended send, from the start of the load.
    at_seconds: float
    organisation: str
    url: str
    headers: dict[str, str]
    method: str = "GET"
    body: bytes = b""


@dataclass(frozen=True)
class CallOutcome:
    """What a caller saw of one call."""

    plan: CallPlan
    #: Status, or 0 if the connection broke or nothing came in time.
    status: int
    #: Value of ``x-refusal-reason``, empty for answers of upstreams.
    reason: str
    #: Value of ``x-request-run`` of refusals.
    run: str
    #: Time from the intended send to the end of the answer.
    latency_seconds: float
    #: True if a complete answer carries another caller's echo.
    foreign: bool = False

    @property
    def answered(self) -> bool:
        """True for a complete answer of an upstream."""
        return 200 <= self.status < 300


@dataclass(frozen=True)
class Stream:
    """Calls of one organisation at a fixed mean rate."""

    organisation: str
    key: str
    rate_per_second: float
    #: Base URLs of the entry instances, used in turn.
    entries: Sequence[str]
    path: str
    method: str = "GET"
    start_seconds: float = 0.0
    end_seconds: float = float("inf")

    def plan_calls(self, seconds: float, source: random.Random) -> Iterator[CallPlan]:
        """Yields calls with exponential gaps until ``seconds``."""
        at = self.start_seconds
        number = 0
        while True:
            at += source.expovariate(self.rate_per_second)
            if at >= min(seconds, self.end_seconds):
                return
            echo = f"{self.organisation}-{number}"
            headers = {"x-echo": echo}
            if self.key:
                headers["authorization"] = f"Bearer {self.key}"
            entry = self.entries[number % len(self.entries)]
            yield CallPlan(
                at, self.organisation, entry + self.path, headers, self.method
            )
            number += 1


@dataclass
class LoadSummary:
    """Outcomes of a load, with the figures that measurements print."""

    outcomes: list[CallOutcome] = field(default_factory=list)

    def select(self, predicate: Callable[[CallOutcome], bool]) -> "LoadSummary":
        """Returns the summary of the outcomes that satisfy ``predicate``."""
        return LoadSummary([item for item in self.outcomes if predicate(item)])

    def of_organisation(self, name: str) -> "LoadSummary":
        """Returns the summary of one organisation."""
        return self.select(lambda item: item.plan.organisation == name)

    def count_reasons(self) -> dict[str, int]:
        """Returns the number of unanswered calls by reason."""
        reasons: dict[str, int] = {}
        for item in self.outcomes:
            if not item.answered:
                reason = item.reason or f"status-{item.status}"
                reasons[reason] = reasons.get(reason, 0) + 1
        return reasons

    @property
    def calls(self) -> int:
        """Number of calls."""
        return len(self.outcomes)

    @property
    def answered(self) -> int:
        """Number of answered calls."""
        return sum(item.answered for item in self.outcomes)

    def quantile_ms(self, quantile: float) -> float:
        """Returns a latency quantile of the answered calls, in milliseconds."""
        latencies = sorted(
            item.latency_seconds for item in self.outcomes if item.answered
        )
        if not latencies:
            return float("nan")
        index = min(len(latencies) - 1, int(quantile * len(latencies)))
        return latencies[index] * 1000.0


async def run_load(
    streams: Iterable[Stream],
    seconds: float,
    seed: int,
    route_url: Callable[[str], str] = str,
    is_stopped: Callable[[], bool] = bool,
) -> LoadSummary:
    """Sends the calls of all streams at their planned times.

    :param streams: The calls.
    :param seconds: Length of the load.
    :param seed: Fixes the times of the calls.
    :param route_url: Replaces a call's URL when it is sent, as a balancer that looks
        at the readiness of instances does.
    :param is_stopped: Ends the load early; calls already sent are waited for.
    """
    plans = sorted(
        (
            plan
            for index, stream in enumerate(streams)
            for plan in stream.plan_calls(seconds, random.Random(f"{seed}/{index}"))
        ),
        key=lambda plan: plan.at_seconds,
    )
    summary = LoadSummary()
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=timeout,
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        # aiohttp repeats idempotent calls by itself, which would hide lost ones.
        session._retry_connection = False
        start = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for plan in plans:
                delay = start + plan.at_seconds - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                if is_stopped():
                    break
                routed = replace(plan, url=route_url(plan.url))
                tasks.create_task(_send(session, routed, start, summary))
    return summary


async def _send(
    session: aiohttp.ClientSession, plan: CallPlan, start: float, summary: LoadSummary
) -> None:
    status, reason, run, foreign = 0, "", "", False
    try:
        async with session.request(
            plan.method, plan.url, headers=plan.headers, data=plan.body or None
        ) as response:
            body = await response.read()
            status = response.status
            reason = response.headers.get("x-refusal-reason", "")
            run = response.headers.get("x-request-run", "")
            if status == 200 and b'"echo"' in body:
                foreign = plan.headers["x-echo"].encode() not in body
    except (aiohttp.ClientError, TimeoutError, OSError):
        status = 0
    latency = time.monotonic() - start - plan.at_seconds
    summary.outcomes.append(CallOutcome(plan, status, reason, run, latency, foreign))
