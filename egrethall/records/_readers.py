"""Which instances read the store for the others."""

from collections.abc import Collection

#: Instances of a zone that read the store at the same time. Calls are paid for, and
#: their number must not grow with the fleet; with two, the loss of one costs no time.
READERS_PER_ZONE = 2

#: Time from its start after which an instance has heard of the readers of its zone. In
#: four rounds of heartbeats it hears of two or more in a fleet of any size.
SETTLING_SECONDS = 2.0


def is_reader(
    own_name: str,
    readers_of_zone: Collection[str],
    readers_elsewhere: Collection[str] = (),
    age_seconds: float = SETTLING_SECONDS,
) -> bool:
    """Returns whether an instance reads the store itself.

    :param readers_of_zone: names of the other instances of its zone that the store
        answers. An instance that the store turns away is not among them, so that the
        next one takes its place.
    :param readers_elsewhere: the same of other zones.
    :param age_seconds: time since its start. An instance that has just started leaves
        reading to any reader that it has heard of.
    """
    if age_seconds < SETTLING_SECONDS and (readers_of_zone or readers_elsewhere):
        return False
    earlier = sum(name < own_name for name in readers_of_zone)
    return earlier < READERS_PER_ZONE
