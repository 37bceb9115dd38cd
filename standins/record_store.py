"""A stand-in for the platform's store, which instances can read and watch.

It listens on several ports, so that a test can turn away the instances that use one of
them. Control, on each port:

- ``PUT /control/records/KEY`` writes a record, ``DELETE`` removes it.
- ``POST /control/faults`` with JSON :class:`StoreFaults` fields sets the faults of the
  port that is called.
- ``POST /control/forget`` drops the history.
- ``POST /control/copy`` keeps a copy, ``POST /control/restore`` returns to it and
  begins a new era, in which revisions are given out again.
- ``GET /control/calls`` returns the number of reading calls on the port.
"""

import asyncio
import base64
import json
from dataclasses import dataclass, replace
from typing import Annotated, Any

import typer
from aiohttp import web

from standins.serving import start_application, wait_for_stop_signal

#: Items of one page; small, so that every reading has several pages.
PAGE_ITEMS = 3


@dataclass(frozen=True)
class StoreFaults:
    """What the readers of one port meet."""

    #: Status of every answer; 0 for none.
    status: int = 0
    #: True if no call is answered.
    silent: bool = False


@dataclass(frozen=True)
class Change:
    """One change of a key; the value is None if it was removed."""

    key: str
    revision: int
    created: int
    value: bytes | None

    def render(self) -> dict[str, Any]:
        """Returns the change as the store shows it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "removed": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": self.created,
            "lease": 0,
        }


class RecordStore:
    """The records and their history, the same on all ports."""

    def __init__(self) -> None:
        self.revision = 100
        self.current: dict[str, Change] = {}
        self.history: list[Change] = []
        self.history_start = self.revision
        self.era = 1
        self._copy: tuple[int, dict[str, Change]] = (self.revision, {})
        self.changed = asyncio.Condition()

    async def write(self, key: str, value: bytes | None) -> None:
        """Writes or removes a key."""
        self.revision += 1
        known = self.current.pop(key, None)
        created = self.revision if known is None else known.created
        change = Change(key, self.revision, created, value)
        if value is not None:
            self.current[key] = change
        self.history.append(change)
        async with self.changed:
            self.changed.notify_all()

    def copy(self) -> None:
        """Keeps a copy of the records."""
        self._copy = (self.revision, dict(self.current))

    async def restore(self) -> None:
        """Returns to the copy; what was written since is lost."""
        self.revision, records = self._copy
        self.current = dict(records)
        self.forget()
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    def forget(self) -> None:
        """Drops the history."""
        self.history.clear()
        self.history_start = self.revision


class StorePort:
    """One port of the store with faults of its own."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._faults = StoreFaults()
        self._calls = 0

    def build_application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(client_max_size=4 * 1024 * 1024)
        application.on_response_prepare.append(self._add_era)
        application.router.add_get("/kv-range", self.read_range)
        application.router.add_get("/kv-watch", self.watch)
        application.router.add_put("/control/records/{key:.*}", self.write)
        application.router.add_delete("/control/records/{key:.*}", self.remove)
        application.router.add_post("/control/faults", self.set_faults)
        application.router.add_post("/control/forget", self.forget)
        application.router.add_post("/control/copy", self.copy)
        application.router.add_post("/control/restore", self.restore)
        application.router.add_get("/control/calls", self.count_calls)
        return application

    async def read_range(self, request: web.Request) -> web.Response:
        """Answers with one page of the records."""
        if (fault := await self._meet_faults()) is not None:
            return fault
        after = request.query.get("after", "")
        keys = [key for key in sorted(self._store.current) if key > after]
        items = [self._store.current[key].render() for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": items,
                "truncated": len(keys) > PAGE_ITEMS,
                "store_revision": self._store.revision,
            }
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Answers with the changes after a revision, as soon as there are some."""
        if (fault := await self._meet_faults()) is not None:
            return fault
        after = int(request.query["after"])
        wait_seconds = int(request.query["wait_ms"]) / 1000
        if not self._store.history_start <= after <= self._store.revision:
            return web.json_response({"error": "history dropped"}, status=410)
        era = self._store.era

        def has_changed() -> bool:
            return self._store.revision > after or self._store.era != era

        try:
            async with asyncio.timeout(wait_seconds), self._store.changed:
                await self._store.changed.wait_for(has_changed)
        except TimeoutError:
            pass
        if (fault := await self._meet_faults()) is not None:
            return fault
        if self._store.era != era:
            return web.json_response({"error": "restored"}, status=503)
        events = [c.render() for c in self._store.history if c.revision > after]
        return web.json_response(
            {"events": events, "store_revision": self._store.revision}
        )

    async def write(self, request: web.Request) -> web.Response:
        """Writes a record."""
        await self._store.write(request.match_info["key"], await request.read())
        return web.Response()

    async def remove(self, request: web.Request) -> web.Response:
        """Removes a record."""
        await self._store.write(request.match_info["key"], None)
        return web.Response()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the faults of this port; waiting watches meet them, too."""
        self._faults = replace(StoreFaults(), **json.loads(await request.read()))
        async with self._store.changed:
            self._store.changed.notify_all()
        return web.Response()

    async def forget(self, request: web.Request) -> web.Response:
        """Drops the history."""
        self._store.forget()
        return web.Response()

    async def copy(self, request: web.Request) -> web.Response:
        """Keeps a copy."""
        self._store.copy()
        return web.Response()

    async def restore(self, request: web.Request) -> web.Response:
        """Returns to the copy."""
        await self._store.restore()
        return web.Response()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers.setdefault("Store-Era", str(self._store.era))

    async def count_calls(self, request: web.Request) -> web.Response:
        """Returns the number of reading calls."""
        return web.json_response({"calls": self._calls})

    async def _meet_faults(self) -> web.Response | None:
        self._calls += 1
        if self._faults.silent:
            await asyncio.Event().wait()
        if self._faults.status:
            return web.Response(status=self._faults.status)
        return None


def main(
    ports: Annotated[list[int], typer.Argument(help="Ports to listen on.")],
) -> None:
    """Runs the store until it is ended."""
    asyncio.run(_serve(ports))


async def _serve(ports: list[int]) -> None:
    store = RecordStore()
    for port in ports:
        await start_application(StorePort(store).build_application(), port)
    await wait_for_stop_signal()


if __name__ == "__main__":
    typer.run(main)
