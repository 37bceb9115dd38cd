"""Selects the instance that aggregates an organisation's usage in a large fleet.

In a fleet too large for one round of heartbeats to reach all of it, an instance
receives a heartbeat from each other instance only every few seconds. If an
organisation's traffic rose suddenly, each instance that it reaches would meanwhile
grant it a whole allowance. Each organisation therefore has a collector: one instance
that sums up what all others report to have admitted, and answers each report with the
result.
"""

from collections.abc import Collection
from functools import lru_cache

import structlog

from egrethall.types import Clock, weigh

#: Consecutive reports that a collector may leave unanswered. One lost datagram is
#: common, and a busy instance may receive an answer only after its next round has
#: begun.
MAX_UNANSWERED_REPORTS = 2

#: Time after which the answer to a report is overdue. It takes a few milliseconds, and
#: some tens more if an instance is busy.
ANSWER_TIMEOUT_SECONDS = 0.1

#: Time for which a collector that does not answer is excluded from selection. About the
#: time after which a large fleet detects that an instance is silent.
EXCLUSION_SECONDS = 10.0

#: Size of the cache of rendezvous weights: some tens of organisations times some
#: hundreds of instances.
MAX_CACHED_WEIGHTS = 16384

logger = structlog.get_logger(__name__)


class CollectorSelector:
    """Selects each organisation's collector by rendezvous hashing, without messages.

    Instances whose lists of members differ may select different collectors, as while a
    fleet is restarted. An instance that gets a report and knows a collector of higher
    weight forwards it, so that one collector counts the whole fleet.
    """

    def __init__(self, own_name: str, clock: Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._candidates: frozenset[str] = frozenset({own_name})
        #: Instances to one of which this one sends its reports instead, which forwards
        #: them to the collector; empty if this one selects the collector itself.
        self._forwarders: frozenset[str] = frozenset()
        #: Consecutive unanswered reports, by collector.
        self._unanswered_reports: dict[str, int] = {}
        #: Clock readings at which the first of them were sent, by collector.
        self._unanswered_since_seconds: dict[str, float] = {}
        #: Clock readings until which collectors are excluded, by collector.
        self._excluded_until_seconds: dict[str, float] = {}
        self._weigh = lru_cache(MAX_CACHED_WEIGHTS)(weigh)

    def begin_round(self, reachable: frozenset[str]) -> None:
        """Updates the candidates: this instance and the peers that are not excluded.

        :param reachable: names of the other instances that have not fallen silent.
        """
        now_seconds = self._clock.monotonic_seconds()
        for name, count in tuple(self._unanswered_reports.items()):
            if count > MAX_UNANSWERED_REPORTS:
                logger.info("collector does not answer", collector=name, reports=count)
                del self._unanswered_reports[name]
                self._unanswered_since_seconds.pop(name, None)
                self._excluded_until_seconds[name] = now_seconds + EXCLUSION_SECONDS
        self._excluded_until_seconds = {
            name: until_seconds
            for name, until_seconds in self._excluded_until_seconds.items()
            if until_seconds > now_seconds
        }
        self._candidates = (reachable - self._excluded_until_seconds.keys()) | {
            self._own_name
        }

    def set_forwarders(self, names: frozenset[str]) -> None:
        """Sets the instances that forward the reports of this one.

        :param names: of instances that know more of the fleet than this one; empty if
            this one knows enough.
        """
        self._forwarders = names - self._excluded_until_seconds.keys()

    def add_candidate(self, name: str) -> None:
        """Adds an instance that was not known at the begin of the round."""
        if name not in self._candidates and name not in self._excluded_until_seconds:
            self._candidates |= {name}

    def select(self, organisation: str) -> str:
        """Returns the name of the organisation's collector."""
        return self._find_heaviest(organisation, self._candidates)

    def select_recipient(self, organisation: str) -> str:
        """Returns the name of the instance to which this one reports its usage."""
        return self._find_heaviest(organisation, self._forwarders or self._candidates)

    def _find_heaviest(self, organisation: str, names: frozenset[str]) -> str:
        return max(names, key=lambda name: (self._weigh(organisation, name), name))

    def find_preferred(self, organisation: str, excluded: Collection[str]) -> str:
        """Returns the collector that a report to this instance should have gone to.

        It is this instance itself if no candidate has a higher weight.

        :param excluded: names of the collectors that the reporting instance excludes.
        """
        collector = self.select(organisation)
        return self._own_name if collector in excluded else collector

    @property
    def excluded(self) -> Collection[str]:
        """Names of the instances that are excluded from selection."""
        return self._excluded_until_seconds.keys()

    def lacks_answer(self, organisation: str) -> bool:
        """Returns whether an answer to a report for an organisation is overdue."""
        if not self._unanswered_since_seconds:
            return False
        sent_at_seconds = self._unanswered_since_seconds.get(
            self.select_recipient(organisation), float("inf")
        )
        waiting_seconds = self._clock.monotonic_seconds() - sent_at_seconds
        return waiting_seconds > ANSWER_TIMEOUT_SECONDS

    def record_report(self, collector: str) -> None:
        """Counts a report sent to a collector as unanswered."""
        self._unanswered_since_seconds.setdefault(
            collector, self._clock.monotonic_seconds()
        )
        self._unanswered_reports[collector] = (
            self._unanswered_reports.get(collector, 0) + 1
        )

    def exclude(self, collector: str) -> None:
        """Excludes a collector that is about to exit from selection."""
        self._excluded_until_seconds[collector] = (
            self._clock.monotonic_seconds() + EXCLUSION_SECONDS
        )
        self._candidates -= {collector}
        self._forwarders -= {collector}

    def record_answer(self, collector: str) -> None:
        """Resets the count of unanswered reports and ends an exclusion."""
        self._unanswered_reports.pop(collector, None)
        self._unanswered_since_seconds.pop(collector, None)
        self._excluded_until_seconds.pop(collector, None)
