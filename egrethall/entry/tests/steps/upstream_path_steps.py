import random
import signal
import socket
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgpack
from behave import given, then, when

from egrethall.entry.tests.entry_callers import EntryCallers, make_unique_name
from standins.linked_fleet import LinkedFleet

#: What connections of a cut-off instance meet.
LINK_FAULTS = {
    "hang": {"silent": True},
    "are reset": {"refuse": True, "reset_requests": True},
    "are refused": {"closed": True},
    "live on while new ones are refused": {"refuse": True},
}

CUT_OFF = ("entry-0", "entry-1")

#: Runs of one request that its route allows. Reads may be hedged.
MAX_RUNS = {"read": 2, "trade": 1}


@given("a linked fleet of {entries:d} entry instances and {upstreams:d} upstreams")
def step_impl(context, entries, upstreams):
    context.fleet = LinkedFleet(entries=entries, upstreams=upstreams)
    context.add_cleanup(context.fleet.close)
    context.fleet.start()
    context.callers = EntryCallers(context.fleet)
    # Instances have connections to the upstreams when the links are cut.
    context.callers.call_many(12 * entries, "read", "cuka-key")
    for name in context.fleet.upstream_names:
        context.fleet.set_behaviour(name)


@given("entry-0 and entry-1 lose the path to upstreams, and connections {fault}")
def step_impl(context, fault):
    context.fleet.cut_off(CUT_OFF, **LINK_FAULTS[fault])


@when(
    "{count:d} {kind} requests are sent to entry-0 and entry-1, from {seconds:d} s"
    " later on"
)
def step_impl(context, count, kind, seconds):
    # The instances notice the cut by requests.
    context.callers.call_each(10, kind, "cuka-key", CUT_OFF)
    time.sleep(seconds)
    context.callers.call_each(count, kind, "cuka-key", CUT_OFF)


@when("{count:d} {kind} requests are sent to entry-0 and entry-1")
def step_impl(context, count, kind):
    context.callers.call_each(count, kind, "cuka-key", CUT_OFF)


@then(
    "no trade request ran twice, and no read request more often than its route allows"
)
def step_impl(context):
    runs = context.fleet.read_runs()
    counts = Counter((run["path"].split("/")[1], run["attempt"]) for run in runs)
    too_often = {
        (kind, attempt): count
        for (kind, attempt), count in counts.items()
        if count > MAX_RUNS[kind]
    }
    assert not too_often, too_often


def cut_off(context, entries):
    """Cuts instances off and waits until they know."""
    context.fleet.cut_off(entries, silent=True)

    def know():
        context.callers.call_each(2 * len(entries), "read", "cuka-key", entries)
        return all(
            "path to upstreams lost" in context.fleet.read_log(entry)
            for entry in entries
        )

    context.fleet.wait_until(know, 10.0, "path lost")
    # The others learn in a round of heartbeats.
    time.sleep(1.0)
    for name in context.fleet.upstream_names:
        context.fleet.set_behaviour(name)


@given("every instance has lost the path to upstreams")
def step_impl(context):
    cut_off(context, context.fleet.entry_names)


@given("entry-0 has lost the path to upstreams")
def step_impl(context):
    cut_off(context, ["entry-0"])
    context.log_before = len(context.fleet.read_log("entry-0"))


@when("{count:d} {kind} requests are sent to all instances")
def step_impl(context, count, kind):
    context.callers.call_each(count, kind, "cuka-key", context.fleet.entry_names)


@when("{count:d} {kind} requests are sent to entry-0")
def step_impl(context, count, kind):
    context.callers.call_each(count, kind, "cuka-key", ["entry-0"])


@when("{count:d} requests within the burst of 4 are sent to entry-0")
def step_impl(context, count):
    context.callers.call_each(count, "read", "dune-key", ["entry-0"])


@when("the path returns")
def step_impl(context):
    context.fleet.heal()


@when("a trade request is sent to entry-0 and entry-1 is killed 0.4 s later")
def step_impl(context):
    with ThreadPoolExecutor(1) as pool:
        path = f"/trade/{make_unique_name()}"
        call = pool.submit(context.callers.call, path, "cuka-key", entry="entry-0")
        time.sleep(0.4)
        context.fleet.kill("entry-1")
        context.reply = call.result()


