"""What an allowance keeps of other instances, and how far it may be exceeded."""

from dataclasses import dataclass, field

from egrethall.fleet import OrganisationUsage

#: Weight of a report in the steady demand, by which shares are set aside. Both sides
#: of a cut must come to nearly the same shares, so it evens out a second's chance.
STEADY_WEIGHT = 0.2


@dataclass(frozen=True)
class AllowanceExcess:
    """By how much a window of requests may exceed rate and burst."""

    window_seconds: float
    ratio: float
    requests: float

    def count(self, rate_per_second: float, burst: float) -> float:
        """Returns the requests beyond rate and burst that one window bears."""
        return self.ratio * (rate_per_second * self.window_seconds + burst) + (
            self.requests
        )


class SteadyDemand:
    """Demand averaged over the reports up to a second ago.

    It lags by two reports: a silence is noticed two rounds after a cut, and what is
    asked behind the cut must not count.
    """

    # There is one for each organisation and other instance.
    __slots__ = ("_last", "_last_but_one", "per_second")

    def __init__(self) -> None:
        self.per_second = 0.0
        self._last = 0.0
        self._last_but_one = 0.0

    def add(self, demand_per_second: float) -> None:
        """Takes the report of one round."""
        self.per_second += STEADY_WEIGHT * (self._last_but_one - self.per_second)
        self._last_but_one, self._last = self._last, demand_per_second


@dataclass(frozen=True)
class UsageReport:
    """What another instance has reported, in a heartbeat or to the collector."""

    name: str
    run: int
    #: Number of the message among the heartbeats and reports of the run.
    sequence: int
    usage: OrganisationUsage


@dataclass(slots=True)
class PeerUsage:
    """What another instance has last reported."""

    run: int
    sequence: int
    period: int
    admitted: int
    demand_per_second: float
    #: Clock reading of the report.
    reported_at_seconds: float
    steady_demand: SteadyDemand = field(default_factory=SteadyDemand)
    #: Clock reading at which it fell silent; None while it is heard.
    silent_at_seconds: float | None = None
    #: Part of the allowance that is set aside for it while it is silent.
    share: float = 0.0
    #: Tokens set aside for it since it fell silent.
    reserved: float = 0.0
