"""Keeps the record cache up to date with the record source."""

import math
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import structlog

from egrethall.records._cache import RecordCache
from egrethall.types import (
    Clock,
    HistoryLostError,
    RandomSource,
    RecordBatch,
    RecordSource,
    RecordSourceError,
    describe_revision,
)

#: Pause after a watch call, so that the next one returns several changes at once. Each
#: call is billed, but a change must be in force two seconds after it was made.
BATCHING_SECONDS = 0.4

#: Likewise, if a reader of another availability zone announces the changes, so that
#: this one only has to cover the loss of that reader or of the path to it.
BACKUP_BATCHING_SECONDS = 1.0

#: Longest time between two answers of the source to a reader. A watch whose answer was
#: lost looks like one that waits for a change, and keep-alive does not tell them apart.
MAX_ANSWER_INTERVAL_SECONDS = 1.0

#: Time for an answer, on top of the wait of a watch. With the interval above it leaves
#: half a second of the two within which a change must be in force for another reader.
RESPONSE_TIMEOUT_SECONDS = 0.5

#: Likewise, after a call that failed or was answered slowly: the source may be slow.
SLOW_RESPONSE_TIMEOUT_SECONDS = 1.5

#: Time after which an answer counts as slow.
SLOW_RESPONSE_SECONDS = 0.25

#: Bounds of the pause after an error. The upper one leaves most of the two seconds
#: within which a change must be in force.
MIN_BACK_OFF_SECONDS = 0.1
MAX_BACK_OFF_SECONDS = 0.8
BACK_OFF_FACTOR = 2.0

#: Time for which a watch may lag behind other instances before it is restarted.
MAX_LAG_SECONDS = 1.0

Sleep = Callable[[float], Awaitable[None]]

logger = structlog.get_logger(__name__)


