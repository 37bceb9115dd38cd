"""Published upstreams, and which of them may receive new requests."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from itertools import chain, zip_longest

import structlog

from egrethall.placement._subset_size import SUBSET_SIZE
from egrethall.placement._upstream_state import UpstreamState
from egrethall.types import Clock, RandomSource, UpstreamEntry, weigh

#: An upstream's entry may lapse during an outage of the record source although the
#: upstream still runs. It is published again within this time after the outage.
REPUBLISH_GRACE_SECONDS = 2.0

#: Time after the record source was restored from a copy in which an outdated entry is
#: not used yet. Upstreams that run publish a newer one in this time, and the entries of
#: those that have left expire, after three heartbeats of 1.5 s.
OUTDATED_ENTRY_DELAY_SECONDS = 5.0

#: Removed upstreams that are remembered.
MAX_REMOVED_STATES = 4096

#: Returns up to some number of the first upstreams. The second ones are all usable
#: upstreams of the zone, among them the first.
ZoneChooser = Callable[
    [list[UpstreamState], list[UpstreamState], int], list[UpstreamState]
]

logger = structlog.get_logger(__name__)


class UpstreamTable:
    """Indexes upstreams by service and selects the usable ones.

    An upstream is usable unless it is leaving or in an availability zone that is out of
    service.

    :param own_name: name of this instance, which selects its subset of the upstreams.
    """

    def __init__(
        self, clock: Clock, random_source: RandomSource, own_name: str = ""
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._own_name = own_name
        #: Rendezvous weights by upstream.
        self._weights: dict[str, bytes] = {}
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, dict[str, UpstreamState]] = {}
        self._zones_out_of_service: set[str] = set()
        #: Time at which each entry that may be republished is removed.
        self._removal_at_seconds: dict[str, float] = {}
        #: Likewise, time at which each availability zone is put back into service.
        self._zone_return_at_seconds: dict[str, float] = {}
        #: Removed upstreams, the oldest removal first. What one has said in its
        #: responses holds if the same run is published again.
        self._removed_states: OrderedDict[str, UpstreamState] = OrderedDict()
        #: Outdated entries, and the time from which they are used.
        self._outdated_entries: dict[str, tuple[UpstreamEntry, float]] = {}
        self._restart_subscribers: list[Callable[[UpstreamState], None]] = []

    def subscribe_to_restarts(
        self, subscriber: Callable[[UpstreamState], None]
    ) -> None:
        """Calls ``subscriber`` with the previous state of each upstream that is
        published with a later start under its name.
        """
        self._restart_subscribers.append(subscriber)

    def set_entry(self, entry: UpstreamEntry, *, may_be_outdated: bool = False) -> None:
        """Adds an upstream or updates its entry.

        :param may_be_outdated: True shortly after the record source was restored from a
            copy. An entry older than the known one, or not newer than that of a removed
            upstream, is then used only after :data:`OUTDATED_ENTRY_DELAY_SECONDS`.
        """
        self._removal_at_seconds.pop(entry.name, None)
        if may_be_outdated and self._is_outdated(entry):
            now_seconds = self._clock.monotonic_seconds()
            accept_at_seconds = now_seconds + OUTDATED_ENTRY_DELAY_SECONDS
            self._outdated_entries[entry.name] = entry, accept_at_seconds
            logger.info("outdated upstream entry deferred", upstream=entry.name)
            return
        self._accept_entry(entry)

    def _is_outdated(self, entry: UpstreamEntry) -> bool:
        known = self._states.get(entry.name)
        if known is not None:
            return entry.age_key < known.entry.age_key
        removed = self._removed_states.get(entry.name)
        return removed is not None and entry.age_key <= removed.entry.age_key

    def _accept_entry(self, entry: UpstreamEntry) -> None:
        self._outdated_entries.pop(entry.name, None)
        removed = self._removed_states.pop(entry.name, None)
        known = self._states.get(entry.name)
        if known is not None and _is_same_run(known.entry, entry):
            if entry.draining and not known.entry.draining:
                logger.info("upstream drains", upstream=entry.name)
            known.update_entry(entry)
            return
        if known is not None:
            self._remove(entry.name)
        if removed is not None and _is_same_run(removed.entry, entry):
            state = removed
            state.update_entry(entry)
        else:
            state = UpstreamState(entry, self._clock)
            self._notify_of_restart(known or removed, entry)
        self._states[entry.name] = state
        self._weights[entry.name] = weigh(entry.name, self._own_name)
        self._by_service.setdefault(entry.service, {})[entry.name] = state
        logger.info(
            "upstream added",
            upstream=entry.name,
            service=entry.service,
            zone=entry.availability_zone,
            cold_seconds=entry.cold_seconds,
            born=entry.started_at_ms,
        )

    def _notify_of_restart(
        self, previous: UpstreamState | None, entry: UpstreamEntry
    ) -> None:
        if previous is None or entry.started_at_ms <= previous.entry.started_at_ms:
            return
        for subscriber in self._restart_subscribers:
            subscriber(previous)

    def remove_entry(self, name: str, may_be_republished: bool) -> None:
        """Removes an upstream.

        :param may_be_republished: True shortly after an outage of the record source.
            The upstream then stays for :data:`REPUBLISH_GRACE_SECONDS`, within which it
            publishes its entry again if it still runs.
        """
        self._outdated_entries.pop(name, None)
        if name not in self._states:
            return
        if may_be_republished:
            now_seconds = self._clock.monotonic_seconds()
            self._removal_at_seconds.setdefault(
                name, now_seconds + REPUBLISH_GRACE_SECONDS
            )
            return
        self._remove(name)
        logger.info("upstream removed", upstream=name)

    def set_zone_out_of_service(
        self, zone: str, out_of_service: bool, *, may_be_republished: bool = False
    ) -> None:
        """Takes an availability zone out of service or puts it back.

        :param may_be_republished: True shortly after the record source was restored.
            The zone is then put back only if that is not revoked within
            :data:`REPUBLISH_GRACE_SECONDS`.
        """
        self._zone_return_at_seconds.pop(zone, None)
        if out_of_service == (zone in self._zones_out_of_service):
            return
        if may_be_republished and not out_of_service:
            now_seconds = self._clock.monotonic_seconds()
            self._zone_return_at_seconds[zone] = now_seconds + REPUBLISH_GRACE_SECONDS
            return
        if out_of_service:
            self._zones_out_of_service.add(zone)
        else:
            self._zones_out_of_service.discard(zone)
        logger.info(
            "availability zone changed", zone=zone, out_of_service=out_of_service
        )

    def find_state(self, name: str) -> UpstreamState | None:
        """Returns the upstream called ``name``, or None if it is unknown."""
        return self._states.get(name)

    def count_upstreams(self) -> int:
        """Returns the number of known upstreams of all services."""
        return len(self._states)

    def choose_across_services(self, count: int) -> list[UpstreamState]:
        """Returns up to ``count`` random upstreams, of as many services as possible."""
        by_service = [
            self._random.sample(states, len(states))
            for service in self._by_service
            if (states := self._find_unpaused(service))
        ]
        shuffled = self._random.sample(by_service, len(by_service))
        in_turn = chain.from_iterable(zip_longest(*shuffled))
        return [state for state in in_turn if state is not None][:count]

    def find_usable(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams of ``service`` that may receive new requests."""
        self._apply_due_changes()
        return [
            state
            for state in self._by_service.get(service, {}).values()
            if not state.leaving
            and state.entry.availability_zone not in self._zones_out_of_service
        ]

    def _find_unpaused(self, service: str) -> list[UpstreamState]:
        """Returns the usable upstreams that accept requests from this instance now."""
        now_seconds = self._clock.monotonic_seconds()
        return [
            state
            for state in self.find_usable(service)
            if state.paused_until_seconds <= now_seconds
        ]

    def is_usable(self, state: UpstreamState) -> bool:
        """Returns whether an upstream may still receive new requests."""
        return (
            self._states.get(state.name) is state
            and not state.leaving
            and state.entry.availability_zone not in self._zones_out_of_service
        )

    def exceeds_subset(self, service: str, zone: str) -> bool:
        """Returns whether ``zone`` has more upstreams of ``service`` than a subset."""
        usable = self.find_usable(service)
        same_zone = sum(s.entry.availability_zone == zone for s in usable)
        return same_zone > SUBSET_SIZE

    def choose_candidates(
        self,
        service: str,
        zone: str,
        count: int,
        excluded: frozenset[str],
        *,
        other_zone_count: int = 0,
        choose_own: ZoneChooser | None = None,
    ) -> list[UpstreamState]:
        """Returns up to ``count`` upstreams to probe.

        Upstreams of ``zone`` are preferred, but ``other_zone_count`` places are
        reserved for other availability zones. Recently failed upstreams are chosen only
        if there are too few others, and cold ones only if there are still too few.
        Upstreams with a rate limit come first: what is not used of a limit is lost, and
        the others are left to requests that find no limit with room.

        Of many upstreams in one zone, only those with the highest rendezvous weights
        for this instance are chosen (deterministic subsetting, Beyer et al., "Site
        Reliability Engineering", 2016, chapter 20), so that connections are used again.
        The senders of a cold upstream are those with the highest weights as well.

        :param choose_own: chooses among the sound upstreams of ``zone`` without a rate
            limit instead, if there are more than :data:`SUBSET_SIZE` in it.
        """
        all_usable = self.find_usable(service)
        usable = [s for s in all_usable if s.name not in excluded]
        sound = [s for s in usable if not s.penalized and not s.cold]
        tiers = (
            [s for s in sound if s.rate_limit_per_second is not None],
            [s for s in sound if s.rate_limit_per_second is None],
            [s for s in usable if s.penalized and not s.cold],
            [s for s in usable if s.cold],
        )
        ring = [s for s in all_usable if s.entry.availability_zone == zone]
        chosen: list[UpstreamState] = []
        for number, tier in enumerate(tiers):
            same_zone = [s for s in tier if s.entry.availability_zone == zone]
            elsewhere = [s for s in tier if s.entry.availability_zone != zone]
            wanted = count - len(chosen) - min(other_zone_count, len(elsewhere))
            if number == 1 and choose_own is not None and len(ring) > SUBSET_SIZE:
                chosen += choose_own(same_zone, ring, wanted)
            else:
                chosen += self._sample(same_zone, wanted)
            chosen += self._sample(elsewhere, count - len(chosen))
        return chosen

    def _choose_subset(self, states: list[UpstreamState]) -> list[UpstreamState]:
        if len(states) <= SUBSET_SIZE:
            return states
        return heapq.nlargest(
            SUBSET_SIZE, states, key=lambda state: self._weights[state.name]
        )

    def _sample(self, states: list[UpstreamState], count: int) -> list[UpstreamState]:
        if count <= 0:
            return []
        if len(states) <= count:
            return states
        return self._random.sample(self._choose_subset(states), count)

    def _remove(self, name: str) -> None:
        state = self._states.pop(name)
        del self._weights[name]
        del self._by_service[state.entry.service][name]
        self._removed_states[name] = state
        while len(self._removed_states) > MAX_REMOVED_STATES:
            self._removed_states.popitem(last=False)

    def _apply_due_changes(self) -> None:
        now_seconds = self._clock.monotonic_seconds()
        for name in _find_due(self._removal_at_seconds, now_seconds):
            del self._removal_at_seconds[name]
            if name in self._states:
                self._remove(name)
                logger.info("upstream removed", upstream=name, reason="lapsed")
        for zone in _find_due(self._zone_return_at_seconds, now_seconds):
            self.set_zone_out_of_service(zone, False)
        for entry, accept_at_seconds in tuple(self._outdated_entries.values()):
            if now_seconds >= accept_at_seconds:
                self._accept_entry(entry)


def _find_due(due_at_seconds: dict[str, float], now_seconds: float) -> list[str]:
    if not due_at_seconds:
        return []
    return [name for name, at in due_at_seconds.items() if now_seconds >= at]


def _is_same_run(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return (
        known.service == entry.service
        and known.address == entry.address
        and known.started_at_ms == entry.started_at_ms
    )
