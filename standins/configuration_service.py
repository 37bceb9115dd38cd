"""A stand-in for the platform's configuration service and instance list.

Each reader has a path prefix of its own (``/readers/NAME``), so that a test can show
different faults and different instance lists to different instances.

Control, on the same port:

- ``PUT /control/values/NAME`` with header ``x-revision`` publishes a value to all
  readers; ``?reader=R`` publishes to one.
- ``POST /control/faults`` with JSON :class:`ReaderFaults` fields, and optionally
  ``reader``, switches faults on and off.
- ``GET /control/calls`` returns the number of calls for each reader.
"""

import asyncio
import json
from dataclasses import dataclass, field, replace

import typer
from aiohttp import web

from standins.serving import run_application

DEFAULT_READER = ""


@dataclass(frozen=True)
class ReaderFaults:
    """Faults that one reader sees."""

    #: Every read and watch gets status 503.
    down: bool = False
    #: Readers see the values as they were when the fault was switched on.
    stale: bool = False
    #: Readers see the oldest value that was ever published, whatever they have seen.
    older: bool = False
    #: Delay before each answer.
    slow_seconds: float = 0.0


@dataclass
class PublishedValue:
    """All texts of one value, in the order of their publication."""

    revisions: list[tuple[int, bytes]] = field(default_factory=list)
    #: Number of the publication that each of the texts came with.
    publications: list[int] = field(default_factory=list)

    def add(self, revision: int, text: bytes, publication: int) -> None:
        """Adds the latest text."""
        self.revisions.append((revision, text))
        self.publications.append(publication)

    def find_visible(self, faults: ReaderFaults, frozen: int) -> tuple[int, bytes]:
        """Returns the revision and text that a reader with ``faults`` sees.

        :param frozen: number of the last publication before the reader went stale.
        """
        if not self.revisions:
            return 0, b""
        if faults.older:
            return self.revisions[0]
        if faults.stale:
            count = sum(number <= frozen for number in self.publications)
            return self.revisions[count - 1] if count else (0, b"")
        return self.revisions[-1]


class ConfigurationServiceStandIn:
    """The state of the stand-in and its HTTP handlers."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], PublishedValue] = {}
        self._faults: dict[str, ReaderFaults] = {}
        self._publications = 0
        #: Number of the last publication before each reader went stale.
        self._frozen: dict[str, int] = {}
        self._calls: dict[str, int] = {}
        self._changed = asyncio.Condition()

    def build_application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(client_max_size=4 * 1024 * 1024)
        application.router.add_get("/v1/values/{name}", self.read_value)
        application.router.add_get(
            "/readers/{reader}/v1/values/{name}", self.read_value
        )
        application.router.add_put("/control/values/{name}", self.publish_value)
        application.router.add_post("/control/faults", self.set_faults)
        application.router.add_get("/control/calls", self.count_calls)
        return application

    async def read_value(self, request: web.Request) -> web.Response:
        """Answers a read, or a watch that waits for a newer revision."""
        reader = request.match_info.get("reader", DEFAULT_READER)
        name = request.match_info["name"]
        self._calls[reader] = self._calls.get(reader, 0) + 1
        after = int(request.query.get("after", "-1"))
        wait_seconds = min(float(request.query.get("wait_seconds", "0")), 60.0)
        await asyncio.sleep(self._find_faults(reader).slow_seconds)
        try:
            async with asyncio.timeout(wait_seconds), self._changed:
                await self._changed.wait_for(
                    lambda: self._must_answer(reader, name, after)
                )
        except TimeoutError:
            return web.Response(status=304)
        if self._find_faults(reader).down:
            return web.Response(status=503)
        revision, text = self._find_visible(reader, name)
        if not revision:
            return web.Response(status=404)
        return web.Response(body=text, headers={"x-revision": str(revision)})

    async def publish_value(self, request: web.Request) -> web.Response:
        """Publishes a value to all readers or to one."""
        reader, name = (
            request.query.get("reader", DEFAULT_READER),
            request.match_info["name"],
        )
        revision = int(request.headers["x-revision"])
        text = await request.read()
        async with self._changed:
            self._publications += 1
            self._values.setdefault((reader, name), PublishedValue())
            for key, value in self._values.items():
                if key[1] == name and reader in (DEFAULT_READER, key[0]):
                    value.add(revision, text, self._publications)
            self._changed.notify_all()
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults of all readers or of one."""
        fields = json.loads(await request.read())
        reader = fields.pop("reader", DEFAULT_READER)
        async with self._changed:
            before = self._faults.get(reader, ReaderFaults())
            after = replace(before, **fields)
            self._faults[reader] = after
            if after.stale and not before.stale:
                self._frozen[reader] = self._publications
            self._changed.notify_all()
        return web.Response(status=204)

    async def count_calls(self, _request: web.Request) -> web.Response:
        """Returns the number of calls of each reader since the start."""
        return web.json_response(self._calls)

    def _find_faults(self, reader: str) -> ReaderFaults:
        return self._faults.get(
            reader, self._faults.get(DEFAULT_READER, ReaderFaults())
        )

    def _find_visible(self, reader: str, name: str) -> tuple[int, bytes]:
        own = self._values.get((reader, name))
        value = own or self._values.get((DEFAULT_READER, name), PublishedValue())
        frozen = self._frozen.get(reader, self._frozen.get(DEFAULT_READER, 0))
        return value.find_visible(self._find_faults(reader), frozen)

    def _must_answer(self, reader: str, name: str, after: int) -> bool:
        faults = self._find_faults(reader)
        if faults.down or faults.older:
            return True
        revision, _ = self._find_visible(reader, name)
        return revision != after and (revision > after or after < 0)


def main(port: int) -> None:
    """Serves the stand-in on a loopback port until SIGTERM."""
    asyncio.run(
        run_application(ConfigurationServiceStandIn().build_application(), port)
    )


if __name__ == "__main__":
    typer.run(main)
