"""Compares what callers got with what upstreams ran."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

#: Statuses that promise that the request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

KEYS = ("cuka-key", "extra-key", "dune-key")


@dataclass(frozen=True)
class Call:
    """One request and its answer; the status is 0 if there was none."""

    attempt: str
    path: str
    status: int
    body: str


def find_violations(calls: list[Call], runs: list[dict[str, Any]]) -> list[str]:
    """Returns a line for each promise that was broken."""
    counts = Counter(run["attempt"] for run in runs)
    violations = []
    for call in calls:
        once = call.path.startswith("/trade/")
        if once and counts[call.attempt] > 1:
            violations.append(f"ran {counts[call.attempt]} times: {call}")
        if once and call.status in NOT_RUN_STATUSES and counts[call.attempt]:
            violations.append(f"refused and run: {call}")
        own = call.body.startswith(f"answer to {call.attempt} of ")
        if call.status == 200 and not own:
            violations.append(f"not its own answer: {call}")
    for run in runs:
        if any(key in str(run) for key in KEYS):
            violations.append(f"a key reached an upstream: {run}")
        if run["headers"].get("x-tenant") != "cuka":
            violations.append(f"not its organisation: {run}")
    return violations
