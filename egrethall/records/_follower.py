"""The task that keeps the records up to date with their source."""

from collections.abc import Awaitable, Callable

import anyio
import structlog

from egrethall.records._cache import RecordCache
from egrethall.types import (
    Clock,
    HistoryLostError,
    RandomSource,
    RecordSource,
    RecordSourceError,
)

#: Pause between two calls, in which changes that come together are collected. Each
#: call is paid for, and a change must be in force two seconds after it was made.
COLLECT_SECONDS = 0.4

#: Time between two looks for records of other instances at the start.
FIRST_LOOK_SECONDS = 0.02

#: Bounds of the pause after an error. The upper one leaves most of the two seconds
#: in which a change must be in force.
MIN_BACK_OFF_SECONDS = 0.1
MAX_BACK_OFF_SECONDS = 0.8
BACK_OFF_FACTOR = 2.0

#: Time that a watch may lag behind other instances before it is started anew.
MAX_LAG_SECONDS = 1.0

Sleep = Callable[[float], Awaitable[None]]

logger = structlog.get_logger(__name__)


class SourceStatus:
    """Whether the source of the records answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answering = True
        self._regained_at_seconds = float("-inf")

    @property
    def answering(self) -> bool:
        """Whether the last call was answered."""
        return self._answering

    def measure_since_outage(self) -> float:
        """Returns the seconds since the source came back; 0 while it is away."""
        if not self._answering:
            return 0.0
        return self._clock.monotonic_seconds() - self._regained_at_seconds

    def observe_outage_of_reader(self, since_seconds: float) -> None:
        """Learns from an instance that reads how long ago the source came back."""
        at_seconds = self._clock.monotonic_seconds() - since_seconds
        self._regained_at_seconds = max(self._regained_at_seconds, at_seconds)

    def leave_to_others(self) -> None:
        """Forgets an outage that only this instance may have seen."""
        self._answering = True

    def observe_answer(self, revision: int) -> None:
        """Records that the source answered."""
        if self._answering:
            return
        self._answering = True
        self._regained_at_seconds = self._clock.monotonic_seconds()
        logger.info("record source answers again", revision=revision)

    def observe_failure(self, error: RecordSourceError) -> None:
        """Records that the source did not answer."""
        if self._answering:
            logger.warning("record source lost", error=str(error))
        self._answering = False


class RecordFollower:
    """Reads all records once and then follows their changes."""

    def __init__(
        self,
        source: RecordSource,
        cache: RecordCache,
        status: SourceStatus,
        clock: Clock,
        random_source: RandomSource,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self._source = source
        self._cache = cache
        self._status = status
        self._clock = clock
        self._random = random_source
        self._sleep = sleep
        self._watch_scope: anyio.CancelScope | None = None
        self._reads = True
        self._reads_again = anyio.Event()
        self._lagging_since_seconds: float | None = None

    async def run(self, first_wait_seconds: float = 0.0) -> None:
        """Follows the source until cancelled.

        :param first_wait_seconds: time for other instances to provide the records
            before the source is asked.
        """
        end_seconds = self._clock.monotonic_seconds() + first_wait_seconds
        while not self._cache.revision:
            if self._clock.monotonic_seconds() >= end_seconds:
                break
            await self._sleep(FIRST_LOOK_SECONDS)
        needs_all = False
        back_off_seconds = MIN_BACK_OFF_SECONDS
        while True:
            if not self._reads:
                await self._reads_again.wait()
            try:
                await self._follow(needs_all or not self._cache.revision)
                needs_all = False
            except HistoryLostError as error:
                logger.warning("record history lost; reading all", error=str(error))
                needs_all = True
                await self._sleep(MIN_BACK_OFF_SECONDS * self._random.random())
                continue
            except RecordSourceError as error:
                self._status.observe_failure(error)
                await self._sleep(back_off_seconds * (0.5 + self._random.random() / 2))
                back_off_seconds = min(
                    back_off_seconds * BACK_OFF_FACTOR, MAX_BACK_OFF_SECONDS
                )
                continue
            back_off_seconds = MIN_BACK_OFF_SECONDS

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads the source and is answered."""
        return self._reads and self._status.answering and self._cache.revision > 0

    def set_reading(self, reads: bool) -> None:
        """Has the source followed here, or left to other instances."""
        if reads == self._reads:
            return
        self._reads = reads
        logger.info("reading of the store changed", reads=reads)
        if reads:
            self._reads_again.set()
            self._reads_again = anyio.Event()
            return
        self._status.leave_to_others()
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def observe_peer_revision(self, revision: int) -> None:
        """Restarts a watch that stays behind what another instance has seen."""
        if revision <= self._cache.revision or self._watch_scope is None:
            self._lagging_since_seconds = None
            return
        now_seconds = self._clock.monotonic_seconds()
        if self._lagging_since_seconds is None:
            self._lagging_since_seconds = now_seconds
        if now_seconds - self._lagging_since_seconds > MAX_LAG_SECONDS:
            logger.warning("watch lags behind peers; restarting", revision=revision)
            self._lagging_since_seconds = None
            self._watch_scope.cancel()

    async def _follow(self, needs_all: bool) -> None:
        """Makes one call."""
        if needs_all:
            batch = await self._source.read_all()
            self._status.observe_answer(batch.revision)
            self._cache.apply(batch)
            return
        with anyio.CancelScope() as self._watch_scope:
            batch = await self._source.wait_for_changes(self._cache.revision)
            self._status.observe_answer(batch.revision)
            self._cache.apply(batch)
        self._watch_scope = None
        await self._sleep(COLLECT_SECONDS)
