"""Which instance to read records from that this one lacks."""

from egrethall.fleet._messages import Heartbeat
from egrethall.types import Clock

#: Time that instances of the own zone get to provide records, as bytes between zones
#: are paid for. The readers of the zone announce changes within a round trip.
NEAR_FIRST_SECONDS = 0.4


class RecordSources:
    """Remembers the furthest instance that was heard of, one of the own zone first."""

    def __init__(self, own_zone: str, clock: Clock) -> None:
        self._own_zone = own_zone
        self._clock = clock
        self._ahead: Heartbeat | None = None
        #: The own revision at which others were first seen to be ahead, and when.
        self._behind_at_revision = -1
        self._behind_at_seconds = 0.0

    def observe(self, heartbeat: Heartbeat, own_revision: int) -> bool:
        """Learns what another instance has; returns whether to read from it.

        An instance without any records takes them from wherever they are.
        """
        if heartbeat.revision <= own_revision:
            return False
        now_seconds = self._clock.monotonic_seconds()
        if self._behind_at_revision != own_revision:
            self._behind_at_revision = own_revision
            self._behind_at_seconds = now_seconds
        is_near = heartbeat.availability_zone == self._own_zone
        waited_seconds = now_seconds - self._behind_at_seconds
        if not is_near and own_revision and waited_seconds < NEAR_FIRST_SECONDS:
            return False
        if self._ahead is not None and heartbeat.revision <= self._ahead.revision:
            return False
        self._ahead = heartbeat
        return True

    def take(self, own_revision: int) -> Heartbeat | None:
        """Returns the instance to read from, if one is still ahead."""
        ahead, self._ahead = self._ahead, None
        if ahead is None or ahead.revision <= own_revision:
            return None
        return ahead
