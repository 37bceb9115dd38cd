"""Settlement of revisions: when no lease holder can still act on an older one."""

from dataclasses import dataclass

from egrethall.leases._timing import LEASE_SECONDS, extend_by_drift
from egrethall.types import Clock, InstanceId


@dataclass(frozen=True)
class _Confirmation:
    incarnation: int
    revision: int
    heard_at_seconds: float


@dataclass
class _AdoptedRevision:
    revision: int
    max_entry_instances: int
    majority_confirmed_at_seconds: float | None = None


class RevisionSettlement:
    """Determines which revisions are settled, and the majority that a lease needs.

    A voter at revision R does not vote for a holder at a revision below R. Once a
    majority has confirmed R, every holder at an older revision loses its lease
    within :data:`LEASE_SECONDS`, and R is settled. A confirmation is valid for one
    lease period. Only the latest one per instance name counts, because a replaced
    process may start at a lower revision.
    """

    def __init__(self, instance: InstanceId, clock: Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._adopted: list[_AdoptedRevision] = []
        self._settled_revision = 0
        self._confirmations: dict[str, _Confirmation] = {}
        self._missed_revisions: set[int] = set()

    def adopt(self, revision: int, max_entry_instances: int) -> None:
        """Adds a revision that this instance acts on from now on.

        Raises :class:`ValueError` if it is not higher than the last adopted revision.
        """
        if revision <= self.adopted_revision:
            raise ValueError(
                f"revision must be above {self.adopted_revision}, got {revision}"
            )
        self._adopted.append(_AdoptedRevision(revision, max_entry_instances))
        for confirmation in self._confirmations.values():
            self._record_missed(confirmation.revision)
        self.update()

    def observe(self, sender: InstanceId, revision: int) -> None:
        """Records the revision in a peer's heartbeat or acknowledgement."""
        known = self._confirmations.get(sender.name)
        if (
            known is not None
            and known.incarnation == sender.incarnation
            and known.revision > revision
        ):
            # Messages were reordered: a running process never lowers its revision.
            revision = known.revision
        self._confirmations[sender.name] = _Confirmation(
            sender.incarnation, revision, self._clock.monotonic_seconds()
        )
        self._record_missed(revision)
        self._discard_stale_confirmations()
        self.update()

    def update(self) -> None:
        """Recomputes the settled revision at the current time."""
        now = self._clock.monotonic_seconds()
        for entry in self._adopted:
            if entry.majority_confirmed_at_seconds is None and self._is_confirmed(
                entry, now
            ):
                entry.majority_confirmed_at_seconds = now
        settled = [
            entry.revision
            for entry in self._adopted
            if entry.majority_confirmed_at_seconds is not None
            and now
            >= entry.majority_confirmed_at_seconds + extend_by_drift(LEASE_SECONDS)
        ]
        if not settled:
            return
        self._settled_revision = max(self._settled_revision, *settled)
        self._adopted = [
            entry for entry in self._adopted if entry.revision >= self._settled_revision
        ]
        self._missed_revisions = {
            revision
            for revision in self._missed_revisions
            if revision > self._settled_revision
        }

    @property
    def adopted_revision(self) -> int:
        """The revision that this instance acts on, 0 before the first."""
        return self._adopted[-1].revision if self._adopted else 0

    @property
    def settled_revision(self) -> int:
        """The highest revision settled as of the last update, 0 if there is none."""
        return self._settled_revision

    @property
    def is_complete(self) -> bool:
        """Whether peers reported no unsettled revision that this instance skipped.

        An instance may receive only the second of two revisions published in quick
        succession. Until that one is settled, peers may act on the one it missed.
        """
        return not self._missed_revisions

    @property
    def max_entry_instances(self) -> int:
        """The highest limit of the settled revision and all newer ones."""
        return max((entry.max_entry_instances for entry in self._adopted), default=0)

    @property
    def majority(self) -> int:
        """Number of distinct instances whose votes are needed for a lease.

        It is 0 before the first revision, when no shard can be held.
        """
        if not self._adopted:
            return 0
        return self.max_entry_instances // 2 + 1

    def _record_missed(self, revision: int) -> None:
        adopted = [entry.revision for entry in self._adopted]
        if not adopted or revision in adopted:
            return
        if adopted[0] < revision < adopted[-1]:
            self._missed_revisions.add(revision)

    def _discard_stale_confirmations(self) -> None:
        # Each replacement instance may have a new name, so the dict would keep growing.
        if len(self._confirmations) <= 2 * self.max_entry_instances:
            return
        oldest_valid_seconds = self._clock.monotonic_seconds() - LEASE_SECONDS
        self._confirmations = {
            name: confirmation
            for name, confirmation in self._confirmations.items()
            if confirmation.heard_at_seconds >= oldest_valid_seconds
        }

    def _is_confirmed(self, entry: _AdoptedRevision, now: float) -> bool:
        oldest_valid_seconds = now - LEASE_SECONDS
        confirmed = sum(
            confirmation.revision >= entry.revision
            and confirmation.heard_at_seconds >= oldest_valid_seconds
            for name, confirmation in self._confirmations.items()
            if name != self._instance.name
        )
        return confirmed + 1 >= self.majority
