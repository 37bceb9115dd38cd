"""How often instances hear of each other, and which ones have fallen silent."""

from collections.abc import Mapping

#: Instances that one round of heartbeats goes to at most. At today's size it reaches
#: everyone; a larger fleet is reached in turn, so that the cost of a round is bounded.
MAX_RECIPIENTS = 24

#: The same in a fleet that is too large for one round.
RECIPIENTS_IN_TURN = 8

#: An instance that was not heard for so long, in rounds that reach it, is silent. One
#: lost datagram makes it so: what is set aside for a silent instance is given back.
SILENT_ROUNDS = 1.5

#: Heartbeats that a zone, or the whole fleet, owes before silence means that it is cut
#: off. Turns begin at random, so that of 47 instances the gap between two is so long
#: in one of 5,000 cases; what is set aside then is given back.
OWED_HEARTBEATS = 8


def count_turn_rounds(others: int) -> float:
    """Returns the rounds in which a heartbeat goes to each of ``others`` once."""
    return 1.0 if others <= MAX_RECIPIENTS else others / RECIPIENTS_IN_TURN


def find_silent(
    heard: Mapping[str, tuple[str, float]], now_seconds: float, round_seconds: float
) -> frozenset[str]:
    """Returns the names of the instances that were not heard in time.

    In a large fleet each instance is heard rarely. A zone from which nobody is heard is
    cut off long before the turn of its last instance, and so is the own instance if it
    hears nobody at all.

    :param heard: zone and time of the last heartbeat of each other instance.
    """
    turn_seconds = count_turn_rounds(len(heard)) * round_seconds
    limit_seconds = SILENT_ROUNDS * turn_seconds
    zones: dict[str, list[float]] = {}
    for zone, heard_at_seconds in heard.values():
        zones.setdefault(zone, []).append(heard_at_seconds)

    def is_cut_off(group: list[float]) -> bool:
        owed_seconds = OWED_HEARTBEATS * turn_seconds / len(group)
        group_limit_seconds = max(SILENT_ROUNDS * round_seconds, owed_seconds)
        return now_seconds - max(group) > min(limit_seconds, group_limit_seconds)

    if heard and is_cut_off([at_seconds for _, at_seconds in heard.values()]):
        return frozenset(heard)
    cut_off = {zone for zone, group in zones.items() if is_cut_off(group)}
    return frozenset(
        name
        for name, (zone, heard_at_seconds) in heard.items()
        if zone in cut_off or now_seconds - heard_at_seconds > limit_seconds
    )
