"""Selects the instances that read the record source on behalf of the others."""

from collections.abc import Collection
from dataclasses import dataclass

from egrethall.records._starting import STARTERS_PER_ZONE, StartOrder
from egrethall.types import Clock

#: Instances of an availability zone that read the record source at the same time. Calls
#: to it are billed, so their number must not grow with the fleet.
READERS_PER_ZONE = 1

#: Likewise while no other zone is known to read: the loss of one causes no delay.
READERS_OF_ONLY_ZONE = 2

#: Instances of an availability zone that call the record source while none of them
#: succeeds. It bounds the calls during an outage.
POLLERS_PER_ZONE = 2

#: Time after which an instance whose calls fail lets another one of its zone try: the
#: source may reject some instances only. It then pauses for as long. A reader pauses as
#: soon as its calls begin to fail.
ROTATION_SECONDS = 2.0

#: Delay before an instance replaces a missing reader, for each instance in excess of
#: :data:`POLLERS_PER_ZONE` that precedes it, so that they do not all start to read. One
#: round of heartbeats.
TAKEOVER_STEP_SECONDS = 0.5

#: Largest number of steps of that delay.
MAX_TAKEOVER_STEPS = 4


@dataclass(frozen=True)
class ReaderView:
    """What an instance knows of the readers of the record source."""

    #: Names of the other instances of its availability zone whose calls succeed.
    same_zone_readers: Collection[str] = ()
    #: Likewise, of the other availability zones.
    other_zone_readers: Collection[str] = ()
    #: Names of the other instances of its zone that call the source, also in vain.
    same_zone_pollers: Collection[str] = ()
    #: Names of all other instances of its zone.
    same_zone_members: Collection[str] = ()
    #: Whether this instance has records.
    has_records: bool = False


class ReaderElection:
    """Decides in each round whether this instance calls the record source.

    Readers stay until another one of their zone with a lower name reads as well.
    """

    def __init__(self, own_name: str, clock: Clock, start_order: StartOrder) -> None:
        self._own_name = own_name
        self._clock = clock
        self._start_order = start_order
        #: Why the last decision was taken, for the log.
        self.cause = "start"
        #: Clock readings: since when no reader is known, since when own calls fail, and
        #: until when another instance may try.
        self._vacant_since_seconds: float | None = None
        self._failing_since_seconds: float | None = None
        self._pausing_until_seconds = float("-inf")
        #: Whether the own calls succeeded at the last decision.
        self._was_reading = False
        #: The other readers of the zone when there were some last. They do not read any
        #: more while there are none.
        self._former_readers: frozenset[str] = frozenset()

    def decide(self, view: ReaderView, *, polls: bool, reads: bool) -> bool:
        """Returns whether the instance calls the source from now on.

        :param polls: whether it does so at present.
        :param reads: whether its calls succeed at present.
        """
        now_seconds = self._clock.monotonic_seconds()
        max_readers = (
            READERS_PER_ZONE if view.other_zone_readers else READERS_OF_ONLY_ZONE
        )
        was_reading, self._was_reading = self._was_reading, reads
        if view.same_zone_readers:
            self._former_readers = frozenset(view.same_zone_readers)
        if not polls or reads:
            self._failing_since_seconds = None
        if reads:
            self.cause = "other-reader"
            return self._count_preceding(view.same_zone_readers) < max_readers
        if len(view.same_zone_readers) >= max_readers:
            self.cause = "other-reader"
            self._vacant_since_seconds = None
            return False
        is_starting = self._start_order.is_starting
        if is_starting and (view.same_zone_readers or view.other_zone_readers):
            self.cause = "other-reader"
            return False
        if is_starting and view.has_records and not polls:
            # It has them from an instance whose reader it does not know yet.
            return False
        if polls and was_reading and self._find_candidates(view):
            # The source may fail this instance only. Those that take over must not wait
            # until that is known.
            self.cause = "own-calls-fail"
            self._pause(now_seconds)
            return False
        if polls:
            return self._may_go_on_trying(view, now_seconds)
        return self._may_start(view, now_seconds)

    def _may_go_on_trying(self, view: ReaderView, now_seconds: float) -> bool:
        max_pollers = self._find_max_pollers()
        if self._count_preceding(view.same_zone_pollers) >= max_pollers:
            self.cause = "other-callers"
            return False
        if self._failing_since_seconds is None:
            self._failing_since_seconds = now_seconds
        failing_seconds = now_seconds - self._failing_since_seconds
        if failing_seconds < ROTATION_SECONDS or not view.same_zone_members:
            return True
        self.cause = "own-calls-fail"
        self._pause(now_seconds)
        return False

    def _pause(self, now_seconds: float) -> None:
        self._vacant_since_seconds = None
        self._pausing_until_seconds = now_seconds + ROTATION_SECONDS

    def _may_start(self, view: ReaderView, now_seconds: float) -> bool:
        if self._start_order.is_waiting:
            return False
        vacancies = self._find_max_pollers() - len(view.same_zone_pollers)
        if vacancies <= 0:
            self._vacant_since_seconds = None
            return False
        if self._vacant_since_seconds is None:
            self._vacant_since_seconds = now_seconds
        is_starting = self._start_order.is_starting
        self.cause = "start" if is_starting else "no-reader"
        candidates = self._find_candidates(view)
        rank = (
            self._start_order.count_preceding(candidates)
            if is_starting
            else self._count_preceding(candidates)
        )
        # As many as may call at once do not wait for each other.
        steps = min(max(0, rank - vacancies + 1), MAX_TAKEOVER_STEPS)
        start_at_seconds = max(
            self._vacant_since_seconds + steps * TAKEOVER_STEP_SECONDS,
            self._pausing_until_seconds,
        )
        return now_seconds >= start_at_seconds

    def _find_max_pollers(self) -> int:
        is_starting = self._start_order.is_starting
        return STARTERS_PER_ZONE if is_starting else POLLERS_PER_ZONE

    def _find_candidates(self, view: ReaderView) -> set[str]:
        """Returns the other instances of the zone that may start to call the source."""
        calling = self._former_readers | {*view.same_zone_pollers}
        return {*view.same_zone_members} - calling

    def _count_preceding(self, names: Collection[str]) -> int:
        return sum(name < self._own_name for name in names)
