"""Chooses the upstream for each request from load readings taken for it."""

from egrethall.placement._candidate_choice import CandidateChoice
from egrethall.placement._cold_starts import ColdStartShares
from egrethall.placement._cost import (
    CandidateLoad,
    CostPolicy,
    ProbeStep,
    estimate_cost,
    estimate_cross_zone_cost,
)
from egrethall.placement._crash_guard import CrashGuard
from egrethall.placement._hedging import HedgePolicy
from egrethall.placement._probe_allowance import ProbeAllowance
from egrethall.placement._rate_limits import (
    PeerDirectory,
    PeerInstance,
    RateLimitShares,
)
from egrethall.placement._routes import HostRoutes, choose_service
from egrethall.placement._subset_size import SUBSET_SIZE, FleetSubset, SubsetSizes
from egrethall.placement._table import (
    OUTDATED_ENTRY_DELAY_SECONDS,
    REPUBLISH_GRACE_SECONDS,
    UpstreamTable,
)
from egrethall.placement._upstream_path import REQUIRED_RESPONSES, UpstreamPath
from egrethall.placement._upstream_state import UpstreamState
from egrethall.placement._waiting_line import WaitingLine, WaitingRequest
from egrethall.placement._zone_bytes import CrossZoneBytes
from egrethall.placement._zone_comparison import PlacementOutcome
from egrethall.placement._zone_overflow import ZoneOverflow

__all__ = [
    "CandidateChoice",
    "ColdStartShares",
    "CostPolicy",
    "CrashGuard",
    "CrossZoneBytes",
    "FleetSubset",
    "HedgePolicy",
    "HostRoutes",
    "OUTDATED_ENTRY_DELAY_SECONDS",
    "PeerDirectory",
    "PeerInstance",
    "PlacementOutcome",
    "ProbeAllowance",
    "ProbeStep",
    "REPUBLISH_GRACE_SECONDS",
    "REQUIRED_RESPONSES",
    "RateLimitShares",
    "SUBSET_SIZE",
    "SubsetSizes",
    "CandidateLoad",
    "UpstreamPath",
    "UpstreamState",
    "UpstreamTable",
    "WaitingLine",
    "WaitingRequest",
    "ZoneOverflow",
    "choose_service",
    "estimate_cost",
    "estimate_cross_zone_cost",
]
