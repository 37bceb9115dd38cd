"""Limits of token buckets, derived from the plans and upstreams of revisions."""

from dataclasses import dataclass

from egrethall.types import Configuration

#: Smallest burst that is split over several buckets.
MIN_SPLIT_BURST = 32
MAX_BUCKET_COUNT = 8
MIN_BUCKET_BURST = 16


@dataclass(frozen=True)
class BucketLimit:
    """The rate and burst of one token bucket."""

    rate_per_second: float
    burst: float

    def minimum_with(self, other: "BucketLimit") -> "BucketLimit":
        """Returns the lower of both rates combined with the lower of both bursts."""
        return BucketLimit(
            min(self.rate_per_second, other.rate_per_second),
            min(self.burst, other.burst),
        )


ZERO_LIMIT = BucketLimit(0.0, 0.0)


def count_buckets(burst: int) -> int:
    """Returns the number of buckets over which an allowance is split."""
    if burst < MIN_SPLIT_BURST:
        return 1
    return min(MAX_BUCKET_COUNT, burst // MIN_BUCKET_BURST)


def organisation_resource(organisation: str, index: int) -> str:
    """Returns the resource name of an organisation's bucket ``index``."""
    return f"organisation/{organisation}/{index}"


def upstream_resource(upstream: str) -> str:
    """Returns the resource name of the bucket of an upstream that is not warm."""
    return f"upstream/{upstream}"


def derive_limits(configuration: Configuration) -> dict[str, BucketLimit]:
    """Returns the limit of each bucket that ``configuration`` defines, by resource."""
    limits: dict[str, BucketLimit] = {}
    plans = {plan.name: plan for plan in configuration.plans}
    for organisation in configuration.organisations:
        plan = plans[organisation.plan]
        count = count_buckets(plan.burst)
        limit = BucketLimit(plan.rate_per_second / count, plan.burst / count)
        for index in range(count):
            limits[organisation_resource(organisation.name, index)] = limit
    for service in configuration.services:
        for upstream in service.upstreams:
            limits[upstream_resource(upstream.name)] = BucketLimit(
                upstream.cold_rate_per_second, float(upstream.cold_burst)
            )
    return limits


class BucketLimits:
    """The limits in force: the lowest of the settled revision and all newer ones.

    Other holders may still apply an older revision, whose buckets differ in number or
    size. Each bucket uses the lowest limit until no holder applies the older revision,
    so that the sum over the fleet exceeds neither revision's allowance. A bucket that
    is missing from one of the revisions has the limit zero. All buckets have the limit
    zero before the first revision is settled and while a missed revision may still be
    applied elsewhere.
    """

    def __init__(self) -> None:
        self._revisions: list[tuple[int, dict[str, BucketLimit]]] = []
        self._settled_revision = 0
        self._is_complete = True
        self._limits_in_force: dict[str, BucketLimit] = {}
        self._organisation_buckets: dict[str, tuple[str, ...]] = {}

    def adopt(self, configuration: Configuration) -> None:
        """Adds the limits of a newly accepted revision."""
        self._revisions.append((configuration.revision, derive_limits(configuration)))
        self._update_limits_in_force()

    def would_change(self, settled_revision: int, is_complete: bool) -> bool:
        """Returns whether :meth:`settle_revision` would change the limits."""
        newer = settled_revision > self._settled_revision
        return newer or is_complete != self._is_complete

    def settle_revision(self, revision: int, is_complete: bool = True) -> None:
        """Drops the limits of revisions below the settled ``revision``.

        All limits are zero while ``is_complete`` is False: a missed revision may define
        other buckets, and other holders may apply it.
        """
        self._is_complete = is_complete
        self._settled_revision = max(revision, self._settled_revision)
        self._revisions = [
            entry for entry in self._revisions if entry[0] >= self._settled_revision
        ]
        self._update_limits_in_force()

    @property
    def settled_revision(self) -> int:
        """The highest revision whose higher limits are in force."""
        return self._settled_revision

    def find(self, resource: str) -> BucketLimit:
        """Returns the limit in force; zero for unknown buckets."""
        return self._limits_in_force.get(resource, ZERO_LIMIT)

    def resources(self) -> list[str]:
        """Returns the resource names of all buckets with a limit above zero."""
        return list(self._limits_in_force)

    def organisation_buckets(self, organisation: str) -> tuple[str, ...]:
        """Returns the resource names of an organisation's buckets with a limit."""
        return self._organisation_buckets.get(organisation, ())

    def _update_limits_in_force(self) -> None:
        self._limits_in_force = self._compute_lowest_limits()
        buckets: dict[str, tuple[str, ...]] = {}
        for resource in self._limits_in_force:
            kind, _, name = resource.partition("/")
            if kind == "organisation":
                organisation = name.rpartition("/")[0]
                buckets[organisation] = (*buckets.get(organisation, ()), resource)
        self._organisation_buckets = buckets

    def _compute_lowest_limits(self) -> dict[str, BucketLimit]:
        if not (self._settled_revision and self._is_complete and self._revisions):
            return {}
        first, *others = [limits for _, limits in self._revisions]
        combined = {}
        for resource, limit in first.items():
            for limits in others:
                limit = limit.minimum_with(limits.get(resource, ZERO_LIMIT))
            if limit.burst > 0.0:
                combined[resource] = limit
        return combined
