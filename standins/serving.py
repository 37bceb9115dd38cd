"""Serving of the stand-ins' HTTP applications."""

import asyncio
import signal

from aiohttp import web


async def start_application(application: web.Application, port: int) -> web.AppRunner:
    """Starts to serve ``application`` on a loopback port and returns its runner."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=512).start()
    return runner


async def wait_for_stop_signal() -> None:
    """Returns after SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def run_application(application: web.Application, port: int) -> None:
    """Serves ``application`` until a stop signal."""
    runner = await start_application(application, port)
    await wait_for_stop_signal()
    await runner.cleanup()
