"""Limits the probes of an instance while its requests wait for an upstream."""

from collections.abc import Callable
from dataclasses import dataclass

from egrethall.types import Clock

#: Share of the bound that instances use. The rest covers bursts, and instances that do
#: not know all others yet and so take too large a share.
USED_RATIO = 0.55

#: Probes that an instance may save up, as the time in which its rate allows them, and
#: likewise those that it may owe. Heavy load needs more probes than calm, and the bound
#: is an average over 30 s or more.
BURST_SECONDS = 20.0


@dataclass
class _Bucket:
    level: float
    updated_at_seconds: float


class ProbeAllowance:
    """Keeps probes within this instance's share of what upstreams accept.

    Answers overload, when each waiting request would probe upstreams again and again:
    the number of probes would grow with that of the waiting requests.

    :param bound_per_second: probes to one upstream from the whole fleet, on average.
    :param count_instances: returns the number of instances of the fleet.
    """

    def __init__(
        self,
        bound_per_second: float,
        count_instances: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._bound_per_second = bound_per_second
        self._count_instances = count_instances
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def allows_more(self, service: str, upstream_count: int) -> bool:
        """Returns whether there may be other probes than the first ones of a request.

        :param upstream_count: number of usable upstreams of the service.
        """
        return self._refill(service, upstream_count).level > 0.0

    def record_probes(self, service: str, upstream_count: int, probes: int) -> None:
        """Deducts probes; they may exceed what is left."""
        bucket = self._refill(service, upstream_count)
        debt = self._find_rate_per_second(upstream_count) * BURST_SECONDS
        bucket.level = max(-debt, bucket.level - probes)

    def _refill(self, service: str, upstream_count: int) -> _Bucket:
        rate_per_second = self._find_rate_per_second(upstream_count)
        now_seconds = self._clock.monotonic_seconds()
        capacity = rate_per_second * BURST_SECONDS
        bucket = self._buckets.setdefault(service, _Bucket(capacity, now_seconds))
        elapsed_seconds = now_seconds - bucket.updated_at_seconds
        bucket.level = min(capacity, bucket.level + elapsed_seconds * rate_per_second)
        bucket.updated_at_seconds = now_seconds
        return bucket

    def _find_rate_per_second(self, upstream_count: int) -> float:
        bound_per_second = USED_RATIO * self._bound_per_second * upstream_count
        return bound_per_second / max(1, self._count_instances())