@when("entry-1 is paused while {count:d} trade requests are sent to entry-0")
def step_impl(context, count):
    process = context.fleet.processes["entry-1"]
    process.send_signal(signal.SIGSTOP)
    context.callers.call_each(count, "trade", "cuka-key", ["entry-0"])
    process.send_signal(signal.SIGCONT)
    time.sleep(1.0)


@when(
    "{count:d} trade requests are sent to entry-0 and entry-1 gets SIGTERM 0.3 s later"
)
def step_impl(context, count):
    with ThreadPoolExecutor(1) as pool:
        calls = pool.submit(
            context.callers.call_each, count, "trade", "cuka-key", ["entry-0"]
        )
        time.sleep(0.3)
        context.fleet.send_signal("entry-1", signal.SIGTERM)
        calls.result()


@when("the same trade request runs through entry-0 and entry-1 while their links break")
def step_impl(context):
    context.path = f"/trade/{make_unique_name()}"

    def call(entry):
        return context.callers.call(context.path, "cuka-key", entry=entry)

    with ThreadPoolExecutor(2) as pool:
        calls = [pool.submit(call, entry) for entry in CUT_OFF]
        time.sleep(0.3)
        context.fleet.cut_off(CUT_OFF, refuse=True)
        context.fleet.reset_links(CUT_OFF)
        statuses = {call.result().status for call in calls}
    assert statuses == {502}, statuses


@given("{count:d} slow requests have been answered")
def step_impl(context, count):
    context.callers.call_each(count, "slow", "cuka-key", ["entry-0"])


@when(
    "{count:d} slow requests run through entry-0 while it loses the path to upstreams"
)
def step_impl(context, count):
    with ThreadPoolExecutor(1) as pool:
        calls = pool.submit(
            context.callers.call_each, count, "slow", "cuka-key", ["entry-0"]
        )
        time.sleep(0.15)
        context.fleet.cut_off(["entry-0"], silent=True)
        # Requests that arrive later show the instance that it has lost the path.
        for number in range(4):
            context.callers.call(f"/trade/{number}", "cuka-key", entry="entry-0")
        calls.result()


@when("it is sent to entry-2 1 s later")
def step_impl(context):
    time.sleep(1.0)
    context.reply = context.callers.call(context.path, "cuka-key", entry="entry-2")


@when("{count:d} malformed messages are sent to the peer address of entry-1")
def step_impl(context, count):
    rng = random.Random(5)
    port = context.fleet.ports["peer-entry-1"]
    for number in range(count):
        body = rng.randbytes(rng.randrange(200))
        if number % 2:
            # A valid message that is not the head of a request.
            body = msgpack.packb([number, body, {"a": [1]}, None] * (number % 7))
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(len(body).to_bytes(4, "big") + body)


@then("each is refused within {seconds:f} s as {reason} on a connection that closes")
def step_impl(context, seconds, reason):
    for reply in context.callers.replies:
        assert reply.status == 503, reply
        assert reply.headers["x-refusal-reason"] == reason, reply
        assert reply.headers["connection"] == "close", reply
        assert float(reply.headers["retry-after"]) > 0, reply
        assert reply.elapsed_seconds < seconds, reply


@then("no instance is ready")
def step_impl(context):
    assert not any(map(context.fleet.is_ready, context.fleet.entry_names))


@then("within {seconds:d} s requests to entry-0 are not forwarded any more")
def step_impl(context, seconds):
    def log_since():
        return context.fleet.read_log("entry-0")[context.log_before :]

    context.fleet.wait_until(
        lambda: "path to upstreams available again" in log_since(), seconds, "a path"
    )
    returned_at = len(context.fleet.read_log("entry-0"))
    context.callers.call_each(10, "trade", "cuka-key", ["entry-0"])
    assert all(reply.status == 200 for reply in context.callers.replies)
    log = context.fleet.read_log("entry-0")[returned_at:]
    assert "forwarded_to=entry" not in log, log


@then("no upstream failed in the view of entry-0 since it lost the path")
def step_impl(context):
    log = context.fleet.read_log("entry-0")[context.log_before :]
    assert "upstream failed" not in log, log
