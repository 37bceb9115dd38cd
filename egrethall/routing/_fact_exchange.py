"""Exchange of upstream facts in heartbeats, events and handovers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from egrethall.routing._cold_starts import ColdStartController, HolderView
from egrethall.routing._directory import UpstreamDirectory
from egrethall.routing._records import LeavingSignal, UpstreamRecord
from egrethall.types import Clock, InstanceId, UpstreamFact, UpstreamState

#: Time without facts from a shard's holder after which the other instances repeat
#: its last state.
HOLDER_SILENCE_SECONDS = 1.0

#: Age of the holder's last fact up to which the other instances repeat it.
HOLDER_STATE_MAX_AGE_SECONDS = 6.0

#: Time for which an instance repeats that an upstream is draining, in case its event
#: to the holder was lost. A longer time would delay the end of a cancelled draining.
DRAINING_REPEAT_SECONDS = 2.0


class UpstreamFactExchange:
    """Selects the upstream facts to send to peers and applies received facts.

    The holder of an upstream's shard sends the upstream's state in each heartbeat.
    The other instances report the results of their own calls to upstreams that are
    not warm: warming after successes only, cold after any failure since the last
    heartbeat. While the holder is silent, they repeat that an upstream is warm, so
    that the next holder does not restart its cold start.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        controller: ColdStartController,
        holder_view: HolderView,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._controller = controller
        self._holder_view = holder_view
        self._clock = clock
        #: Successes and failures by upstream at the last heartbeat.
        self._reported_counts: dict[str, tuple[int, int]] = {}

    def take_heartbeat_facts(self) -> tuple[UpstreamFact, ...]:
        """Returns the facts for the next heartbeat to every peer.

        The next call covers only the calls that end after this one.
        """
        facts = []
        for record in self._directory.find_records():
            fact = self._make_heartbeat_fact(record)
            if fact is not None:
                facts.append(fact)
        self._reported_counts = {
            record.upstream.name: (record.successes, record.failures)
            for record in self._directory.find_records()
        }
        return tuple(facts)

    def receive_heartbeat_facts(
        self, sender: InstanceId, facts: Iterable[UpstreamFact]
    ) -> None:
        """Applies the facts in a peer's heartbeat."""
        for fact in facts:
            if self._holder_view.is_held_here(fact.upstream):
                self._controller.merge_evidence(fact)
            elif self._holder_view.is_held_by(fact.upstream, sender):
                self._directory.merge_fact(fact, from_holder=True)
            elif fact.state in (UpstreamState.WARM, UpstreamState.DRAINING):
                self._directory.merge_fact(fact, from_holder=False)

    def receive_event(self, fact: UpstreamFact) -> None:
        """Applies the fact in an :class:`~egrethall.types.UpstreamEvent`."""
        self._directory.merge_fact(fact, from_holder=False)

    def find_handover_facts(self, upstreams: Iterable[str]) -> tuple[UpstreamFact, ...]:
        """Returns the facts to send to the next holder of the upstreams' shard."""
        records = (self._directory.find_record(name) for name in upstreams)
        return tuple(
            self._directory.make_fact(record)
            for record in records
            if record is not None
        )

    def receive_handover_facts(self, facts: Iterable[UpstreamFact]) -> None:
        """Applies the facts in a :class:`~egrethall.types.Handover`."""
        for fact in facts:
            self._directory.merge_fact(fact, from_holder=True)

    def _make_heartbeat_fact(self, record: UpstreamRecord) -> UpstreamFact | None:
        name = record.upstream.name
        if self._holder_view.is_held_here(name):
            return self._directory.make_fact(record)
        if record.state is UpstreamState.WARM:
            silent_seconds = (
                self._clock.monotonic_seconds() - record.holder_reported_at_seconds
            )
            if HOLDER_SILENCE_SECONDS < silent_seconds < HOLDER_STATE_MAX_AGE_SECONDS:
                return self._directory.make_fact(record)
            return None
        if LeavingSignal.DRAINING in record.leaving:
            drained_seconds = (
                self._clock.monotonic_seconds() - record.draining_since_seconds
            )
            is_repeated = drained_seconds < DRAINING_REPEAT_SECONDS
            return self._directory.make_fact(record) if is_repeated else None
        if record.leaving:
            return None
        successes, failures = self._reported_counts.get(name, (0, 0))
        if record.failures > failures:
            state = UpstreamState.COLD
        elif record.successes > successes:
            state = UpstreamState.WARMING
        else:
            return None
        return replace(self._directory.make_fact(record), state=state)
