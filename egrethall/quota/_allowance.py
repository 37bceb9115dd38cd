"""The allowance of one organisation, as one instance sees it."""

from dataclasses import dataclass

from egrethall.fleet import OrganisationUsage

#: Share of the tolerated excess that is planned for. The rest covers requests of
#: other instances that this one has not heard of yet.
PLANNED_EXCESS_RATIO = 0.4

#: Time over which the demand is averaged. Shares follow an organisation that suddenly
#: sends more within about two rounds of heartbeats.
DEMAND_SECONDS = 1.0

#: Requests that an instance admits between two heartbeats whatever its share, so that
#: an organisation with a few requests a second is not refused for their bunching.
FREE_REQUESTS = 2
FREE_REQUESTS_OVERDRAWN = 1

#: An organisation is pressed below this part of its burst, or if one instance alone
#: meets this part of its rate: others then have to hear of it within a round.
PRESSED_LEVEL_RATIO = 0.5
PRESSED_DEMAND_RATIO = 0.2

#: Time between two reports to all instances while an organisation is pressed.
WIDE_REPORT_SECONDS = 4.0

#: Part of an even share that an instance keeps although it reports no demand.
MIN_SHARE_RATIO = 0.5


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


@dataclass
class _PeerUsage:
    """What another instance has last reported."""

    run: int
    period: int
    admitted: int
    demand_per_second: float
    #: Tokens set aside for it since it fell silent.
    reserved: float = 0.0


