"""A naive balancer, the baseline of the measurements.

It uses the same two libraries with their defaults, chooses upstreams in turn, gives
each organisation its whole rate and burst in every instance, tries every failed
request once more, and learns of a new configuration by polling.
"""

import asyncio
import hashlib
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import httpx
import typer
from hypercorn.asyncio import serve
from hypercorn.config import Config

from standins.serving import wait_for_stop_signal

POLL_SECONDS = 5.0
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
HOP_BY_HOP = {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"upgrade"}


@dataclass
class LocalBucket:
    """A token bucket that knows of no other instance."""

    rate_per_second: float
    burst: float
    level: float = field(init=False)
    refilled_at: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.level = self.burst

    def take(self) -> bool:
        """Takes one token and returns whether there was one."""
        now = time.monotonic()
        self.level += (now - self.refilled_at) * self.rate_per_second
        self.level = min(self.level, self.burst)
        self.refilled_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class NaiveProxy:
    """The ASGI application of the naive balancer."""

    def __init__(self, configuration_url: str) -> None:
        self._configuration_url = configuration_url
        self._client = httpx.AsyncClient(timeout=30.0)
        self._services: list[dict[str, Any]] = []
        self._cycles: dict[str, itertools.cycle[dict[str, Any]]] = {}
        self._organisations: dict[str, dict[str, Any]] = {}
        self._plans: dict[str, dict[str, Any]] = {}
        self._buckets: dict[str, LocalBucket] = {}
        self._revision = -1

    async def poll_configuration(self) -> None:
        """Reads the configuration again and again."""
        while True:
            response = await self._client.get(
                f"{self._configuration_url}/v1/values/configuration"
            )
            if response.status_code == 200:
                self.apply(json.loads(response.content))
            await asyncio.sleep(POLL_SECONDS)

    def apply(self, published: dict[str, Any]) -> None:
        """Puts a published configuration in force."""
        if published["revision"] == self._revision:
            return
        self._revision = published["revision"]
        self._services = published["services"]
        out = set(published["out_of_service"]["availability_zones"])
        for service in self._services:
            usable = [
                upstream
                for upstream in service["upstreams"]
                if upstream["availability_zone"] not in out
            ]
            self._cycles[service["name"]] = itertools.cycle(usable)
        self._plans = {plan["name"]: plan for plan in published["plans"]}
        self._organisations = {
            key["digest"]: organisation
            for organisation in published["organisations"]
            for key in organisation["keys"]
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers one request."""
        if scope["type"] == "lifespan":
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        status, headers, content = await self._answer(scope, body)
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": content})

    async def _answer(
        self,
        scope: Scope,
        body: bytes,
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        service = self._find_service(scope["path"])
        headers = dict(scope["headers"])
        organisation = self._find_organisation(headers)
        if service is None:
            return 404, [], b""
        if organisation is None and not service["routes"][0].get("open"):
            return 401, [], b""
        if organisation is not None and not self._admit(organisation):
            return 429, [], b""
        target = scope["raw_path"].decode()
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode()
        sent = [
            (name, value)
            for name, value in scope["headers"]
            if name not in HOP_BY_HOP and name not in (b"authorization", b"host")
        ]
        if organisation is not None:
            sent.append((b"x-organisation", organisation["name"].encode()))
        for attempt in range(2):
            upstream = next(self._cycles[service["name"]])
            try:
                response = await self._client.request(
                    scope["method"],
                    f"http://{upstream['address']}{target}",
                    headers=sent,
                    content=body,
                )
            except httpx.HTTPError:
                if attempt:
                    return 502, [], b""
                continue
            if response.status_code == 503 and not attempt:
                continue
            return response.status_code, [], response.content
        return 502, [], b""

    def _find_service(self, path: str) -> dict[str, Any] | None:
        for service in self._services:
            for route in service["routes"]:
                if path.startswith(route["path_prefix"]):
                    return service
        return None

    def _find_organisation(self, headers: dict[bytes, bytes]) -> dict[str, Any] | None:
        key = headers.get(b"authorization", b"").removeprefix(b"Bearer ")
        digest = f"sha256:{hashlib.sha256(key).hexdigest()}"
        return self._organisations.get(digest)

    def _admit(self, organisation: dict[str, Any]) -> bool:
        plan = self._plans[organisation["plan"]]
        bucket = self._buckets.setdefault(
            organisation["name"],
            LocalBucket(plan["rate_per_second"], plan["burst"]),
        )
        return bucket.take()


async def run(configuration_url: str, port: int) -> None:
    """Serves the naive balancer until a stop signal."""
    proxy = NaiveProxy(configuration_url)
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    polling = asyncio.create_task(proxy.poll_configuration())
    await serve(cast(Any, proxy), config, shutdown_trigger=wait_for_stop_signal)
    polling.cancel()


def main(settings: Path) -> None:
    """Serves with the same settings file as an entry instance of egrethall."""
    fields = json.loads(settings.read_text())
    port = int(fields["caller_address"].rpartition(":")[2])
    asyncio.run(run(fields["configuration_service_url"], port))


if __name__ == "__main__":
    typer.run(main)
