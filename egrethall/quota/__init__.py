"""Allowances of organisations over a fleet without leases or a list of members."""

from egrethall.quota._allowance import OrganisationAllowance
from egrethall.quota._book import FleetAllowances
from egrethall.quota._collectors import Collectors
from egrethall.quota._usage import AllowanceExcess, UsageReport

__all__ = [
    "AllowanceExcess",
    "Collectors",
    "FleetAllowances",
    "OrganisationAllowance",
    "UsageReport",
]
