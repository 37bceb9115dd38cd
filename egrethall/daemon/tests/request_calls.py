"""Callers of the request features: planned calls, their answers and their runs."""

import asyncio
import json
import logging
import ssl
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
import httpx

# Failures print the faulty answers; a line for each call would hide them.
logging.getLogger("httpx").setLevel(logging.WARNING)

#: Longest wait of a caller; above every deadline of the features.
CALL_TIMEOUT_SECONDS = 30.0

#: A client builds one for itself otherwise, which takes tens of milliseconds.
TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


@dataclass(frozen=True)
class Call:
    """One call; its echo is unique and found again in the upstreams' records."""

    url: str
    key: str
    echo: str
    method: str = "GET"
    at_seconds: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    #: Name of the entry instance, for messages.
    instance: str = ""


@dataclass(frozen=True)
class Answer:
    """What the caller saw."""

    call: Call
    #: 0 if no status arrived.
    status: int
    headers: dict[str, str]
    body: bytes
    #: True if the connection broke before the answer's end.
    broken: bool
    #: Times of the send and of the end, from the start of the run.
    sent_seconds: float
    ended_seconds: float
    fault: str = ""

    @property
    def reason(self) -> str:
        """The reason of a refusal, empty for other answers."""
        return self.headers.get("x-refusal-reason", "")

    @property
    def run(self) -> str:
        """What a refusal says of the run, empty for other answers."""
        return self.headers.get("x-request-run", "")

    @property
    def seconds(self) -> float:
        """Time from the send to the end."""
        return self.ended_seconds - self.sent_seconds

    @property
    def ok(self) -> bool:
        """True for a complete answer of an upstream to this very call."""
        if self.status != 200 or self.broken:
            return False
        return json.loads(self.body)["echo"] == self.call.echo

    def __str__(self) -> str:
        return (
            f"{self.call.method} {self.call.echo} via {self.call.instance}: "
            f"{self.status} {self.reason} run={self.run} broken={self.broken} "
            f"{self.fault} {self.seconds:.3f} s {self.body[:200]!r}"
        )


@dataclass(frozen=True)
class Action:
    """Something that a test does at a time while calls run."""

    at_seconds: float
    do: Callable[[], object]


#: Sends one call: status, header fields and pieces of the body go into the answer.
Send = Callable[[Call, "Received"], Awaitable[None]]


class Received:
    """An answer while it arrives."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.pieces: list[bytes] = []


def run_calls(
    calls: Iterable[Call],
    actions: Sequence[Action] = (),
    http2: bool = False,
    arriving: dict[str, Received] | None = None,
) -> list[Answer]:
    """Sends calls and does actions at their times; returns the answers in order.

    :param arriving: receives the answers while they arrive, by the call's echo.
    """
    client = _open_http2_client if http2 else _open_http1_client
    arriving = {} if arriving is None else arriving
    return asyncio.run(_run_calls(list(calls), actions, client, arriving))


async def _run_calls(
    calls: list[Call],
    actions: Sequence[Action],
    open_client: Callable[[], AbstractAsyncContextManager[Send]],
    arriving: dict[str, Received],
) -> list[Answer]:
    async with open_client() as send:
        start = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            doing = [tasks.create_task(_act(action, start)) for action in actions]
            sent = []
            for call in calls:
                received = arriving[call.echo] = Received()
                sent.append(tasks.create_task(_send(send, call, received, start)))
        for task in doing:
            task.result()
        return [task.result() for task in sent]


@asynccontextmanager
async def _open_http1_client() -> AsyncIterator[Send]:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    ) as session:
        # aiohttp repeats idempotent calls by itself, which would hide lost ones.
        session._retry_connection = False

        async def send(call: Call, received: Received) -> None:
            async with session.request(
                call.method,
                call.url,
                headers=_build_headers(call),
                data=call.body or None,
                allow_redirects=False,
            ) as response:
                received.status = response.status
                received.headers = {
                    name.lower(): value for name, value in response.headers.items()
                }
                async for piece in response.content.iter_any():
                    received.pieces.append(piece)

        yield send


@asynccontextmanager
async def _open_http2_client() -> AsyncIterator[Send]:
    async with httpx.AsyncClient(
        http1=False,
        http2=True,
        timeout=CALL_TIMEOUT_SECONDS,
        trust_env=False,
        verify=TLS_CONTEXT,
    ) as client:

        async def send(call: Call, received: Received) -> None:
            async with client.stream(
                call.method,
                call.url,
                headers=_build_headers(call),
                content=call.body or None,
            ) as response:
                received.status = response.status_code
                received.headers = dict(response.headers)
                async for piece in response.aiter_raw():
                    received.pieces.append(piece)

        yield send


def _build_headers(call: Call) -> dict[str, str]:
    headers = {"x-echo": call.echo, "accept-encoding": "identity", **call.headers}
    if call.key:
        headers["authorization"] = f"Bearer {call.key}"
    return headers


async def _act(action: Action, start: float) -> None:
    await asyncio.sleep(max(0.0, start + action.at_seconds - time.monotonic()))
    await asyncio.to_thread(action.do)


async def _send(send: Send, call: Call, received: Received, start: float) -> Answer:
    await asyncio.sleep(max(0.0, start + call.at_seconds - time.monotonic()))
    sent = time.monotonic() - start
    fault = ""
    try:
        await send(call, received)
    except (httpx.HTTPError, aiohttp.ClientError, TimeoutError, OSError) as error:
        fault = repr(error)
    ended = time.monotonic() - start
    return Answer(
        call,
        received.status,
        received.headers,
        b"".join(received.pieces),
        bool(fault),
        sent,
        ended,
        fault,
    )


class RunLedger:
    """The runs that the upstreams recorded, by the echo of their request."""

    def __init__(self, records: Iterable[dict]) -> None:
        self.records = sorted(records, key=lambda record: record["started_at_seconds"])
        self._by_echo = defaultdict(list)
        for record in self.records:
            self._by_echo[record["echo"]].append(record)

    def find_runs(self, echo: str) -> list[dict]:
        """Returns the runs of one request, in the order of their start."""
        return self._by_echo.get(echo, [])

    def find_faults(self, answers: Iterable[Answer]) -> list[str]:
        """Returns what is wrong with answers, whatever faults there were.

        - ``run: no`` is true, and a whole answer has a run.
        - A POST has at most one run, any other request at most two.
        - A whole answer is that of the caller's own request.
        - An upstream's runs carry the organisation and no key.
        """
        faults = []
        for answer in answers:
            runs = self.find_runs(answer.call.echo)
            most = 1 if answer.call.method == "POST" else 2
            if len(runs) > most:
                faults.append(f"{len(runs)} runs of {answer}")
            if answer.run == "no" and runs:
                faults.append(f"not true, it ran at {runs[0]['upstream']}: {answer}")
            if answer.reason and answer.run not in ("no", "unknown"):
                faults.append(f"refusal without run state: {answer}")
            if answer.status == 200 and not answer.broken and not answer.ok:
                faults.append(f"answer to another request: {answer}")
            if answer.ok and not runs:
                faults.append(f"answer without a run: {answer}")
            if any(run["leaked_key"] for run in runs):
                faults.append(f"the key reached the upstream: {answer}")
        return faults
