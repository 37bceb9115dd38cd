import time

from behave import given, then, when

from egrethall.entry.tests.entry_callers import EntryCallers
from egrethall.fleet import ForwardedHead, encode_head
from egrethall.types import RequestKind
from standins.client_crowd import (
    BodyClient,
    ChunkedClient,
    ClientCrowd,
    FrameClient,
    ProcessWatch,
    SilentClient,
    SlowReader,
    interleave,
)
from standins.entry_fleet import HOST, LIMITS, EntryFleet, make_configuration
from standins.linked_fleet import LinkedFleet

#: The instance that clients connect to.
ENTRY = "entry-0"

LISTENERS = ("", "ready-", "peer-", "metrics-")

#: Time for which a crowd may send, and in which an instance reads what remains.
CROWD_SECONDS = 15.0
SETTLE_SECONDS = 3.0

#: Time within which an ordinary request is answered: a refused caller comes again.
ORDINARY_SECONDS = 30.0

PIECE_PAUSE_SECONDS = 0.002

PAGE_REQUEST = b"GET /metrics HTTP/1.1\r\nhost: metrics\r\n\r\n"

#: First message of a forwarded request, and a part of its body.
FORWARDED_HEAD = ForwardedHead(
    sender="entry-9",
    request_id="00000000000000aa",
    method="POST",
    target=b"/slow/upload",
    headers=(),
    has_body=True,
    version=2,
    route="slow",
    service="reads",
    kind=RequestKind("idempotent"),
    objective_seconds=2.0,
    max_attempts=2,
    priority=2,
    organisation="cuka",
    fingerprint=b"",
)
FORWARDED_PART = bytes(256 * 1024)


class CrowdSite:
    """Instances, the crowd in front of one of them, and what is observed of them."""

    def __init__(self, fleet, memory_mb, descriptors):
        self.fleet = fleet
        self.memory_mb, self.descriptors = memory_mb, descriptors
        self.crowd = ClientCrowd()
        self.watches = {}

    def start(self):
        self.fleet.start()
        # The largest legal body.
        limits = {**LIMITS, "max_body_bytes": 64 * 1024 * 1024}
        self.fleet.publish("op/config", make_configuration(2, limits=limits))
        time.sleep(1.5)
        for name in self.fleet.entry_names:
            ports = [self.fleet.ports[f"{listener}{name}"] for listener in LISTENERS]
            pid = self.fleet.processes[name].pid
            self.watches[name] = ProcessWatch(pid, ports)

    def run(self, clients, listener="", interval_seconds=0.0):
        port = self.fleet.ports[f"{listener}{ENTRY}"]
        self.crowd.start(port, clients, interval_seconds)
        self.crowd.wait(CROWD_SECONDS)
        time.sleep(SETTLE_SECONDS)

    def close(self):
        self.crowd.close()
        for watch in self.watches.values():
            watch.close()
        self.fleet.close()


def render_head(method, path):
    lines = (
        f"{method} {path} HTTP/1.1",
        f"host: {HOST}",
        "x-api-key: cuka-key",
        "x-deadline-ms: 60000",
        "x-attempt-id: 00000000000000aa",
    )
    return "".join(f"{line}\r\n" for line in lines).encode()


def make_bodies(count, size_kib, manner, complete_count=0):
    head, size_bytes = render_head("POST", "/slow/upload"), size_kib * 1024
    if manner.startswith("in chunks of"):
        chunk_bytes = int(manner.split()[3])
        return [
            ChunkedClient(head, size_bytes, chunk_bytes, number < complete_count)
            for number in range(count)
        ]
    pause_seconds = PIECE_PAUSE_SECONDS if manner == "in pieces" else 0.0
    return [
        BodyClient(head, size_bytes, number < complete_count, pause_seconds)
        for number in range(count)
    ]


def make_slow_readers(count):
    return [
        SlowReader(render_head("GET", f"/slow/long-{number}") + b"\r\n")
        for number in range(count)
    ]


def make_unended_heads(count, size_kib):
    head = render_head("POST", "/slow/head") + b"x-filler: " + b"x" * size_kib * 1024
    return [SilentClient(head)] * count


def make_pipelined(count, size_kib):
    # The route allows 9 s, in which the upstreams take few of them.
    following = b"GET /" + b"x" * size_kib * 1024
    return [
        SilentClient(render_head("GET", f"/filing/{number}") + b"\r\n" + following)
        for number in range(count)
    ]


