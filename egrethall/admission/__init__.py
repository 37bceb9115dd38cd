"""Admission control: API keys, fleet-wide rate limits, and the fair queue."""

from egrethall.admission._book import AllowanceBook
from egrethall.admission._counts import AllowanceCounts, BucketSnapshot
from egrethall.admission._gateway import MAX_WAIT_SECONDS, AllowanceGateway
from egrethall.admission._keys import KEY_PATTERN, KeyRing, NewKey, digest_key, make_key
from egrethall.admission._limits import (
    BucketLimit,
    BucketLimits,
    count_buckets,
    organisation_resource,
    upstream_resource,
)
from egrethall.admission._shard_buckets import LOAN_SECONDS, TenureView

__all__ = [
    "AllowanceBook",
    "AllowanceCounts",
    "AllowanceGateway",
    "BucketLimit",
    "BucketLimits",
    "BucketSnapshot",
    "KEY_PATTERN",
    "KeyRing",
    "LOAN_SECONDS",
    "MAX_WAIT_SECONDS",
    "NewKey",
    "TenureView",
    "count_buckets",
    "digest_key",
    "make_key",
    "organisation_resource",
    "upstream_resource",
]
