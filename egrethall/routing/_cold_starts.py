"""Cold starts and probing of upstreams by the holders of their shards."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from egrethall.routing._directory import UpstreamDirectory
from egrethall.routing._records import LeavingSignal, UpstreamRecord
from egrethall.types import Clock, InstanceId, Upstream, UpstreamFact, UpstreamState

#: Maximum probes per second of one upstream by all instances together.
PROBES_PER_SECOND = 1.0

#: Age of the last load reading above which an upstream is probed.
PROBE_READING_AGE_SECONDS = 1.0

#: Time with successes and without failures after which the rate is raised.
RAMP_STEP_SECONDS = 1.0

#: Factor by which each step of a cold start raises the rate.
RAMP_FACTOR = 2.0

#: Age up to which a new holder accepts that an upstream was seen warm.
WARM_FACT_MAX_AGE_SECONDS = 2.0


class HolderView(Protocol):
    """Knows the holders of the shards of the resources ``upstream/NAME``."""

    def is_held_here(self, upstream: str) -> bool:
        """Returns whether this instance holds an unexpired lease of the shard."""
        ...

    def find_held(self) -> Iterable[str]:
        """Returns the configured upstreams whose shards this instance holds."""
        ...

    def is_held_by(self, upstream: str, instance: InstanceId) -> bool:
        """Returns whether ``instance`` is the last known holder of the shard."""
        ...


@dataclass(frozen=True)
class BucketLimits:
    """Rate and burst of the token bucket ``upstream/NAME``."""

    rate_per_second: float
    burst: int


@dataclass
class _Ramp:
    """The current step of the cold start of an upstream held by this instance."""

    rate_per_second: float
    step_started_at_seconds: float
    #: Counts from the upstream's record at the start of the step.
    cold_observation_count: int
    successes: int
    failures: int
    #: Whether peers reported successes or failures of their own calls in this step.
    peer_succeeded: bool = False
    peer_failed: bool = False
    probed_at_seconds: float = float("-inf")


class ColdStartController:
    """Raises the request rates of cold upstreams and selects upstreams to probe.

    It acts only for upstreams whose shard this instance holds. The rate doubles after
    each second with successes and without failures, here and at the peers that
    reported. Once it reaches the capacity of the slots at the measured latency, the
    upstream is warm. If the upstream is observed to be cold again, the rate returns to
    its initial value.
    """

    def __init__(
        self, directory: UpstreamDirectory, holder_view: HolderView, clock: Clock
    ) -> None:
        self._directory = directory
        self._holder_view = holder_view
        self._clock = clock
        self._ramps: dict[str, _Ramp] = {}

    def advance(self) -> None:
        """Advances all cold starts; to be called several times a second."""
        # Only held upstreams are visited: visiting all of 1,300 upstreams ten times a
        # second would take 1 ms each time.
        held: dict[str, UpstreamRecord] = {}
        for name in self._holder_view.find_held():
            record = self._directory.find_record(name)
            if record is not None:
                held[name] = record
        for name in self._ramps.keys() - held.keys():
            del self._ramps[name]
        for name, record in held.items():
            ramp = self._ramps.get(name)
            if ramp is None:
                self._begin_holding(record)
                continue
            self._advance_ramp(record, ramp)

    def merge_evidence(self, fact: UpstreamFact) -> None:
        """Counts the results of a peer's calls to an upstream held by this instance.

        Warming means successes without failures since the peer's last heartbeat, cold
        means failures. Facts with another state or start id are merged as usual.
        """
        record = self._directory.find_record(fact.upstream)
        ramp = self._ramps.get(fact.upstream)
        if record is None:
            return
        is_evidence = fact.state in (UpstreamState.WARMING, UpstreamState.COLD)
        if not is_evidence or fact.start_id != record.start_id:
            self._directory.merge_fact(fact, from_holder=False)
            return
        now = self._clock.monotonic_seconds()
        if fact.in_flight >= 0:
            record.store_reading(fact.in_flight, now - max(0.0, fact.age_seconds))
        if ramp is None:
            return
        if fact.state is UpstreamState.COLD:
            ramp.peer_failed = True
        elif fact.age_seconds <= RAMP_STEP_SECONDS:
            ramp.peer_succeeded = True

    def find_limits(self, name: str) -> BucketLimits | None:
        """Returns the current limits of the upstream's token bucket.

        None if the upstream is not configured.
        """
        record = self._directory.find_record(name)
        if record is None:
            return None
        upstream = record.upstream
        rate_per_second = self._find_rate_per_second(record)
        growth = rate_per_second / upstream.cold_rate_per_second
        # The burst grows with the rate: a bucket of the initial size could not lend
        # all tokens of a higher rate, because each loan is a whole token.
        burst = min(int(upstream.cold_burst * growth), upstream.slots)
        return BucketLimits(rate_per_second, max(1, upstream.cold_burst, burst))

    def find_due_probes(self) -> tuple[Upstream, ...]:
        """Returns the upstreams to probe now.

        A new holder first waits as if it had just sent a probe, so that a change of
        holder does not exceed :data:`PROBES_PER_SECOND`.
        """
        now = self._clock.monotonic_seconds()
        return tuple(
            record.upstream
            for record in map(self._directory.find_record, self._ramps)
            if record is not None and self._is_probe_due(record, now)
        )

    def begin_probe(self, name: str) -> None:
        """Counts a probe against the rate limit; to be called before it is sent."""
        ramp = self._ramps.get(name)
        if ramp is not None:
            ramp.probed_at_seconds = self._clock.monotonic_seconds()

    def _is_probe_due(self, record: UpstreamRecord, now_seconds: float) -> bool:
        name = record.upstream.name
        ramp = self._ramps.get(name)
        if ramp is None or not self._holder_view.is_held_here(name):
            return False
        if now_seconds - ramp.probed_at_seconds < 1.0 / PROBES_PER_SECOND:
            return False
        # A probe can only show the end of draining, not of the other leaving signals.
        if record.leaving - {LeavingSignal.DRAINING}:
            return False
        return record.measure_reading_age(now_seconds) > PROBE_READING_AGE_SECONDS

    def _begin_holding(self, record: UpstreamRecord) -> None:
        now = self._clock.monotonic_seconds()
        ramp = self._make_ramp(record, now)
        ramp.probed_at_seconds = now
        self._ramps[record.upstream.name] = ramp
        recently_warm = now - record.warm_seen_at_seconds <= WARM_FACT_MAX_AGE_SECONDS
        if recently_warm:
            self._directory.declare_state(
                record.upstream.name, UpstreamState.WARM, "take-over"
            )
        elif record.state is not UpstreamState.UNKNOWN:
            self._directory.declare_state(
                record.upstream.name, UpstreamState.COLD, "take-over"
            )

    def _advance_ramp(self, record: UpstreamRecord, ramp: _Ramp) -> None:
        now = self._clock.monotonic_seconds()
        if (
            record.cold_observation_count != ramp.cold_observation_count
            or record.leaving
        ):
            self._start_step(record, ramp, record.upstream.cold_rate_per_second)
            return
        if record.state is UpstreamState.WARM:
            return
        if now - ramp.step_started_at_seconds < RAMP_STEP_SECONDS:
            return
        succeeded = record.successes > ramp.successes or ramp.peer_succeeded
        failed = record.failures > ramp.failures or ramp.peer_failed
        if not succeeded or failed:
            self._start_step(record, ramp, ramp.rate_per_second)
            return
        rate_per_second = ramp.rate_per_second * RAMP_FACTOR
        self._start_step(record, ramp, rate_per_second)
        warm = rate_per_second >= self._estimate_capacity_per_second(record)
        self._directory.declare_state(
            record.upstream.name,
            UpstreamState.WARM if warm else UpstreamState.WARMING,
            "ramp",
        )

    def _start_step(
        self, record: UpstreamRecord, ramp: _Ramp, rate_per_second: float
    ) -> None:
        """Starts a new step at the given rate."""
        probed_at_seconds = ramp.probed_at_seconds
        next_ramp = self._make_ramp(record, self._clock.monotonic_seconds())
        next_ramp.rate_per_second = rate_per_second
        next_ramp.probed_at_seconds = probed_at_seconds
        self._ramps[record.upstream.name] = next_ramp

    def _make_ramp(self, record: UpstreamRecord, now_seconds: float) -> _Ramp:
        return _Ramp(
            rate_per_second=record.upstream.cold_rate_per_second,
            step_started_at_seconds=now_seconds,
            cold_observation_count=record.cold_observation_count,
            successes=record.successes,
            failures=record.failures,
        )

    def _find_rate_per_second(self, record: UpstreamRecord) -> float:
        base = record.upstream.cold_rate_per_second
        ramp = self._ramps.get(record.upstream.name)
        if (
            ramp is None
            or ramp.cold_observation_count != record.cold_observation_count
            or record.leaving
        ):
            return base
        if record.state is UpstreamState.WARM:
            # Instances that do not know yet that it is warm still ask for tokens.
            return max(base, self._estimate_capacity_per_second(record))
        return ramp.rate_per_second

    def _estimate_capacity_per_second(self, record: UpstreamRecord) -> float:
        """Returns the requests per second that the upstream's slots can serve."""
        latency_seconds = record.learned_latency_seconds
        if latency_seconds is None:
            latency_seconds = self._directory.find_median_latency_seconds(
                record.service
            )
        return record.upstream.slots / max(latency_seconds, 1e-4)
