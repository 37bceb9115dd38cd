"""The allowance of one organisation, as one instance sees it."""

from egrethall.fleet import FleetLevel, OrganisationUsage
from egrethall.quota._usage import (
    AllowanceExcess,
    PeerUsage,
    SteadyDemand,
    UsageReport,
)

#: Share of the tolerated excess that is planned for. The rest covers requests of
#: other instances that this one has not heard of yet.
PLANNED_EXCESS_RATIO = 0.3

#: Time over which the demand is averaged. Shares follow an organisation that suddenly
#: sends more within about two rounds of heartbeats.
DEMAND_SECONDS = 1.0

#: Requests that an instance admits between two heartbeats whatever its share, so that
#: an organisation with a few requests a second is not refused for their bunching.
FREE_REQUESTS = 2
FREE_REQUESTS_OVERDRAWN = 1

#: Demand above which an instance reports to the collector in each round. A single
#: request is reported twice, since datagrams get lost.
REPORTED_DEMAND_PER_SECOND = 0.3

#: Time for which the collector's word on the demand of the fleet counts, and a report
#: to the collector: two rounds, so that one lost datagram does not matter.
FOLLOWED_SECONDS = 1.2

#: Part of an even share that an instance keeps although it reports no demand.
MIN_SHARE_RATIO = 0.5

#: Demand below which nothing is reported and remembered.
NO_DEMAND_PER_SECOND = 0.01

#: Time for which the share of a silent instance stays as it was when it fell silent.
#: Longer than a zone takes to come back. From then on the share shrinks as the demand
#: here grows, so that the last instance of a fleet is not held to its old part.
FIXED_SHARE_SECONDS = 30.0


