"""One instance's estimate of an organisation's allowance across the fleet."""

from egrethall.fleet import ROUND_SECONDS, FleetLevel, OrganisationUsage
from egrethall.quota._peer_usages import PeerUsages
from egrethall.quota._usage import (
    ExcessTolerance,
    PeerUsage,
    SmoothedDemand,
    UsageReport,
)

#: Part of the tolerated excess by which the bucket may be overdrawn. The rest covers
#: requests that other instances have admitted but not reported to this one yet.
OVERDRAFT_RATIO = 0.3

#: Time for which a replacement process adds no tokens if the demand exceeds the rate.
#: If a whole fleet is restarted, nobody knows what it admitted before, and an
#: organisation that sends too much may have had more than its rate and burst: in two
#: rounds, whose usage had not been reported and answered.
INITIAL_DEBT_SECONDS = 1.0

#: Time over which the demand is averaged. When an organisation's traffic rises
#: suddenly, the shares adapt within about two rounds of heartbeats.
DEMAND_AVERAGING_SECONDS = 1.0

#: Requests that an instance may admit between two heartbeats however small its share,
#: so that an organisation with a few requests a second is not refused when they arrive
#: in bursts. It does not apply while the bucket is overdrawn.
MIN_REQUESTS_PER_ROUND = 2

#: Requests that a replacement process may admit in a round before it has learned from
#: others how many tokens are left. Every instance of a restarted fleet may do so.
MAX_REQUESTS_UNSYNCHRONIZED = 1

#: Demand above which an instance reports to the collector in each round. A single
#: request is reported twice, since datagrams get lost.
MIN_REPORTED_DEMAND_PER_SECOND = 0.3

#: Collector data older than this is ignored: the collector's figure for the demand of
#: the fleet and the reports made to it. Two rounds, so that one lost datagram does not
#: matter.
MAX_COLLECTOR_DATA_AGE_SECONDS = 1.2

#: Part of an equal share that an instance keeps even if it reports no demand.
MIN_SHARE_RATIO = 0.5

#: A peer's demand below this is treated as zero, so further reports that it has none
#: are skipped.
NEGLIGIBLE_DEMAND_PER_SECOND = 0.01

#: Time for which the share reserved for a silent instance stays fixed. Longer than an
#: availability zone takes to come back. After that the share shrinks as the demand on
#: this side grows, so that the last instance of a fleet is not limited to its old
#: share.
FIXED_RESERVATION_SECONDS = 30.0


