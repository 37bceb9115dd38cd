"""Long-poll watches of the configuration and the instance list."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import anyio
import structlog

from egrethall.discovery._errors import PlatformError
from egrethall.discovery._interfaces import (
    ConfigurationService,
    InstanceList,
    PublishedText,
)
from egrethall.types import Clock, InstanceListing, RandomSource

#: Time for which the service holds a call open when there is no newer revision.
WATCH_SECONDS = 25.0
#: Bounds of the pause after a call that failed or returned too early. A call that is
#: not answered and the pause after it must fit into the 8 s of a change.
MINIMUM_BACK_OFF_SECONDS = 0.1
MAXIMUM_BACK_OFF_SECONDS = 1.5
#: A response without a value is early if it arrives before this part of the requested
#: wait: the service did not hold the call open.
EARLY_RESPONSE_RATIO = 0.5


class HasRevision(Protocol):
    """A published value with a revision."""

    @property
    def revision(self) -> int:
        """The revision of the value."""
        ...


Value = TypeVar("Value", bound=HasRevision)
Watch = Callable[[int, float], Awaitable[Value | None]]
Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True)
class WatchCounters:
    """Counters of a watch since its start."""

    calls: int = 0
    errors: int = 0
    #: Values that were delivered to the receiver.
    new_revisions: int = 0
    #: Values with a revision below the highest one known, which are ignored.
    lower_revisions: int = 0
    #: Values with the highest revision known, which are ignored.
    repeated_revisions: int = 0
    #: Responses without a value that arrived well before the end of the wait.
    early_answers: int = 0
    #: Values for which the receiver raised an exception.
    receiver_errors: int = 0


class WatchStatus:
    """Progress of a watch, read by the operators' interface and for heartbeats."""

    def __init__(self) -> None:
        self._counts = dict.fromkeys(WatchCounters.__dataclass_fields__, 0)
        self._highest_revision = 0
        self._confirmed_seconds: float | None = None

    @property
    def highest_revision(self) -> int:
        """The highest revision confirmed by the service."""
        return self._highest_revision

    @property
    def confirmed_seconds(self) -> float | None:
        """Clock reading at the last response that confirmed the highest revision.

        Such a response proves that the revision was current when it was sent.
        """
        return self._confirmed_seconds

    def confirmed_age_seconds(self, revision: int, now_seconds: float) -> float:
        """Returns the time since ``revision`` was last confirmed as current.

        It is infinite if there was no confirmation, or if the highest confirmed
        revision is another one.
        """
        if self._confirmed_seconds is None or revision != self._highest_revision:
            return math.inf
        return max(0.0, now_seconds - self._confirmed_seconds)

    def read_counters(self) -> WatchCounters:
        """Returns the current values of the counters."""
        return WatchCounters(**self._counts)

    def count(self, name: str) -> None:
        """Adds 1 to the counter ``name`` of :class:`WatchCounters`."""
        self._counts[name] += 1

    def record_confirmed(self, revision: int, confirmed_seconds: float) -> None:
        """Records that the service confirmed ``revision`` as the current one."""
        self._highest_revision = max(self._highest_revision, revision)
        self._confirmed_seconds = confirmed_seconds


