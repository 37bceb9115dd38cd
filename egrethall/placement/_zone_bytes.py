"""Bounds the response bytes that an instance fetches from other availability zones."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from egrethall.placement._cost import (
    CROSS_ZONE_COST,
    CROSS_ZONE_DOWNLOAD_COST,
    estimate_cross_zone_cost,
)
from egrethall.types import Clock, RequestKind

#: Size of the download whose transfer costs :data:`CROSS_ZONE_DOWNLOAD_COST`.
DOWNLOAD_BYTES = 90_000

#: Cost of each response byte from another zone, in usual service times.
COST_PER_BYTE = (CROSS_ZONE_DOWNLOAD_COST - CROSS_ZONE_COST) / DOWNLOAD_BYTES

#: Time in which the weight of counted bytes halves: longer than the waves of demand, so
#: that a zone may use in a wave what it has saved between waves.
BYTES_HALF_LIFE_SECONDS = 20.0

#: Weight of the newest response in the mean size.
SIZE_WEIGHT = 0.05

#: Response bytes that count as received at the start: some downloads. Without them the
#: bound would stop the first requests of an instance whose zone is full.
INITIAL_BYTES = 5.0 * DOWNLOAD_BYTES

#: Least urgent rank that may use the whole bound.
URGENT_RANK = 1

#: Share of the bound that requests below :data:`URGENT_RANK` may use. The rest is left
#: to the more urgent ones.
LESS_URGENT_RATIO = 0.7


@dataclass(frozen=True)
class Transfer:
    """A request in flight, as far as its response bytes are concerned."""

    service: str
    kind: RequestKind
    from_other_zone: bool
    #: False if the request had to leave its zone, which has no upstream that responds.
    #: It uses up nothing of the bound.
    bounded: bool
    #: Bytes that are reserved for the response.
    expected_bytes: float


@dataclass
class _Sizes:
    count: int = 0
    mean_bytes: float = 0.0


class CrossZoneBytes:
    """Counts response bytes, and decides whether a request may cause more of them.

    :param max_byte_ratio: bytes from other zones, as a share of all response bytes.
    """

    def __init__(self, max_byte_ratio: float, clock: Clock) -> None:
        self._max_byte_ratio = max_byte_ratio
        self._clock = clock
        self._counted_at_seconds = clock.monotonic_seconds()
        self._all_bytes = INITIAL_BYTES
        self._other_zone_bytes = 0.0
        #: Expected bytes of the requests in flight in other zones.
        self._reserved_bytes = 0.0
        self._sizes: defaultdict[tuple[str, RequestKind], _Sizes] = defaultdict(_Sizes)
        #: Totals for the metrics, by service.
        self.requests: Counter[str] = Counter()
        self.response_bytes: Counter[str] = Counter()

    def estimate_bytes(self, service: str, kind: RequestKind) -> float:
        """Returns the mean response size; a service may have requests of many sizes."""
        return self._sizes[service, kind].mean_bytes

    def estimate_service_bytes(self, service: str) -> float:
        """Returns the mean response size over all kinds of requests of a service."""
        sizes = [s for (name, _), s in self._sizes.items() if name == service]
        count = sum(s.count for s in sizes)
        return sum(s.count * s.mean_bytes for s in sizes) / count if count else 0.0

    def estimate_transfer_cost(self, service: str, kind: RequestKind) -> float:
        """Returns the cost of a response from another zone, in usual service times."""
        if not self._sizes[service, kind].count:
            return estimate_cross_zone_cost(kind)
        return compute_transfer_cost(self.estimate_bytes(service, kind))

    def may_send(self, service: str, kind: RequestKind, priority: int) -> bool:
        """Returns whether a response from another zone stays within the bound."""
        ratio = self._max_byte_ratio
        if priority > URGENT_RANK:
            ratio *= LESS_URGENT_RATIO
        expected_bytes = self.estimate_bytes(service, kind)
        factor = self._find_decay()
        other_bytes = self._other_zone_bytes * factor + self._reserved_bytes
        all_bytes = self._all_bytes * factor + self._reserved_bytes
        return other_bytes + expected_bytes <= ratio * (all_bytes + expected_bytes)

    def start(self, transfer: Transfer) -> None:
        """Counts a request that is sent."""
        if transfer.from_other_zone:
            self.requests[transfer.service] += 1
            self._reserved_bytes += transfer.expected_bytes

    def end(self, transfer: Transfer, size_bytes: int | None) -> None:
        """Counts the response of a request; ``size_bytes`` is None without one."""
        if transfer.from_other_zone:
            self._reserved_bytes = max(
                0.0, self._reserved_bytes - transfer.expected_bytes
            )
        if size_bytes is None:
            return
        sizes = self._sizes[transfer.service, transfer.kind]
        sizes.count += 1
        weight = max(SIZE_WEIGHT, 1.0 / sizes.count)
        sizes.mean_bytes += weight * (size_bytes - sizes.mean_bytes)
        if transfer.from_other_zone:
            self.response_bytes[transfer.service] += size_bytes
        if not transfer.bounded:
            return
        factor = self._find_decay()
        self._all_bytes = self._all_bytes * factor + size_bytes
        self._other_zone_bytes *= factor
        if transfer.from_other_zone:
            self._other_zone_bytes += size_bytes
        self._counted_at_seconds = self._clock.monotonic_seconds()

    def _find_decay(self) -> float:
        age_seconds = self._clock.monotonic_seconds() - self._counted_at_seconds
        return float(0.5 ** (age_seconds / BYTES_HALF_LIFE_SECONDS))


def compute_transfer_cost(size_bytes: float) -> float:
    """Returns the cost of a response of this size from another zone."""
    return CROSS_ZONE_COST + COST_PER_BYTE * size_bytes
