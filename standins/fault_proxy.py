"""A TCP proxy that injects faults.

``POST /control/links`` adds a link (``name``, ``listen`` port, ``target`` port), and
``POST /control/links/NAME/faults`` changes :class:`LinkFaults` of one link; the name
may be a prefix that ends with ``*``. Tests split groups of instances by setting
``silent`` or ``refuse`` on the links between them.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field, replace

import typer
from aiohttp import web

from standins.serving import run_application

CHUNK_BYTES = 16 * 1024


@dataclass(frozen=True)
class LinkFaults:
    """What happens to the bytes of one link."""

    #: Delay of every piece of data, in each direction.
    delay_seconds: float = 0.0
    #: Further delay of every piece of data towards the client.
    answer_delay_seconds: float = 0.0
    #: New connections are closed at once.
    refuse: bool = False
    #: Nothing listens: new connections are refused by the system.
    closed: bool = False
    #: A connection is reset when data comes from the client; the target gets none.
    reset_requests: bool = False
    #: Connections that were open when the fault was set carry nothing any more, in
    #: either direction, and are not closed; new ones work.
    half_open: bool = False
    #: No connection carries anything.
    silent: bool = False
    #: Each connection is reset after so many bytes towards the client; -1 is never.
    cut_after_bytes: int = -1
    #: Highest rate towards the client; 0 is no limit.
    bytes_per_second: float = 0.0


@dataclass(eq=False)
class ProxiedConnection:
    """One connection through a link."""

    link: "Link"
    client: asyncio.StreamWriter
    target: asyncio.StreamWriter
    #: True once a half-open fault has caught the connection.
    frozen: bool = False

    def reset(self) -> None:
        """Resets both sides."""
        for writer in (self.client, self.target):
            writer.transport.abort()


@dataclass(eq=False)
class Link:
    """A listening port whose connections are passed on to a target port."""

    name: str
    listen: int
    target: int
    faults: LinkFaults = field(default_factory=LinkFaults)
    connections: set[ProxiedConnection] = field(default_factory=set)

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", self.listen
        )

    async def set_faults(self, faults: LinkFaults) -> None:
        """Replaces the faults; a half-open fault catches the open connections."""
        for connection in self.connections:
            connection.frozen = connection.frozen or faults.half_open
        closed, self.faults = self.faults.closed, faults
        if faults.closed and not closed:
            self._server.close()
            self.reset_connections()
        if closed and not faults.closed:
            await self.start()

    def reset_connections(self) -> None:
        """Resets every open connection."""
        for connection in list(self.connections):
            connection.reset()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes one connection on until either side closes it."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection(self, writer, target_writer)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pass_on(connection, reader, target_writer, 0))
                tasks.create_task(self._pass_on(connection, target_reader, writer, 1))
        except* (OSError, asyncio.IncompleteReadError):
            connection.reset()
        finally:
            self.connections.discard(connection)
            for side in (writer, target_writer):
                side.close()

    async def _pass_on(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_client: int,
    ) -> None:
        passed = 0
        while data := await reader.read(CHUNK_BYTES):
            while self.faults.silent or connection.frozen:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            if self.faults.reset_requests and not towards_client:
                connection.reset()
                return
            await asyncio.sleep(self.faults.delay_seconds)
            if towards_client:
                await asyncio.sleep(self.faults.answer_delay_seconds)
            limit = self.faults.cut_after_bytes
            if towards_client and 0 <= limit < passed + len(data):
                writer.write(data[: limit - passed])
                with contextlib.suppress(OSError):
                    await writer.drain()
                await asyncio.sleep(0.01)
                connection.reset()
                return
            writer.write(data)
            await writer.drain()
            passed += len(data)
            if towards_client and self.faults.bytes_per_second:
                await asyncio.sleep(len(data) / self.faults.bytes_per_second)
        if writer.can_write_eof():
            writer.write_eof()


class FaultProxy:
    """All links of one proxy process, with its control side."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def build_application(self) -> web.Application:
        """Returns the HTTP application of the control side."""
        application = web.Application()
        application.router.add_post("/control/links", self.add_link)
        application.router.add_post("/control/links/{name}/faults", self.set_faults)
        application.router.add_post("/control/links/{name}/reset", self.reset)
        return application

    async def add_link(self, request: web.Request) -> web.Response:
        """Adds a link and starts to listen."""
        link = Link(**json.loads(await request.read()))
        await link.start()
        self._links[link.name] = link
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Changes the faults of the selected links."""
        fields = json.loads(await request.read())
        for link in self._select(request):
            await link.set_faults(replace(link.faults, **fields))
        return web.Response(status=204)

    async def reset(self, request: web.Request) -> web.Response:
        """Resets all connections of the selected links."""
        for link in self._select(request):
            link.reset_connections()
        return web.Response(status=204)

    def _select(self, request: web.Request) -> list[Link]:
        name = request.match_info["name"]
        if name.endswith("*"):
            return [
                link
                for key, link in self._links.items()
                if key.startswith(name.removesuffix("*"))
            ]
        return [self._links[name]]


def main(port: int) -> None:
    """Serves the proxy, with its control side on a loopback port, until SIGTERM."""
    asyncio.run(run_application(FaultProxy().build_application(), port))


if __name__ == "__main__":
    typer.run(main)
