"""The borrower's side of allowances: takes tokens and borrows them from holders."""

import math

import anyio
import anyio.abc

from egrethall.admission._counts import AllowanceCounts
from egrethall.admission._held_buckets import MIN_LOAN_SECONDS, HeldBuckets
from egrethall.admission._limits import upstream_resource
from egrethall.admission._token_pool import (
    UNREACHABLE_BACKOFF_SECONDS,
    TokenPool,
    TokenSource,
)
from egrethall.admission._tokens import (
    AdmittedToken,
    BorrowedToken,
    TakenToken,
)
from egrethall.types import (
    Borrow,
    Clock,
    InstanceId,
    PeerRequester,
    PeerUnavailableError,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
    ShardDirectory,
)

#: Longest wait of a request for a token. Processes on shared machines stall for 100 ms
#: and more, and refusing a request because of a stall is worse than delaying it.
MAX_WAIT_SECONDS = 0.25

#: Timeout of a borrow. Tokens for a waiting request are not valid for longer, so a
#: later answer would be useless.
BORROW_TIMEOUT_SECONDS = MIN_LOAN_SECONDS

#: Age of an unanswered borrow at which its waiting requests borrow from another bucket
#: as well. A live holder answers within a few milliseconds.
HEDGE_DELAY_SECONDS = 0.012

#: Interval at which a waiting request checks for tokens even if no borrow has ended;
#: longer than :data:`HEDGE_DELAY_SECONDS`.
RECHECK_INTERVAL_SECONDS = 0.015

#: A prefetch borrows the tokens expected to be used in this time.
PREFETCH_SECONDS = 0.1

#: A prefetch starts when the tokens left would last less than this.
PREFETCH_THRESHOLD_SECONDS = 0.02

#: Smallest number of tokens to prefetch; fewer often expire unused.
MIN_PREFETCH_TOKENS = 2

#: Largest share of a bucket's burst that one instance prefetches.
PREFETCH_BURST_RATIO = 0.25

#: Requested validity of prefetched tokens, as a multiple of :data:`PREFETCH_SECONDS`.
PREFETCH_VALIDITY_RATIO = 5.0


