"""Tokens taken for a request, from admission until the request is dispatched."""

from dataclasses import dataclass
from typing import Protocol

from egrethall.admission._buckets import TokenBucket
from egrethall.admission._token_pool import HeldLoan, TokenPool
from egrethall.types import Clock

#: Longest delay between taking a token and dispatch that needs no new token. Network
#: delays move requests closer together by about as much anyway.
MAX_DISPATCH_DELAY_SECONDS = 0.02


class TakenToken(Protocol):
    """A token that was taken for a request that is not dispatched yet."""

    def spend(self) -> None:
        """Records that the request is being dispatched."""
        ...

    def give_back(self) -> None:
        """Returns the token unused, because its request was not dispatched."""
        ...


@dataclass(frozen=True)
class BorrowedToken:
    """A :class:`TakenToken` from a loan of another instance."""

    pool: TokenPool
    loan: HeldLoan

    def spend(self) -> None:
        """Records that the token was used."""
        self.pool.spend(self.loan)

    def give_back(self) -> None:
        """Returns the token to its loan; it is unusable if the loan has expired."""
        self.pool.give_back(self.loan)


@dataclass(frozen=True)
class LocalToken:
    """A :class:`TakenToken` from a bucket that this instance holds.

    The bucket object belongs to one tenure of the shard and is no longer read after
    the tenure, so giving back a token late has no effect.
    """

    bucket: TokenBucket
    number: int
    clock: Clock

    def spend(self) -> None:
        """Records that the token was used."""
        self.bucket.spend(self.number)

    def give_back(self) -> None:
        """Returns the token to its bucket, unless it has expired."""
        self.bucket.give_back(self.number, self.clock.monotonic_seconds())


class TokenAllocator(Protocol):
    """Takes tokens from organisations' allowances."""

    async def take_organisation_token(
        self, organisation: str, deadline_at_seconds: float
    ) -> TakenToken:
        """Takes one token; raises :class:`~egrethall.types.RefusedError` if none."""
        ...


class AdmittedToken:
    """The :class:`~egrethall.types.AllowanceToken` of one admitted request.

    A request may wait for an upstream after its admission. If the token counted from
    admission only, a queue could release more requests at once than the burst. A
    token that was taken more than :data:`MAX_DISPATCH_DELAY_SECONDS` before dispatch
    is therefore given back and another one (often the same) is taken at dispatch.
    """

    def __init__(
        self,
        allocator: TokenAllocator,
        clock: Clock,
        organisation: str,
        token: TakenToken,
    ) -> None:
        self._allocator = allocator
        self._clock = clock
        self._organisation = organisation
        self._token = token
        self._taken_at_seconds = clock.monotonic_seconds()

    async def confirm(self, deadline_at_seconds: float) -> None:
        """Spends a token as of now; raises :class:`~egrethall.types.RefusedError`."""
        now = self._clock.monotonic_seconds()
        if now - self._taken_at_seconds > MAX_DISPATCH_DELAY_SECONDS:
            self._token.give_back()
            self._token = await self._allocator.take_organisation_token(
                self._organisation, deadline_at_seconds
            )
        self._token.spend()
