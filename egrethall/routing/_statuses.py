"""Upstream status for operators."""

from dataclasses import dataclass

from egrethall.routing._cold_starts import ColdStartController, HolderView
from egrethall.routing._directory import UpstreamDirectory
from egrethall.routing._records import UpstreamRecord
from egrethall.types import Clock, UpstreamState


@dataclass(frozen=True)
class UpstreamStatus:
    """The state of one upstream as known to this instance.

    ``docs/operators/upstreams.md`` describes it for operators.
    """

    name: str
    service: str
    availability_zone: str
    state: UpstreamState
    #: Reasons why the upstream gets no new requests (values of ``LeavingSignal``),
    #: sorted; empty if there are none.
    leaving: tuple[str, ...]
    start_id: str
    slots: int
    #: Calls in flight from this instance.
    own_in_flight: int
    #: Estimated calls in flight from all instances.
    estimated_in_flight: float
    #: Moving average of latencies and penalties; None before the first call.
    latency_seconds: float | None
    #: Time since the last load reading; None if there is none.
    reading_age_seconds: float | None
    ejected: bool
    #: Whether this instance holds the lease of the upstream's shard.
    held_here: bool
    #: Rate of the upstream's token bucket; None if the upstream is warm or another
    #: instance holds its shard.
    cold_rate_per_second: float | None


def describe_upstreams(
    directory: UpstreamDirectory,
    controller: ColdStartController,
    holder_view: HolderView,
    clock: Clock,
) -> tuple[UpstreamStatus, ...]:
    """Returns the status of every upstream, sorted by service and name."""
    now_seconds = clock.monotonic_seconds()
    statuses = [
        _describe(record, directory, controller, holder_view, now_seconds)
        for record in directory.find_records()
    ]
    return tuple(sorted(statuses, key=lambda status: (status.service, status.name)))


def _describe(
    record: UpstreamRecord,
    directory: UpstreamDirectory,
    controller: ColdStartController,
    holder_view: HolderView,
    now_seconds: float,
) -> UpstreamStatus:
    upstream = record.upstream
    median_seconds = directory.find_median_latency_seconds(record.service)
    candidate = record.make_candidate(now_seconds, median_seconds)
    held_here = holder_view.is_held_here(upstream.name)
    cold_rate_per_second = None
    if held_here and record.state is not UpstreamState.WARM:
        limits = controller.find_limits(upstream.name)
        cold_rate_per_second = limits.rate_per_second if limits else None
    return UpstreamStatus(
        name=upstream.name,
        service=record.service,
        availability_zone=upstream.availability_zone,
        state=record.state,
        leaving=tuple(sorted(signal.value for signal in record.leaving)),
        start_id=record.start_id,
        slots=upstream.slots,
        own_in_flight=record.own_in_flight,
        estimated_in_flight=candidate.in_flight,
        latency_seconds=record.learned_latency_seconds,
        reading_age_seconds=(
            candidate.reading_age_seconds if record.reading is not None else None
        ),
        ejected=directory.is_ejected(upstream.name),
        held_here=held_here,
        cold_rate_per_second=cold_rate_per_second,
    )