def make_client(data):
    if data == "nothing":
        return SilentClient()
    if data == "500 requests for a page":
        return SlowReader(PAGE_REQUEST * 500)
    if data == "8192 KiB as one message":
        return FrameClient((), 8192 * 1024)
    assert data == "a forwarded body without an end", data
    messages = (encode_head(FORWARDED_HEAD), *[FORWARDED_PART] * 20)
    return FrameClient(messages, len(FORWARDED_PART))


def start_site(context, fleet, memory, descriptors):
    site = context.site = CrowdSite(fleet, memory, descriptors)
    context.add_cleanup(site.close)
    site.start()


@given("instances with {memory:d} MB of memory and {descriptors:d} descriptors")
def step_impl(context, memory, descriptors):
    limits = {"memory_mb": memory, "max_fds": descriptors}
    fleet = EntryFleet(entries=1, upstreams=3, further_settings={"limits": limits})
    start_site(context, fleet, memory, descriptors)


@given(
    "instances with {memory:d} MB of memory and {descriptors:d} descriptors,"
    " of which one reaches no upstream"
)
def step_impl(context, memory, descriptors):
    limits = {"memory_mb": memory, "max_fds": descriptors}
    fleet = LinkedFleet(entries=2, upstreams=6, further_settings={"limits": limits})
    start_site(context, fleet, memory, descriptors)
    callers = EntryCallers(fleet)
    callers.call_many(24, "read", "cuka-key")
    fleet.cut_off([ENTRY], silent=True)

    def is_lost():
        callers.call_each(2, "read", "cuka-key", [ENTRY])
        return "path to upstreams lost" in fleet.read_log(ENTRY)

    fleet.wait_until(is_lost, 10.0, "the path is lost")
    time.sleep(1.0)


@given("upstreams that answer with {size:d} KiB")
def step_impl(context, size):
    for name in context.site.fleet.upstream_names:
        context.site.fleet.set_behaviour(name, mode="long", long_bytes=size * 1024)


@when(
    "{count:d} clients send bodies of {size:d} KiB {manner},"
    " all but {complete:d} short of the end"
)
def step_impl(context, count, size, manner, complete):
    context.site.run(make_bodies(count, size, manner, complete))


@when("{count:d} clients send complete bodies of {size:d} KiB")
def step_impl(context, count, size):
    context.site.run(make_bodies(count, size, "whole", count))


@when("{count:d} clients send {size:d} KiB of a head")
def step_impl(context, count, size):
    context.site.run(make_unended_heads(count, size))


@when("{count:d} clients send {size:d} KiB behind a request")
def step_impl(context, count, size):
    for name in context.site.fleet.upstream_names:
        context.site.fleet.set_behaviour(name, mode="silent")
    context.site.run(make_pipelined(count, size))


@when("{count:d} clients, one every {interval:d} ms, ask for it and read slowly")
def step_impl(context, count, interval):
    clients = make_slow_readers(count)
    context.site.run(clients, interval_seconds=interval / 1000)


@when("clients of all kinds come at once")
def step_impl(context):
    clients = interleave(
        make_bodies(100, 60, "whole"),
        make_bodies(60, 512, "in chunks of 64 bytes"),
        make_bodies(60, 2048, "in chunks of 1048576 bytes"),
        make_slow_readers(100),
        make_unended_heads(100, 15),
        make_pipelined(60, 256),
        [SilentClient()] * 100,
    )
    context.site.run(clients)


@when("{count:d} clients send {data} to its {listener} address")
def step_impl(context, count, data, listener):
    context.site.run([make_client(data)] * count, f"{listener}-")


@then("each instance lives within its memory and descriptors")
def step_impl(context):
    site = context.site
    for name, watch in site.watches.items():
        watch.close()
        print(
            f"{name}: peak {watch.peak_bytes / 1e6:.0f} MB with at most "
            f"{watch.most_unread_bytes / 1e6:.0f} MB unread, "
            f"{watch.most_descriptors} descriptors"
        )
    for name, watch in site.watches.items():
        assert watch.is_alive, f"{name} has ended"
        assert watch.peak_bytes <= site.memory_mb * 1e6, watch.peak_bytes
        assert watch.most_descriptors <= site.descriptors, watch.most_descriptors


@then("the instance answers an ordinary request")
def step_impl(context):
    fleet = context.site.fleet
    for name in fleet.upstream_names:
        fleet.set_behaviour(name)
    callers = EntryCallers(fleet)

    def is_answered():
        reply = callers.call("/read/ordinary", "cuka-key", entry=ENTRY)
        return reply.status == 200

    fleet.wait_until(is_answered, ORDINARY_SECONDS, "an answer")


@then("the instance says that it is ready")
def step_impl(context):
    context.site.fleet.wait_until(
        lambda: context.site.fleet.is_ready(ENTRY), ORDINARY_SECONDS, "ready"
    )