class _WatchLoop(Generic[Value]):
    """Calls a service in a loop and delivers new values to a receiver."""

    def __init__(
        self,
        name: str,
        watch: Watch[Value],
        receive: Callable[[Value], Awaitable[None]],
        current_revision: Callable[[], int],
        clock: Clock,
        random_source: RandomSource,
        status: WatchStatus,
        wait_seconds: float,
        sleep: Sleep,
    ) -> None:
        self._name = name
        self._watch = watch
        self._receive = receive
        self._current_revision = current_revision
        self._clock = clock
        self._random_source = random_source
        self._status = status
        self._wait_seconds = wait_seconds
        self._sleep = sleep
        self._logger = structlog.get_logger("egrethall.discovery")
        #: Consecutive calls after which the loop backs off: they failed, returned
        #: early, returned a known or lower revision, or returned a new one sooner
        #: than the minimum pause.
        self._back_off_calls = 0

    async def run(self) -> None:
        """Calls the service repeatedly, one call at a time, until it is cancelled."""
        while True:
            await self._call_once()
            if self._back_off_calls:
                await self._sleep(self._choose_back_off_seconds())

    async def _call_once(self) -> None:
        status = self._status
        # A revision received from a peer need not be fetched again, and one that this
        # instance rejected must not be fetched repeatedly.
        after = max(self._current_revision(), status.highest_revision)
        started_seconds = self._clock.monotonic_seconds()
        status.count("calls")
        try:
            value = await self._watch(after, self._wait_seconds)
        except PlatformError as error:
            status.count("errors")
            self._back_off_calls += 1
            self._logger.warning(
                "watch-failed",
                value=self._name,
                attempt=self._back_off_calls,
                detail=str(error),
            )
            return
        now_seconds = self._clock.monotonic_seconds()
        if value is None:
            status.record_confirmed(after, now_seconds)
            waited_seconds = now_seconds - started_seconds
            is_early = waited_seconds < self._wait_seconds * EARLY_RESPONSE_RATIO
            if is_early:
                status.count("early_answers")
            self._back_off_calls = self._back_off_calls + 1 if is_early else 0
            return
        if value.revision <= after:
            self._record_ignored(value, after, now_seconds)
            return
        status.record_confirmed(value.revision, now_seconds)
        await self._deliver(value)
        # A new revision resets the back-off. If it came within the shortest pause, that
        # pause still applies, so that rapid revisions cannot make the loop spin.
        is_rapid = now_seconds - started_seconds < MINIMUM_BACK_OFF_SECONDS
        self._back_off_calls = 1 if is_rapid else 0

    def _record_ignored(self, value: Value, after: int, now_seconds: float) -> None:
        self._back_off_calls += 1
        if value.revision == after:
            self._status.count("repeated_revisions")
            self._status.record_confirmed(after, now_seconds)
            return
        self._status.count("lower_revisions")
        self._logger.warning(
            "watch-lower-revision",
            value=self._name,
            revision=value.revision,
            in_force=after,
        )

    async def _deliver(self, value: Value) -> None:
        self._status.count("new_revisions")
        try:
            await self._receive(value)
        # The loop continues after an exception of the receiver: without its watch the
        # instance would never learn of withdrawn keys again.
        except Exception as error:
            self._status.count("receiver_errors")
            self._logger.error(
                "watch-receiver-failed",
                value=self._name,
                revision=value.revision,
                detail=repr(error),
            )

    def _choose_back_off_seconds(self) -> float:
        # The exponent is limited only to keep the power small.
        longest_seconds = MINIMUM_BACK_OFF_SECONDS * 2.0 ** min(
            self._back_off_calls, 10
        )
        return self._random_source.uniform(
            MINIMUM_BACK_OFF_SECONDS, min(longest_seconds, MAXIMUM_BACK_OFF_SECONDS)
        )


async def watch_configuration(
    service: ConfigurationService,
    receive: Callable[[PublishedText], Awaitable[None]],
    current_revision: Callable[[], int],
    clock: Clock,
    random_source: RandomSource,
    status: WatchStatus,
    wait_seconds: float = WATCH_SECONDS,
    sleep: Sleep = anyio.sleep,
) -> None:
    """Watches the published configuration until it is cancelled.

    :param service: The platform's configuration service.
    :param receive: Validates and applies a text; revisions increase from call to
        call.
    :param current_revision: Returns the revision in force, 0 without one.
    :param clock: Measures the duration of calls.
    :param random_source: Randomises the pauses, which spreads the calls of the fleet.
    :param status: Receives counters and confirmations.
    :param wait_seconds: Time for which the service holds a call open. A dead
        connection is detected after this time plus the margin of
        :class:`PlatformClient`.
    :param sleep: Pauses for a number of seconds.
    """
    await _WatchLoop(
        "configuration",
        service.watch,
        receive,
        current_revision,
        clock,
        random_source,
        status,
        wait_seconds,
        sleep,
    ).run()


async def watch_instances(
    instance_list: InstanceList,
    receive: Callable[[InstanceListing], Awaitable[None]],
    clock: Clock,
    random_source: RandomSource,
    status: WatchStatus,
    wait_seconds: float = WATCH_SECONDS,
    sleep: Sleep = anyio.sleep,
) -> None:
    """Watches the instance list until it is cancelled.

    :param instance_list: The platform's list.
    :param receive: Applies a listing; revisions increase from call to call.
    :param clock: Measures the duration of calls.
    :param random_source: Randomises the pauses, which spreads the calls of the fleet.
    :param status: Receives counters and confirmations.
    :param wait_seconds: Time for which the service holds a call open. A dead
        connection is detected after this time plus the margin of
        :class:`PlatformClient`.
    :param sleep: Pauses for a number of seconds.
    """
    await _WatchLoop(
        "instances",
        instance_list.watch,
        receive,
        lambda: 0,
        clock,
        random_source,
        status,
        wait_seconds,
        sleep,
    ).run()
