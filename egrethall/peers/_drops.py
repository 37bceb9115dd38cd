"""Logs and counts dropped peers and failed message handlers."""

import structlog

from egrethall.peers._counters import PeerMeter
from egrethall.types import Clock

#: Limits the log to one line per second and reason when many connections fail.
LOG_INTERVAL_SECONDS = 1.0


class DropLog:
    """Counts every dropped peer and failed handler, and logs them at a limited rate."""

    def __init__(self, meter: PeerMeter, clock: Clock) -> None:
        self._meter = meter
        self._clock = clock
        self._logger = structlog.get_logger("egrethall.peers")
        self._next_log_seconds: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def record_dropped_peer(self, reason: str, peer: str, detail: str = "") -> None:
        """Counts and logs a refused or closed connection.

        :param reason: One of a fixed set of strings, as it is the key of a counter.
        :param peer: Name or address of the other side.
        :param detail: What was wrong.
        """
        self._meter.count_dropped_peer(reason)
        self._log("peer-dropped", reason, peer, detail)

    def record_handler_error(self, kind: str, peer: str, error: Exception) -> None:
        """Counts and logs a message whose handler raised an exception."""
        self._meter.count_dropped_message("handler-error")
        self._log("peer-handler-failed", kind, peer, repr(error))

    def _log(self, event: str, reason: str, peer: str, detail: str) -> None:
        now_seconds = self._clock.monotonic_seconds()
        key = f"{event} {reason}"
        if now_seconds < self._next_log_seconds.get(key, 0.0):
            self._suppressed[key] = self._suppressed.get(key, 0) + 1
            return
        self._next_log_seconds[key] = now_seconds + LOG_INTERVAL_SECONDS
        self._logger.warning(
            event,
            reason=reason,
            peer=peer,
            detail=detail,
            suppressed=self._suppressed.pop(key, 0),
        )
