"""Enforces organisations' allowances in a fleet without leases or a list of members."""

from egrethall.quota._allowance import OrganisationAllowance
from egrethall.quota._collectors import CollectorSelector
from egrethall.quota._fleet_allowances import FleetAllowances
from egrethall.quota._usage import AllowanceExcess, UsageReport

__all__ = [
    "AllowanceExcess",
    "CollectorSelector",
    "FleetAllowances",
    "OrganisationAllowance",
    "UsageReport",
]
