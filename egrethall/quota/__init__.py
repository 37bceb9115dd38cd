"""Allowances of organisations over a fleet without leases or a list of members."""

from egrethall.quota._allowance import (
    AllowanceExcess,
    OrganisationAllowance,
    UsageReport,
)
from egrethall.quota._book import FleetAllowances
from egrethall.quota._collectors import Collectors

__all__ = [
    "AllowanceExcess",
    "Collectors",
    "FleetAllowances",
    "OrganisationAllowance",
    "UsageReport",
]
