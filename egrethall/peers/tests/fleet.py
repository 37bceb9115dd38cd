"""Peer services connected over loopback, and raw peers that violate the protocol."""

import contextlib
import hashlib
import random

import anyio

from egrethall.peers import Membership, PeerService, PeerSettings, encode_message
from egrethall.peers._codec import frame_payload
from egrethall.peers._frames import FrameReader
from egrethall.peers._handshake import authenticate_dialer, authenticate_listener
from egrethall.types import (
    ConfigurationText,
    Heartbeat,
    HeartbeatAck,
    InstanceId,
    InstanceListing,
    InstanceState,
    ListedInstance,
    Loan,
    Release,
    ReserveReply,
    SystemClock,
)

SECRET = b"a shared secret of the fleet"
#: A handshake (1 s), the longest back-off (2 s) and 0.5 s for a busy machine.
CONNECT_DEADLINE_SECONDS = 3.5
#: Time limit of each scenario.
SCENARIO_SECONDS = 30.0


def rank_holders(shard, names):
    def weight(name):
        return hashlib.blake2b(f"{shard}/{name}".encode()).digest()

    return sorted(names, key=weight, reverse=True)


def make_settings(name, incarnation=1, secret=SECRET, tls_files=None):
    return PeerSettings(
        InstanceId(name, incarnation), "zone-a", "127.0.0.1", 0, secret, tls_files
    )


async def wait_for(predicate, seconds, what):
    """Returns the time that it took until ``predicate`` was true."""
    clock = SystemClock()
    start = clock.monotonic_seconds()
    while not predicate():
        if clock.monotonic_seconds() - start > seconds:
            raise AssertionError(f"not within {seconds} s: {what}")
        await anyio.sleep(0.01)
    return clock.monotonic_seconds() - start


def run_scenario(function, *arguments):
    async def run_with_limit():
        with anyio.fail_after(SCENARIO_SECONDS):
            return await function(*arguments)

    return anyio.run(run_with_limit, backend_options={"use_uvloop": True})


class RecordingHandler:
    """A ``PeerHandler`` that records the messages it receives."""

    def __init__(self):
        self.received = []
        self.borrows = []
        self.lost = []
        self.sequence = 0
        self.reserve_seconds = 0.0
        self.is_failing = False

    def build_heartbeat(self, peer):
        self.sequence += 1
        return Heartbeat(self.sequence, 1, 0, 0, False, 0.0)

    def on_heartbeat(self, peer, heartbeat):
        self.received.append((peer, heartbeat))
        if self.is_failing:
            raise RuntimeError("fault of the handler")
        return HeartbeatAck(heartbeat.sequence, 1, 0)

    def record(self, peer, message):
        self.received.append((peer, message))

    on_ack = on_release = on_handover = on_complete = record
    on_upstream_event = on_crash_report = record

    def on_borrow(self, peer, borrow):
        self.borrows.append(borrow)
        return Loan(borrow.request_id, borrow.amount, 1.0, 0.0)

    async def on_reserve(self, peer, reserve):
        await anyio.sleep(self.reserve_seconds)
        return ReserveReply(reserve.request_id, True, 0)

    def on_configuration_request(self, peer, request):
        return ConfigurationText(request.revision, bytes(1_048_576))

    async def on_configuration_text(self, peer, text):
        self.received.append((peer, text))

    def on_peer_connected(self, peer):
        """Does nothing: the features check links and messages instead."""

    def on_peer_lost(self, peer, reason):
        self.lost.append((peer, reason))

    def list_received(self, kind):
        return [message for _, message in self.received if isinstance(message, kind)]


class FleetInstance:
    """A peer service with its handler and membership."""

    def __init__(self, settings):
        clock = SystemClock()
        self.settings = settings
        self.id = settings.instance
        self.handler = RecordingHandler()
        self.membership = Membership(
            self.id, "zone-a", clock, lambda resource: 0, rank_holders
        )
        self.service = PeerService(
            settings, self.handler, self.membership, clock, random.Random(7)
        )
        self.scope = anyio.CancelScope()

    async def run(self, *, task_status):
        with self.scope:
            await self.service.run(task_status=task_status)

    def create_listing_entry(self, port=None):
        port = port or self.service.bound_port
        return ListedInstance(
            self.id.name, f"127.0.0.1:{port}", "zone-a", InstanceState.LIVE
        )

    def count_dropped_peers(self, reason):
        return self.service.read_counters().dropped_peers.get(reason, 0)

    def count_dropped_messages(self, reason):
        return self.service.read_counters().dropped_messages.get(reason, 0)


class Fleet:
    """Instances that run in one task group and share an instance list."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.instances = []
        self.revision = 0

    async def start(self, settings):
        instance = FleetInstance(settings)
        await self.tasks.start(instance.run)
        self.instances.append(instance)
        return instance

    async def start_connected(self, *names):
        started = [await self.start(make_settings(name)) for name in names]
        self.publish_listing(started)
        await wait_for(
            lambda: all(
                len(instance.service.connected_peers) == len(names) - 1
                for instance in started
            ),
            CONNECT_DEADLINE_SECONDS,
            "all instances are connected",
        )
        return started

    def publish_listing(self, listed, extra=()):
        self.revision += 1
        entries = (*(instance.create_listing_entry() for instance in listed), *extra)
        for instance in self.instances:
            instance.service.update_listing(InstanceListing(self.revision, entries))


@contextlib.asynccontextmanager
async def open_fleet():
    async with anyio.create_task_group() as tasks:
        yield Fleet(tasks)
        tasks.cancel_scope.cancel()


class RecordingStream:
    """Wraps a stream and records the data that was sent."""

    def __init__(self, stream):
        self.stream = stream
        self.sent = []

    async def send(self, data):
        self.sent.append(bytes(data))
        await self.stream.send(data)

    async def receive(self, max_bytes=65_536):
        return await self.stream.receive(max_bytes)


async def dial_raw(port):
    return await anyio.connect_tcp("127.0.0.1", port)


async def dial_authenticated(instance, settings):
    """Returns a stream and its reader after a valid handshake."""
    stream = RecordingStream(await dial_raw(instance.service.bound_port))
    reader = FrameReader(stream)
    await authenticate_listener(stream, reader, settings, instance.id.name)
    return stream, reader


async def send_frames(stream, *payloads):
    for payload in payloads:
        await stream.send(frame_payload(payload))


async def receive_until_closed(stream):
    """Returns the bytes received before the other side closed the connection."""
    received = b""
    try:
        while True:
            received += await stream.receive(65_536)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


class CoalescingStream(RecordingStream):
    """Sends a release in the same write as its second frame, the proof."""

    async def send(self, data):
        if len(self.sent) == 1:
            data += frame_payload(encode_message(Release(7)))
        await super().send(data)


class SilentListener:
    """A peer that authenticates, sends a release and then nothing, and never reads."""

    def __init__(self, name):
        self.settings = make_settings(name)
        self.accepted = 0

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(
                ListedInstance(
                    self.settings.instance.name,
                    f"127.0.0.1:{port}",
                    "zone-a",
                    InstanceState.LIVE,
                )
            )
            await listener.serve(self.accept)

    async def accept(self, stream):
        async with stream:
            coalescing = CoalescingStream(stream)
            await authenticate_dialer(
                coalescing, FrameReader(coalescing), self.settings
            )
            self.accepted += 1
            await anyio.sleep(SCENARIO_SECONDS)
