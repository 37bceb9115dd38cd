import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from egrethall.placement import HostRoutes, UpstreamTable, choose_service
from egrethall.types import (
    CallerLimits,
    ManualClock,
    PublishedConfiguration,
    PublishedRoute,
    RequestKind,
    ServiceShare,
    UpstreamEntry,
    UpstreamHead,
)


class TableSubject:
    """An upstream table that holds the upstreams of one service."""

    def __init__(self, zones, own_name=""):
        self.clock = ManualClock()
        self.table = UpstreamTable(self.clock, random.Random(5), own_name)
        for name, zone in zones.items():
            self.table.set_entry(self.make_entry(name, zone))

    def make_entry(self, name, zone):
        return UpstreamEntry(name, "reads", "10.0.0.1:80", zone, 6, False, 0.0, 1)

    def update_entry(self, name, **fields):
        self.table.set_entry(replace(self.table.find_state(name).entry, **fields))

    def fail(self, name, times=1):
        for _ in range(times):
            self.table.find_state(name).observe_failure("status 500")

    def apply_event(self, event):
        match event.split():
            case ["upstream", name, "drains"]:
                self.update_entry(name, draining=True, sequence=3)
            case ["upstream", name, "is", "removed"]:
                self.table.remove_entry(name, may_be_republished=False)
            case ["zone", zone, *rest]:
                self.table.set_zone_out_of_service(zone, out_of_service=True)
                if "back" in rest:
                    self.table.set_zone_out_of_service(zone, out_of_service=False)
            case ["upstream", name, "is", "removed", "after", *_]:
                self.table.remove_entry(name, may_be_republished=True)
            case ["upstream", name, "lapses", "for", *_]:
                self.table.remove_entry(name, may_be_republished=True)
                self.clock.advance(2.1)
            case ["upstream", name, "lapses", "and", *_]:
                entry = self.table.find_state(name).entry
                self.table.remove_entry(name, may_be_republished=True)
                self.clock.advance(1.0)
                self.table.set_entry(entry)
                self.clock.advance(5.0)
            case ["upstream", name, "restarts"]:
                self.update_entry(name, started_at_ms=2)
            case ["upstream", name, "is", "written", "anew"]:
                entry = replace(self.make_entry(name, "east"), sequence=9)
                self.table.set_entry(entry, may_be_outdated=True)
            case ["upstream", name, "is", "removed", "and", *_]:
                entry = self.table.find_state(name).entry
                self.table.remove_entry(name, may_be_republished=False)
                self.table.set_entry(replace(entry, sequence=9))
            case ["upstream", name, "is", "removed", "again"]:
                self.table.remove_entry(name, may_be_republished=True)

    def restore_copy(self, entries):
        for entry in entries:
            self.table.set_entry(entry, may_be_outdated=True)
        self.table.set_zone_out_of_service(
            "east", out_of_service=False, may_be_republished=True
        )

    def list_usable_names(self):
        return sorted(state.name for state in self.table.find_usable("reads"))


READS_SHARES = (ServiceShare("reads", 1.0),)


def make_route(name, prefix, shares=READS_SHARES):
    return PublishedRoute(
        name,
        "club.example",
        prefix,
        RequestKind.IDEMPOTENT,
        1.2,
        0.4,
        2,
        shares,
        2,
        False,
    )


@given("upstreams a and b in availability zone east and c in west")
def step_impl(context):
    context.subject = TableSubject({"a": "east", "b": "east", "c": "west"})


@given("5 upstreams in availability zone east and 5 in west")
def step_impl(context):
    zones = {f"e{n}": "east" for n in range(5)} | {f"w{n}": "west" for n in range(5)}
    context.subject = TableSubject(zones)


@when("{change}, and the source is restored from a copy without it")
def step_impl(context, change):
    subject = context.subject
    copied = [state.entry for state in subject.table.find_usable("reads")]
    subject.apply_event(change)
    subject.restore_copy(copied)


@when("upstream a is removed and restored, and {event} 1 s later")
def step_impl(context, event):
    subject = context.subject
    entry = subject.table.find_state("a").entry
    subject.apply_event("upstream a is removed")
    subject.table.set_entry(entry, may_be_outdated=True)
    subject.clock.advance(1.0)
    subject.apply_event(event)


@then("the usable upstreams are {first}, and 2.1 s later {later}")
def step_impl(context, first, later):
    assert context.subject.list_usable_names() == first.split()
    context.subject.clock.advance(2.1)
    assert context.subject.list_usable_names() == later.split()


@then("the usable upstreams 5.1 s later are {names}")
def step_impl(context, names):
    context.subject.clock.advance(5.1)
    assert context.subject.list_usable_names() == names.split()


def make_head(**fields):
    head = UpstreamHead(
        status=200,
        headers=(),
        request_id="",
        signed=True,
        not_run=False,
        encoded=False,
        misdirected=False,
        reading=None,
        upstream="",
        cold_seconds=0.0,
        rate_limit_per_second=None,
        leaving=False,
        retry_after_seconds=None,
        idle_seconds=None,
    )
    return replace(head, **fields)


@when("upstream a says that it leaves, and {event}")
def step_impl(context, event):
    context.subject.table.find_state("a").observe_head(make_head(leaving=True))
    context.subject.apply_event(event)


