"""The token buckets of the shards that this instance holds."""

from egrethall.admission._buckets import TokenBucket
from egrethall.admission._counts import BucketSnapshot
from egrethall.admission._limits import BucketLimit, BucketLimits, upstream_resource
from egrethall.admission._shard_buckets import (
    MAX_LOAN_SECONDS,
    PendingHandover,
    ShardBuckets,
    TenureView,
)
from egrethall.admission._tokens import LocalToken
from egrethall.leases import shard_of, shorten_by_drift
from egrethall.types import (
    Borrow,
    BucketState,
    Clock,
    Configuration,
    Handover,
    InstanceId,
    Loan,
)

#: Lower bound on the longest validity of a loan, however small its bucket.
MIN_LOAN_SECONDS = 0.1

#: Longest validity of a loan, as the share of the burst that the bucket's full rate
#: yields in that time. Lent tokens keep the bucket from refilling.
LOAN_BURST_RATIO = 0.25

#: Upper bound on the spread of refused borrowers' retry times.
MAX_RETRY_SPREAD_SECONDS = 0.25

#: Burst of a warming upstream, as the time in which its rate yields that burst.
UPSTREAM_BURST_SECONDS = 0.1


class HeldBuckets:
    """Levels and loans of the buckets whose shards this instance holds.

    The state is valid for one tenure of its shard. A new holder without a handover
    starts with empty buckets and refills them only after :data:`MAX_LOAN_SECONDS`,
    because the previous holder may have released the shard while loans were still in
    use. During that time it accepts a handover that is recent enough that no other
    holder can have refilled the buckets since it was created.
    """

    def __init__(self, tenures: TenureView, clock: Clock) -> None:
        self._tenures = tenures
        self._clock = clock
        self._limits = BucketLimits()
        self._limit_changed_at_seconds: dict[str, float] = {}
        self._shards: dict[int, ShardBuckets] = {}
        self._pending_handovers: dict[int, PendingHandover] = {}
        self._shard_by_resource: dict[str, int] = {}
        self._restored_loan_count = 0
        #: Tokens that borrowers reported as used, for metrics.
        self.reported_spent = 0

    @property
    def limits(self) -> BucketLimits:
        """The limits in force."""
        return self._limits

    def apply_configuration(self, configuration: Configuration) -> None:
        """Applies the lower limits of a newly accepted revision at once.

        Its higher limits apply when the revision is settled (:meth:`settle_revision`).
        """
        self._create_missing_buckets()
        before = self._snapshot_limits()
        self._limits.adopt(configuration)
        self._apply_limits(before)

    def settle_revision(self, revision: int, is_complete: bool = True) -> None:
        """Applies the higher limits up to the settled ``revision``.

        ``is_complete`` is False while another instance may apply a newer revision that
        this one never received (:attr:`RevisionSettlement.is_complete`).
        """
        if not self._limits.would_change(revision, is_complete):
            return
        self._create_missing_buckets()
        before = self._snapshot_limits()
        self._limits.settle_revision(revision, is_complete)
        self._apply_limits(before)

    def set_upstream_rate(self, upstream: str, rate_per_second: float) -> None:
        """Sets the rate of an upstream that is warming up.

        The rate applies for the current tenure; each new holder starts with the cold
        rate. The call has no effect if this instance does not hold the shard.
        """
        resource = upstream_resource(upstream)
        shard_buckets = self._sync_shard_of(resource)
        if shard_buckets is None:
            return
        shard_buckets.upstream_rates[resource] = rate_per_second
        bucket = self._get_or_create_bucket(shard_buckets, resource)
        limit = self._find_limit(shard_buckets, resource)
        bucket.change_limit(limit, self._clock.monotonic_seconds())

    def is_held(self, resource: str) -> bool:
        """Returns whether this instance currently holds the bucket's shard."""
        return self._tenures.is_held(self.find_shard(resource))

    def find_shard(self, resource: str) -> int:
        """Returns the shard of a bucket."""
        shard = self._shard_by_resource.get(resource)
        if shard is None:
            shard = shard_of(resource)
            if resource in self._limit_changed_at_seconds:
                self._shard_by_resource[resource] = shard
        return shard

    def take(self, resource: str) -> LocalToken | None:
        """Takes a token for a request on this instance from a bucket that it holds.

        Returns None if this instance does not hold the bucket or the bucket is empty.
        """
        shard_buckets = self._sync_shard_of(resource)
        if shard_buckets is None:
            return None
        now = self._clock.monotonic_seconds()
        bucket = self._get_or_create_bucket(shard_buckets, resource)
        number = bucket.take(now, now + MAX_LOAN_SECONDS)
        return None if number is None else LocalToken(bucket, number, self._clock)

    def snapshot_buckets(self) -> tuple[BucketSnapshot, ...]:
        """Returns snapshots of the buckets that this instance holds, for operators."""
        readings = []
        for resource in self._limits.resources():
            shard_buckets = self._sync_shard_of(resource)
            if shard_buckets is None:
                continue
            bucket = self._get_or_create_bucket(shard_buckets, resource)
            bucket.refresh(self._clock.monotonic_seconds())
            limit = bucket.limit
            readings.append(
                BucketSnapshot(
                    resource,
                    bucket.level,
                    bucket.lent,
                    limit.rate_per_second,
                    limit.burst,
                )
            )
        return tuple(readings)

    def retry_after_seconds(self, resource: str) -> float:
        """Returns the time until a held bucket has a token; 0 if it is not held."""
        shard_buckets = self._sync_shard_of(resource)
        if shard_buckets is None:
            return 0.0
        bucket = self._get_or_create_bucket(shard_buckets, resource)
        return bucket.seconds_until_token(self._clock.monotonic_seconds())

    def lend(self, borrower: InstanceId, borrow: Borrow) -> Loan:
        """Lends a peer up to the requested number of tokens and returns the loan."""
        shard_buckets = self._sync_shard_of(borrow.resource)
        index = self.find_shard(borrow.resource)
        allowed = min(
            borrow.wanted_seconds,
            MAX_LOAN_SECONDS,
            self._tenures.remaining_seconds(index),
        )
        if shard_buckets is None or allowed <= 0.0:
            return Loan(borrow.request_id, 0, 0.0, 0.0, is_holder=False)
        now = self._clock.monotonic_seconds()
        bucket = self._get_or_create_bucket(shard_buckets, borrow.resource)
        bucket.settle(borrower, borrow.settled_request_id, now)
        if bucket.is_repeated(borrower, borrow.request_id):
            # A request that arrives late or twice is no longer awaited by its sender.
            return Loan(borrow.request_id, 0, 0.0, 0.0)
        self.reported_spent += borrow.spent
        allowed = min(allowed, _max_loan_seconds(bucket.limit))
        amount = bucket.lend(
            borrower, borrow.request_id, borrow.amount, now + allowed, now
        )
        retry_after = 0.0
        if amount < borrow.amount:
            retry_after = bucket.schedule_retry(now, MAX_RETRY_SPREAD_SECONDS)
        return Loan(borrow.request_id, amount, shorten_by_drift(allowed), retry_after)

    def export_handover(self, shard: int) -> tuple[BucketState, ...]:
        """Withdraws the buckets of a held shard from use and returns their state.

        The caller must release the lease right after, without an await in between.
        Buckets that do not refill yet are left out: the new holder has to wait anew.
        """
        now = self._clock.monotonic_seconds()
        shard_buckets = self._sync_shard(shard)
        if shard_buckets is None:
            return ()
        states = []
        for resource in self._limits.resources():
            if self.find_shard(resource) != shard:
                continue
            bucket = self._get_or_create_bucket(shard_buckets, resource)
            if not bucket.is_refilling(now):
                continue
            bucket.refresh(now)
            states.append(
                BucketState(
                    resource,
                    bucket.level,
                    float(bucket.lent),
                    bucket.lent_for_seconds(now),
                )
            )
        shard_buckets.handed_out = True
        return tuple(states)

    def accept_handover(
        self, handover: Handover, created_after_seconds: float | None
    ) -> None:
        """Accepts the state of a shard from its previous holder.

        ``created_after_seconds`` is the time at which this instance sent the heartbeat
        :attr:`Handover.heard_sequence`, or None if unknown.
        """
        if created_after_seconds is None:
            return
        now = self._clock.monotonic_seconds()
        known = self._pending_handovers.get(handover.shard)
        if known is None or known.created_after_seconds <= created_after_seconds:
            self._pending_handovers[handover.shard] = PendingHandover(
                handover, created_after_seconds, now
            )
        self._sync_shard(handover.shard)

    def _sync_shard_of(self, resource: str) -> ShardBuckets | None:
        return self._sync_shard(self.find_shard(resource))

    def _sync_shard(self, shard: int) -> ShardBuckets | None:
        tenure = self._tenures.find_tenure(shard)
        if tenure is None:
            self._shards.pop(shard, None)
            return None
        shard_buckets = self._shards.get(shard)
        is_new = shard_buckets is None or shard_buckets.tenure.number != tenure.number
        if shard_buckets is None or is_new:
            shard_buckets = self._shards[shard] = ShardBuckets(tenure)
        if shard in self._pending_handovers:
            self._restore(shard_buckets, self._pending_handovers.pop(shard), is_new)
        return None if shard_buckets.handed_out else shard_buckets

    def _restore(
        self, shard_buckets: ShardBuckets, pending: PendingHandover, is_new: bool
    ) -> None:
        now = self._clock.monotonic_seconds()
        start = shard_buckets.find_restore_start(pending, is_new, now)
        if start is None:
            return
        shard_buckets.restored = True
        for state in pending.handover.buckets:
            if self._limits.find(state.resource).burst <= 0.0:
                continue
            since = self._limit_changed_at_seconds.get(state.resource, now)
            bucket = TokenBucket(
                self._find_limit(shard_buckets, state.resource), max(start, since)
            )
            lent = round(state.lent)
            if lent:
                self._restored_loan_count += 1
                until = pending.lent_until(state)
                bucket.add_loan(None, self._restored_loan_count, lent, until)
            bucket.restore(state.level)
            shard_buckets.buckets[state.resource] = bucket

    def _get_or_create_bucket(
        self, shard_buckets: ShardBuckets, resource: str
    ) -> TokenBucket:
        bucket = shard_buckets.buckets.get(resource)
        if bucket is not None:
            return bucket
        since = self._limit_changed_at_seconds.get(
            resource, self._clock.monotonic_seconds()
        )
        start = max(shard_buckets.refill_start_seconds, since)
        bucket = TokenBucket(self._find_limit(shard_buckets, resource), start)
        if resource in self._limit_changed_at_seconds:
            shard_buckets.buckets[resource] = bucket
        return bucket

    def _find_limit(self, shard_buckets: ShardBuckets, resource: str) -> BucketLimit:
        limit = self._limits.find(resource)
        rate = shard_buckets.upstream_rates.get(resource)
        if rate is None or limit.burst <= 0.0:
            return limit
        return BucketLimit(rate, max(limit.burst, rate * UPSTREAM_BURST_SECONDS))

    def _create_missing_buckets(self) -> None:
        """Creates the missing buckets of held shards, so that the old limits apply.

        Without this, a bucket that is first used after a change of limits would not
        have refilled at the old rate before it.
        """
        for resource in self._limits.resources():
            shard_buckets = self._sync_shard_of(resource)
            if shard_buckets is not None:
                self._get_or_create_bucket(shard_buckets, resource)

    def _snapshot_limits(self) -> dict[str, BucketLimit]:
        return {
            resource: self._limits.find(resource)
            for resource in self._limits.resources()
        }

    def _apply_limits(self, before: dict[str, BucketLimit]) -> None:
        now = self._clock.monotonic_seconds()
        after = self._snapshot_limits()
        changed = {
            resource
            for resource in before.keys() | after.keys()
            if before.get(resource) != after.get(resource)
        }
        for resource in changed:
            if resource in after:
                self._limit_changed_at_seconds[resource] = now
            else:
                self._limit_changed_at_seconds.pop(resource, None)
                self._shard_by_resource.pop(resource, None)
        for shard_buckets in self._shards.values():
            for resource in changed & shard_buckets.buckets.keys():
                limit = self._find_limit(shard_buckets, resource)
                shard_buckets.buckets[resource].change_limit(limit, now)


def _max_loan_seconds(limit: BucketLimit) -> float:
    if limit.rate_per_second <= 0.0:
        return MAX_LOAN_SECONDS
    covered = LOAN_BURST_RATIO * limit.burst / limit.rate_per_second
    return max(MIN_LOAN_SECONDS, covered)
