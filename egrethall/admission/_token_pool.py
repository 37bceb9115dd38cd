"""Borrowed tokens of one organisation or upstream on one instance."""

import math
from collections import deque
from dataclasses import dataclass, field

import anyio

from egrethall.types import Borrow, InstanceId, Loan

#: Time constant of the exponentially weighted demand estimate.
DEMAND_TIME_CONSTANT_SECONDS = 0.5

#: Time for which nothing is borrowed from a bucket after its holder did not answer.
UNREACHABLE_BACKOFF_SECONDS = 0.05

#: After an instance answers that it does not hold a shard, no tokens of that shard are
#: requested from it for this time. A handover takes 5 to 25 ms to reach the new holder.
NOT_HOLDER_VALID_SECONDS = 0.05


@dataclass
class TokenSource:
    """A borrower's view of one bucket and its holder."""

    resource: str
    shard: int
    #: Time at which the borrow in flight was sent, None if none is in flight.
    borrow_sent_at_seconds: float | None = None
    borrow_amount: int = 0
    #: The holder reported that no token is available before this time.
    empty_until_seconds: float = 0.0
    #: The holder did not answer; no borrow is sent before this time.
    unreachable_until_seconds: float = 0.0
    #: The last instance that reported not to hold the shard, and until when its report
    #: is trusted.
    not_holder: InstanceId | None = None
    not_holder_until_seconds: float = 0.0
    #: Request id of the last borrow that has ended.
    last_ended_request_id: int = 0
    #: Tokens spent since the last borrow was sent.
    spent: int = 0

    def can_borrow(self, now: float) -> bool:
        """Returns whether a borrow may be sent for this bucket now."""
        if self.borrow_sent_at_seconds is not None:
            return False
        return now >= max(self.empty_until_seconds, self.unreachable_until_seconds)

    def is_known_not_holder(self, instance: InstanceId, now: float) -> bool:
        """Returns whether ``instance`` recently reported not to hold the shard."""
        return instance == self.not_holder and now < self.not_holder_until_seconds

    def start_borrow(self, amount: int, now: float) -> None:
        """Records that a borrow is being sent."""
        self.borrow_sent_at_seconds = now
        self.borrow_amount = amount

    def end_borrow(self, request_id: int) -> None:
        """Records that the borrow has ended; a later answer to it is ignored."""
        self.last_ended_request_id = request_id
        self.borrow_sent_at_seconds = None
        self.borrow_amount = 0

    def record_not_holder(self, instance: InstanceId, now: float) -> None:
        """Records that ``instance`` reported not to hold the shard."""
        self.not_holder = instance
        self.not_holder_until_seconds = now + NOT_HOLDER_VALID_SECONDS

    def record_no_answer(self, now: float) -> None:
        """Records that the holder did not answer."""
        self.unreachable_until_seconds = now + UNREACHABLE_BACKOFF_SECONDS


@dataclass
class HeldLoan:
    """The remaining tokens of one loan."""

    source: TokenSource
    request_id: int
    amount: int
    expires_at_seconds: float
    #: Tokens taken for requests that are not dispatched yet. The loan is not settled
    #: before, since the holder must continue to count these tokens as lent.
    reserved: int = 0


@dataclass
class TokenPool:
    """Borrowed tokens, the buckets they come from, and the waiting requests."""

    #: Every bucket that was ever a source, by resource. Buckets are kept when a plan
    #: changes, since settlements must cover all loans that were ever taken.
    known_sources: dict[str, TokenSource] = field(default_factory=dict)
    #: The buckets that currently have a limit.
    sources: tuple[TokenSource, ...] = ()
    #: The resource names of ``sources``, compared with the limits in force for every
    #: request.
    resources: tuple[str, ...] = ()
    #: Number of requests that wait for a token.
    waiting: int = 0
    #: Set and replaced whenever a borrow has ended.
    borrow_ended: anyio.Event = field(default_factory=anyio.Event)
    #: Index of the source from which to borrow next.
    next_source_index: int = 0
    #: Tokens that expired unused or had expired on arrival.
    expired_tokens: int = 0
    _loans: deque[HeldLoan] = field(default_factory=deque)
    _demand_per_second: float = 0.0
    _demand_at_seconds: float = 0.0

    def count_request(self, now: float) -> None:
        """Adds one request to the demand estimate."""
        self._demand_per_second = (
            self.demand_per_second(now) + 1.0 / DEMAND_TIME_CONSTANT_SECONDS
        )
        self._demand_at_seconds = now

    def demand_per_second(self, now: float) -> float:
        """Returns an exponentially weighted rate of all requests, refused ones too."""
        elapsed = now - self._demand_at_seconds
        return self._demand_per_second * math.exp(
            -elapsed / DEMAND_TIME_CONSTANT_SECONDS
        )

    def accept_loan(
        self,
        source: TokenSource,
        borrow: Borrow,
        loan: Loan,
        sent_at_seconds: float,
        now: float,
    ) -> int:
        """Adds the tokens of a loan that is still valid; returns the number added."""
        source.not_holder = None
        if loan.amount < borrow.amount:
            source.empty_until_seconds = now + loan.retry_after_seconds
        expires_at = sent_at_seconds + loan.valid_for_seconds
        if loan.amount < 1 or now >= expires_at:
            self.expired_tokens += max(0, loan.amount)
            return 0
        self._loans.append(HeldLoan(source, borrow.request_id, loan.amount, expires_at))
        return loan.amount

    def take(self, now: float) -> HeldLoan | None:
        """Takes a token from the oldest valid loan; returns None if there is none.

        The caller must then call :meth:`spend` or :meth:`give_back`.
        """
        self._drop_finished_loans(now)
        for loan in self._loans:
            if loan.amount > 0:
                loan.amount -= 1
                loan.reserved += 1
                return loan
        return None

    def spend(self, loan: HeldLoan) -> None:
        """Records that a token taken from ``loan`` was used."""
        loan.reserved -= 1
        loan.source.spent += 1

    def give_back(self, loan: HeldLoan) -> None:
        """Returns an unused token to ``loan``; its expiry is unchanged."""
        loan.reserved -= 1
        loan.amount += 1

    def available(self, now: float) -> int:
        """Returns the number of valid tokens that are not taken."""
        return sum(loan.amount for loan in self._loans if now < loan.expires_at_seconds)

    def settled_request_id(self, source: TokenSource, now: float) -> int:
        """Returns the request id of ``source`` up to which all loans are used up."""
        self._drop_finished_loans(now)
        open_requests = [
            loan.request_id for loan in self._loans if loan.source is source
        ]
        return min(open_requests, default=source.last_ended_request_id + 1) - 1

    def wake_waiting(self) -> None:
        """Wakes all waiting requests, so that they try again to take a token."""
        self.borrow_ended.set()
        self.borrow_ended = anyio.Event()

    def _drop_finished_loans(self, now: float) -> None:
        unfinished: deque[HeldLoan] = deque()
        for loan in self._loans:
            if now >= loan.expires_at_seconds:
                self.expired_tokens += loan.amount
            elif loan.amount > 0 or loan.reserved > 0:
                unfinished.append(loan)
        self._loans = unfinished
