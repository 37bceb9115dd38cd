"""Reports of pressed organisations that instances pass on to each other.

In a large fleet an instance hears each other one every few seconds. An organisation
that suddenly sends more would meanwhile get a whole allowance at each of its instances.
"""

from collections import OrderedDict

from egrethall.fleet import UsageReport
from egrethall.types import Clock

#: Time for which a report is passed on: three rounds of heartbeats, in which it reaches
#: a fleet of several hundred instances.
RELAY_SECONDS = 1.2

#: Reports in one heartbeat at most, the newest first, so that it fits one packet.
MAX_RELAYED = 32


class UsageRelay:
    """Keeps the newest report of each instance and pressed organisation for a while."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: By instance and organisation, the oldest first, with the time of hearing.
        self._reports: OrderedDict[tuple[str, str], tuple[float, UsageReport]] = (
            OrderedDict()
        )

    def add(self, report: UsageReport) -> None:
        """Passes a report on that has just been heard for the first time."""
        key = (report.name, report.organisation)
        self._reports[key] = (self._clock.monotonic_seconds(), report)
        self._reports.move_to_end(key)

    def find_reports(self) -> tuple[UsageReport, ...]:
        """Returns what the next heartbeat passes on."""
        oldest_seconds = self._clock.monotonic_seconds() - RELAY_SECONDS
        while self._reports:
            heard_at_seconds, _ = next(iter(self._reports.values()))
            if heard_at_seconds >= oldest_seconds:
                break
            self._reports.popitem(last=False)
        newest = list(self._reports.values())[-MAX_RELAYED:]
        return tuple(report for _, report in newest)
