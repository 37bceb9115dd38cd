"""The process of an entry instance."""

import signal

import anyio
import structlog

from egrethall.configuration import Settings
from egrethall.daemon._instance import EntryInstance


def run_daemon(settings: Settings) -> None:
    """Runs an entry instance until SIGTERM or SIGINT and a graceful stop after it."""
    anyio.run(_run, settings, backend="asyncio", backend_options={"use_uvloop": True})


async def _run(settings: Settings) -> None:
    instance = EntryInstance(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, instance)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(instance: EntryInstance) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            structlog.get_logger("egrethall.daemon").info(
                "stop requested", signal=number.name
            )
            instance.request_stop()
