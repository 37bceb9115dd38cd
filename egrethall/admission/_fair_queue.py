"""A bounded queue of requests that wait for a slot, fair between organisations."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio

from egrethall.types import Clock, Refusal, RefusalReason, RefusedError

Grant = TypeVar("Grant")

#: Cost that is added to an organisation's deficit per round; a mean request costs 1.
DEFAULT_QUANTUM = 1.0

#: Weight of the newest measurement in the exponential moving averages.
SERVICE_TIME_WEIGHT = 0.1

#: Bounds of a request's cost, so that a few unusual service times neither make an
#: organisation's requests nearly free nor delay them for many rounds.
MIN_COST = 0.25
MAX_COST = 4.0

#: Number of organisations whose service times are kept; the least recently served one
#: is evicted first.
MAX_MEASURED_ORGANISATIONS = 1024

#: Time that a waiter must have left before its deadline, as a multiple of the mean
#: latency. Latencies vary: with just the mean left, every second request would run and
#: be answered too late.
LATENCY_MARGIN_RATIO = 2.0


class _Waiter(Generic[Grant]):
    """One request in the queue."""

    def __init__(
        self,
        organisation: str,
        deadline_at_seconds: float,
        try_grant: Callable[[], Grant | None],
        cost: float,
        is_skippable: bool,
    ) -> None:
        self.organisation = organisation
        self.deadline_at_seconds = deadline_at_seconds
        self.try_grant = try_grant
        self.cost = cost
        self.is_skippable = is_skippable
        self.event = anyio.Event()
        self.grant: Grant | None = None
        self.refusal: Refusal | None = None


class _OrganisationQueue(Generic[Grant]):
    """The waiting requests of one organisation, in order of arrival."""

    def __init__(self) -> None:
        self.waiters: deque[_Waiter[Grant]] = deque()
        self.deficit = 0.0
        self.queued_cost = 0.0


class FairQueue(Generic[Grant]):
    """A bounded queue with deficit round robin between organisations.

    The policy is deficit round robin (Shreedhar and Varghese 1995). A request that is
    not expected to be answered before its deadline, by the measured service times, is
    refused on arrival. When the queue is full, a request of an organisation with a
    shorter queue evicts the newest waiter of the longest organisation queue.

    :param name: name of the service, for refusal messages.
    :param capacity: largest number of waiting requests.
    :param quantum: cost that an organisation may use per round.
    """

    def __init__(
        self,
        name: str,
        capacity: int,
        clock: Clock,
        quantum: float = DEFAULT_QUANTUM,
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._clock = clock
        self._quantum = quantum
        self._organisation_queues: OrderedDict[str, _OrganisationQueue[Grant]] = (
            OrderedDict()
        )
        self._length = 0
        #: True once the front queue has received the quantum of its current turn.
        self._front_has_quantum = False
        self._in_service = 0
        self._mean_service_seconds: float | None = None
        self._mean_latency_seconds: float | None = None
        self._organisation_seconds: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return self._length

    def set_capacity(self, capacity: int) -> None:
        """Changes the capacity; waiters beyond a lower capacity stay in the queue."""
        self._capacity = capacity

    def begin_service(self) -> None:
        """Counts a request that has taken a slot."""
        self._in_service += 1

    def end_service(self, organisation: str, service_seconds: float | None) -> None:
        """Counts a request that has released its slot.

        :param service_seconds: how long it held the slot; None if that is not a
            service time, as for a cancelled request.
        """
        self._in_service -= 1
        if service_seconds is None:
            return
        self._mean_service_seconds = _update_mean(
            self._mean_service_seconds, service_seconds
        )
        organisation_mean_seconds = self._organisation_seconds.pop(organisation, None)
        self._organisation_seconds[organisation] = _update_mean(
            organisation_mean_seconds, service_seconds
        )
        if len(self._organisation_seconds) > MAX_MEASURED_ORGANISATIONS:
            self._organisation_seconds.popitem(last=False)

    def observe_answer(self, latency_seconds: float) -> None:
        """Records the time from a request's dispatch to the start of its response.

        It is measured apart from the service time because a deadline bounds the start
        of the response, while a long download holds its slot until its end.
        """
        self._mean_latency_seconds = _update_mean(
            self._mean_latency_seconds, latency_seconds
        )

    def estimate_cost(self, organisation: str) -> float:
        """Returns the cost of a request, in mean service times.

        Organisations share slot time, not the number of requests; otherwise an
        organisation with slow requests would get most of the slot time.
        """
        organisation_mean_seconds = self._organisation_seconds.get(organisation)
        if organisation_mean_seconds is None or not self._mean_service_seconds:
            return 1.0
        return min(
            MAX_COST,
            max(MIN_COST, organisation_mean_seconds / self._mean_service_seconds),
        )

    def estimate_wait_seconds(self, organisation: str, cost: float = 1.0) -> float:
        """Returns the expected wait of a request that arrives now.

        In the rounds that the organisation's own queue needs, every other queue is
        served requests of at most the same cost. Returns 0 before the first
        measurement.
        """
        if self._mean_service_seconds is None or self._in_service == 0:
            return 0.0
        own_queue = self._organisation_queues.get(organisation)
        own_cost = cost + (own_queue.queued_cost if own_queue else 0.0)
        cost_ahead = own_cost
        for name, queue in self._organisation_queues.items():
            if name != organisation:
                cost_ahead += min(queue.queued_cost, max(own_cost, self._quantum))
        return cost_ahead * self._mean_service_seconds / self._in_service

    async def wait(
        self,
        organisation: str,
        deadline_at_seconds: float,
        try_grant: Callable[[], Grant | None],
        give_back: Callable[[Grant], None],
        cost: float = 1.0,
        is_skippable: bool = False,
    ) -> Grant:
        """Waits in the organisation's queue and returns the result of ``try_grant``.

        :param try_grant: takes a slot, or returns None if none is free; called when it
            is the request's turn.
        :param give_back: releases a slot that was granted to a cancelled request.
        :param is_skippable: True if free slots may suit other requests but not this
            one, so that it must not block them.

        Raises :class:`RefusedError` with ``overloaded``.
        """
        self._refuse_if_late(organisation, deadline_at_seconds, cost)
        self._evict_if_full(organisation)
        waiter = _Waiter(
            organisation, deadline_at_seconds, try_grant, cost, is_skippable
        )
        self._append(waiter)
        remaining_seconds = deadline_at_seconds - self._clock.monotonic_seconds()
        try:
            with anyio.move_on_after(remaining_seconds):
                await waiter.event.wait()
        except BaseException:
            if waiter.grant is not None:
                give_back(waiter.grant)
            raise
        finally:
            self._discard(waiter)
        if waiter.grant is not None:
            return waiter.grant
        raise RefusedError(waiter.refusal or self._build_expiry_refusal())

    def serve(self) -> None:
        """Grants free slots in turn until none is free or no request waits."""
        self.expire()
        while self._length:
            waiter = self._advance_to_next()
            grant = waiter.try_grant()
            if grant is not None:
                self._deliver(waiter, grant)
                continue
            if not waiter.is_skippable or not self._serve_out_of_turn(waiter):
                return

    def expire(self) -> None:
        """Refuses the waiters that can no longer be answered before their deadline.

        A waiter with less time left than most responses take would use a slot although
        its response would come too late.
        """
        now = self._clock.monotonic_seconds()
        needed_seconds = LATENCY_MARGIN_RATIO * (self._mean_latency_seconds or 0.0)
        for queue in list(self._organisation_queues.values()):
            for waiter in list(queue.waiters):
                if waiter.deadline_at_seconds <= now + needed_seconds:
                    self._refuse(waiter, self._build_expiry_refusal())

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuses every waiter, for example because no upstream is left."""
        for queue in list(self._organisation_queues.values()):
            for waiter in list(queue.waiters):
                self._refuse(waiter, refusal)

    def _refuse_if_late(
        self, organisation: str, deadline_at_seconds: float, cost: float
    ) -> None:
        remaining_seconds = deadline_at_seconds - self._clock.monotonic_seconds()
        wait_seconds = self.estimate_wait_seconds(organisation, cost)
        needed_seconds = wait_seconds + (self._mean_latency_seconds or 0.0)
        if remaining_seconds > 0 and needed_seconds <= remaining_seconds:
            return
        raise RefusedError(
            Refusal(
                RefusalReason.OVERLOADED,
                f"service {self._name} needs about {needed_seconds:.3f} s, "
                f"{max(remaining_seconds, 0.0):.3f} s are left",
                retry_after_seconds=wait_seconds,
            )
        )

    def _evict_if_full(self, organisation: str) -> None:
        if self._length < self._capacity:
            return
        longest = max(
            self._organisation_queues.values(),
            key=lambda queue: len(queue.waiters),
            default=None,
        )
        own_queue = self._organisation_queues.get(organisation)
        own_length = len(own_queue.waiters) if own_queue else 0
        refusal = Refusal(
            RefusalReason.OVERLOADED,
            f"the queue of service {self._name} is full ({self._capacity} requests)",
            retry_after_seconds=self.estimate_wait_seconds(organisation),
        )
        if longest is None or len(longest.waiters) <= own_length + 1:
            raise RefusedError(refusal)
        self._refuse(longest.waiters[-1], refusal)

    def _append(self, waiter: _Waiter[Grant]) -> None:
        queue = self._organisation_queues.get(waiter.organisation)
        if queue is None:
            queue = self._organisation_queues[waiter.organisation] = (
                _OrganisationQueue()
            )
        queue.waiters.append(waiter)
        queue.queued_cost += waiter.cost
        self._length += 1

    def _discard(self, waiter: _Waiter[Grant]) -> None:
        """Removes a waiter from its queue, if it is still there."""
        queue = self._organisation_queues.get(waiter.organisation)
        if queue is None or waiter not in queue.waiters:
            return
        queue.waiters.remove(waiter)
        queue.queued_cost -= waiter.cost
        self._length -= 1
        if queue.waiters:
            return
        if next(iter(self._organisation_queues)) == waiter.organisation:
            self._front_has_quantum = False
        del self._organisation_queues[waiter.organisation]

    def _advance_to_next(self) -> _Waiter[Grant]:
        """Moves to the waiter whose turn it is; repeated calls return the same one."""
        while True:
            organisation, queue = next(iter(self._organisation_queues.items()))
            if not self._front_has_quantum:
                queue.deficit += self._quantum
                self._front_has_quantum = True
            if queue.waiters[0].cost <= queue.deficit:
                return queue.waiters[0]
            self._organisation_queues.move_to_end(organisation)
            self._front_has_quantum = False

    def _serve_out_of_turn(self, blocked: _Waiter[Grant]) -> bool:
        for queue in list(self._organisation_queues.values()):
            for waiter in list(queue.waiters):
                if waiter is blocked:
                    continue
                grant = waiter.try_grant()
                if grant is not None:
                    self._deliver(waiter, grant)
                    return True
                if not waiter.is_skippable:
                    return False
        return False

    def _deliver(self, waiter: _Waiter[Grant], grant: Grant) -> None:
        waiter.grant = grant
        self._organisation_queues[waiter.organisation].deficit -= waiter.cost
        self._discard(waiter)
        waiter.event.set()

    def _refuse(self, waiter: _Waiter[Grant], refusal: Refusal) -> None:
        waiter.refusal = refusal
        self._discard(waiter)
        waiter.event.set()

    def _build_expiry_refusal(self) -> Refusal:
        return Refusal(
            RefusalReason.OVERLOADED,
            f"no upstream of service {self._name} became free before the deadline",
            retry_after_seconds=self._mean_service_seconds,
        )


def _update_mean(mean_seconds: float | None, newest_seconds: float) -> float:
    if mean_seconds is None:
        return newest_seconds
    return mean_seconds + SERVICE_TIME_WEIGHT * (newest_seconds - mean_seconds)