class OrganisationAllowance:
    """A token bucket of the whole fleet, estimated by each instance.

    Each instance charges its own requests at once and those of the others when their
    heartbeats report them. Between two heartbeats it admits at most its share of what
    is left, in proportion to demand, as in flow proportional share (Raghavan et al.,
    "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007, section 4.3). A silent
    instance may go on admitting: its share is set aside.

    :param full: True to begin with all of the burst. A process that replaces another
        begins overdrawn, because what the other one admitted still counts, and takes
        over the level of the first instance that tells it.
    """

    def __init__(
        self,
        rate_per_second: float,
        burst: float,
        excess: AllowanceExcess,
        full: bool,
        now_seconds: float,
    ) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._excess = excess
        self._room = PLANNED_EXCESS_RATIO * excess.count(rate_per_second, burst)
        self._level = burst if full else -self._room
        self._now_seconds = now_seconds
        self._admitted = 0
        self._period = 0
        self._admitted_in_round = 0
        self._admitted_at_seconds = float("-inf")
        self._round_limit = self._level + self._room
        self._demand_per_second = 0.0
        self._peers: dict[str, _PeerUsage] = {}
        self._silent: frozenset[str] = frozenset()
        self._wide_report_at_seconds = float("-inf")

    @property
    def unlimited(self) -> bool:
        """Whether the plan sets no limit."""
        return self._rate_per_second <= 0

    @property
    def pressed(self) -> bool:
        """Whether requests here could soon exceed the allowance of the fleet."""
        if self.unlimited or self._demand_per_second <= 0:
            return False
        return (
            self._level < PRESSED_LEVEL_RATIO * self._burst
            or self._demand_per_second > PRESSED_DEMAND_RATIO * self._rate_per_second
        )

    def take_wide_report(self) -> bool:
        """Returns whether all instances must hear of this one now.

        They learn that it shares a pressed allowance; those that share it, too, then
        report to each other in each round.
        """
        if not self.pressed:
            return False
        if self._now_seconds - self._wide_report_at_seconds < WIDE_REPORT_SECONDS:
            return False
        self._wide_report_at_seconds = self._now_seconds
        return True

    def find_sharers(self) -> frozenset[str]:
        """Returns the instances that share the allowance, if it is pressed."""
        if not self.pressed:
            return frozenset()
        return frozenset(
            name for name, peer in self._peers.items() if peer.demand_per_second > 0
        )

    @property
    def usage(self) -> OrganisationUsage:
        """What this instance reports of itself."""
        return OrganisationUsage(
            self._admitted, self._demand_per_second, self._level, self._period
        )

    @property
    def idle(self) -> bool:
        """Whether there is nothing to report."""
        return not self._admitted and self._demand_per_second <= 0

    @property
    def level(self) -> float:
        """Tokens left over the whole fleet, as far as this instance knows."""
        return self._level

    def set_plan(self, rate_per_second: float, burst: float) -> None:
        """Replaces rate and burst; what was used stays used."""
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._room = PLANNED_EXCESS_RATIO * self._excess.count(rate_per_second, burst)
        self._level = min(self._level, burst)

    def try_admit(self, now_seconds: float) -> bool:
        """Takes a token for one request; returns False if there is none."""
        self._advance(now_seconds)
        self._demand_per_second += 1.0 / DEMAND_SECONDS
        if self.unlimited:
            self._count_admitted()
            return True
        free = FREE_REQUESTS if self._level > 0 else FREE_REQUESTS_OVERDRAWN
        limit = max(free, self._round_limit * self._find_own_share())
        if self._level <= -self._room or self._admitted_in_round + 1 > limit:
            return False
        self._count_admitted()
        return True

    def find_wait_seconds(self) -> float:
        """Returns the time until a token is likely to be there."""
        missing = max(0.0, 1.0 - self._room - self._level)
        return missing / self._rate_per_second if self._rate_per_second > 0 else 0.0

    def begin_round(
        self, now_seconds: float, silent: frozenset[str], report_seconds: float
    ) -> None:
        """Starts the time up to the next heartbeat.

        :param silent: names of the instances that were heard and have fallen silent.
        :param report_seconds: time without a request after which the organisation is
            left out of heartbeats and its count begins anew.
        """
        self._advance(now_seconds)
        if self._admitted and now_seconds - self._admitted_at_seconds > report_seconds:
            self._admitted = 0
            self._period += 1
        self._silent = silent
        self._admitted_in_round = 0
        self._round_limit = max(0.0, self._level + self._room)

    def observe(
        self, name: str, run: int, usage: OrganisationUsage, *, heard_before: bool
    ) -> None:
        """Charges what another instance has admitted since its last report.

        :param heard_before: True if this run of it was heard before, so that what it
            did not report then, it had not admitted.
        """
        known = self._peers.get(name)
        if heard_before and (
            known is None or (known.run, known.period) != (run, usage.period)
        ):
            known = _PeerUsage(run, usage.period, 0, 0.0)
        if not self._peers:
            self._level = max(self._level, min(usage.level, self._burst))
        # What a new acquaintance did before is in the level that was taken over.
        if known is not None and known.run == run:
            admitted = max(0, usage.admitted - known.admitted)
            self._charge(max(0.0, admitted - known.reserved))
        self._peers[name] = _PeerUsage(
            run, usage.period, usage.admitted, usage.demand_per_second
        )

    def observe_idle(self, name: str) -> None:
        """Learns that another instance has no request of the organisation."""
        known = self._peers.get(name)
        if known is not None:
            known.demand_per_second = 0.0

    def forget(self, name: str) -> None:
        """Drops an instance that left."""
        self._peers.pop(name, None)

    def _count_admitted(self) -> None:
        self._admitted += 1
        self._admitted_in_round += 1
        self._admitted_at_seconds = self._now_seconds
        self._charge(1.0)

    def _charge(self, requests: float) -> None:
        lowest = -self._burst - self._excess.count(self._rate_per_second, self._burst)
        self._level = max(self._level - requests, lowest)

    def _advance(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self._now_seconds)
        self._now_seconds = now_seconds
        self._demand_per_second *= max(0.0, 1.0 - elapsed_seconds / DEMAND_SECONDS)
        minted = self._rate_per_second * elapsed_seconds
        for name in self._silent:
            peer = self._peers.get(name)
            if peer is None:
                continue
            reserved = (
                self._rate_per_second
                * elapsed_seconds
                * self._find_share(peer.demand_per_second)
            )
            peer.reserved += reserved
            minted -= reserved
        self._level = min(self._burst, self._level + max(0.0, minted))

    def _find_own_share(self) -> float:
        return self._find_share(self._demand_per_second)

    def _find_share(self, demand_per_second: float) -> float:
        total = self._demand_per_second + sum(
            peer.demand_per_second for peer in self._peers.values()
        )
        smallest = MIN_SHARE_RATIO / (1 + len(self._peers))
        if total <= 0:
            return smallest
        return max(smallest, demand_per_second / total)
