"""Admission control: API keys, fleet-wide rate limits, and the fair queue."""

from egrethall.admission._borrower import MAX_WAIT_SECONDS, AllowanceBorrower
from egrethall.admission._counts import AllowanceCounts, BucketSnapshot
from egrethall.admission._held_buckets import HeldBuckets
from egrethall.admission._keys import KEY_PATTERN, KeyRing, NewKey, digest_key, make_key
from egrethall.admission._limits import (
    BucketLimit,
    BucketLimits,
    count_buckets,
    organisation_resource,
    upstream_resource,
)
from egrethall.admission._shard_buckets import MAX_LOAN_SECONDS, TenureView

__all__ = [
    "AllowanceBorrower",
    "AllowanceCounts",
    "BucketLimit",
    "BucketLimits",
    "BucketSnapshot",
    "HeldBuckets",
    "KEY_PATTERN",
    "KeyRing",
    "MAX_LOAN_SECONDS",
    "MAX_WAIT_SECONDS",
    "NewKey",
    "TenureView",
    "count_buckets",
    "digest_key",
    "make_key",
    "organisation_resource",
    "upstream_resource",
]
