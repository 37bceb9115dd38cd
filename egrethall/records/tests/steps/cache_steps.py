import re

from behave import given, then, when

from egrethall.records import RecordCache
from egrethall.types import Record, RecordBatch


def parse_records(text):
    """Parses ``a=3`` as key a written at revision 3, and ``a-3`` as its removal."""
    if text.strip() == "none":
        return ()
    return tuple(
        Record(key, int(revision), b"value" if sign == "=" else None)
        for key, sign, revision in re.findall(r"(\w+?)([=-])(\d+)", text)
    )


class CacheSubject:
    """The cache of one instance, and the records that its subscriber received."""

    def __init__(self):
        self.cache = RecordCache()
        self.received = []
        self.cache.subscribe(self.received.extend)

    def apply(self, revision, records, whole=False):
        self.received.clear()
        self.cache.apply(RecordBatch(revision, parse_records(records), whole))

    def list_records(self):
        batch = self.cache.find_changes(0)
        return {r for r in batch.records if r.value is not None}


@given("the records {records} up to revision {revision:d}")
def step_impl(context, records, revision):
    context.subject = CacheSubject()
    context.subject.apply(revision, records, whole=True)


@given("{count:d} keys that were added and removed")
def step_impl(context, count):
    for number in range(count):
        revision = 6 + 2 * number
        context.subject.apply(revision, f"k{number}={revision}")
        context.subject.apply(revision + 1, f"k{number}-{revision + 1}")


@given("a batch up to revision {revision:d} contains {records}")
@when("a batch up to revision {revision:d} contains {records}")
def step_impl(context, revision, records):
    context.subject.apply(revision, records)


@when("a snapshot at revision {revision:d} contains {records}")
def step_impl(context, revision, records):
    context.subject.apply(revision, records, whole=True)


@when("an instance at revision {behind:d} reads the changes")
def step_impl(context, behind):
    up_to_date = context.subject
    context.other = CacheSubject()
    history = {0: "", 3: "a=3", 5: "a=3 b=5", 7: "a=3 b=5 a-7", 8: "a-7 b=5 c=8"}
    if behind:
        # The instance ran before, and then fell behind.
        context.other.apply(min(behind, 3), "a=3", whole=True)
        context.other.apply(behind, history[behind])
    context.other.cache.apply(up_to_date.cache.find_changes(behind))


@then("the records are {records} up to revision {revision:d}")
def step_impl(context, records, revision):
    assert context.subject.list_records() == set(parse_records(records))
    assert context.subject.cache.revision == revision


@then("the subscriber receives {records}")
def step_impl(context, records):
    assert tuple(context.subject.received) == parse_records(records), (
        context.subject.received
    )


@then("it has the same records")
def step_impl(context):
    assert context.other.list_records() == context.subject.list_records()
    assert context.other.cache.revision == context.subject.cache.revision
