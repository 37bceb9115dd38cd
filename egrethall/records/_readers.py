"""Selects the instances that read the record source on behalf of the others."""

from collections.abc import Collection

#: Instances of an availability zone that read the record source at the same time. Calls
#: to it are billed, so their number must not grow with the fleet. With two, the loss of
#: one causes no delay.
READERS_PER_ZONE = 2

#: Time after its start in which an instance learns of the readers of its availability
#: zone. In four rounds of heartbeats it learns of two or more in a fleet of any size.
DISCOVERY_SECONDS = 2.0


def is_reader(
    own_name: str,
    same_zone_readers: Collection[str],
    other_zone_readers: Collection[str] = (),
    uptime_seconds: float = DISCOVERY_SECONDS,
) -> bool:
    """Returns whether an instance reads the record source itself.

    :param same_zone_readers: names of the other instances of its availability zone that
        read the record source successfully. An instance whose calls fail is not among
        them, so that the next one takes its place.
    :param other_zone_readers: likewise, of the other availability zones.
    :param uptime_seconds: time since its start. An instance that has just started does
        not read if it knows of any reader.
    """
    if uptime_seconds < DISCOVERY_SECONDS and (same_zone_readers or other_zone_readers):
        return False
    preceding = sum(name < own_name for name in same_zone_readers)
    return preceding < READERS_PER_ZONE
