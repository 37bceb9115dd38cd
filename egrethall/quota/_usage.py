"""Usage reported by other instances, and the tolerated excess of an allowance."""

from dataclasses import dataclass, field

from egrethall.fleet import OrganisationUsage

#: Weight of a new report in the smoothed demand, from which reserved shares are
#: computed. Both sides of a network partition must compute nearly the same shares, so
#: the smoothing evens out random variation within a second.
DEMAND_SMOOTHING_FACTOR = 0.2


@dataclass(frozen=True)
class ExcessTolerance:
    """How many requests beyond rate and burst are tolerated in a time window."""

    window_seconds: float
    ratio: float
    slack_requests: float

    def compute_requests(self, rate_per_second: float, burst: float) -> float:
        """Returns the requests beyond rate and burst that one window may hold."""
        return self.ratio * (rate_per_second * self.window_seconds + burst) + (
            self.slack_requests
        )


class SmoothedDemand:
    """Exponential moving average of the demand reported up to a second ago.

    It omits the last two reports: a silent instance is detected two rounds after a
    network partition begins, and the demand that arose since then must not count.
    """

    # Slots save memory: there is one object per organisation and other instance.
    __slots__ = ("_latest", "_previous", "per_second")

    def __init__(self) -> None:
        self.per_second = 0.0
        self._latest = 0.0
        self._previous = 0.0

    def add(self, demand_per_second: float) -> None:
        """Adds the demand reported in one round."""
        self.per_second += DEMAND_SMOOTHING_FACTOR * (self._previous - self.per_second)
        self._previous, self._latest = self._latest, demand_per_second


@dataclass(frozen=True)
class UsageReport:
    """Usage that another instance reported, in a heartbeat or to the collector."""

    name: str
    run: int
    #: Sequence number of the message among the heartbeats and reports of the run.
    sequence: int
    usage: OrganisationUsage
    #: False if the instance has replaced another process and learns of the others, so
    #: that they do not know what it has admitted.
    settled: bool = True


@dataclass(slots=True)
class PeerUsage:
    """The last usage that another instance reported, and its reservation."""

    run: int
    sequence: int
    period: int
    admitted: int
    demand_per_second: float
    #: Clock reading at which the report arrived.
    reported_at_seconds: float
    #: Clock reading of its last report to this instance as the collector.
    collected_at_seconds: float = float("-inf")
    smoothed_demand: SmoothedDemand = field(default_factory=SmoothedDemand)
    #: Clock reading at which it fell silent; None while it is reachable.
    silent_since_seconds: float | None = None
    #: Part of the allowance that is reserved for it while it is silent.
    reserved_share: float = 0.0
    #: Tokens reserved for it since it fell silent.
    reserved_tokens: float = 0.0
