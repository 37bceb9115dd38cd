"""Estimates the cost of sending a request to an upstream from a current reading.

Designed for low request rates on upstreams that are slowed down by noisy neighbours: a
request takes its usual time or several times as long, and an upstream switches between
the two within half a second. Comparing readings of two upstreams at the moment of
sending finds one at its usual speed far more often than any average over earlier
responses.
"""

from dataclasses import dataclass

from egrethall.types import RequestKind, UpstreamReading

#: Cost of sending a request to another availability zone, in usual service times; the
#: second value applies to downloads. An ordinary response is small; a download is
#: charged for the bytes sent between availability zones.
CROSS_ZONE_COST = 0.3
CROSS_ZONE_DOWNLOAD_COST = 2.0

#: Cost of a certain failure, in usual service times: a failed request costs the caller
#: as much as several of them.
FAILURE_COST = 6.0

#: Cost of running concurrently with other requests when all slots are occupied, in
#: usual service times.
BUSY_COST = 0.1


@dataclass(frozen=True)
class ProbeStep:
    """Some candidates of one request that are probed concurrently."""

    count: int
    #: Candidates among them to take from other availability zones.
    other_zone_count: int
    #: Highest cost at which a candidate is chosen without a further step.
    good_cost: float
    #: Whether the next step starts soon although no reading has come.
    brief: bool = False


@dataclass(frozen=True)
class CostPolicy:
    """How many candidates to probe, and when to probe more."""

    #: Candidates that are probed first.
    first_candidates: int = 2
    #: Further candidates that are probed if the first ones all exceed ``good_cost``.
    more_candidates: int = 3
    #: Highest cost at which a candidate is chosen without probing more.
    good_cost: float = 1.35
    #: Candidates of a large service that are probed one after the other, before the
    #: further ones. Of four upstreams, 30 % of which are slow, one is not slow in 99 %
    #: of the cases; upstreams of other availability zones mostly need a new connection.
    sequential_candidates: int = 4
    #: Highest cost at which one of them is chosen without probing the next one. A queue
    #: of one costs 1.35, and the better of two upstreams seldom has one.
    sequential_good_cost: float = 1.2

    def find_steps(self, sequential: bool) -> tuple[ProbeStep, ...]:
        """Returns the steps in which candidates are probed.

        :param sequential: whether the first candidates are probed one after the other.
        """
        more = ProbeStep(self.more_candidates, 2, self.good_cost)
        if not sequential:
            return (ProbeStep(self.first_candidates, 0, self.good_cost), more)
        alone = ProbeStep(1, 0, self.sequential_good_cost, brief=True)
        last = ProbeStep(1, 0, self.good_cost)
        return (*(alone,) * (self.sequential_candidates - 1), last, more)


@dataclass(frozen=True)
class CandidateLoad:
    """Load and recent failures of one upstream, as inputs of the cost estimate."""

    reading: UpstreamReading
    failure_ratio: float
    same_zone: bool
    #: Requests that this instance has sent since the probe, so that the reading does
    #: not include them.
    sent_since: int = 0
    #: Cost of the transfer from another zone, in usual service times; None for the
    #: fixed cost of the kind of request.
    transfer_cost: float | None = None


def estimate_cost(candidate: CandidateLoad, kind: RequestKind) -> float:
    """Returns the expected cost of a request, in usual service times."""
    reading = candidate.reading
    occupied = reading.running + reading.waiting + candidate.sent_since
    queued = max(0, occupied + 1 - reading.slots)
    busy_ratio = min(1.0, occupied / reading.slots)
    cost = reading.slowness_ratio * (1.0 + queued / reading.slots)
    cost += BUSY_COST * busy_ratio + FAILURE_COST * candidate.failure_ratio
    if candidate.same_zone:
        return cost
    if candidate.transfer_cost is not None:
        return cost + candidate.transfer_cost
    return cost + estimate_cross_zone_cost(kind)


def estimate_cross_zone_cost(kind: RequestKind) -> float:
    """Returns the cost of leaving the availability zone, in usual service times."""
    if kind is RequestKind.DOWNLOAD:
        return CROSS_ZONE_DOWNLOAD_COST
    return CROSS_ZONE_COST
