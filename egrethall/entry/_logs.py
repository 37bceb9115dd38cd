"""Logging of an entry instance: logfmt lines on standard output, without blocking."""

import logging
import os
import sys

import structlog
from structlog.typing import EventDict, WrappedLogger

from egrethall.types import Clock


class UptimeStamper:
    """Adds the time since its creation to each line.

    The time of day may jump, so that it does not tell the order of lines.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at_seconds = clock.monotonic_seconds()

    def __call__(self, _: WrappedLogger, __: str, event_dict: EventDict) -> EventDict:
        uptime_seconds = self._clock.monotonic_seconds() - self._started_at_seconds
        event_dict["uptime_seconds"] = f"{uptime_seconds:.3f}"
        return event_dict


class DroppingLogWriter:
    """Writes lines to a file descriptor and drops lines while writing would block."""

    def __init__(self, file_descriptor: int) -> None:
        os.set_blocking(file_descriptor, False)
        self._file_descriptor = file_descriptor
        self._unwritten = b""
        self._dropped = 0

    def write(self, text: str) -> int:
        """Writes ``text``, or drops it while the reader of the log is too slow."""
        data = text.encode("utf-8", "backslashreplace")
        if self._unwritten and not self._write_unwritten():
            self._dropped += 1
            return len(text)
        if self._dropped:
            data = f"event='log lines lost' count={self._dropped}\n".encode() + data
            self._dropped = 0
        # The rest of a line is written before the next one, so that lines stay whole.
        self._unwritten = data
        self._write_unwritten()
        return len(text)

    def flush(self) -> None:
        """Does nothing: write() writes at once unless the descriptor would block."""

    def _write_unwritten(self) -> bool:
        try:
            written = os.write(self._file_descriptor, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the log, and there is nowhere else to report it.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def configure_entry_logs(clock: Clock) -> None:
    """Configures structlog to write logfmt lines to standard output.

    :param clock: measures the time since the start, whatever the time of day.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            UptimeStamper(clock),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["at", "uptime_seconds", "level", "event"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(
            DroppingLogWriter(sys.stdout.fileno())  # type: ignore[arg-type]
        ),
        cache_logger_on_first_use=True,
    )
