"""Decides when an instance that starts may call the record source."""

from collections.abc import Collection, Sequence

from egrethall.types import Clock, weigh

#: Time for which a starting instance waits for records from others before it calls the
#: source. In this time it contacts the seeds twice.
PEER_RECORDS_WAIT_SECONDS = 0.6

#: Seeds that call the source without waiting: usually one of each availability zone.
FIRST_SEEDS = 3

#: Delay of each further :data:`FIRST_SEEDS` seeds. The first ones may be out of date,
#: and records from another instance arrive within a few milliseconds.
SEED_STEP_SECONDS = 0.1

#: Instances of an availability zone that call the source at the same time while no
#: records are known in a starting fleet. More than in a fleet that has its records,
#: since a source that rejects some instances must not delay the start.
STARTERS_PER_ZONE = 4

#: Time after its start in which an instance learns of readers. In four rounds of
#: heartbeats it learns of some in a fleet of any size.
DISCOVERY_SECONDS = 2.0

#: Resource for which the starting instances are weighed.
_RESOURCE = "record-source"


class StartOrder:
    """Orders the calls of instances that start at the same time.

    Made for 300 instances of three availability zones that start within 0.3 s of each
    other: a few seeds read the source and the others read from them. If none of the
    seeds has records, the instances with the highest rendezvous weights call it.

    :param own_address: address by which the seeds name this instance.
    """

    def __init__(
        self, own_name: str, own_address: str, seeds: Sequence[str], clock: Clock
    ) -> None:
        self._own_name = own_name
        self._clock = clock
        self._started_at_seconds = clock.monotonic_seconds()
        self._is_seed = own_address in seeds
        self._wait_seconds = _find_wait(own_address, seeds)

    @property
    def wait_seconds(self) -> float:
        """The time from the start for which the instance does not call the source."""
        return self._wait_seconds

    @property
    def is_seed(self) -> bool:
        """Whether the other instances know this one from their start."""
        return self._is_seed

    @property
    def is_starting(self) -> bool:
        """Whether the instance still learns of the others."""
        return self._measure_age_seconds() < DISCOVERY_SECONDS

    @property
    def is_waiting(self) -> bool:
        """Whether it is too early for a call to the source."""
        return self._measure_age_seconds() < self._wait_seconds

    def count_preceding(self, names: Collection[str]) -> int:
        """Returns how many of ``names`` are to call the source before this instance.

        The order of the seeds is in :attr:`wait_seconds`.
        """
        if self._is_seed:
            return 0
        own_weight = weigh(_RESOURCE, self._own_name)
        return sum(weigh(_RESOURCE, name) > own_weight for name in names)

    def _measure_age_seconds(self) -> float:
        return self._clock.monotonic_seconds() - self._started_at_seconds


def _find_wait(own_address: str, seeds: Sequence[str]) -> float:
    if own_address not in seeds:
        return PEER_RECORDS_WAIT_SECONDS
    own_weight = weigh(_RESOURCE, own_address)
    rank = sum(weigh(_RESOURCE, seed) > own_weight for seed in set(seeds))
    step = rank // FIRST_SEEDS
    return min(step * SEED_STEP_SECONDS, PEER_RECORDS_WAIT_SECONDS)
