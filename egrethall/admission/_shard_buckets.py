"""The token buckets of one shard during one tenure, and their handover."""

from dataclasses import dataclass, field
from typing import Protocol

from egrethall.admission._buckets import TokenBucket
from egrethall.leases import LeaseTenure, extend_by_drift
from egrethall.types import BucketState, Handover, LeaseView

#: Longest validity of a loan.
MAX_LOAN_SECONDS = 1.0


class TenureView(LeaseView, Protocol):
    """A :class:`LeaseView` that distinguishes uninterrupted tenures."""

    def find_tenure(self, shard: int) -> LeaseTenure | None:
        """Returns the current tenure of ``shard``, or None if it is not held."""
        ...


@dataclass(frozen=True)
class PendingHandover:
    """A handover that has arrived, possibly before the lease of its shard."""

    handover: Handover
    #: The state was created at or after this time, by this instance's clock.
    created_after_seconds: float
    arrived_at_seconds: float

    def is_current(self, tenure: LeaseTenure) -> bool:
        """Returns whether no refill can have happened between state and ``tenure``.

        A holder without a handover waits for :data:`MAX_LOAN_SECONDS` before it
        refills, so within that time of the state's creation no other holder can have
        refilled; this instance itself can have done so in an earlier tenure.
        """
        age = tenure.acquired_at_seconds - self.created_after_seconds
        if not 0.0 <= age < MAX_LOAN_SECONDS:
            return False
        return tenure.previous_end_seconds <= self.created_after_seconds

    def lent_until(self, state: BucketState) -> float:
        """Returns when all loans of the previous holder are certain to have expired."""
        return self.arrived_at_seconds + extend_by_drift(state.lent_for_seconds)


@dataclass
class ShardBuckets:
    """The buckets of one shard during one tenure."""

    tenure: LeaseTenure
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    #: Rates of upstreams that are warming up, by resource.
    upstream_rates: dict[str, float] = field(default_factory=dict)
    restored: bool = False
    #: True once the buckets were handed to the next holder; they are unusable for the
    #: rest of the tenure.
    handed_out: bool = False

    @property
    def refill_start_seconds(self) -> float:
        """Time from which buckets without a handover refill.

        The previous holder may have released the shard while its loans were in use.
        """
        return self.tenure.acquired_at_seconds + extend_by_drift(MAX_LOAN_SECONDS)

    def find_restore_start(
        self, pending: PendingHandover, is_new: bool, now: float
    ) -> float | None:
        """Returns when the buckets of ``pending`` start to refill, None if unusable.

        With ``is_new``, nothing has used this tenure's buckets yet, so a handover that
        arrived before the tenure applies from its beginning. Otherwise it applies from
        now, and only while no bucket has started to refill without it.
        """
        if self.restored or self.handed_out or not pending.is_current(self.tenure):
            return None
        acquired_at = self.tenure.acquired_at_seconds
        if is_new and pending.arrived_at_seconds <= acquired_at:
            return acquired_at
        return now if now < self.refill_start_seconds else None
