"""Keeps this instance's copy of the published records up to date."""

from egrethall.records._cache import RecordCache
from egrethall.records._follower import RecordFollower, SourceStatus
from egrethall.records._readers import ReaderElection, ReaderView
from egrethall.records._starting import StartOrder

__all__ = [
    "ReaderElection",
    "ReaderView",
    "RecordCache",
    "RecordFollower",
    "SourceStatus",
    "StartOrder",
]