class OrganisationAllowance:
    """A token bucket of the whole fleet, of which each instance keeps an estimate.

    Each instance charges its own requests at once and those of the others when their
    heartbeats report them. Between two heartbeats it admits at most its share of the
    remaining tokens, in proportion to demand, as in flow proportional share (Raghavan
    et al., "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007, section 4.3).

    A silent instance may still admit requests on the other side of a network partition.
    Its share of rate, burst and tokens at the time when it fell silent is reserved, so
    that both sides together stay within the allowance whatever the demand on each. What
    it has not used is released when its next message arrives.

    In a large fleet the organisation's collector charges what all others report to it,
    and each of them adopts its level (see :mod:`egrethall.quota._collectors`).

    :param full: True to start with a full bucket. A process that replaces another
        starts with an overdrawn bucket, because what the other one admitted still
        counts, and adopts the first level that another instance reports.
    :param now_seconds: clock reading at which the process started.
    """

    def __init__(
        self,
        rate_per_second: float,
        burst: float,
        excess: ExcessTolerance,
        full: bool,
        now_seconds: float,
    ) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._excess = excess
        #: Requests by which the bucket may be overdrawn.
        self._overdraft_limit = OVERDRAFT_RATIO * excess.compute_requests(
            rate_per_second, burst
        )
        self._level = burst if full else -self._overdraft_limit
        #: Time for which new tokens still repay what was admitted before a restart.
        self._debt_seconds = 0.0 if full else INITIAL_DEBT_SECONDS
        self._now_seconds = now_seconds
        self._admitted = 0
        self._period = 0
        self._admitted_in_round = 0
        self._last_admitted_at_seconds = float("-inf")
        #: Clock reading of the first request in this period.
        self._active_since_seconds = now_seconds
        #: Time without a request after which a new period begins.
        self._idle_timeout_seconds = 0.0
        #: Tokens of this round, of which this instance may admit its share.
        self._round_tokens = self._level + self._overdraft_limit
        self._rounding = 1.0
        self._demand_per_second = 0.0
        self._smoothed_demand = SmoothedDemand()
        self._peers = PeerUsages()
        #: False until a replacement process has adopted a level.
        self._has_level = full
        #: False until that level rests on the reports of other instances.
        self._is_synchronized = full
        #: Own requests that a collector has counted in this period.
        self._counted = 0
        #: Part of the allowance that is reserved for silent instances.
        self._reserved_share = 0.0
        #: Clock reading of the last report to this instance as the collector.
        self._collected_at_seconds = float("-inf")
        #: The demand of the fleet in the collector's last answer, and the clock reading
        #: of that answer.
        self._fleet_demand_per_second = 0.0
        self._answered_at_seconds = float("-inf")

    @property
    def unlimited(self) -> bool:
        """Whether the plan sets no limit."""
        return self._rate_per_second <= 0

    @property
    def needs_report(self) -> bool:
        """Whether to report to the collector in this round."""
        return (
            not self.unlimited
            and self._demand_per_second > MIN_REPORTED_DEMAND_PER_SECOND
        )

    @property
    def usage(self) -> OrganisationUsage:
        """The usage that this instance reports to the others."""
        # While shares are reserved, the level includes their part of the overdraft
        # limit. It is subtracted, because an instance that adopts the level adds the
        # whole limit.
        level = self._tokens - self._overdraft_limit
        return OrganisationUsage(
            self._admitted,
            self._demand_per_second,
            level,
            self._period,
            self._counted,
        )

    @property
    def idle(self) -> bool:
        """Whether there is nothing to report."""
        return not self._admitted and self._demand_per_second <= 0

    @property
    def level(self) -> float:
        """Estimated tokens left for the whole fleet."""
        return self._level

    def set_plan(self, rate_per_second: float, burst: float) -> None:
        """Replaces rate and burst; tokens already used stay charged."""
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._overdraft_limit = OVERDRAFT_RATIO * self._excess.compute_requests(
            rate_per_second, burst
        )
        self._level = min(self._level, burst)

    def try_admit(
        self, now_seconds: float, *, joining: bool = False, unanswered: bool = False
    ) -> bool:
        """Takes a token for one request; returns False if there is none.

        :param joining: True while a replacement process learns of the others. Without
            their reports it cannot know its share of the tokens.
        :param unanswered: True if the collector has not answered the last report, so
            that it is not known what the others have admitted since.
        """
        self._advance(now_seconds)
        self._demand_per_second += 1.0 / DEMAND_AVERAGING_SECONDS
        if self.unlimited:
            self._count_admitted()
            return True
        if joining and not self._is_synchronized:
            return self._admit_unsynchronized()
        if unanswered:
            # Of the new tokens only, since the others use up the rest as well.
            new_tokens = self._rate_per_second * ROUND_SECONDS
            limit = min(self._round_tokens, new_tokens) * self._compute_last_share()
        else:
            limit = self._round_tokens * self._compute_own_share()
        if self._level > 0 and not joining and not unanswered:
            limit = max(limit, MIN_REQUESTS_PER_ROUND)
        elif limit < 1.0:
            limit += self._rounding
        if self._tokens <= 0 or self._admitted_in_round + 1 > limit:
            return False
        self._count_admitted()
        return True

    def _admit_unsynchronized(self) -> bool:
        if self._tokens <= 0 or (
            self._admitted_in_round >= MAX_REQUESTS_UNSYNCHRONIZED
        ):
            return False
        self._count_admitted()
        return True

    def estimate_wait_seconds(self) -> float:
        """Returns the time after which a token is probably available."""
        missing = max(0.0, 1.0 - self._tokens)
        rate_per_second = self._rate_per_second * (1.0 - self._reserved_share)
        return missing / rate_per_second if rate_per_second > 0 else 0.0

    def begin_round(
        self,
        now_seconds: float,
        silent: frozenset[str],
        idle_timeout_seconds: float,
        rounding: float = 1.0,
    ) -> None:
        """Starts the round of the next heartbeat.

        :param silent: names of the instances whose heartbeats are overdue.
        :param idle_timeout_seconds: time without a request after which the organisation
            is left out of heartbeats and its count of admitted requests restarts at 0.
        :param rounding: added to a share of less than one request while the bucket is
            overdrawn: 1 to admit a request in each round; a random number from 0 to 1
            in a large fleet, whose shares would else exceed what is left.
        """
        self._advance(now_seconds)
        self._idle_timeout_seconds = idle_timeout_seconds
        if (
            self._admitted
            and now_seconds - self._last_admitted_at_seconds > idle_timeout_seconds
        ):
            self._admitted = 0
            self._counted = 0
            self._period += 1
        self._smoothed_demand.add(self._demand_per_second)
        self._reserve_shares(silent)
        self._shrink_old_reservations()
        self._admitted_in_round = 0
        self._round_tokens = max(0.0, self._tokens)
        self._rounding = rounding

    def charge_report(
        self,
        report: UsageReport,
        *,
        is_known_run: bool,
        synchronizes: bool = False,
        idle_at_seconds: float | None = None,
    ) -> None:
        """Charges what another instance has admitted since its last report.

        A report that is older than the last one received changes nothing.

        :param is_known_run: True if an earlier message of this run was received. An
            organisation that it did not list had no admitted requests at that time.
        :param synchronizes: True if the level in the report is that of the fleet.
        :param idle_at_seconds: clock reading of the instance's previous heartbeat, or
            None. It did not list the organisation if no usage of it is known.
        """
        if self._peers.is_outdated(report):
            return
        run, usage = report.run, report.usage
        previous = self._peers.find(report.name)
        self._peers.record(report, self._now_seconds)
        is_adopted = not self._has_level
        if is_adopted:
            self._has_level = True
            self._level = max(self._level, min(usage.level, self._burst))
        self._is_synchronized = self._is_synchronized or synchronizes
        if previous is not None:
            self._release_reservation(previous, used_up=previous.run != run)
        # What a newly discovered run admitted before is included in the adopted level,
        # unless none of the others knew the run.
        is_included = is_adopted or (not is_known_run and report.settled)
        already_charged = usage.admitted if is_included else 0
        if previous is not None and (previous.run, previous.period) == (
            run,
            usage.period,
        ):
            already_charged = previous.admitted
        # What a collector has counted is included in the level that it has answered.
        already_charged = max(already_charged, usage.counted)
        newly_reported = max(0.0, usage.admitted - already_charged)
        since_seconds = self._now_seconds - self._idle_timeout_seconds
        if previous is not None:
            since_seconds = previous.reported_at_seconds
        elif idle_at_seconds is not None:
            since_seconds = idle_at_seconds
        self._charge(newly_reported * self._compute_uncounted_ratio(since_seconds))

    def record_idle(self, name: str, run: int, sequence: int) -> bool:
        """Records that another instance has no requests of the organisation.

        The instance keeps a share nevertheless, because its first request may arrive
        during a network partition.

        :return: True if another report without requests would change nothing.
        """
        peer = self._peers.find(name)
        if peer is None:
            self._peers.record_idle(name, run)
            return True
        if peer.run == run and sequence < peer.sequence:
            return False
        self._release_reservation(peer, used_up=peer.run != run)
        if peer.run != run:
            # The new process has not admitted anything yet.
            peer.run, peer.period, peer.admitted = run, 0, 0
        peer.sequence = sequence
        peer.reported_at_seconds = self._now_seconds
        peer.demand_per_second = 0.0
        peer.smoothed_demand.add(0.0)
        if peer.smoothed_demand.per_second >= NEGLIGIBLE_DEMAND_PER_SECOND:
            return False
        self._peers.record_idle(name, run)
        return True

    def collect(
        self, report: UsageReport, *, is_known_run: bool, fleet_size: int = 0
    ) -> FleetLevel:
        """Charges a report to this instance as the collector; returns the answer.

        :param fleet_size: number of instances that may report while this one is new;
            those that have not yet count with the average demand. 0 if all have.
        """
        usage = report.usage
        if usage.counted and not self._peers.was_collected(
            report.name, self._now_seconds - MAX_COLLECTOR_DATA_AGE_SECONDS
        ):
            # Another collector may have counted it until now, and others with it. The
            # reporter knows that collector's level.
            self._level = min(self._level, usage.level)
        self._collected_at_seconds = self._now_seconds
        self.charge_report(report, is_known_run=is_known_run)
        self._peers.record_collected(report.name, self._now_seconds)
        if not is_known_run:
            # No collector has counted these, so that no adopted level includes them.
            self._charge(usage.admitted - usage.counted)
        return FleetLevel(
            self._tokens - self._overdraft_limit,
            max(self._compute_fleet_demand(), fleet_size * usage.demand_per_second),
            usage.admitted,
            usage.period,
        )

    def adopt_level(self, fleet: FleetLevel, now_seconds: float) -> None:
        """Adopts the collector's level, minus own requests not yet counted there.

        An answer to a report for another counting period is ignored.
        """
        self._advance(now_seconds)
        if fleet.period != self._period:
            return
        uncounted = self._admitted - fleet.admitted
        level = fleet.level - uncounted + self._overdraft_limit * self._reserved_share
        self._level = min(level, self._burst)
        self._has_level = self._is_synchronized = True
        self._counted = fleet.admitted
        self._fleet_demand_per_second = fleet.demand_per_second
        self._answered_at_seconds = now_seconds
        self._round_tokens = max(0.0, self._tokens) + self._admitted_in_round

    def remove_peer(self, name: str) -> None:
        """Removes an instance that has left or is no longer a member."""
        peer = self._peers.find(name)
        if peer is not None:
            self._release_reservation(peer, used_up=True)
        self._peers.remove(name)

    def _compute_uncounted_ratio(self, previous_at_seconds: float) -> float:
        """Returns the part of newly reported requests that the level does not include.

        The collector's level includes what the peer had admitted by the time when that
        level was adopted. The requests since the previous report are assumed to be
        spread evenly over the time since then.
        """
        if previous_at_seconds >= self._answered_at_seconds:
            return 1.0
        since_seconds = self._now_seconds - previous_at_seconds
        return (self._now_seconds - self._answered_at_seconds) / since_seconds

    @property
    def _tokens(self) -> float:
        """Tokens available on this side of a network partition, overdraft included."""
        return self._level + self._overdraft_limit * (1.0 - self._reserved_share)

    def _reserve_shares(self, silent: frozenset[str]) -> None:
        """Reserves the shares of instances that have newly fallen silent."""
        self._peers.restore_idle(silent, self._now_seconds)
        newly_silent = self._peers.find_newly_silent(silent)
        if not newly_silent:
            return
        reachable = self._peers.list_reachable()
        total = self._smoothed_demand.per_second + sum(
            peer.smoothed_demand.per_second for peer in reachable
        )
        active_seconds = self._now_seconds - self._active_since_seconds
        is_demand_known = active_seconds >= self._idle_timeout_seconds
        unreserved_share = 1.0 - self._reserved_share
        tokens = max(0.0, self._tokens)
        equal_part = 1.0 / (1 + self._peers.count_reachable())
        for peer in newly_silent:
            part = equal_part
            if total > 0 and is_demand_known:
                part = (equal_part + peer.smoothed_demand.per_second / total) / 2
            peer.silent_since_seconds = self._now_seconds
            peer.reserved_share = unreserved_share * part
            peer.reserved_tokens = tokens * part
            self._level += (
                self._overdraft_limit * peer.reserved_share - peer.reserved_tokens
            )
            self._reserved_share += peer.reserved_share

    def _release_reservation(self, peer: PeerUsage, *, used_up: bool) -> None:
        """Ends the reservation for a silent instance.

        :param used_up: True if the process has ended or was removed: it may have used
            all reserved tokens, so none are returned to the level.
        """
        if peer.silent_since_seconds is None:
            return
        max_returned = peer.reserved_share * (self._burst + self._overdraft_limit)
        returned = 0.0 if used_up else min(peer.reserved_tokens, max_returned)
        self._level += returned - self._overdraft_limit * peer.reserved_share
        self._level = min(self._level, self._burst)
        self._reserved_share = max(0.0, self._reserved_share - peer.reserved_share)
        peer.silent_since_seconds, peer.reserved_share, peer.reserved_tokens = (
            None,
            0.0,
            0.0,
        )

    def _shrink_old_reservations(self) -> None:
        if not self._reserved_share:
            return
        total = self._smoothed_demand.per_second + sum(
            peer.smoothed_demand.per_second for peer in self._peers
        )
        for peer in self._peers:
            if peer.silent_since_seconds is None or total <= 0:
                continue
            if (
                self._now_seconds - peer.silent_since_seconds
                < FIXED_RESERVATION_SECONDS
            ):
                continue
            share = min(peer.reserved_share, peer.smoothed_demand.per_second / total)
            self._level -= self._overdraft_limit * (peer.reserved_share - share)
            self._reserved_share -= peer.reserved_share - share
            peer.reserved_share = share

    def _count_admitted(self) -> None:
        if not self._admitted:
            self._active_since_seconds = self._now_seconds
        self._admitted += 1
        self._admitted_in_round += 1
        self._last_admitted_at_seconds = self._now_seconds
        self._charge(1.0)

    def _charge(self, requests: float) -> None:
        min_level = -self._burst - self._excess.compute_requests(
            self._rate_per_second, self._burst
        )
        self._level = max(self._level - requests, min_level)

    def _advance(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self._now_seconds)
        self._now_seconds = now_seconds
        self._demand_per_second *= max(
            0.0, 1.0 - elapsed_seconds / DEMAND_AVERAGING_SECONDS
        )
        if self._debt_seconds and self._compute_fleet_demand() > self._rate_per_second:
            repaying_seconds = min(elapsed_seconds, self._debt_seconds)
            self._debt_seconds -= repaying_seconds
            elapsed_seconds -= repaying_seconds
        new_tokens = self._rate_per_second * elapsed_seconds
        if self._reserved_share:
            for peer in self._peers:
                peer.reserved_tokens += new_tokens * peer.reserved_share
        unreserved_share = 1.0 - self._reserved_share
        self._level = min(
            self._burst * unreserved_share, self._level + new_tokens * unreserved_share
        )

    def _compute_fleet_demand(self) -> float:
        """Returns the demand at all reachable instances, this one included."""
        oldest_seconds = self._now_seconds - MAX_COLLECTOR_DATA_AGE_SECONDS
        if self._answered_at_seconds > oldest_seconds:
            return max(self._fleet_demand_per_second, self._demand_per_second)
        reachable = self._peers.list_reachable()
        if self._collected_at_seconds > oldest_seconds:
            # Instances with demand report it to the collector in each round.
            reachable = [p for p in reachable if p.reported_at_seconds > oldest_seconds]
        return self._demand_per_second + sum(p.demand_per_second for p in reachable)

    def _compute_last_share(self) -> float:
        """Returns this instance's part by the collector's last answer, however old."""
        total = max(self._fleet_demand_per_second, self._compute_fleet_demand())
        return self._demand_per_second / total

    def _compute_own_share(self) -> float:
        """Returns this instance's part of the tokens that are not reserved."""
        total = self._compute_fleet_demand()
        min_share = MIN_SHARE_RATIO / (1 + self._peers.count_reachable())
        if total <= 0:
            return min_share
        return max(min_share, self._demand_per_second / total)
