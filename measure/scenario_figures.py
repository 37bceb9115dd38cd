"""Figures of one scenario, from what callers saw and what upstreams recorded."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from measure.scenario_caller import SentCall
from measure.shapes import OrganisationLoad, PlannedCall, Shape
from standins.exact_bucket import ExactBucket

#: Bound on the work that an availability zone gets after it was taken out.
ZONE_BOUND_SECONDS = 3.0

#: Bound on the work that a withdrawn key still gets.
KEY_BOUND_SECONDS = 5.0

#: Time in which the first answer after an upstream has turned cold shows its state.
COLD_SIGN_SECONDS = 0.5

FULL_SHARE = 1.0


@dataclass(frozen=True)
class Span:
    """What was changed in the fleet, and for which wall-clock time."""

    name: str
    from_seconds: float
    to_seconds: float


@dataclass
class ScenarioFacts:
    """What a scenario did to the fleet."""

    zones_out: list[Span] = field(default_factory=list)
    keys_withdrawn: list[Span] = field(default_factory=list)
    turned_cold: list[Span] = field(default_factory=list)
    #: Organisations that send more than their rate on purpose.
    over_rate: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Evidence:
    """All that one scenario left behind."""

    shape: Shape
    calls: list[PlannedCall]
    sent: list[SentCall]
    #: Wall-clock time of the load's start.
    started_at_seconds: float
    seconds: float
    #: Runs at the upstreams during the load, each with ``upstream``.
    records: list[dict[str, Any]]
    zones: dict[str, str]
    probes: int
    cold_overloads: int
    facts: ScenarioFacts


@dataclass(frozen=True)
class OrganisationFigures:
    """What one organisation got of the calls that an exact bucket admits."""

    within: int
    answered_within: int
    refused_within: int
    p99_ms: float


def find_quantile_ms(latencies: Iterable[float], quantile: float) -> float:
    """Returns a quantile of seconds in milliseconds, NaN if there are none."""
    ordered = sorted(latencies)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] * 1000.0


def find_excess(moments: Iterable[float], rate_per_second: float, burst: int) -> float:
    """Returns the largest excess over burst + rate x length over all intervals."""
    lowest, largest = float("inf"), 0.0
    for number, moment in enumerate(sorted(moments)):
        drift = number - rate_per_second * moment
        lowest = min(lowest, drift)
        largest = max(largest, drift - lowest + 1 - burst)
    return largest


def find_proven_excess(
    spans: Iterable[tuple[float, float]], rate_per_second: float, burst: int
) -> float:
    """Returns the largest excess of calls that were surely admitted in an interval.

    A call is admitted between its real send and its run. Where requests wait in
    between, as on a busy machine, runs may come closer together than admissions.

    :param spans: Time of the real send and of the first run of each call.
    """
    by_end = sorted(spans, key=lambda span: span[1])
    largest = 0.0
    for start, _ in by_end:
        count = 0
        for sent_at, run_at in by_end:
            if sent_at < start:
                continue
            count += 1
            allowed = burst + rate_per_second * (run_at - start)
            largest = max(largest, count - allowed)
    return largest


def is_answered(sent: SentCall) -> bool:
    """Returns whether a caller got a complete answer of an upstream."""
    return 200 <= sent.status < 300 and not sent.wrong


def is_refused(sent: SentCall) -> bool:
    """Returns whether a balancer refused to run a call."""
    if sent.reason:
        return sent.run == "no"
    return sent.status in (401, 429, 503)


def compute_figures(evidence: Evidence) -> dict[str, object]:
    """Returns the fields of one line, in order."""
    pairs = list(zip(evidence.calls, evidence.sent, strict=True))
    latencies = [sent.latency_seconds for _, sent in pairs if is_answered(sent)]
    deadlines = {item.name: item.deadline_ms for item in evidence.shape.services}
    late = sum(
        is_answered(sent) and sent.latency_seconds * 1000.0 > deadlines[call.service]
        for call, sent in pairs
    )
    by_name = {
        load.name: _compute_organisation(evidence, load)
        for load in evidence.shape.organisations
    }
    usual = [
        figures
        for name, figures in by_name.items()
        if name not in evidence.facts.over_rate
    ]
    within = sum(figures.within for figures in usual)
    shares = [item.answered_within / item.within for item in usual if item.within]
    figures: dict[str, object] = {
        "calls": len(pairs),
        "answered_share": _share(len(latencies), len(pairs)),
        "p50_ms": _ms(find_quantile_ms(latencies, 0.5)),
        "p99_ms": _ms(find_quantile_ms(latencies, 0.99)),
        "p999_ms": _ms(find_quantile_ms(latencies, 0.999)),
        "late_answers": late,
        "probe_cost_share": _share(*_find_probe_cost(evidence)),
        "wrongful_refusal_share": _share(
            sum(item.refused_within for item in usual), within
        ),
        "over_allowance_requests": f"{_find_largest_excess(evidence):.1f}",
        "over_allowance_proven": f"{_find_largest_proven_excess(evidence):.1f}",
        "worst_success_share": f"{min(shares, default=FULL_SHARE):.4f}",
        "worst_p99_ms": _ms(max(item.p99_ms for item in usual)),
        "cold_overloads": evidence.cold_overloads,
        "cold_overloads_after_sign": _count_known_cold_overloads(evidence),
        "duplicate_runs": _count_duplicates(evidence),
        "wrong_answers": sum(sent.wrong for _, sent in pairs),
        "cut_answers": sum(sent.cut for _, sent in pairs),
        "leaked_key_runs": sum(item["leaked_key"] for item in evidence.records),
        "zone_out_runs": _count_zone_runs(evidence),
        "withdrawn_key_runs": _count_withdrawn_runs(evidence),
    }
    for name in sorted(evidence.facts.over_rate):
        own = by_name[name]
        answered = sum(
            is_answered(sent) for call, sent in pairs if call.organisation == name
        )
        figures["usable_allowance_share"] = _share(answered, own.within)
    lags = (sent.lag_seconds for _, sent in pairs)
    figures["generator_lag_p99_ms"] = _ms(find_quantile_ms(lags, 0.99))
    figures["unanswered"] = describe_unanswered(sent for _, sent in pairs)
    return figures


def describe_unanswered(sent: Iterable[SentCall]) -> str:
    """Returns the unanswered calls by reason, as ``reason:count,...``."""
    reasons = Counter(
        item.reason or ("wrong" if item.wrong else f"status-{item.status}")
        for item in sent
        if not is_answered(item)
    )
    counts = (f"{reason}:{count}" for reason, count in reasons.most_common())
    return ",".join(counts) or "none"


def _share(part: float, whole: float) -> str:
    return f"{part / whole if whole else 0.0:.5f}"


def _ms(value: float) -> str:
    return f"{value:.1f}"


def _compute_organisation(
    evidence: Evidence, load: OrganisationLoad
) -> OrganisationFigures:
    bucket = ExactBucket(load.rate_per_second, load.burst, 0.0)
    withdrawn = [
        span for span in evidence.facts.keys_withdrawn if span.name == load.name
    ]
    within = answered = refused = 0
    latencies = []
    for call, sent in zip(evidence.calls, evidence.sent, strict=True):
        if call.organisation != load.name:
            continue
        if is_answered(sent):
            latencies.append(sent.latency_seconds)
        at = evidence.started_at_seconds + call.at_seconds
        if any(span.from_seconds <= at < span.to_seconds for span in withdrawn):
            continue
        if not bucket.take(call.at_seconds):
            continue
        within += 1
        answered += is_answered(sent)
        refused += is_refused(sent)
    p99_ms = find_quantile_ms(latencies, 0.99) if latencies else 0.0
    return OrganisationFigures(within, answered, refused, p99_ms)


def _find_probe_cost(evidence: Evidence) -> tuple[float, float]:
    shape = evidence.shape
    slots = sum(service.upstreams for service in shape.services) * shape.slots
    return evidence.probes * shape.probe_ms / 1000.0, slots * evidence.seconds


def _find_first_runs(evidence: Evidence) -> dict[str, dict[str, float]]:
    """Returns the time of the first run of each call, by organisation and path."""
    # A retry or hedge of one call is not a second call of the organisation.
    first_runs: dict[str, dict[str, float]] = defaultdict(dict)
    for record in evidence.records:
        runs = first_runs[record["organisation"]]
        at = record["started_at_seconds"]
        runs[record["path"]] = min(at, runs.get(record["path"], at))
    return first_runs


def _find_largest_excess(evidence: Evidence) -> float:
    first_runs = _find_first_runs(evidence)
    return max(
        find_excess(first_runs[load.name].values(), load.rate_per_second, load.burst)
        for load in evidence.shape.organisations
    )


def _find_largest_proven_excess(evidence: Evidence) -> float:
    first_runs = _find_first_runs(evidence)
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for call, sent in zip(evidence.calls, evidence.sent, strict=True):
        run_at = first_runs[call.organisation].get(call.target)
        if run_at is not None:
            sent_after = call.at_seconds + sent.lag_seconds
            spans[call.organisation].append(
                (evidence.started_at_seconds + sent_after, run_at)
            )
    return max(
        find_proven_excess(spans[load.name], load.rate_per_second, load.burst)
        for load in evidence.shape.organisations
    )


def _count_duplicates(evidence: Evidence) -> int:
    runs = Counter(
        record["path"] for record in evidence.records if record["method"] == "POST"
    )
    return sum(count - 1 for count in runs.values())


def _count_known_cold_overloads(evidence: Evidence) -> int:
    turned = evidence.facts.turned_cold
    return sum(
        record["cold"]
        and record["concurrency"] > 1
        and not any(
            span.name == record["upstream"]
            and 0
            <= record["started_at_seconds"] - span.from_seconds
            < COLD_SIGN_SECONDS
            for span in turned
        )
        for record in evidence.records
    )


def _count_zone_runs(evidence: Evidence) -> int:
    return sum(
        evidence.zones[record["upstream"]] == span.name
        and span.from_seconds + ZONE_BOUND_SECONDS
        < record["started_at_seconds"]
        < span.to_seconds
        for span in evidence.facts.zones_out
        for record in evidence.records
    )


def _count_withdrawn_runs(evidence: Evidence) -> int:
    return sum(
        record["organisation"] == span.name
        and span.from_seconds + KEY_BOUND_SECONDS
        < record["started_at_seconds"]
        < span.to_seconds
        for span in evidence.facts.keys_withdrawn
        for record in evidence.records
    )
