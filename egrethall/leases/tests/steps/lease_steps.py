from behave import given, then, when

from egrethall.leases import (
    CLOCK_DRIFT_RATIO,
    LEASE_SECONDS,
    SHARD_COUNT,
    choose_holder,
    rank_members,
)
from egrethall.leases.tests.lease_subject import WARM_UP_SECONDS, LeaseSubject
from egrethall.types import Heartbeat, HeartbeatAck, InstanceId

#: Time for which a voter keeps a vote.
VOTE_KEPT_SECONDS = LEASE_SECONDS * (1.0 + CLOCK_DRIFT_RATIO)


@given("an instance that has just started")
def step_impl(context):
    context.subject = LeaseSubject()


@given("an instance that has run for 10 seconds")
def step_impl(context):
    context.subject = LeaseSubject()
    context.subject.settle_revision()


@when("a peer requests a shard")
def step_impl(context):
    context.first_peer, context.second_peer = context.subject.peers[:2]
    context.granted = context.subject.request_vote(context.first_peer)


@then("another peer gets the vote only after the lease period extended by clock drift")
def step_impl(context):
    assert context.granted
    assert not context.subject.request_vote(context.second_peer)
    context.subject.clock.advance(VOTE_KEPT_SECONDS - 0.001)
    assert not context.subject.request_vote(context.second_peer)
    context.subject.clock.advance(0.002)
    assert context.subject.request_vote(context.second_peer)


@then("it gives no votes during the lease period extended by clock drift")
def step_impl(context):
    subject = context.subject
    assert not subject.request_vote(subject.peers[0])
    subject.clock.advance(VOTE_KEPT_SECONDS - 0.001)
    assert not subject.request_vote(subject.peers[0])
    subject.clock.advance(0.002)
    assert subject.request_vote(subject.peers[0])


@when("the instance adopts revision 2")
def step_impl(context):
    context.subject.adopt(2, 5)


@then("the peer's vote is renewed only at revision 2, which the answer states")
def step_impl(context):
    assert not context.subject.request_vote(context.first_peer, revision=1)
    assert context.subject.request_vote(context.first_peer, revision=2)
    heartbeat = Heartbeat(90, 1, 0, 0, False, 0.0)
    answer = context.subject.voter.answer_heartbeat(context.second_peer, heartbeat)
    assert answer == HeartbeatAck(90, 2, 0)


@when("{count:d} live instances are listed")
def step_impl(context, count):
    context.subject.voter.set_listed_live(count)


@then("it gives no votes and has recorded an audit event")
def step_impl(context):
    assert not context.subject.request_vote(context.subject.peers[0])
    assert [event.kind for event in context.subject.audit_events] == ["lease-votes"]


@then("it votes again once {count:d} are listed")
def step_impl(context, count):
    context.subject.voter.set_listed_live(count)
    assert context.subject.request_vote(context.subject.peers[0])


@when("a heartbeat arrives before a release that was sent earlier")
def step_impl(context):
    subject = context.subject
    context.first_peer, context.second_peer = subject.peers[:2]
    assert subject.request_vote(context.first_peer, sequence=1)
    assert subject.request_vote(context.first_peer, sequence=2)
    subject.release(context.first_peer, sequence=1)


@then("the vote for that heartbeat stays valid")
def step_impl(context):
    assert not context.subject.request_vote(context.second_peer)


@when("a release arrives before a heartbeat that was sent earlier")
def step_impl(context):
    subject = context.subject
    context.first_peer, context.second_peer = subject.peers[:2]
    subject.release(context.first_peer, sequence=1)


@then("the late heartbeat gets no vote and another peer does")
def step_impl(context):
    assert not context.subject.request_vote(context.first_peer, sequence=1)
    assert context.subject.request_vote(context.second_peer)


@when("two peers answer its heartbeat {delay:g} seconds later")
def step_impl(context, delay):
    request = context.subject.prepare_heartbeat()
    context.subject.clock.advance(delay)
    context.subject.acknowledge(context.subject.peers[:2], request)


@then("it holds the shard for {seconds:g} seconds more")
def step_impl(context, seconds):
    subject = context.subject
    assert abs(subject.table.remaining_seconds(subject.shard) - seconds) < 1e-9
    subject.clock.advance(seconds - 0.001)
    assert subject.holds_shard
    subject.clock.advance(0.002)
    assert not subject.holds_shard


@then("it does not hold the shard")
def step_impl(context):
    assert not context.subject.holds_shard
    assert context.subject.table.remaining_seconds(context.subject.shard) == 0.0


@when("one peer answers its heartbeat three times, before and after a restart")
def step_impl(context):
    subject = context.subject
    first = subject.peers[0]
    subject.acknowledge(
        [first, first, InstanceId(first.name, 2)], subject.prepare_heartbeat()
    )


@when("the answers to two heartbeats arrive in the wrong order")
def step_impl(context):
    subject = context.subject
    first = subject.prepare_heartbeat()
    subject.clock.advance(0.5)
    second = subject.prepare_heartbeat()
    subject.acknowledge(subject.peers[:2], second)
    subject.acknowledge(subject.peers[:2], first)


@when("peers answer a heartbeat after the shard was given up")
def step_impl(context):
    subject = context.subject
    request = subject.prepare_heartbeat()
    subject.table.give_up(1 << subject.shard)
    subject.acknowledge(subject.peers, request)


@when("it holds the shard, pauses for 10 seconds and gets it again")
def step_impl(context):
    subject = context.subject
    subject.acknowledge(subject.peers[:2], subject.prepare_heartbeat())
    context.earlier_tenure = subject.table.find_tenure(subject.shard)
    context.held_until_seconds = subject.clock.monotonic_seconds() + LEASE_SECONDS
    subject.clock.advance(10.0)
    assert not subject.holds_shard
    subject.table.set_members(subject.members)
    subject.acknowledge(subject.peers[:2], subject.prepare_heartbeat())


