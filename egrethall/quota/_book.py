"""The allowances of all organisations in one instance."""

from collections.abc import Mapping

from egrethall.fleet import Heartbeat, OrganisationUsage
from egrethall.quota._allowance import AllowanceExcess, OrganisationAllowance
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

#: Turns for which an organisation is reported after its last request, so that each
#: instance hears of it although a datagram is lost. Heartbeats then do not grow with
#: the number of organisations.
REPORT_TURNS = 2.0


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
    ) -> None:
        self._excess = excess
        self._starts_full = starts_full
        self._clock = clock
        self._random = random_source
        self._allowances: dict[str, OrganisationAllowance] = {}
        #: The run in which each other instance was heard last.
        self._runs: dict[str, int] = {}

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

        :param known: names of the other instances that count; what the rest of them
            reported is dropped.
        :param silent: names of those that have fallen silent.
        :param turn_seconds: time in which each other instance is told once.
        """
        now_seconds = self._clock.monotonic_seconds()
        for name in self._runs.keys() - known:
            self._forget(name)
        for allowance in self._allowances.values():
            allowance.begin_round(now_seconds, silent, REPORT_TURNS * turn_seconds)

    def find_sharers(self) -> frozenset[str] | None:
        """Returns the instances that must hear now of what is admitted here.

        None stands for all of them.
        """
        wide = [a.take_wide_report() for a in self._allowances.values()]
        if any(wide):
            return None
        return frozenset().union(
            *(allowance.find_sharers() for allowance in self._allowances.values())
        )

    def find_usage(self) -> Mapping[str, OrganisationUsage]:
        """Returns what this instance has admitted, without the idle organisations."""
        return {
            name: allowance.usage
            for name, allowance in self._allowances.items()
            if not allowance.idle
        }

    def observe(self, heartbeat: Heartbeat) -> None:
        """Charges what another instance reports."""
        if heartbeat.leaving:
            self._forget(heartbeat.name)
            return
        heard_before = self._runs.get(heartbeat.name) == heartbeat.run
        self._runs[heartbeat.name] = heartbeat.run
        for name, allowance in self._allowances.items():
            usage = heartbeat.usage.get(name)
            if usage is None:
                allowance.observe_idle(heartbeat.name, heartbeat.run)
                continue
            allowance.observe(
                heartbeat.name, heartbeat.run, usage, heard_before=heard_before
            )

    def _forget(self, name: str) -> None:
        self._runs.pop(name, None)
        for allowance in self._allowances.values():
            allowance.forget(name)
