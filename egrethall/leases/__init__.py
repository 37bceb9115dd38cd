"""Shard leases: which instance may act for each shard of the fleet's state."""

from egrethall.leases._records import DueHandover, LeaseRequest, LeaseTenure
from egrethall.leases._settlement import RevisionSettlement
from egrethall.leases._shards import (
    SHARD_COUNT,
    choose_holder,
    iterate_shards,
    rank_members,
    shard_of,
)
from egrethall.leases._table import LeaseTable
from egrethall.leases._timing import (
    CLOCK_DRIFT_RATIO,
    HEARTBEAT_SECONDS,
    LEASE_SECONDS,
    extend_by_drift,
    shorten_by_drift,
)
from egrethall.leases._voter import LeaseVoter

__all__ = [
    "CLOCK_DRIFT_RATIO",
    "DueHandover",
    "HEARTBEAT_SECONDS",
    "LEASE_SECONDS",
    "LeaseRequest",
    "LeaseTable",
    "LeaseTenure",
    "LeaseVoter",
    "RevisionSettlement",
    "SHARD_COUNT",
    "choose_holder",
    "extend_by_drift",
    "iterate_shards",
    "rank_members",
    "shard_of",
    "shorten_by_drift",
]
