"""Which instance counts an organisation's requests for a large fleet.

In a fleet that one round of heartbeats does not reach, an instance hears each other one
every few seconds. An organisation that suddenly sends more would meanwhile get a whole
allowance at each of its instances. One instance therefore collects what all others have
admitted for an organisation, and tells each of them the sum.
"""

from functools import lru_cache

import structlog

from egrethall.types import Clock, weigh

#: Reports in a row that a collector may leave without an answer. One lost datagram is
#: common, and an answer may come after the next round on a busy instance.
MAX_UNANSWERED = 2

#: Time for which a collector that does not answer is passed over. About the time after
#: which a large fleet finds an instance silent.
PASSED_OVER_SECONDS = 10.0

#: Weights that are kept: some tens of organisations at some hundreds of instances.
MAX_WEIGHTS = 16384

logger = structlog.get_logger(__name__)


class Collectors:
    """Finds each organisation's collector without messages, by rendezvous hashing.

    Instances that know different members may choose different collectors. Each of these
    then counts a part of the fleet, until heartbeats have told it of the rest.
    """

    def __init__(self, own_name: str, clock: Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._candidates: frozenset[str] = frozenset({own_name})
        #: Reports without an answer, by collector.
        self._unanswered: dict[str, int] = {}
        #: Clock readings until which collectors are passed over.
        self._passed_over: dict[str, float] = {}
        self._weigh = lru_cache(MAX_WEIGHTS)(weigh)

    def begin_round(self, heard: frozenset[str]) -> None:
        """Chooses among the instances that are heard and answer, and this one."""
        now_seconds = self._clock.monotonic_seconds()
        for name, count in tuple(self._unanswered.items()):
            if count > MAX_UNANSWERED:
                logger.info("collector does not answer", collector=name, reports=count)
                del self._unanswered[name]
                self._passed_over[name] = now_seconds + PASSED_OVER_SECONDS
        self._passed_over = {
            name: until_seconds
            for name, until_seconds in self._passed_over.items()
            if until_seconds > now_seconds
        }
        self._candidates = (heard - self._passed_over.keys()) | {self._own_name}

    def find(self, organisation: str) -> str:
        """Returns the name of the organisation's collector."""
        return max(
            self._candidates, key=lambda name: (self._weigh(organisation, name), name)
        )

    def observe_report(self, collector: str) -> None:
        """Counts a report that is sent to a collector."""
        self._unanswered[collector] = self._unanswered.get(collector, 0) + 1

    def observe_answer(self, collector: str) -> None:
        """Learns that a collector answers."""
        self._unanswered.pop(collector, None)
        self._passed_over.pop(collector, None)
