"""Sizes of the rounds of heartbeats, and the detection of silent instances."""

from collections.abc import Mapping

#: Largest number of other instances that a single round of heartbeats reaches. The
#: current fleet is smaller, so that each round reaches all of it. A larger one is
#: reached in a cycle of several rounds, which bounds the cost of a round.
MAX_RECIPIENTS = 24

#: Recipients of one round in a fleet above :data:`MAX_RECIPIENTS`.
RECIPIENTS_IN_TURN = 8

#: Timeout for the heartbeats of one instance, in rounds, or in cycles if the fleet is
#: above :data:`MAX_RECIPIENTS`. A single lost datagram exceeds it; the allowance that
#: is reserved for a silent instance is released when its heartbeats arrive again.
INSTANCE_TIMEOUT_ROUNDS = 1.5

#: Timeout for a whole availability zone, or the whole fleet, as the number of
#: heartbeats expected from it in that time. Instances begin their cycles at random
#: offsets, so that with 47 of them a gap this long occurs by chance in one of 5,000
#: cases; the allowance reserved in that case is released.
GROUP_TIMEOUT_HEARTBEATS = 8


def count_turn_rounds(others: int) -> float:
    """Returns the rounds of one cycle, which sends one heartbeat to each of ``others``.

    :param others: number of the other instances.
    """
    return 1.0 if others <= MAX_RECIPIENTS else others / RECIPIENTS_IN_TURN


def find_silent(
    last_heartbeats: Mapping[str, tuple[str, float]],
    now_seconds: float,
    round_seconds: float,
) -> frozenset[str]:
    """Returns the names of the instances whose heartbeats did not arrive in time.

    In a large fleet the heartbeats of each instance are far apart. A network partition
    is detected earlier, from the heartbeats of a group: if none arrives from a whole
    availability zone, all instances of the zone are silent, and if none arrives at all,
    every other instance is.

    :param last_heartbeats: availability zone of each other instance, and the time at
        which its last heartbeat arrived.
    """
    cycle_seconds = count_turn_rounds(len(last_heartbeats)) * round_seconds
    timeout_seconds = INSTANCE_TIMEOUT_ROUNDS * cycle_seconds
    arrivals_by_zone: dict[str, list[float]] = {}
    for zone, arrived_at_seconds in last_heartbeats.values():
        arrivals_by_zone.setdefault(zone, []).append(arrived_at_seconds)

    def is_silent(arrivals: list[float]) -> bool:
        expected_seconds = GROUP_TIMEOUT_HEARTBEATS * cycle_seconds / len(arrivals)
        group_timeout_seconds = max(
            INSTANCE_TIMEOUT_ROUNDS * round_seconds, expected_seconds
        )
        return now_seconds - max(arrivals) > min(timeout_seconds, group_timeout_seconds)

    if last_heartbeats and is_silent(
        [at_seconds for _, at_seconds in last_heartbeats.values()]
    ):
        return frozenset(last_heartbeats)
    silent_zones = {
        zone for zone, arrivals in arrivals_by_zone.items() if is_silent(arrivals)
    }
    return frozenset(
        name
        for name, (zone, arrived_at_seconds) in last_heartbeats.items()
        if zone in silent_zones or now_seconds - arrived_at_seconds > timeout_seconds
    )
