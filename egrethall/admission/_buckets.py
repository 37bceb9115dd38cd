"""Token buckets that lend tokens to other instances."""

import heapq
import math

from egrethall.admission._limits import BucketLimit
from egrethall.types import InstanceId

#: Tolerance for rounding errors of the level, in tokens; the errors are far smaller.
LEVEL_TOLERANCE = 1e-9


class TokenBucket:
    """A token bucket with its level and its outstanding loans.

    The level plus the lent tokens that may still be spent never exceeds the burst, so
    that spending over any interval stays within burst + rate x length.
    """

    def __init__(self, limit: BucketLimit, refill_start_seconds: float) -> None:
        self.limit = limit
        self._level = 0.0
        self._lent = 0
        self._refilled_until_seconds = refill_start_seconds
        #: Heap of (expiry time, loan sequence number, loan key); the entries of settled
        #: loans stay until they expire.
        self._expiries: list[tuple[float, int, tuple[InstanceId | None, int]]] = []
        self._loan_sequence = 0
        self._loans: dict[tuple[InstanceId | None, int], int] = {}
        self._last_requests: dict[InstanceId, int] = {}
        self._last_retry_at_seconds = 0.0

    @property
    def level(self) -> float:
        """Tokens available to lend or spend, as of the last refresh."""
        return self._level

    @property
    def lent(self) -> int:
        """Tokens on loan, neither settled nor expired, as of the last refresh."""
        return self._lent

    def is_refilling(self, now: float) -> bool:
        """Returns whether the bucket has reached its refill start."""
        return now >= self._refilled_until_seconds

    def refresh(self, now: float) -> None:
        """Refills up to ``now`` and drops the loans that have expired by then."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, _, key = heapq.heappop(self._expiries)
            self._refill(expires_at)
            self._lent -= self._loans.pop(key, 0)
        self._refill(now)

    def change_limit(self, limit: BucketLimit, now: float) -> None:
        """Refills by the old limit up to ``now``, then applies the new one."""
        self.refresh(now)
        self.limit = limit
        self._level = max(0.0, min(self._level, limit.burst - self._lent))

    def take(self, now: float, expires_at_seconds: float) -> int | None:
        """Takes one token for a request on this instance.

        The token counts as lent until :meth:`spend`, :meth:`give_back` or its expiry,
        so that the bucket does not refill in its place. Returns the token's number,
        or None if no token is available.
        """
        self.refresh(now)
        if self._level < 1.0 - LEVEL_TOLERANCE:
            return None
        self._level = max(0.0, self._level - 1.0)
        number = -1 - self._loan_sequence
        self.add_loan(None, number, 1, expires_at_seconds)
        return number

    def spend(self, number: int) -> None:
        """Records that a token from :meth:`take` was used."""
        self._lent -= self._loans.pop((None, number), 0)

    def give_back(self, number: int, now: float) -> None:
        """Returns an unused token to the bucket; it is lost if it has expired."""
        self.refresh(now)
        amount = self._loans.pop((None, number), 0)
        self._lent -= amount
        self._level += amount

    def is_repeated(self, borrower: InstanceId, request_id: int) -> bool:
        """Returns whether this or a later request of ``borrower`` was handled."""
        return request_id <= self._last_requests.get(borrower, 0)

    def settle(self, borrower: InstanceId, request_id: int, now: float) -> None:
        """Removes the loans of ``borrower`` up to ``request_id``, which are used up."""
        self.refresh(now)
        for key in [
            key for key in self._loans if key[0] == borrower and key[1] <= request_id
        ]:
            self._lent -= self._loans.pop(key)

    def lend(
        self,
        borrower: InstanceId,
        request_id: int,
        amount: int,
        expires_at_seconds: float,
        now: float,
    ) -> int:
        """Lends up to ``amount`` whole tokens and returns the number lent."""
        self.refresh(now)
        self._last_requests[borrower] = request_id
        lent = max(0, min(amount, math.floor(self._level + LEVEL_TOLERANCE)))
        if lent:
            self._level = max(0.0, self._level - lent)
            self.add_loan(borrower, request_id, lent, expires_at_seconds)
        return lent

    def add_loan(
        self,
        borrower: InstanceId | None,
        request_id: int,
        amount: int,
        expires_at_seconds: float,
    ) -> None:
        """Counts ``amount`` tokens as lent until they expire or are settled."""
        self._lent += amount
        key = (borrower, request_id)
        self._loans[key] = amount
        self._loan_sequence += 1
        heapq.heappush(self._expiries, (expires_at_seconds, self._loan_sequence, key))

    def restore(self, level: float) -> None:
        """Sets the level from a handover, capped at the burst less the lent tokens."""
        self._level = max(0.0, min(level, self.limit.burst - self._lent))

    def lent_for_seconds(self, now: float) -> float:
        """Returns the time until the last outstanding loan has expired."""
        last = max((entry[0] for entry in self._expiries), default=now)
        return max(0.0, last - now)

    def seconds_until_token(self, now: float) -> float:
        """Returns the time until a whole token is available; 1 if the rate is zero."""
        rate = self.limit.rate_per_second
        if rate <= 0.0:
            return 1.0
        until_refill = max(0.0, self._refilled_until_seconds - now)
        return until_refill + max(0.0, 1.0 - self._level) / rate

    def schedule_retry(self, now: float, max_spread_seconds: float) -> float:
        """Assigns a refused borrower a retry time and returns the delay until then.

        Successive refusals get retry times one token interval apart, so that the number
        of borrows depends on the rate and not on the number of borrowers. The spread is
        bounded because some borrowers never retry.
        """
        rate = self.limit.rate_per_second
        if rate <= 0.0:
            return max_spread_seconds
        earliest = now + self.seconds_until_token(now)
        retry_at = max(earliest, self._last_retry_at_seconds + 1.0 / rate)
        self._last_retry_at_seconds = min(retry_at, earliest + max_spread_seconds)
        return self._last_retry_at_seconds - now

    def _refill(self, until: float) -> None:
        elapsed = until - self._refilled_until_seconds
        if elapsed <= 0.0:
            return
        self._refilled_until_seconds = until
        refilled = self._level + elapsed * self.limit.rate_per_second
        self._level = max(self._level, min(refilled, self.limit.burst - self._lent))
