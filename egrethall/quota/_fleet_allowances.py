"""Keeps the allowances of all organisations in one instance."""

from collections.abc import Mapping
from dataclasses import dataclass

from egrethall.fleet import (
    ROUND_SECONDS,
    CollectorAnswer,
    FleetLevel,
    Heartbeat,
    OrganisationUsage,
    UsageReports,
)
from egrethall.quota._allowance import OrganisationAllowance
from egrethall.quota._collectors import CollectorSelector
from egrethall.quota._usage import ExcessTolerance, UsageReport
from egrethall.types import (
    Clock,
    PublishedConfiguration,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Bounds of the time after which a refused caller may retry. The lower bound leaves
#: most of its latency objective to a caller that retries.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0

#: Time for which the reports of an instance count that is not yet, or no longer, a
#: known member. A started instance becomes known within a few rounds.
UNKNOWN_PEER_TIMEOUT_SECONDS = 5.0

#: Heartbeat cycles for which an organisation is reported after its last request, so
#: that each instance learns of it even if one datagram is lost. Idle organisations are
#: left out, so that heartbeats do not grow with the number of organisations.
IDLE_TIMEOUT_CYCLES = 2.0


#: Time after its start in which a replacement process learns of the other instances: of
#: those that one round reaches, and of a larger fleet. Until it has their reports it
#: admits only the minimum in each round.
JOINING_SECONDS = 2 * ROUND_SECONDS
JOINING_LARGE_FLEET_SECONDS = 4 * ROUND_SECONDS


@dataclass
class _Peer:
    """State of another instance that does not depend on the organisation."""

    #: The run that sent its last message.
    run: int
    #: Organisations for which its next heartbeat may change something, whether it lists
    #: them or not. The others are skipped, so that the cost of a heartbeat depends on
    #: its content and not on the number of organisations.
    tracked_organisations: set[str]
    #: Clock reading of its last heartbeat or report.
    last_message_at_seconds: float
    #: Clock reading of its last heartbeat; None before the first one.
    last_heartbeat_at_seconds: float | None = None


class FleetAllowances:
    """Admits requests within the allowances and exchanges usage with other instances.

    :param starts_full: True if the whole fleet starts for the first time. A process
        that replaces another starts without tokens, because the requests that the other
        one admitted still count.
    """

    def __init__(
        self,
        excess: ExcessTolerance,
        starts_full: bool,
        clock: Clock,
        random_source: RandomSource,
        own_name: str,
    ) -> None:
        self._own_name = own_name
        self._excess = excess
        self._starts_full = starts_full
        self._clock = clock
        self._started_at_seconds = clock.monotonic_seconds()
        self._random = random_source
        self._allowances: dict[str, OrganisationAllowance] = {}
        self._peers: dict[str, _Peer] = {}
        self._collector_selector = CollectorSelector(own_name, clock)
        #: True in a fleet too large for one round of heartbeats to reach all of it.
        self._has_collectors = False
        self._fleet_size = 1

    def apply_configuration(self, configuration: PublishedConfiguration) -> None:
        """Adds, changes and removes allowances."""
        allowances: dict[str, OrganisationAllowance] = {}
        for plan in configuration.organisations:
            existing = self._allowances.get(plan.name)
            if existing is None:
                allowances[plan.name] = OrganisationAllowance(
                    plan.rate_per_second,
                    plan.burst,
                    self._excess,
                    self._starts_full,
                    self._started_at_seconds,
                )
                continue
            existing.set_plan(plan.rate_per_second, plan.burst)
            allowances[plan.name] = existing
        self._allowances = allowances
        for peer in self._peers.values():
            # Its next heartbeat provides its usage of the new organisations.
            peer.tracked_organisations = set(allowances)

    def admit(self, organisation: str) -> None:
        """Takes a token for one request; raises :class:`RefusedError` without one."""
        allowance = self._allowances.get(organisation)
        now_seconds = self._clock.monotonic_seconds()
        if allowance is None or allowance.try_admit(
            now_seconds,
            joining=self.joining,
            unanswered=self._collector_selector.lacks_answer(organisation),
        ):
            return
        wait_seconds = max(MIN_RETRY_AFTER_SECONDS, allowance.estimate_wait_seconds())
        # Jitter, so that callers that are refused together do not retry together.
        jitter = 1.0 + self._random.random()
        raise RefusedError(
            Refusal(
                RefusalReason.RATE_EXCEEDED,
                "The organisation's rate and burst are used up.",
                min(MAX_RETRY_AFTER_SECONDS, wait_seconds * jitter),
            )
        )

    @property
    def joining(self) -> bool:
        """Whether this process replaces another one and learns of the others."""
        if self._starts_full:
            return False
        age_seconds = self._clock.monotonic_seconds() - self._started_at_seconds
        return age_seconds < (
            JOINING_LARGE_FLEET_SECONDS if self._has_collectors else JOINING_SECONDS
        )

    @property
    def _may_be_large(self) -> bool:
        """Whether one round does not reach the whole fleet, as far as is known."""
        return self._has_collectors or self.joining

    def begin_round(
        self,
        known: frozenset[str],
        silent: frozenset[str],
        cycle_seconds: float,
        seeds: frozenset[str] = frozenset(),
    ) -> None:
        """Starts a round of heartbeats.

        :param known: names of the other members of the fleet, silent ones included. The
            usage of any other instance is dropped after
            :data:`UNKNOWN_PEER_TIMEOUT_SECONDS`.
        :param silent: names of the members whose heartbeats are overdue.
        :param cycle_seconds: time in which each other instance gets one heartbeat.
        :param seeds: names of the members that each new instance contacts first.
        """
        now_seconds = self._clock.monotonic_seconds()
        for name in self._peers.keys() - known:
            # An instance may report to its collector before its first heartbeat.
            last_message_at_seconds = self._peers[name].last_message_at_seconds
            if now_seconds - last_message_at_seconds > UNKNOWN_PEER_TIMEOUT_SECONDS:
                self._remove_peer(name)
        self._has_collectors = cycle_seconds > ROUND_SECONDS
        self._fleet_size = 1 + len(known)
        self._collector_selector.begin_round(known - silent)
        self.set_seeds(seeds)
        for name in silent & self._peers.keys():
            # Its next heartbeat releases what is reserved for it, whatever it lists.
            self._peers[name].tracked_organisations = set(self._allowances)
        for allowance in self._allowances.values():
            allowance.begin_round(
                now_seconds,
                silent,
                IDLE_TIMEOUT_CYCLES * cycle_seconds,
                self._random.random() if self._may_be_large else 1.0,
            )

    def set_seeds(self, seeds: frozenset[str]) -> None:
        """Sets the names of the members that each new instance contacts first.

        They know of all others first. While this process is joining, it reports to one
        of them, which forwards the reports to the collectors.
        """
        self._collector_selector.set_forwarders(seeds if self.joining else frozenset())

    def build_usage(self) -> Mapping[str, OrganisationUsage]:
        """Returns this instance's usage of each organisation that is not idle."""
        return {
            name: allowance.usage
            for name, allowance in self._allowances.items()
            if not allowance.idle
        }

    def build_reports(self) -> Mapping[str, Mapping[str, OrganisationUsage]]:
        """Returns the usage to report in this round, by the name of the recipient.

        A small fleet has no collectors, since each round of heartbeats reaches all of
        it.
        """
        reports: dict[str, dict[str, OrganisationUsage]] = {}
        if not self._has_collectors:
            return reports
        for organisation, allowance in self._allowances.items():
            if not allowance.needs_report:
                continue
            recipient = self._collector_selector.select_recipient(organisation)
            if recipient != self._own_name:
                reports.setdefault(recipient, {})[organisation] = allowance.usage
        for recipient in reports:
            self._collector_selector.record_report(recipient)
        return reports

    def find_forwards(
        self, reports: UsageReports
    ) -> Mapping[str, Mapping[str, OrganisationUsage]]:
        """Returns the usage in reports that has another collector, by its name.

        That may be the reporting instance itself, if it did not know that yet.
        """
        forwards: dict[str, dict[str, OrganisationUsage]] = {}
        for organisation, usage in reports.usage.items():
            collector = self._collector_selector.find_preferred(
                organisation, reports.excluded
            )
            if collector != self._own_name:
                forwards.setdefault(collector, {})[organisation] = usage
        return forwards

    @property
    def excluded_collectors(self) -> tuple[str, ...]:
        """Names of the collectors that do not answer this instance's reports."""
        return tuple(self._collector_selector.excluded)

    def charge_reports(self, reports: UsageReports) -> Mapping[str, FleetLevel]:
        """Charges reports to this instance as a collector; returns the answer."""
        levels: dict[str, FleetLevel] = {}
        # Others that were restarted as well have not reported yet.
        fleet_size = self._fleet_size if self.joining else 0
        peer, is_known_run = self._update_peer(reports.name, reports.run)
        for organisation, usage in reports.usage.items():
            allowance = self._allowances.get(organisation)
            if allowance is None:
                continue
            peer.tracked_organisations.add(organisation)
            levels[organisation] = allowance.collect(
                UsageReport(reports.name, reports.run, reports.sequence, usage),
                is_known_run=is_known_run,
                fleet_size=fleet_size,
            )
        return levels

    def adopt_levels(self, answer: CollectorAnswer) -> None:
        """Adopts the levels in a collector's answer."""
        self._collector_selector.record_answer(answer.name)
        self._collector_selector.record_answer(answer.recipient)
        if answer.leaving:
            self._collector_selector.exclude(answer.name)
        now_seconds = self._clock.monotonic_seconds()
        for organisation, level in answer.levels.items():
            allowance = self._allowances.get(organisation)
            if allowance is not None:
                allowance.adopt_level(level, now_seconds)

    def charge_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Charges the usage in another instance's heartbeat."""
        if heartbeat.leaving:
            self._remove_peer(heartbeat.name)
            return
        peer, is_known_run = self._update_peer(heartbeat.name, heartbeat.run)
        self._collector_selector.add_candidate(heartbeat.name)
        for organisation, usage in heartbeat.usage.items():
            allowance = self._allowances.get(organisation)
            if allowance is None:
                continue
            peer.tracked_organisations.add(organisation)
            allowance.charge_report(
                UsageReport(
                    heartbeat.name,
                    heartbeat.run,
                    heartbeat.sequence,
                    usage,
                    heartbeat.settled,
                ),
                is_known_run=is_known_run,
                synchronizes=heartbeat.settled and not self._has_collectors,
                idle_at_seconds=peer.last_heartbeat_at_seconds,
            )
        for organisation in peer.tracked_organisations - heartbeat.usage.keys():
            allowance = self._allowances.get(organisation)
            if allowance is None or allowance.record_idle(
                heartbeat.name, heartbeat.run, heartbeat.sequence
            ):
                peer.tracked_organisations.discard(organisation)
        peer.last_heartbeat_at_seconds = self._clock.monotonic_seconds()

    def _update_peer(self, name: str, run: int) -> tuple[_Peer, bool]:
        """Records a message of a peer; returns it and whether its run was known."""
        now_seconds = self._clock.monotonic_seconds()
        peer = self._peers.get(name)
        is_known_run = peer is not None and peer.run == run
        if peer is None or peer.run != run:
            peer = _Peer(run, set(self._allowances), now_seconds)
            self._peers[name] = peer
        peer.last_message_at_seconds = now_seconds
        return peer, is_known_run

    def _remove_peer(self, name: str) -> None:
        self._peers.pop(name, None)
        for allowance in self._allowances.values():
            allowance.remove_peer(name)
