"""Caches the newest records that this instance has received."""

from collections import OrderedDict
from collections.abc import Callable

from egrethall.types import Record, RecordBatch

#: Tombstones of removed keys that are kept for instances that lag behind. An instance
#: that needs older ones gets a snapshot of all records instead.
MAX_TOMBSTONES = 4096

Subscriber = Callable[[tuple[Record, ...]], None]


class RecordCache:
    """Holds the records by key, complete up to one revision that never decreases.

    Batches may come from the record source and from other instances, in any order and
    more than once. A record is replaced only by one of a higher revision.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._tombstones: OrderedDict[str, Record] = OrderedDict()
        self._revision = 0
        #: Tombstones of removals up to this revision may be missing.
        self._compacted_revision = 0
        self._subscribers: list[Subscriber] = []
        #: Records ignored because the cache has one of the same or a higher revision.
        self.ignored_count = 0

    @property
    def revision(self) -> int:
        """The revision up to which the records are complete; 0 before any batch."""
        return self._revision

    def subscribe(self, subscriber: Subscriber) -> None:
        """Calls ``subscriber`` with each set of changed records from now on."""
        self._subscribers.append(subscriber)

    def apply(self, batch: RecordBatch) -> None:
        """Applies the newer records of ``batch`` and notifies the subscribers."""
        changed = [record for record in batch.records if self._apply_record(record)]
        if batch.whole:
            changed.extend(self._remove_missing(batch))
            if batch.revision > self._revision:
                self._compacted_revision = batch.revision
        self._revision = max(self._revision, batch.revision)
        if not changed:
            return
        for subscriber in self._subscribers:
            subscriber(tuple(changed))

    def find_changes(self, after_revision: int) -> RecordBatch:
        """Returns the changes after a revision, or a snapshot if some are missing."""
        if after_revision < self._compacted_revision:
            return RecordBatch(
                self._revision, tuple(self._records.values()), whole=True
            )
        known = (*self._records.values(), *self._tombstones.values())
        return RecordBatch(
            self._revision,
            tuple(record for record in known if record.revision > after_revision),
        )

    def _apply_record(self, record: Record) -> bool:
        known = self._records.get(record.key) or self._tombstones.get(record.key)
        if known is not None and known.revision >= record.revision:
            self.ignored_count += 1
            return False
        if known is None and record.value is None:
            return False
        if record.value is not None:
            self._tombstones.pop(record.key, None)
            self._records[record.key] = record
            return True
        was_present = self._records.pop(record.key, None) is not None
        self._tombstones[record.key] = record
        self._tombstones.move_to_end(record.key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, evicted = self._tombstones.popitem(last=False)
            self._compacted_revision = max(self._compacted_revision, evicted.revision)
        return was_present

    def _remove_missing(self, batch: RecordBatch) -> list[Record]:
        listed = {record.key for record in batch.records}
        missing = [
            Record(record.key, batch.revision, None)
            for record in self._records.values()
            if record.key not in listed and record.revision <= batch.revision
        ]
        return [record for record in missing if self._apply_record(record)]