@when("upstream a refuses for 3 s, and 1 s later for 1 s")
def step_impl(context):
    state = context.subject.table.find_state("a")
    state.observe_head(make_head(status=503, retry_after_seconds=3.0))
    context.subject.clock.advance(1.0)
    state.observe_head(make_head(status=503, retry_after_seconds=1.0))


@then("it is refusing 1.9 s later, and no more 0.2 s after that")
def step_impl(context):
    subject = context.subject
    state = subject.table.find_state("a")
    for seconds, refusing in ((1.9, True), (0.2, False)):
        subject.clock.advance(seconds)
        is_refusing = state.paused_until_seconds > subject.clock.monotonic_seconds()
        assert is_refusing is refusing, seconds


@when("upstream a fails 3 times and restarts")
def step_impl(context):
    context.subject.fail("a", 3)
    context.subject.update_entry("a", started_at_ms=2)


@when("upstream a fails {times:d} times")
def step_impl(context, times):
    context.subject.fail("a", times)


@when("upstreams {names} fail")
def step_impl(context, names):
    for name in set(names.split()) - {"none"}:
        context.subject.fail(name)


@when("upstreams {names} are cold")
def step_impl(context, names):
    for name in set(names.split()) - {"none"}:
        context.subject.table.find_state(name).observe_cold(3.0)


@when("each upstream refuses a request without running it")
def step_impl(context):
    for state in context.subject.table.find_usable("reads"):
        state.observe_refusal()


@then("no upstream is penalized and each has a failure ratio above {ratio:f}")
def step_impl(context, ratio):
    for state in context.subject.table.find_usable("reads"):
        assert not state.penalized
        assert state.failure_ratio > ratio, state.failure_ratio


@when("3 candidates for availability zone east are chosen 50 times with 1 of others")
def step_impl(context):
    context.zones = [
        sorted(
            state.entry.availability_zone
            for state in context.subject.table.choose_candidates(
                "reads", "east", 3, frozenset(), other_zone_count=1
            )
        )
        for _ in range(50)
    ]


@when("a request for {host} and {target} is routed")
def step_impl(context, host, target):
    routes = (make_route("read", "/read/"), make_route("old", "/read/old/"))
    limits = CallerLimits(1000, 1000, 1.0, 1.0)
    configuration = PublishedConfiguration(1, routes, (), (), limits)
    context.route = HostRoutes(configuration).find_route(host, target.encode())


@when("{count:d} requests are split between services with weights 90 and 10")
def step_impl(context, count):
    shares = (ServiceShare("first", 90.0), ServiceShare("second", 10.0))
    route, random_source = make_route("split", "/", shares), random.Random(5)
    chosen = [choose_service(route, random_source) for _ in range(count)]
    context.percent = 100 * chosen.count("second") / count


@when("{event}")
def step_impl(context, event):
    context.subject.apply_event(event)


@then("the usable upstreams are {names}")
def step_impl(context, names):
    assert context.subject.list_usable_names() == names.split()


@then("upstream a is not penalized and its failure ratio is 0.0")
def step_impl(context):
    state = context.subject.table.find_state("a")
    assert not state.penalized
    assert state.failure_ratio == 0.0


@then("upstream a is penalized for {seconds:f} s")
def step_impl(context, seconds):
    state = context.subject.table.find_state("a")
    context.subject.clock.advance(seconds - 0.01)
    assert state.penalized
    context.subject.clock.advance(0.02)
    assert not state.penalized


@then("each time 2 are in availability zone east and 1 in west")
def step_impl(context):
    assert all(zones == ["east", "east", "west"] for zones in context.zones)


@then("the 2 candidates for availability zone east are {names}")
def step_impl(context, names):
    chosen = context.subject.table.choose_candidates("reads", "east", 2, frozenset())
    found = sorted(state.name for state in chosen)
    assert found == names.split(), found


@then("its route is {name}")
def step_impl(context, name):
    found = "none" if context.route is None else context.route.name
    assert found == name, found


@then("the second service gets {low:d} to {high:d} of every 100 requests")
def step_impl(context, low, high):
    assert low <= context.percent <= high, context.percent


@given(
    "{instances:d} instances that have chosen 2 of the {count:d} upstreams of their"
    " availability zone {times:d} times, the last one of which was added"
)
def step_impl(context, instances, count, times):
    zones = {f"upstream-{number}": "east" for number in range(count - 1)}
    context.subjects = [
        TableSubject(zones, f"entry-{number}") for number in range(instances)
    ]
    context.chosen = []
    for subject in context.subjects:
        added = f"upstream-{count - 1}"
        subject.table.set_entry(subject.make_entry(added, "east"))
        choices = Counter()
        for _ in range(times):
            states = subject.table.choose_candidates("reads", "east", 2, frozenset())
            choices.update(state.name for state in states)
        context.chosen.append(choices)


@then("each instance has chosen at most {count:d} upstreams")
def step_impl(context, count):
    assert max(map(len, context.chosen)) <= count


@then("no upstream was chosen over {ratio:g} times as often as on average")
def step_impl(context, ratio):
    total = sum(context.chosen, Counter())
    names = context.subjects[0].table.find_usable("reads")
    average = total.total() / len(names)
    assert max(total.values()) <= ratio * average, (max(total.values()), average)


@then("each upstream was chosen by some instance")
def step_impl(context):
    total = sum(context.chosen, Counter())
    names = {state.name for state in context.subjects[0].table.find_usable("reads")}
    assert total.keys() == names, names - total.keys()
