"""Checks what an upgrade has shown."""

from collections import Counter
from dataclasses import dataclass

from soak._judge import find_violations
from tools.rolling_upgrade._run import UpgradeResult

#: Time within which a change of the store is in force at each instance, and after which
#: an instance that has become ready has it (entry/tests/operations.feature).
IN_FORCE_SECONDS = 2.0

#: Time within which an upstream that was added gets its first request.
ADDED_SECONDS = 4.0

#: Wrongful refusals while instances are replaced stay below 1 % (docs/design.md, 2.3).
MIN_ANSWERED_SHARE = 0.99

MAX_EXAMPLES = 5


@dataclass(frozen=True)
class Check:
    """One line of the verdict."""

    name: str
    passed: bool
    detail: str

    def describe(self) -> str:
        """Returns the line."""
        return f"{'ok' if self.passed else 'FAILED'}: {self.name}: {self.detail}"


def judge(result: UpgradeResult) -> list[Check]:
    """Returns the checks of one run."""
    return [
        _check_promises(result),
        _check_connections(result),
        _check_configurations(result),
        _check_upstreams(result),
        _check_forwarding(result),
        Check(
            "stopped instances end with status 0",
            bool(result.stop_statuses) and not any(result.stop_statuses),
            f"{dict(Counter(result.stop_statuses))}",
        ),
        *_check_shares(result),
    ]


def _check_promises(result: UpgradeResult) -> Check:
    calls = [exchange.call for exchange in result.exchanges]
    violations = find_violations(calls, result.runs)
    trades = sum(call.path.startswith("/trade/") for call in calls)
    return Check(
        "trades run once, refused ones not at all, callers get their own responses",
        bool(trades) and not violations,
        f"{trades} trades, {len(violations)} violations {violations[:MAX_EXAMPLES]}",
    )


def _check_connections(result: UpgradeResult) -> Check:
    lost = [exchange for exchange in result.exchanges if exchange.call.status == 0]
    kept = [exchange for exchange in lost if exchange.kept]
    return Check(
        "requests on kept connections are answered",
        any(exchange.kept for exchange in result.exchanges) and not kept,
        f"{len(kept)} without an answer {kept[:MAX_EXAMPLES]}; on new connections "
        f"{len(lost) - len(kept)}; refused connections {result.refused_connections}",
    )


def _check_configurations(result: UpgradeResult) -> Check:
    late = {
        label: f"{seconds:.1f}"
        for label, seconds in result.in_force_seconds.items()
        if seconds > IN_FORCE_SECONDS
    }
    longest = max(result.in_force_seconds.values(), default=float("inf"))
    return Check(
        f"the newest configuration is in force within {IN_FORCE_SECONDS:g} s",
        bool(result.in_force_seconds) and not late,
        f"{len(result.in_force_seconds)} times, after {longest:.2f} s at most {late}",
    )


def _check_upstreams(result: UpgradeResult) -> Check:
    faults = []
    for number, change in enumerate(result.upstream_changes):
        later = result.upstream_changes[number + 1 :]
        until_seconds = min(
            (c.at_seconds for c in later if c.upstream == change.upstream),
            default=float("inf"),
        )
        starts = [
            run["started_at_seconds"] - change.at_seconds
            for run in result.runs
            if run["upstream"] == change.upstream
            and change.at_seconds <= run["started_at_seconds"] < until_seconds
        ]
        if change.published and min(starts, default=float("inf")) > ADDED_SECONDS:
            faults.append(f"{change.upstream} got no request in {ADDED_SECONDS:g} s")
        if not change.published and max(starts, default=0.0) > IN_FORCE_SECONDS:
            faults.append(f"{change.upstream} got one after {max(starts):.1f} s")
    return Check(
        "removed upstreams get no requests, added ones get some",
        bool(result.upstream_changes) and not faults,
        f"{len(result.upstream_changes)} changes {faults}",
    )


def _check_forwarding(result: UpgradeResult) -> Check:
    """Each release must have answered requests that the other one forwarded."""
    expected = {("earlier", "new"), ("new", "earlier")}
    described = [
        {" to ".join(key): count for key, count in sorted(counts.items())}
        for counts in result.forwarded
    ]
    return Check(
        "requests are forwarded between the releases",
        bool(result.forwarded)
        and all(counts.keys() >= expected for counts in result.forwarded),
        f"{described}",
    )


def _check_shares(result: UpgradeResult) -> list[Check]:
    checks = []
    for phase in dict.fromkeys(exchange.phase for exchange in result.exchanges):
        statuses = Counter(
            exchange.call.status
            for exchange in result.exchanges
            if exchange.phase == phase
        )
        share = statuses[200] / statuses.total()
        checks.append(
            Check(
                f"share answered, {phase}",
                share >= MIN_ANSWERED_SHARE,
                f"{share:.4f} of {statuses.total()}, statuses {dict(statuses)}",
            )
        )
    return checks