@then("the tenure has another number and the end time of the previous one")
def step_impl(context):
    tenure = context.subject.table.find_tenure(context.subject.shard)
    assert tenure.number != context.earlier_tenure.number
    assert tenure.previous_end_seconds == context.held_until_seconds
    assert tenure.acquired_at_seconds == context.subject.clock.monotonic_seconds()


@when("it renews the lease 20 times, half a second apart, losing one answer each time")
def step_impl(context):
    subject = context.subject
    subject.acknowledge(subject.peers[:3], subject.prepare_heartbeat())
    context.earlier_tenure = subject.table.find_tenure(subject.shard)
    for number in range(20):
        subject.clock.advance(0.5)
        request = subject.prepare_heartbeat()
        answering = [
            peer for index, peer in enumerate(subject.peers) if index != number % 4
        ]
        subject.acknowledge(answering, request)
        assert subject.holds_shard


@then("the tenure has the same number")
def step_impl(context):
    tenure = context.subject.table.find_tenure(context.subject.shard)
    assert tenure == context.earlier_tenure


@when("only one peer answers its heartbeats for 1 second")
def step_impl(context):
    subject = context.subject
    for _ in range(3):
        request = subject.prepare_heartbeat()
        assert request.wanted_shards >> subject.shard & 1 or len(subject.requests) == 3
        subject.acknowledge(subject.peers[:1], request)
        subject.clock.advance(0.5)


@then("it has released the shard and requests it again only after a back-off")
def step_impl(context):
    subject = context.subject
    assert not subject.requests[-1].wanted_shards >> subject.shard & 1
    assert subject.table.take_release().shards >> subject.shard & 1
    assert subject.table.take_release() is None
    context.subject.clock.advance(1.2)
    assert (
        context.subject.prepare_heartbeat().wanted_shards >> context.subject.shard & 1
    )


@when("it adopts revision 2 with a limit of {new:d} instead of 5")
def step_impl(context, new):
    context.subject.adopt(2, new)


@then("it needs 3 votes, and 2 a lease period after a majority confirmed revision 2")
def step_impl(context):
    subject = context.subject
    for peer in subject.peers[:2]:
        subject.settlement.observe(peer, 2)
    subject.clock.advance(VOTE_KEPT_SECONDS - 0.001)
    subject.acknowledge(subject.peers[:1], subject.prepare_heartbeat())
    assert subject.settlement.settled_revision == 1
    assert not subject.holds_shard
    subject.clock.advance(0.002)
    subject.acknowledge(subject.peers[:1], subject.prepare_heartbeat())
    assert subject.settlement.settled_revision == 2
    assert subject.holds_shard


@when("it holds the shard and adopts revision 2 with a limit of {new:d} instead of 5")
def step_impl(context, new):
    subject = context.subject
    subject.acknowledge(subject.peers[:3], subject.prepare_heartbeat())
    assert subject.holds_shard
    subject.adopt(2, new)
    subject.prepare_heartbeat()


@when("two peers confirm revision 1 three seconds apart")
def step_impl(context):
    subject = context.subject
    subject.settlement.observe(subject.peers[0], 1)
    subject.clock.advance(3.0)
    subject.settlement.observe(subject.peers[1], 1)


@then("revision 1 is not settled 10 seconds later")
def step_impl(context):
    context.subject.clock.advance(WARM_UP_SECONDS)
    context.subject.settlement.update()
    assert context.subject.settlement.settled_revision == 0


@when("it holds the shard and starts leaving")
def step_impl(context):
    subject = context.subject
    subject.acknowledge(subject.peers[:3], subject.prepare_heartbeat())
    assert subject.holds_shard
    assert not subject.table.due_handovers()
    subject.table.start_leaving()


@then("the shard is due for handover to the next instance and is released only once")
def step_impl(context):
    subject = context.subject
    due = {due.shard: due.successor for due in subject.table.due_handovers()}
    assert due[subject.shard] == rank_members(subject.shard, subject.members)[1]
    subject.table.give_up(1 << subject.shard)
    assert not subject.holds_shard
    release = subject.table.take_release()
    assert release.shards == 1 << subject.shard
    assert release.sequence == subject.requests[-1].sequence
    assert subject.table.take_release() is None
    late_ack = HeartbeatAck(release.sequence, 1, release.shards)
    for peer in subject.peers:
        subject.table.accept_ack(peer, late_ack)
    assert not subject.holds_shard


@when("it has sent a heartbeat and a peer releases the shard")
def step_impl(context):
    subject = context.subject
    subject.prepare_heartbeat()
    assert subject.table.next_heartbeat_in_seconds() > 0.4
    subject.table.note_release(subject.peers[0], 1 << subject.shard)


@then("its next heartbeat is due within 20 milliseconds")
def step_impl(context):
    assert context.subject.table.next_heartbeat_in_seconds() <= 0.02


@given("18 members")
def step_impl(context):
    context.members = [InstanceId(f"entry-{number}", number) for number in range(18)]


@when("one of them is removed")
def step_impl(context):
    context.removed = context.members[7]
    context.remaining = [
        member for member in context.members if member != context.removed
    ]


@then("only its shards change holder, each to the next member in the ranking")
def step_impl(context):
    for shard in range(SHARD_COUNT):
        first, second = rank_members(shard, context.members)[:2]
        expected = second if first == context.removed else first
        assert choose_holder(shard, context.remaining) == expected