class AllowanceBorrower:
    """An :class:`AllowanceGate` and :class:`UpstreamTokenGate` of an entry instance.

    A token comes from the pool of borrowed tokens or from a bucket that this instance
    holds, both without waiting, or is borrowed from the holder of a bucket. Borrows run
    in separate tasks (:meth:`run`), at most one per bucket at a time, so that a
    cancelled caller does not cancel the borrow of other callers' tokens.
    """

    def __init__(
        self,
        instance: InstanceId,
        held_buckets: HeldBuckets,
        requester: PeerRequester,
        directory: ShardDirectory,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._instance = instance
        self._held_buckets = held_buckets
        self._requester = requester
        self._directory = directory
        self._clock = clock
        self._random = random
        self._pools: dict[str, TokenPool] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._request_id = 0
        self._counts = AllowanceCounts()

    @property
    def counts(self) -> AllowanceCounts:
        """Counters since the start."""
        self._counts.expired_tokens = sum(
            pool.expired_tokens for pool in self._pools.values()
        )
        return self._counts

    async def run(self) -> None:
        """Runs the borrows until cancelled; nothing is borrowed before or after."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def admit(
        self, organisation: str, deadline_at_seconds: float
    ) -> AdmittedToken:
        """Takes one token from the organisation's allowance.

        Raises :class:`RefusedError` with ``rate-exceeded`` if a holder reported that no
        token is left, and with ``allowance-unavailable`` if no holder answered in time.
        """
        token = await self.take_organisation_token(organisation, deadline_at_seconds)
        self._counts.admitted[organisation] += 1
        return AdmittedToken(self, self._clock, organisation, token)

    async def take_token(self, upstream: str, deadline_at_seconds: float) -> bool:
        """Takes one token from a cold upstream's bucket; returns False if empty."""
        resource = upstream_resource(upstream)
        if self._held_buckets.limits.find(resource).burst <= 0.0:
            return False
        pool = self._get_or_create_pool(resource, (resource,))
        token = self._take_available(pool, self._clock.monotonic_seconds())
        if token is None:
            token = await self._wait_for_token(pool, deadline_at_seconds)
        if token is None:
            return False
        token.spend()
        return True

    async def take_organisation_token(
        self, organisation: str, deadline_at_seconds: float
    ) -> TakenToken:
        """Takes one token; raises :class:`RefusedError` as :meth:`admit` does."""
        token = await self._try_take_organisation_token(
            organisation, deadline_at_seconds
        )
        if isinstance(token, Refusal):
            self._counts.refused[organisation, token.reason.code] += 1
            raise RefusedError(token)
        return token

    async def _try_take_organisation_token(
        self, organisation: str, deadline_at_seconds: float
    ) -> TakenToken | Refusal:
        """Returns a token, or the refusal if none is available."""
        resources = self._held_buckets.limits.organisation_buckets(organisation)
        if not resources:
            return Refusal(
                RefusalReason.ALLOWANCE_UNAVAILABLE,
                f"the allowance of {organisation} is not in force on this instance",
            )
        pool = self._get_or_create_pool(f"organisation/{organisation}", resources)
        now = self._clock.monotonic_seconds()
        pool.count_request(now)
        token = self._take_available(pool, now)
        if token is None:
            token = await self._wait_for_token(pool, deadline_at_seconds)
        if token is None:
            return self._build_refusal(organisation, pool)
        if isinstance(token, BorrowedToken):
            self._prefetch(pool, self._clock.monotonic_seconds())
        return token

    def _get_or_create_pool(self, name: str, resources: tuple[str, ...]) -> TokenPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = TokenPool()
        if pool.resources != resources:
            pool.resources = resources
            for resource in resources:
                if resource not in pool.known_sources:
                    shard = self._held_buckets.find_shard(resource)
                    pool.known_sources[resource] = TokenSource(resource, shard)
            pool.sources = tuple(pool.known_sources[name] for name in resources)
            # A random start spreads the instances over the buckets; otherwise they
            # would all empty the same bucket at a time.
            pool.next_source_index = self._random.getrandbits(8)
        return pool

    def _take_available(self, pool: TokenPool, now: float) -> TakenToken | None:
        loan = pool.take(now)
        if loan is not None:
            return BorrowedToken(pool, loan)
        for source in pool.sources:
            token = self._held_buckets.take(source.resource)
            if token is not None:
                return token
        return None

    async def _wait_for_token(
        self, pool: TokenPool, deadline_at_seconds: float
    ) -> TakenToken | None:
        now = self._clock.monotonic_seconds()
        wait_until = min(now + MAX_WAIT_SECONDS, deadline_at_seconds)
        pool.waiting += 1
        try:
            while now < wait_until:
                if not self._borrow_for_waiting(pool, now) and self._is_known_empty(
                    pool, now
                ):
                    return None
                borrow_ended = pool.borrow_ended
                with anyio.move_on_after(
                    min(wait_until - now, RECHECK_INTERVAL_SECONDS)
                ):
                    await borrow_ended.wait()
                now = self._clock.monotonic_seconds()
                if now >= deadline_at_seconds:
                    return None
                # Try even after ``wait_until``: if this task woke up late, the token
                # may have arrived in time.
                token = self._take_available(pool, now)
                if token is not None:
                    return token
            return None
        finally:
            pool.waiting -= 1

    def _is_known_empty(self, pool: TokenPool, now: float) -> bool:
        """Returns whether every bucket is known to have no token at present."""
        return all(
            now < source.empty_until_seconds
            or self._held_buckets.is_held(source.resource)
            for source in pool.sources
        )

    def _borrow_for_waiting(self, pool: TokenPool, now: float) -> bool:
        """Starts a borrow if one is needed; returns whether any is in flight."""
        in_flight = [
            source
            for source in pool.sources
            if source.borrow_sent_at_seconds is not None
        ]
        requested_tokens = sum(
            source.borrow_amount
            for source in in_flight
            if now - (source.borrow_sent_at_seconds or 0.0) < HEDGE_DELAY_SECONDS
        )
        needed = pool.waiting - requested_tokens
        if needed > 0 and self._start_borrow(pool, needed, now):
            return True
        return bool(in_flight)

    def _prefetch(self, pool: TokenPool, now: float) -> None:
        demand = pool.demand_per_second(now)
        if demand * PREFETCH_SECONDS < MIN_PREFETCH_TOKENS:
            return
        if pool.available(now) >= demand * PREFETCH_THRESHOLD_SECONDS:
            return
        if any(source.borrow_sent_at_seconds is not None for source in pool.sources):
            return
        self._start_borrow(pool, 0, now)

    def _start_borrow(self, pool: TokenPool, needed: int, now: float) -> bool:
        if self._tasks is None:
            return False
        sources = pool.sources
        for offset in range(len(sources)):
            index = (pool.next_source_index + offset) % len(sources)
            source = sources[index]
            lender = self._find_lender(source, now)
            if lender is None:
                continue
            pool.next_source_index = index + 1
            prefetch_amount = self._find_prefetch_amount(pool, source, now)
            amount = needed + prefetch_amount
            if amount < 1:
                return False
            wanted_seconds = (
                PREFETCH_SECONDS * PREFETCH_VALIDITY_RATIO
                if prefetch_amount
                else MIN_LOAN_SECONDS
            )
            source.start_borrow(amount, now)
            self._tasks.start_soon(
                self._borrow, pool, source, lender, amount, wanted_seconds
            )
            return True
        return False

    def _find_prefetch_amount(
        self, pool: TokenPool, source: TokenSource, now: float
    ) -> int:
        if not source.resource.startswith("organisation/"):
            return 0
        demand_tokens = pool.demand_per_second(now) * PREFETCH_SECONDS
        if demand_tokens < MIN_PREFETCH_TOKENS:
            return 0
        burst = self._held_buckets.limits.find(source.resource).burst
        return min(math.floor(demand_tokens), math.floor(burst * PREFETCH_BURST_RATIO))

    def _find_lender(self, source: TokenSource, now: float) -> InstanceId | None:
        """Returns the instance to borrow from for ``source``, None if there is none."""
        if not source.can_borrow(now):
            return None
        candidates = (
            self._directory.find_holder(source.shard),
            self._directory.find_successor(source.shard),
        )
        for candidate in candidates:
            if candidate is None or candidate == self._instance:
                continue
            if not source.is_known_not_holder(candidate, now):
                return candidate
        return None

    async def _borrow(
        self,
        pool: TokenPool,
        source: TokenSource,
        holder: InstanceId,
        amount: int,
        wanted_seconds: float,
    ) -> None:
        self._request_id += 1
        request_id = self._request_id
        sent_at = self._clock.monotonic_seconds()
        borrow = Borrow(
            request_id,
            source.resource,
            amount,
            source.spent,
            pool.settled_request_id(source, sent_at),
            wanted_seconds,
        )
        source.spent = 0
        self._counts.borrows += 1
        try:
            with anyio.fail_after(BORROW_TIMEOUT_SECONDS):
                loan = await self._requester.request_loan(
                    holder, borrow, BORROW_TIMEOUT_SECONDS
                )
        except (PeerUnavailableError, TimeoutError):
            self._counts.unanswered_borrows += 1
            source.record_no_answer(self._clock.monotonic_seconds())
        else:
            now = self._clock.monotonic_seconds()
            if not loan.is_holder:
                self._counts.misdirected_borrows += 1
                source.record_not_holder(holder, now)
            elif loan.request_id == request_id:
                self._counts.borrowed_tokens += pool.accept_loan(
                    source, borrow, loan, sent_at, now
                )
        finally:
            source.end_borrow(request_id)
            pool.wake_waiting()

    def _build_refusal(self, organisation: str, pool: TokenPool) -> Refusal:
        now = self._clock.monotonic_seconds()
        waits = [
            source.empty_until_seconds - now
            for source in pool.sources
            if source.empty_until_seconds > now
        ]
        waits += [
            self._held_buckets.retry_after_seconds(source.resource)
            for source in pool.sources
            if self._held_buckets.is_held(source.resource)
        ]
        if waits:
            return Refusal(
                RefusalReason.RATE_EXCEEDED,
                f"{organisation} has used up its rate and burst",
                min(waits),
            )
        return Refusal(
            RefusalReason.ALLOWANCE_UNAVAILABLE,
            f"no instance that counts the allowance of {organisation} answered in time",
            UNREACHABLE_BACKOFF_SECONDS,
        )