class SourceStatus:
    """Tracks outages of the record source."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._available = True
        self._recovered_at_seconds = float("-inf")
        self._restored_at_seconds = float("-inf")
        #: None before the first records.
        self._era: int | None = None
        #: Clock reading at the start of the open call; None without one.
        self._called_at_seconds: float | None = None
        #: Clock reading of the last answer; None before the first one.
        self._answered_at_seconds: float | None = None
        #: Calls to the source by outcome.
        self.calls: Counter[str] = Counter()

    @property
    def available(self) -> bool:
        """Whether no outage is known at present."""
        return self._available

    def measure_seconds_since_outage(self) -> float:
        """Returns the seconds since the last outage; 0 during one, infinite without."""
        if not self._available:
            return 0.0
        return self._clock.monotonic_seconds() - self._recovered_at_seconds

    def measure_seconds_since_restore(self) -> float:
        """Returns the seconds since the source was restored; infinite if never."""
        return self._clock.monotonic_seconds() - self._restored_at_seconds

    def measure_open_call_seconds(self) -> float:
        """Returns the age of the call that waits for its answer; 0 without one."""
        if self._called_at_seconds is None:
            return 0.0
        return self._clock.monotonic_seconds() - self._called_at_seconds

    def measure_seconds_since_answer(self) -> float:
        """Returns the seconds since the source last answered; infinite if never."""
        if self._answered_at_seconds is None:
            return math.inf
        return self._clock.monotonic_seconds() - self._answered_at_seconds

    def observe_call(self) -> None:
        """Records the start of a call."""
        self._called_at_seconds = self._clock.monotonic_seconds()

    def observe_cancellation(self) -> None:
        """Records that a call was given up before its outcome was known."""
        self._called_at_seconds = None

    def observe_era(self, era: int) -> None:
        """Records the era of received records; a higher one ends an outage."""
        known, self._era = self._era, era if self._era is None else max(era, self._era)
        if known is None or era <= known:
            return
        now_seconds = self._clock.monotonic_seconds()
        self._restored_at_seconds = self._recovered_at_seconds = now_seconds
        logger.warning("record source was restored from a copy", era=era, before=known)

    def observe_peer_recovery(self, since_seconds: float) -> None:
        """Records how long ago an outage ended, as reported by another instance."""
        at_seconds = self._clock.monotonic_seconds() - since_seconds
        self._recovered_at_seconds = max(self._recovered_at_seconds, at_seconds)

    def observe_peer_reader(self, since_seconds: float) -> None:
        """Ends an outage of a source that another instance reads again.

        :param since_seconds: how long ago the outage ended, as reported by it; infinite
            if it has started since then.
        """
        if self._available:
            self.observe_peer_recovery(since_seconds)
            return
        self._available = True
        self.observe_peer_recovery(0.0 if math.isinf(since_seconds) else since_seconds)
        logger.info("record source answers other instances again")

    def discard_outage(self) -> None:
        """Discards an outage that may affect only this instance."""
        self._available = True

    def observe_success(self, revision: int) -> None:
        """Records that a call succeeded."""
        self.calls["answered"] += 1
        self._observe_answer()
        if self._available:
            return
        self._available = True
        self._recovered_at_seconds = self._clock.monotonic_seconds()
        logger.info("record source answers again", revision=describe_revision(revision))

    def observe_history_loss(self) -> None:
        """Records a call for changes that the source no longer knows."""
        self.calls["history-lost"] += 1
        self._observe_answer()

    def observe_failure(self, error: RecordSourceError) -> None:
        """Records that a call failed."""
        self.calls["failed"] += 1
        open_seconds = self.measure_open_call_seconds()
        self._called_at_seconds = None
        if self._available:
            logger.warning(
                "record source lost",
                error=str(error),
                open_seconds=round(open_seconds, 3),
                since_answer_seconds=round(self.measure_seconds_since_answer(), 3),
            )
        self._available = False

    def _observe_answer(self) -> None:
        self._called_at_seconds = None
        self._answered_at_seconds = self._clock.monotonic_seconds()


class RecordFollower:
    """Reads all records once and then watches for changes."""

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
        self._reading_enabled = True
        #: Whether the source has answered since reading was enabled.
        self._has_answered = False
        self._reading_resumed = anyio.Event()
        self._lagging_since_seconds: float | None = None
        self._batching_seconds = BATCHING_SECONDS
        self._response_timeout_seconds = RESPONSE_TIMEOUT_SECONDS
        self._outage_subscribers: list[Callable[[], None]] = []

    def subscribe_to_outages(self, subscriber: Callable[[], None]) -> None:
        """Calls ``subscriber`` whenever the calls of a reader begin to fail."""
        self._outage_subscribers.append(subscriber)

    async def run(self) -> None:
        """Keeps the cache up to date until cancelled."""
        needs_snapshot = False
        back_off_seconds = MIN_BACK_OFF_SECONDS
        while True:
            if not self._reading_enabled:
                # When reading resumes, the old connection may have been lost unnoticed.
                await self._source.close()
                await self._reading_resumed.wait()
            try:
                await self._read_once(needs_snapshot or not self._cache.revision)
            except HistoryLostError as error:
                self._status.observe_history_loss()
                logger.warning("record history lost; reading all", error=str(error))
                needs_snapshot = True
            except RecordSourceError as error:
                self._observe_failure(error)
            else:
                # A snapshot alone does not reset the back-off: the watch after it may
                # fail again.
                if not needs_snapshot:
                    back_off_seconds = MIN_BACK_OFF_SECONDS
                needs_snapshot = False
                continue
            await self._sleep(back_off_seconds * (0.5 + self._random.random() / 2))
            back_off_seconds = min(
                back_off_seconds * BACK_OFF_FACTOR, MAX_BACK_OFF_SECONDS
            )

    @property
    def is_reading(self) -> bool:
        """Whether this instance reads from the source successfully."""
        return self._reading_enabled and self._has_answered and self._status.available

    @property
    def is_polling(self) -> bool:
        """Whether this instance calls the source, even if it does not answer."""
        return self._reading_enabled

    def set_backup(self, is_backup: bool) -> None:
        """Sets whether a reader of another availability zone announces changes."""
        self._batching_seconds = (
            BACKUP_BATCHING_SECONDS if is_backup else BATCHING_SECONDS
        )

    def set_reading_enabled(
        self, enabled: bool, *, others_read: bool = True, cause: str = ""
    ) -> None:
        """Starts reading from the source, or stops and leaves it to other instances.

        :param others_read: whether other instances read successfully, so that an outage
            affects only this one.
        :param cause: why, for the log.
        """
        if enabled == self._reading_enabled:
            return
        self._reading_enabled = enabled
        logger.info("reading of the record source changed", reads=enabled, cause=cause)
        self._has_answered = False
        if enabled:
            self._reading_resumed.set()
            self._reading_resumed = anyio.Event()
            return
        if others_read:
            self._status.discard_outage()
        self._cancel_watch()

    def observe_peer_reader(self, since_outage_seconds: float) -> None:
        """Records that another instance reads from the source.

        An instance that calls the source itself finds out by its own calls whether the
        source answers it.

        :param since_outage_seconds: time since the last outage that the other instance
            knows of; infinite without one.
        """
        if self.is_polling:
            self._status.observe_peer_recovery(since_outage_seconds)
        else:
            self._status.observe_peer_reader(since_outage_seconds)

    def observe_peer_revision(self, revision: int) -> None:
        """Restarts the watch if it lags behind another instance for too long."""
        if revision <= self._cache.revision or self._watch_scope is None:
            self._lagging_since_seconds = None
            return
        now_seconds = self._clock.monotonic_seconds()
        if self._lagging_since_seconds is None:
            self._lagging_since_seconds = now_seconds
        if now_seconds - self._lagging_since_seconds > MAX_LAG_SECONDS:
            logger.warning(
                "watch lags behind peers; restarting",
                revision=describe_revision(revision),
            )
            self._lagging_since_seconds = None
            self._cancel_watch()

    def _cancel_watch(self) -> None:
        if self._watch_scope is None:
            return
        self._status.observe_cancellation()
        self._watch_scope.cancel()

    async def _read_once(self, needs_snapshot: bool) -> None:
        """Makes one call to the source: a snapshot or a watch."""
        since_answer_seconds = self._status.measure_seconds_since_answer()
        self._status.observe_call()
        if needs_snapshot:
            batch = await self._source.read_all(SLOW_RESPONSE_TIMEOUT_SECONDS)
            self._observe_answer(batch)
            return
        revision_before = self._cache.revision
        wait_seconds = max(0.0, MAX_ANSWER_INTERVAL_SECONDS - since_answer_seconds)
        with anyio.CancelScope() as self._watch_scope:
            batch = await self._source.wait_for_changes(
                revision_before, wait_seconds, self._response_timeout_seconds
            )
            self._observe_response_time(
                self._status.measure_open_call_seconds() - wait_seconds
            )
            self._observe_answer(batch)
        self._watch_scope = None
        if self._cache.revision > revision_before:
            await self._sleep(self._batching_seconds)

    def _observe_answer(self, batch: RecordBatch) -> None:
        self._has_answered = True
        self._status.observe_success(batch.revision)
        self._apply_batch(batch)

    def _observe_failure(self, error: RecordSourceError) -> None:
        was_reading = self.is_reading
        self._response_timeout_seconds = SLOW_RESPONSE_TIMEOUT_SECONDS
        self._status.observe_failure(error)
        if not was_reading:
            return
        for subscriber in self._outage_subscribers:
            subscriber()

    def _observe_response_time(self, seconds: float) -> None:
        is_slow = seconds > SLOW_RESPONSE_SECONDS
        self._response_timeout_seconds = (
            SLOW_RESPONSE_TIMEOUT_SECONDS if is_slow else RESPONSE_TIMEOUT_SECONDS
        )

    def _apply_batch(self, batch: RecordBatch) -> None:
        before, ignored_before = self._cache.revision, self._cache.ignored_count
        self._cache.apply(batch)
        ignored = self._cache.ignored_count - ignored_before
        if batch.whole or ignored:
            logger.info(
                "records read",
                snapshot=batch.whole,
                revision=describe_revision(batch.revision),
                before=describe_revision(before),
                records=len(batch.records),
                ignored=ignored,
            )
