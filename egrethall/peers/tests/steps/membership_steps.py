from types import SimpleNamespace

from behave import given, then, when

from egrethall.leases import iterate_shards
from egrethall.peers import Membership
from egrethall.peers.tests.fleet import rank_holders
from egrethall.types import (
    Heartbeat,
    InstanceId,
    InstanceListing,
    InstanceState,
    ListedInstance,
    ManualClock,
)

NAMES = "abcd"


class MembershipSubject:
    """A membership whose peers have each just sent a message."""

    def __init__(self, own):
        self.clock = ManualClock()
        self.ids = {name: InstanceId(name, ord(name)) for name in NAMES}
        self.membership = Membership(
            self.ids[own], f"zone-{own}", self.clock, lambda resource: 5, rank_holders
        )
        for name in NAMES:
            if name != own:
                self.record_message(name)

    def advance_clock(self, seconds):
        self.clock.advance(seconds)

    def record_message(self, name, seconds=0.0):
        self.membership.record_contact(self.ids[name], f"zone-{name}")
        self.advance_clock(seconds)

    def send_heartbeat(self, name, shards="", leaving=False):
        held = sum(1 << int(shard) for shard in shards.split())
        self.record_message(name)
        self.membership.record_heartbeat(
            self.ids[name], Heartbeat(1, 7, held, held, leaving, 0.0)
        )

    def send_state(self, name, state):
        self.send_heartbeat(name, leaving=state == "leaving")

    def apply_listing_without(self, leaving, missing):
        states = dict.fromkeys(NAMES, InstanceState.LIVE)
        states[leaving] = InstanceState.LEAVING
        del states[missing]
        entries = [ListedInstance(n, "127.0.0.1:1", "z", s) for n, s in states.items()]
        self.membership.apply_listing(InstanceListing(1, tuple(entries)))

    def set_out_of_service(self, zone, name):
        self.membership.set_out_of_service([zone], [name])

    def hold_shard(self, shard):
        leases = SimpleNamespace(is_held=lambda number: number == shard)
        self.membership.attach_leases(leases)

    def start_new_run(self, name):
        self.membership.record_contact(InstanceId(name, 999), "zone-b")


@given('the membership of instance "{own}" with the peers "b", "c" and "d"')
def step_impl(context, own):
    context.subject = MembershipSubject(own)


#: The method of :class:`MembershipSubject` behind each step.
ACTIONS = {
    "{seconds:f} s pass": MembershipSubject.advance_clock,
    'a message of "{name}" arrives and {seconds:f} s pass': (
        MembershipSubject.record_message
    ),
    '"{name}" sends a heartbeat that says it is {state}': MembershipSubject.send_state,
    'the platform lists "{leaving}" as leaving and lacks "{missing}"': (
        MembershipSubject.apply_listing_without
    ),
    'operators take availability zone "{zone}" and instance "{name}" out of service': (
        MembershipSubject.set_out_of_service
    ),
    '"{name}" claims the shards "{shards}"': MembershipSubject.send_heartbeat,
    '"{name}" claims the shards ""': MembershipSubject.send_heartbeat,
    "this instance holds shard {shard:d}": MembershipSubject.hold_shard,
    'a message of a new run of "{name}" arrives': MembershipSubject.start_new_run,
}


def register_action(text, action):
    @when(text)
    def step_impl(context, **arguments):
        action(context.subject, **arguments)


for step_text, step_action in ACTIONS.items():
    register_action(step_text, step_action)


@then('the candidates are "{names}"')
def step_impl(context, names):
    assert context.subject.membership.list_candidates() == tuple(names.split())


@then("this instance wants no shard")
def step_impl(context):
    assert context.subject.membership.find_own_wanted_shards() == 0


@then('the holder of shard 5 is "{first}" and that of shard 9 is "{second}"')
def step_impl(context, first, second):
    subject = context.subject
    assert subject.membership.find_holder(5) == subject.ids[first]
    assert subject.membership.find_resource_holder("any") == subject.ids[first]
    assert subject.membership.find_holder(9) == subject.ids[second]


@then("no peer claims shard {shard:d} and its assumed holder is the wanted one")
def step_impl(context, shard):
    membership = context.subject.membership
    wanted = membership.find_wanted_holder(shard)
    expected = None if wanted == membership.own_instance else wanted
    assert membership.find_holder(shard) == expected


@then("the holder of shard {shard:d} is this instance")
def step_impl(context, shard):
    membership = context.subject.membership
    assert membership.find_holder(shard) == membership.own_instance


@then("the successor of shard {shard:d} is the first other instance in its ranking")
def step_impl(context, shard):
    ranked = [name for name in rank_holders(shard, NAMES) if name != "a"]
    assert context.subject.membership.find_successor(shard).name == ranked[0]


@then("shard {shard:d} has no known holder")
def step_impl(context, shard):
    assert context.subject.membership.find_holder(shard) is None


@then('the holder of shard {shard:d} is not the old run of "{name}"')
def step_impl(context, shard, name):
    subject = context.subject
    assert subject.membership.find_holder(shard) != subject.ids[name]


@then("the wanted shards of all four instances are disjoint and complete")
def step_impl(context):
    wanted = [
        MembershipSubject(name).membership.find_own_wanted_shards() for name in NAMES
    ]
    shards = sorted(shard for part in wanted for shard in iterate_shards(part))
    assert shards == list(range(64))