class OrganisationAllowance:
    """A token bucket of the whole fleet, estimated by each instance.

    Each instance charges its own requests at once and those of the others when their
    heartbeats report them. Between two heartbeats it admits at most its share of what
    is left, in proportion to demand, as in flow proportional share (Raghavan et al.,
    "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007, section 4.3).

    A silent instance may go on admitting behind a cut. Its share of rate, burst and
    tokens at the time when it fell silent is set aside, so that both sides of a cut
    together keep to the allowance whatever is asked of them. What it did not use is
    given back when it is heard again.

    In a large fleet the organisation's collector charges what all others report to it,
    and each of them takes over its level (see :mod:`egrethall.quota._collectors`).

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
        #: Clock reading of the first request in this period.
        self._in_use_at_seconds = now_seconds
        self._report_seconds = 0.0
        self._round_limit = self._level + self._room
        self._demand_per_second = 0.0
        self._steady_demand = SteadyDemand()
        self._peers: dict[str, PeerUsage] = {}
        self._knows_level = full
        #: Part of the allowance that is set aside for silent instances.
        self._share_aside = 0.0
        #: Clock reading of the last report to this instance as the collector.
        self._collected_at_seconds = float("-inf")
        #: What the collector has last told, and when.
        self._fleet_demand_per_second = 0.0
        self._followed_at_seconds = float("-inf")

    @property
    def unlimited(self) -> bool:
        """Whether the plan sets no limit."""
        return self._rate_per_second <= 0

    @property
    def reportable(self) -> bool:
        """Whether the collector has to hear of this instance in this round."""
        return (
            not self.unlimited and self._demand_per_second > REPORTED_DEMAND_PER_SECOND
        )

    @property
    def usage(self) -> OrganisationUsage:
        """What this instance reports of itself."""
        # While shares are set aside, the level holds their part of the room; another
        # instance that takes it over has the whole room.
        level = self._tokens - self._room
        return OrganisationUsage(
            self._admitted, self._demand_per_second, level, self._period
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
        if self._tokens <= 0 or self._admitted_in_round + 1 > limit:
            return False
        self._count_admitted()
        return True

    def find_wait_seconds(self) -> float:
        """Returns the time until a token is likely to be there."""
        missing = max(0.0, 1.0 - self._tokens)
        rate_per_second = self._rate_per_second * (1.0 - self._share_aside)
        return missing / rate_per_second if rate_per_second > 0 else 0.0

    def begin_round(
        self, now_seconds: float, silent: frozenset[str], report_seconds: float
    ) -> None:
        """Starts the time up to the next heartbeat.

        :param silent: names of the instances that were heard and have fallen silent.
        :param report_seconds: time without a request after which the organisation is
            left out of heartbeats and its count begins anew.
        """
        self._advance(now_seconds)
        self._report_seconds = report_seconds
        if self._admitted and now_seconds - self._admitted_at_seconds > report_seconds:
            self._admitted = 0
            self._period += 1
        self._steady_demand.add(self._demand_per_second)
        self._set_aside(silent)
        self._shrink_old_shares()
        self._admitted_in_round = 0
        self._round_limit = max(0.0, self._tokens)

    def observe(self, report: UsageReport, *, heard_before: bool) -> None:
        """Charges what another instance has admitted since its last report.

        A report that is older than what is known changes nothing.

        :param heard_before: True if this run of it was heard before, so that what it
            did not report then, it had not admitted.
        """
        run, usage = report.run, report.usage
        known = self._peers.get(report.name)
        if known is not None and known.run == run and report.sequence <= known.sequence:
            return
        peer = PeerUsage(
            run,
            report.sequence,
            usage.period,
            usage.admitted,
            usage.demand_per_second,
            self._now_seconds,
        )
        if known is not None:
            peer.steady_demand = known.steady_demand
        peer.steady_demand.add(usage.demand_per_second)
        if not self._knows_level:
            self._knows_level = True
            self._level = max(self._level, min(usage.level, self._burst))
        if known is not None:
            self._take_back(known, used_up=known.run != run)
        self._peers[report.name] = peer
        # What a new acquaintance did before is in the level that was taken over.
        before = 0 if heard_before else usage.admitted
        if known is not None and (known.run, known.period) == (run, usage.period):
            before = known.admitted
        unreported = max(0.0, usage.admitted - before)
        self._charge(unreported * self._find_uncounted_ratio(known))

    def observe_idle(self, name: str, run: int, sequence: int) -> bool:
        """Learns that another instance has no request of the organisation.

        It has a share all the same: its first request may come behind a cut.

        :return: True if the next report that it has none would change nothing.
        """
        peer = self._peers.setdefault(
            name, PeerUsage(run, sequence, 0, 0, 0.0, self._now_seconds)
        )
        if peer.run == run and sequence < peer.sequence:
            return False
        self._take_back(peer, used_up=peer.run != run)
        if peer.run != run:
            # The new process has not admitted anything yet.
            peer.run, peer.period, peer.admitted = run, 0, 0
        peer.sequence = sequence
        peer.reported_at_seconds = self._now_seconds
        peer.demand_per_second = 0.0
        peer.steady_demand.add(0.0)
        return peer.steady_demand.per_second < NO_DEMAND_PER_SECOND

    def collect(self, report: UsageReport, *, heard_before: bool) -> FleetLevel:
        """Charges a report to this instance as the collector; returns the answer."""
        self._collected_at_seconds = self._now_seconds
        self.observe(report, heard_before=heard_before)
        usage = report.usage
        return FleetLevel(
            self._tokens - self._room,
            self._find_fleet_demand(),
            usage.admitted,
            usage.period,
        )

    def follow(self, fleet: FleetLevel, now_seconds: float) -> None:
        """Takes over the level that the collector has counted."""
        self._advance(now_seconds)
        if fleet.period != self._period:
            return
        unreported = self._admitted - fleet.admitted
        level = fleet.level - unreported + self._room * self._share_aside
        self._level = min(level, self._burst)
        self._knows_level = True
        self._fleet_demand_per_second = fleet.demand_per_second
        self._followed_at_seconds = now_seconds
        self._round_limit = max(0.0, self._tokens) + self._admitted_in_round

    def forget(self, name: str) -> None:
        """Drops an instance that left or was given up."""
        known = self._peers.pop(name, None)
        if known is not None:
            self._take_back(known, used_up=True)

    def _find_uncounted_ratio(self, known: PeerUsage | None) -> float:
        """Returns the part of an instance's report that the level does not have yet.

        The collector had counted what was admitted by the time when its level was taken
        over. What was admitted since the last report is spread evenly over the time.
        """
        last_at_seconds = self._now_seconds - self._report_seconds
        if known is not None:
            last_at_seconds = known.reported_at_seconds
        if last_at_seconds >= self._followed_at_seconds:
            return 1.0
        since_seconds = self._now_seconds - last_at_seconds
        return (self._now_seconds - self._followed_at_seconds) / since_seconds

    def _find_heard(self) -> list[PeerUsage]:
        return [p for p in self._peers.values() if p.silent_at_seconds is None]

    @property
    def _tokens(self) -> float:
        """What may be admitted on this side of a cut, planned excess included."""
        return self._level + self._room * (1.0 - self._share_aside)

    def _set_aside(self, silent: frozenset[str]) -> None:
        """Sets the shares of instances aside that have fallen silent."""
        fallen = [
            peer
            for name in silent
            if (peer := self._peers.get(name)) and peer.silent_at_seconds is None
        ]
        if not fallen:
            return
        heard = self._find_heard()
        total = self._steady_demand.per_second + sum(
            peer.steady_demand.per_second for peer in heard
        )
        in_use_seconds = self._now_seconds - self._in_use_at_seconds
        knows_demand = in_use_seconds >= self._report_seconds
        left = 1.0 - self._share_aside
        tokens = max(0.0, self._tokens)
        even = 1.0 / (1 + len(heard))
        for peer in fallen:
            part = even
            if total > 0 and knows_demand:
                part = (even + peer.steady_demand.per_second / total) / 2
            peer.silent_at_seconds = self._now_seconds
            peer.share = left * part
            peer.reserved = tokens * part
            self._level += self._room * peer.share - peer.reserved
            self._share_aside += peer.share

    def _take_back(self, peer: PeerUsage, *, used_up: bool) -> None:
        """Ends what is set aside for an instance.

        :param used_up: True for a process that has ended or was given up: it may have
            used all of it.
        """
        if peer.silent_at_seconds is None:
            return
        most = peer.share * (self._burst + self._room)
        given_back = 0.0 if used_up else min(peer.reserved, most)
        self._level += given_back - self._room * peer.share
        self._level = min(self._level, self._burst)
        self._share_aside = max(0.0, self._share_aside - peer.share)
        peer.silent_at_seconds, peer.share, peer.reserved = None, 0.0, 0.0

    def _shrink_old_shares(self) -> None:
        if not self._share_aside:
            return
        total = self._steady_demand.per_second + sum(
            peer.steady_demand.per_second for peer in self._peers.values()
        )
        for peer in self._peers.values():
            if peer.silent_at_seconds is None or total <= 0:
                continue
            if self._now_seconds - peer.silent_at_seconds < FIXED_SHARE_SECONDS:
                continue
            share = min(peer.share, peer.steady_demand.per_second / total)
            self._level -= self._room * (peer.share - share)
            self._share_aside -= peer.share - share
            peer.share = share

    def _count_admitted(self) -> None:
        if not self._admitted:
            self._in_use_at_seconds = self._now_seconds
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
        if self._share_aside:
            for peer in self._peers.values():
                peer.reserved += minted * peer.share
        left = 1.0 - self._share_aside
        self._level = min(self._burst * left, self._level + minted * left)

    def _find_fleet_demand(self) -> float:
        """Returns the demand at all instances that are heard, this one included."""
        oldest_seconds = self._now_seconds - FOLLOWED_SECONDS
        if self._followed_at_seconds > oldest_seconds:
            return max(self._fleet_demand_per_second, self._demand_per_second)
        heard = self._find_heard()
        if self._collected_at_seconds > oldest_seconds:
            # Who has demand reports it to the collector in each round.
            heard = [p for p in heard if p.reported_at_seconds > oldest_seconds]
        return self._demand_per_second + sum(p.demand_per_second for p in heard)

    def _find_own_share(self) -> float:
        """Returns this instance's part of what is not set aside."""
        total = self._find_fleet_demand()
        smallest = MIN_SHARE_RATIO / (1 + len(self._find_heard()))
        if total <= 0:
            return smallest
        return max(smallest, self._demand_per_second / total)
