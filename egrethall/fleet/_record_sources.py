"""Chooses the instance from which to read missing records."""

from egrethall.fleet._messages import Heartbeat
from egrethall.types import Clock

#: Time for which only instances of the own availability zone are considered, since
#: traffic between zones is billed. The instances of the zone that read the store
#: announce changes within a round trip.
OWN_ZONE_FIRST_SECONDS = 0.4

#: Time for which an instance that did not respond is not a source. In a round of
#: heartbeats others announce the same records.
FAILED_SOURCE_SECONDS = 0.5


class RecordSources:
    """Keeps the instance with the newest records, preferring the own availability zone.

    Only an instance whose records are complete up to a higher revision is a source.
    """

    def __init__(self, own_zone: str, clock: Clock) -> None:
        self._own_zone = own_zone
        self._clock = clock
        #: Heartbeat by which its sender became the source; None without one.
        self._source: Heartbeat | None = None
        #: The own revision when another instance was first ahead of it, and the time.
        self._lagging_at_revision = -1
        self._lagging_since_seconds = 0.0
        #: Name of the source that failed last, and until when it is not used.
        self._failed_name = ""
        self._failed_until_seconds = 0.0

    def observe(self, heartbeat: Heartbeat, own_revision: int) -> bool:
        """Considers the sender as a source; returns whether to read from it.

        An instance without any records accepts a source in any availability zone, and
        so does one that is to announce the records to its zone.
        """
        if heartbeat.revision <= own_revision:
            return False
        now_seconds = self._clock.monotonic_seconds()
        if (
            heartbeat.name == self._failed_name
            and now_seconds < self._failed_until_seconds
        ):
            return False
        if self._lagging_at_revision != own_revision:
            self._lagging_at_revision = own_revision
            self._lagging_since_seconds = now_seconds
        is_own_zone = heartbeat.availability_zone == self._own_zone
        lagging_seconds = now_seconds - self._lagging_since_seconds
        if (
            not is_own_zone
            and not heartbeat.relay_requested
            and own_revision
            and lagging_seconds < OWN_ZONE_FIRST_SECONDS
        ):
            return False
        if self._source is not None and heartbeat.revision <= self._source.revision:
            return False
        self._source = heartbeat
        return True

    def observe_failure(self, source: Heartbeat) -> None:
        """Records that the records could not be read from ``source``."""
        self._failed_name = source.name
        self._failed_until_seconds = (
            self._clock.monotonic_seconds() + FAILED_SOURCE_SECONDS
        )
        if self._source is not None and self._source.name == source.name:
            self._source = None

    def take_source(self, own_revision: int) -> Heartbeat | None:
        """Removes and returns the source; None if there is none that is still ahead."""
        source, self._source = self._source, None
        if source is None or source.revision <= own_revision:
            return None
        return source
