"""The allowances of all organisations in one instance."""

from collections.abc import Mapping
from dataclasses import dataclass

from egrethall.fleet import (
    ROUND_SECONDS,
    FleetLevel,
    FleetLevels,
    Heartbeat,
    OrganisationUsage,
    UsageReports,
)
from egrethall.quota._allowance import OrganisationAllowance
from egrethall.quota._collectors import Collectors
from egrethall.quota._usage import AllowanceExcess, UsageReport
from egrethall.types import (
    Clock,
    PublishedConfiguration,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Bounds of the time after which a caller beyond its allowance may come back. The lower
#: one leaves a returning caller most of its objective.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0

#: Time for which the reports of an instance count that is not known, or no more. An
#: instance that has started is known within a few rounds.
UNKNOWN_PEER_SECONDS = 5.0

#: Turns for which an organisation is reported after its last request, so that each
#: instance hears of it although a datagram is lost. Heartbeats then do not grow with
#: the number of organisations.
REPORT_TURNS = 2.0


@dataclass
class _Peer:
    """What is remembered of another instance beside its usage."""

    #: The run in which it was heard of last.
    run: int
    #: Organisations of which its next heartbeat may change something, by reporting them
    #: or not. The others are passed over, so that a heartbeat costs what it says.
    watched: set[str]
    #: Clock reading of the last report by it or of it.
    heard_at_seconds: float


class FleetAllowances:
    """Admits requests within the allowances and exchanges their usage.

    :param starts_full: True if the whole fleet starts for the first time. A process
        that replaces another begins with empty buckets, because the requests that the
        other one admitted still count.
    """

    def __init__(
        self,
        excess: AllowanceExcess,
        starts_full: bool,
        clock: Clock,
        random_source: RandomSource,
        own_name: str,
    ) -> None:
        self._own_name = own_name
        self._excess = excess
        self._starts_full = starts_full
        self._clock = clock
        self._random = random_source
        self._allowances: dict[str, OrganisationAllowance] = {}
        self._peers: dict[str, _Peer] = {}
        self._collectors = Collectors(own_name, clock)
        #: True in a fleet that one round of heartbeats does not reach.
        self._has_collectors = False

    def apply_configuration(self, configuration: PublishedConfiguration) -> None:
        """Adds, changes and removes allowances."""
        now_seconds = self._clock.monotonic_seconds()
        kept: dict[str, OrganisationAllowance] = {}
        for plan in configuration.organisations:
            known = self._allowances.get(plan.name)
            if known is None:
                kept[plan.name] = OrganisationAllowance(
                    plan.rate_per_second,
                    plan.burst,
                    self._excess,
                    self._starts_full,
                    now_seconds,
                )
                continue
            known.set_plan(plan.rate_per_second, plan.burst)
            kept[plan.name] = known
        self._allowances = kept
        for peer in self._peers.values():
            # The next heartbeat tells what it has of organisations that are new.
            peer.watched = set(kept)

    def admit(self, organisation: str) -> None:
        """Takes one request's token; raises :class:`RefusedError` without one."""
        allowance = self._allowances.get(organisation)
        if allowance is None or allowance.try_admit(self._clock.monotonic_seconds()):
            return
        wait_seconds = max(MIN_RETRY_AFTER_SECONDS, allowance.find_wait_seconds())
        # Spread out, so that callers that are refused together do not return together.
        spread = 1.0 + self._random.random()
        raise RefusedError(
            Refusal(
                RefusalReason.RATE_EXCEEDED,
                "The organisation's rate and burst are used up.",
                min(MAX_RETRY_AFTER_SECONDS, wait_seconds * spread),
            )
        )

    def begin_round(
        self, known: frozenset[str], silent: frozenset[str], turn_seconds: float
    ) -> None:
        """Starts a round of heartbeats.

        :param known: names of the other instances that count; what others reported is
            dropped after :data:`UNKNOWN_PEER_SECONDS`.
        :param silent: names of those that have fallen silent.
        :param turn_seconds: time in which each other instance is told once.
        """
        now_seconds = self._clock.monotonic_seconds()
        for name in self._peers.keys() - known:
            # An instance may report to its collector before its first heartbeat.
            heard_at_seconds = self._peers[name].heard_at_seconds
            if now_seconds - heard_at_seconds > UNKNOWN_PEER_SECONDS:
                self._forget(name)
        self._has_collectors = turn_seconds > ROUND_SECONDS
        self._collectors.begin_round(known - silent)
        for name in silent & self._peers.keys():
            # Whatever it says next, its shares are given back.
            self._peers[name].watched = set(self._allowances)
        for allowance in self._allowances.values():
            allowance.begin_round(now_seconds, silent, REPORT_TURNS * turn_seconds)

    def find_usage(self) -> Mapping[str, OrganisationUsage]:
        """Returns what this instance has admitted, without the idle organisations."""
        return {
            name: allowance.usage
            for name, allowance in self._allowances.items()
            if not allowance.idle
        }

    def find_reports(self) -> Mapping[str, Mapping[str, OrganisationUsage]]:
        """Returns what to report in this round, by the name of the collector.

        A small fleet has no collectors, as each heartbeat reaches all of it.
        """
        reports: dict[str, dict[str, OrganisationUsage]] = {}
        if not self._has_collectors:
            return reports
        for organisation, allowance in self._allowances.items():
            if not allowance.reportable:
                continue
            collector = self._collectors.find(organisation)
            if collector != self._own_name:
                reports.setdefault(collector, {})[organisation] = allowance.usage
        for collector in reports:
            self._collectors.observe_report(collector)
        return reports

    def collect(self, reports: UsageReports) -> Mapping[str, FleetLevel]:
        """Charges what an instance reports to this one; returns the answer to it."""
        levels: dict[str, FleetLevel] = {}
        peer, is_known = self._find_peer(reports.name, reports.run)
        for organisation, usage in reports.usage.items():
            allowance = self._allowances.get(organisation)
            if allowance is None:
                continue
            peer.watched.add(organisation)
            levels[organisation] = allowance.collect(
                UsageReport(reports.name, reports.run, reports.sequence, usage),
                heard_before=is_known,
            )
        return levels

    def follow(self, answer: FleetLevels) -> None:
        """Takes over what a collector has counted."""
        self._collectors.observe_answer(answer.name)
        now_seconds = self._clock.monotonic_seconds()
        for organisation, level in answer.levels.items():
            allowance = self._allowances.get(organisation)
            if allowance is not None:
                allowance.follow(level, now_seconds)

    def observe(self, heartbeat: Heartbeat) -> None:
        """Charges what another instance reports."""
        if heartbeat.leaving:
            self._forget(heartbeat.name)
            return
        peer, is_known = self._find_peer(heartbeat.name, heartbeat.run)
        for organisation, usage in heartbeat.usage.items():
            allowance = self._allowances.get(organisation)
            if allowance is None:
                continue
            peer.watched.add(organisation)
            allowance.observe(
                UsageReport(heartbeat.name, heartbeat.run, heartbeat.sequence, usage),
                heard_before=is_known,
            )
        for organisation in peer.watched - heartbeat.usage.keys():
            allowance = self._allowances.get(organisation)
            if allowance is None or allowance.observe_idle(
                heartbeat.name, heartbeat.run, heartbeat.sequence
            ):
                peer.watched.discard(organisation)

    def _find_peer(self, name: str, run: int) -> tuple[_Peer, bool]:
        """Returns an instance that is heard now, and whether this run was before."""
        now_seconds = self._clock.monotonic_seconds()
        peer = self._peers.get(name)
        is_known = peer is not None and peer.run == run
        if peer is None or peer.run != run:
            peer = _Peer(run, set(self._allowances), now_seconds)
            self._peers[name] = peer
        peer.heard_at_seconds = now_seconds
        return peer, is_known

    def _forget(self, name: str) -> None:
        self._peers.pop(name, None)
        for allowance in self._allowances.values():
            allowance.forget(name)
