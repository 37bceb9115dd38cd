"""Entry instances joined in memory: leases and allowances over simulated messages.

It knows the messages of shard leases and allowances only. Time is virtual: the event
loop advances the clock to its next timer instead of waiting.
"""

import asyncio
import selectors
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from datetime import datetime
from functools import partial
from random import Random
from typing import Any

import anyio

from egrethall.admission import AllowanceBorrower, HeldBuckets
from egrethall.leases import (
    LeaseTable,
    LeaseVoter,
    RevisionSettlement,
    choose_holder,
    iterate_shards,
)
from egrethall.types import (
    Borrow,
    Clock,
    Configuration,
    Handover,
    Heartbeat,
    HeartbeatAck,
    InstanceId,
    Loan,
    ManualClock,
    PeerMessage,
    PeerUnavailableError,
    RefusedError,
    Release,
    Reserve,
    ReserveReply,
)
from standins.exact_bucket import Outcome

#: Time after which a fleet that was started at once holds all shards.
WARM_UP_SECONDS = 8.0

#: Time without a heartbeat after which a peer counts as unreachable.
PEER_TIMEOUT_SECONDS = 1.5

Job = Callable[[], None]


class DriftingClock:
    """A :class:`Clock` that runs ``rate`` times as fast as another one."""

    def __init__(self, base: Clock, rate: float) -> None:
        self._base = base
        self._start_seconds = base.monotonic_seconds()
        self._rate = rate

    def monotonic_seconds(self) -> float:
        """Returns the drifted seconds."""
        elapsed = self._base.monotonic_seconds() - self._start_seconds
        return self._start_seconds + elapsed * self._rate

    def now(self) -> datetime:
        """Returns the base clock's time of day."""
        return self._base.now()


class _AdvancingSelector(selectors.SelectSelector):
    """Advances a clock where a selector would wait."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the simulated fleet hangs")
        if timeout > 0:
            self._clock.advance(timeout)
        return []


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self, clock: ManualClock) -> None:
        super().__init__(_AdvancingSelector(clock))
        self._virtual_clock = clock

    def time(self) -> float:
        return self._virtual_clock.monotonic_seconds()


def run_virtual(
    clock: ManualClock, main: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs ``main`` with an event loop whose time is ``clock``."""
    options = {"loop_factory": partial(_VirtualTimeLoop, clock)}
    anyio.run(main, backend_options=options)


class MessageCarrier:
    """Delivers messages late, twice, or not at all."""

    def __init__(self, clock: ManualClock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.min_delay_seconds = 0.0005
        self.max_delay_seconds = 0.0015
        #: Shares of messages that are lost, delivered twice, or up to a second late.
        self.lost_share = 0.0
        self.repeated_share = 0.0
        self.late_share = 0.0
        self.max_late_seconds = 1.0
        self.counts: Counter[str] = Counter()
        self._side: dict[str, int] = {}

    def cut(self, sides: dict[str, int]) -> None:
        """Cuts the fleet: instances reach only those with the same number."""
        self._side = dict(sides)

    def heal(self) -> None:
        """Ends a cut."""
        self._side = {}

    def carry(
        self, sender: "FleetMember", receiver: "FleetMember", kind: str, job: Job
    ) -> None:
        """Runs ``job`` at the receiver after the delay of one message."""
        self.counts[kind] += 1
        names = sender.instance.name, receiver.instance.name
        if self._side.get(names[0], 0) != self._side.get(names[1], 0):
            return
        if self.random.random() < self.lost_share:
            return
        copies = 2 if self.random.random() < self.repeated_share else 1
        for _ in range(copies):
            delay = self.random.uniform(self.min_delay_seconds, self.max_delay_seconds)
            if self.random.random() < self.late_share:
                delay += self.random.uniform(0.0, self.max_late_seconds)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, receiver.receive, job)


