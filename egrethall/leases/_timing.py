"""Durations on which the safety of shard leases depends."""

#: Time for which the holder of a shard may rely on a vote. The voter keeps the vote
#: longer, by the clock drift.
LEASE_SECONDS = 2.0

#: Regular interval between two heartbeats of one instance.
HEARTBEAT_SECONDS = 0.5

#: Largest assumed relative difference between the clock rates of two machines.
CLOCK_DRIFT_RATIO = 0.01


def extend_by_drift(seconds: float) -> float:
    """Returns a duration that is at least ``seconds`` on any other machine's clock."""
    return seconds * (1.0 + CLOCK_DRIFT_RATIO)


def shorten_by_drift(seconds: float) -> float:
    """Returns a duration that is at most ``seconds`` on any other machine's clock."""
    return seconds / (1.0 + CLOCK_DRIFT_RATIO)