class FleetMember:
    """One entry instance with its leases and allowances."""

    def __init__(
        self,
        fleet: "AllowanceFleet",
        instance: InstanceId,
        clock: Clock,
        random: Random,
    ) -> None:
        self.fleet = fleet
        self.instance = instance
        self.clock = clock
        self.settlement = RevisionSettlement(instance, clock)
        self.voter = LeaseVoter(instance, clock)
        self.table = LeaseTable(instance, self.voter, self.settlement, clock, random)
        self.held_buckets = HeldBuckets(self.table, clock)
        self.borrower = AllowanceBorrower(
            instance, self.held_buckets, self, self, clock, random
        )
        self.revision = 0
        self.leaving = False
        self.stopped = False
        self.paused = False
        #: Instances that this one refuses to list, for diverging views.
        self.unlisted: frozenset[str] = frozenset()
        self._inbox: list[Job] = []
        self._heard: dict[InstanceId, tuple[float, bool, int]] = {}
        self._holders: dict[int, InstanceId] = {}
        self._members: frozenset[InstanceId] = frozenset()
        self._tick_timer: asyncio.TimerHandle | None = None

    def adopt(self, configuration: Configuration) -> None:
        """Applies a revision to all parts."""
        if configuration.revision <= self.revision:
            return
        self.revision = configuration.revision
        self.settlement.adopt(configuration.revision, configuration.max_entry_instances)
        self.voter.set_revision(
            configuration.revision, configuration.max_entry_instances
        )
        self.held_buckets.apply_configuration(configuration)

    def receive(self, job: Job) -> None:
        """Handles a message, after the pause if there is one."""
        if self.stopped:
            return
        if self.paused:
            self._inbox.append(job)
            return
        job()
        self.schedule_tick()

    def pause(self) -> None:
        """Stops all work of the process."""
        self.paused = True

    def resume(self) -> None:
        """Goes on with the messages that came during the pause."""
        self.paused = False
        inbox, self._inbox = self._inbox, []
        for job in inbox:
            self.receive(job)
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Sets the timer of the next heartbeat."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        delay = self.table.next_heartbeat_in_seconds()
        self._tick_timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def stop(self) -> None:
        """Ends the process without notice."""
        self.stopped = True
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    def leave(self) -> None:
        """Hands all shards over; the caller stops the process a little later."""
        self.leaving = True
        self.table.start_leaving()
        self._tick()

    def _tick(self) -> None:
        if self.stopped or self.paused:
            return
        now = self.clock.monotonic_seconds()
        self.settlement.update()
        settlement = self.settlement
        self.held_buckets.settle_revision(
            settlement.settled_revision, settlement.is_complete
        )
        heard = (
            peer
            for peer, (heard_at, leaving, _) in self._heard.items()
            if now - heard_at < PEER_TIMEOUT_SECONDS and not leaving
        )
        members = {peer for peer in heard if peer.name not in self.unlisted}
        if not self.leaving:
            members.add(self.instance)
        self._members = frozenset(members)
        self.table.set_members(self._members)
        for due in self.table.due_handovers():
            self._hand_over(due.shard, due.successor)
        request = self.table.prepare_heartbeat(self.revision)
        release = self.table.take_release()
        if release is not None:
            self.broadcast_notice(release)
        self.broadcast_notice(
            Heartbeat(
                request.sequence,
                self.revision,
                request.held_shards,
                request.wanted_shards,
                self.leaving,
                0.0,
            )
        )
        self.schedule_tick()

    def _hand_over(self, shard: int, successor: InstanceId) -> None:
        buckets = self.held_buckets.export_handover(shard)
        heard = self.voter.heard_sequence(successor)
        self.table.give_up(1 << shard)
        self.send_notice(successor, Handover(shard, buckets, heard_sequence=heard))

    def handle(self, sender: "FleetMember", message: PeerMessage) -> None:
        """Acts on a notice of a peer."""
        peer = sender.instance
        if isinstance(message, Heartbeat):
            self.settlement.observe(peer, message.revision)
            self._observe_holder(peer, message)
            self.send_notice(peer, self.voter.answer_heartbeat(peer, message))
        elif isinstance(message, HeartbeatAck):
            self.settlement.observe(peer, message.revision)
            self.table.accept_ack(peer, message)
        elif isinstance(message, Release):
            self.voter.accept_release(peer, message)
            self.table.note_release(peer, message.shards)
        elif isinstance(message, Handover):
            sent_at = self.table.sent_at(message.heard_sequence)
            self.held_buckets.accept_handover(message, sent_at)

    def _observe_holder(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        held_before = self._heard.get(peer, (0.0, False, 0))[2]
        now = self.clock.monotonic_seconds()
        self._heard[peer] = (now, heartbeat.leaving, heartbeat.held_shards)
        for shard in iterate_shards(heartbeat.held_shards & ~held_before):
            self._holders[shard] = peer
        for shard in iterate_shards(held_before & ~heartbeat.held_shards):
            if self._holders.get(shard) == peer:
                del self._holders[shard]

    def find_holder(self, shard: int) -> InstanceId | None:
        """Returns the last known holder of ``shard``."""
        if self.table.is_held(shard):
            return self.instance
        return self._holders.get(shard)

    def find_successor(self, shard: int) -> InstanceId | None:
        """Returns the reachable instance that should hold ``shard``."""
        return choose_holder(shard, self._members)

    async def request_loan(
        self, holder: InstanceId, borrow: Borrow, timeout_seconds: float
    ) -> Loan:
        """Sends a borrow and waits for its answer."""
        peer = self.fleet.find(holder)
        if peer is None:
            raise PeerUnavailableError(f"instance {holder.name} has stopped")
        answer: asyncio.Future[Loan] = asyncio.get_running_loop().create_future()

        def settle(loan: Loan) -> None:
            if not answer.done():
                answer.set_result(loan)

        def lend() -> None:
            loan = peer.held_buckets.lend(self.instance, borrow)
            self.fleet.carrier.carry(peer, self, "Loan", partial(settle, loan))

        self.fleet.carrier.carry(self, peer, "Borrow", lend)
        with anyio.move_on_after(timeout_seconds):
            return await answer
        raise PeerUnavailableError(f"instance {holder.name} did not answer")

    async def request_reservation(
        self, holder: InstanceId, reserve: Reserve, timeout_seconds: float
    ) -> ReserveReply:
        """Refuses, because this fleet has no idempotency records."""
        raise PeerUnavailableError("no idempotency records in this fleet")

    def send_notice(self, receiver: InstanceId, message: PeerMessage) -> None:
        """Sends a message to one peer."""
        peer = self.fleet.find(receiver)
        if peer is not None:
            kind = type(message).__name__
            job = partial(peer.handle, self, message)
            self.fleet.carrier.carry(self, peer, kind, job)

    def broadcast_notice(self, message: PeerMessage) -> None:
        """Sends a message to every peer."""
        for peer in self.fleet.members:
            if peer is not self:
                self.send_notice(peer.instance, message)


class AllowanceFleet:
    """Entry instances of one fleet and what they admitted."""

    def __init__(self, seed: int, configuration: Configuration) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.carrier = MessageCarrier(self.clock, self.random)
        self.configuration = configuration
        self.members: list[FleetMember] = []
        self.outcomes: list[Outcome] = []
        #: Clock time at which the events of :meth:`play` began.
        self.started_at_seconds = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None

    def play(
        self,
        clock_rates: dict[str, float],
        events: Iterable[tuple[float, Callable[[], object]]],
        warm_up_seconds: float = WARM_UP_SECONDS,
    ) -> None:
        """Starts the named instances, waits until they hold all shards, runs events.

        Events are pairs of a time after the warm-up and a function; those at the same
        time run in the given order.
        """

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for name, clock_rate in clock_rates.items():
                    self.start(name, clock_rate)
                await anyio.sleep(warm_up_seconds)
                self.carrier.counts.clear()
                self.started_at_seconds = self.clock.monotonic_seconds()
                for moment, action in sorted(events, key=lambda event: event[0]):
                    await self._sleep_until(self.started_at_seconds + moment)
                    action()
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()

        run_virtual(self.clock, main)

    async def _sleep_until(self, moment: float) -> None:
        wait = moment - self.clock.monotonic_seconds()
        if wait > 0.0:
            await anyio.sleep(wait)

    def start(self, name: str, clock_rate: float = 1.0) -> FleetMember:
        """Starts an instance."""
        if self._tasks is None:
            raise RuntimeError("start needs a running fleet")
        instance = InstanceId(name, self.random.getrandbits(32))
        clock = DriftingClock(self.clock, clock_rate)
        member = FleetMember(self, instance, clock, Random(self.random.random()))
        member.adopt(self.configuration)
        self.members.append(member)
        self._tasks.start_soon(member.borrower.run)
        phase = self.random.uniform(0.0, 0.5)
        asyncio.get_running_loop().call_later(phase, member.schedule_tick)
        return member

    def stop(self, member: FleetMember) -> None:
        """Kills an instance."""
        member.stop()
        self.members.remove(member)

    def find(self, instance: InstanceId) -> FleetMember | None:
        """Returns the running process ``instance``, or None."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None

    def publish(
        self, configuration: Configuration, delays_seconds: dict[str, float]
    ) -> None:
        """Lets each instance that has a delay accept a revision after it."""
        self.configuration = configuration
        for member in self.members:
            delay = delays_seconds.get(member.instance.name)
            if delay is not None:
                asyncio.get_running_loop().call_later(
                    delay, member.receive, partial(member.adopt, configuration)
                )

    def find_by_name(self, name: str) -> FleetMember | None:
        """Returns the running instance ``name``, or None."""
        for member in self.members:
            if member.instance.name == name:
                return member
        return None

    def offer(self, entry: str, organisation: str) -> None:
        """Lets a caller send one request now; it is lost if the instance is down."""
        member = self.find_by_name(entry)
        if self._tasks is not None and member is not None and not member.paused:
            self._tasks.start_soon(self._call, member, organisation)

    def find_holders(self, shard: int) -> list[FleetMember]:
        """Returns the processes that believe they hold ``shard``."""
        return [member for member in self.members if member.table.is_held(shard)]

    async def _call(self, member: FleetMember, organisation: str) -> None:
        arrived = self.clock.monotonic_seconds()
        deadline = member.clock.monotonic_seconds() + 2.0
        code = ""
        try:
            token = await member.borrower.admit(organisation, deadline)
            await token.confirm(deadline)
        except RefusedError as error:
            code = error.refusal.reason.code
        now = self.clock.monotonic_seconds()
        self.outcomes.append(
            Outcome(arrived, now, organisation, member.instance.name, code)
        )
