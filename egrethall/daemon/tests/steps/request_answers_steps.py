import contextlib
import json
import random
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from urllib.parse import quote

from behave import given, then, when

from egrethall.daemon.tests.request_calls import Action
from egrethall.daemon.tests.request_fleet import FleetPlan, ServicePlan, share_fleet
from egrethall.daemon.tests.request_framing import INNER_PATH, build_request
from standins.upstream import UPSTREAM_HEADER

ARCHIVE = ServicePlan(
    "archive",
    6,
    {"slots": 40, "work_ms": 5.0},
    {"deadline_ms": 2000, "max_queue": 1000, "max_body_bytes": 1024 * 1024},
)
#: Few slots, so that slow callers would take them all.
PRINTS = ServicePlan("prints", 2, {"slots": 4, "work_ms": 5.0})
PLANS = {"answers": FleetPlan((ARCHIVE, PRINTS))}

ARCHIVE_BYTES = 300_000
FAULTS = {
    "truncated with length": f"size={ARCHIVE_BYTES}&cut_at=200000",
    "truncated in chunks": f"size={ARCHIVE_BYTES}&cut_at=200000&chunked=1",
    "reset on its way": f"size={ARCHIVE_BYTES}&chunked=1",
}
LINK_CUT_BYTES = 150_000

#: Read at once; the daemon sees the pace of the caller through the socket's buffers.
READ_BYTES = 256 * 1024

#: Pace of each connection of a slow link.
SLOW_BYTES_PER_SECOND = 100_000

#: Margin of times that the design bounds, for a busy machine.
MARGIN_SECONDS = 1.5


def find_upstream(answer):
    """Returns the name of the upstream that an answer is from; None without one."""
    return answer.headers.get(UPSTREAM_HEADER)


class AnswersSubject:
    """Callers that read answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = []
        self.sockets = []

    def run(self, calls, actions=(), http2=False):
        self.answers = self.fleet.run(calls, actions, http2)

    def send_shuffled(self, count, most_ms, version):
        delays = [most_ms * n // count for n in range(count)]
        random.Random(count).shuffle(delays)
        calls = [
            self.fleet.plan_call(
                f"/archive/{{n}}?work_ms={delay}", at_seconds=n * 0.005
            )
            for n, delay in enumerate(delays)
        ]
        self.run(calls, http2=version == "2")

    def read_faulty(self, count, fault, version):
        if fault == "reset on its way":
            self.fleet.links.set_faults("*", cut_after_bytes=LINK_CUT_BYTES)
        path = "/archive/{n}?" + FAULTS[fault]
        self.run(self.fleet.plan_calls(count, path, 20), http2=version == "2")

    # Downloads

    def read_memory_kib(self, name):
        pid = self.fleet.fleet.processes[name].pid
        status = Path(f"/proc/{pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status)[1])

    def download(self, size, pace):
        call = self.fleet.plan_call(f"/archive/{{n}}?size={size}", instance="entry-1")
        bytes_per_second = 60e6 if pace != "full speed" else 0.0
        before = self.read_memory_kib("entry-1")
        self.most_kib, self.received, self.expected = before, 0, size
        start = time.monotonic()
        headers = {"authorization": f"Bearer {call.key}", "x-echo": call.echo}
        with self.fleet.fleet.client.stream("GET", call.url, headers=headers) as answer:
            assert answer.status_code == 200, answer.status_code
            for piece in answer.iter_raw(READ_BYTES):
                self.received += len(piece)
                self.most_kib = max(self.most_kib, self.read_memory_kib("entry-1"))
                if bytes_per_second:
                    left = self.received / bytes_per_second - (time.monotonic() - start)
                    time.sleep(max(0.0, left))
        self.grown_kib = self.most_kib - before

    def read_slow_downloads(self, count, seconds):
        size = int(seconds * SLOW_BYTES_PER_SECOND)
        calls = self.fleet.plan_calls(count, f"/archive/{{n}}?size={size}")
        self.expected = size
        self.fleet.links.set_faults("*", bytes_per_second=SLOW_BYTES_PER_SECOND)
        self.silenced_at = 1.0
        self.arriving = {}
        self.answers = self.fleet.run(
            calls,
            [Action(self.silenced_at, self.silence_one_download)],
            arriving=self.arriving,
        )
        self.fleet.assert_truthful([])
        self.silent = [
            item for item in self.answers if find_upstream(item) == self.silenced
        ]
        self.slow = [item for item in self.answers if item not in self.silent]

    def silence_one_download(self):
        # A hedged download runs at two upstreams, of which one responds to the caller.
        upstreams = {find_upstream(answer) for answer in self.arriving.values()}
        self.silenced = min(upstreams - {None}, default=None)
        if self.silenced is not None:
            self.silence(self.silenced)

    def silence(self, name):
        # Only the connections of this moment; new ones work.
        self.fleet.links.set_faults(name, half_open=True)
        self.fleet.links.set_faults(name, half_open=False)

    # Silent connections

    def silence_connections(self):
        names = self.fleet.upstreams["archive"][:3]

        def silence():
            for name in names:
                self.silence(name)

        self.silenced_at = 2.0
        gets = self.fleet.plan_calls(500, "/archive/{n}", 50)
        posts = self.fleet.plan_calls(250, "/archive/{n}", 25, method="POST")
        # These run on connections of all upstreams when they go silent.
        running = [
            self.fleet.plan_call(
                "/archive/{n}?work_ms=1500", "POST", at_seconds=self.silenced_at - 0.5
            )
            for _ in range(12)
        ]
        self.run([*gets, *posts, *running], [Action(self.silenced_at, silence)])

    # Slow callers

    def connect(self, name="entry-1"):
        port = self.fleet.fleet.instances[name].caller_port
        connection = socket.create_connection(("127.0.0.1", port), timeout=10.0)
        self.sockets.append(connection)
        return connection

    def close_sockets(self):
        for connection in self.sockets:
            connection.close()
        self.sockets = []

    def build_head(self, call, length):
        path = "/" + call.url.split("/", 3)[3]
        return (
            f"{call.method} {path} HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {call.key}\r\nX-Echo: {call.echo}\r\n"
            f"Content-Length: {length}\r\n\r\n"
        ).encode()

    def stop_in_bodies(self, count):
        self.fleet.recover("prints")
        self.slow_calls = self.fleet.plan_calls(count, "/prints/{n}", method="POST")
        for call in self.slow_calls:
            self.connect(call.instance).sendall(
                self.build_head(call, 60_000) + b"x" * 30_000
            )
        time.sleep(0.5)
        self.call_others()

    def leave_answers_unread(self, count):
        self.fleet.recover("prints")
        path = "/prints/{n}?size=100000"
        self.slow_calls = self.fleet.plan_calls(count, path)
        for call in self.slow_calls:
            connection = self.connect(call.instance)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.sendall(self.build_head(call, 0))
        time.sleep(1.0)
        self.call_others()

    def call_others(self):
        calls = self.fleet.plan_calls(60, "/prints/{n}", 60, organisation="birch")
        self.run(calls)

    # Framing

    def send_framings(self, shapes):
        self.framed = []
        with ThreadPoolExecutor(len(shapes)) as pool:
            for shape in shapes:
                call = self.fleet.plan_call("/archive/{n}", "POST")
                answer = pool.submit(self.exchange, shape, call)
                self.framed.append((shape, call, answer))

    def exchange(self, shape, call):
        number = int(call.echo.split("-")[1])
        received = b""
        with contextlib.suppress(OSError):
            connection = self.connect(call.instance)
            connection.settimeout(3.0)
            connection.sendall(build_request(shape, call.key, call.echo, number))
            # A second piece gives what waits for more bytes a chance to run.
            connection.sendall(b"\r\n\r\n")
            while piece := connection.recv(65536):
                received += piece
        return received


@given('the fleet "answers" serves archives')
def step_impl(context):
    fleet = share_fleet(context, "answers", PLANS)
    fleet.recover("archive")
    context.subject = AnswersSubject(fleet)
    context.add_cleanup(context.subject.close_sockets)


@when(
    "{count:d} calls with distinct echoes and delays up to {ms:d} ms "
    "run over HTTP/{version}"
)
def step_impl(context, count, ms, version):
    context.subject.send_shuffled(count, ms, version)


@then("every caller got the whole answer to its own request")
def step_impl(context):
    subject = context.subject
    subject.fleet.assert_truthful(subject.answers)
    context.subject.fleet.assert_served(subject.answers)
    for answer in subject.answers:
        if answer.ok:
            body = json.loads(answer.body)
            assert body["request_id"] == answer.headers["x-request-id"], str(answer)
            assert body["organisation"] == "atlas", str(answer)


@when('{count:d} archives are read over HTTP/{version} and the answer is "{fault}"')
def step_impl(context, count, version, fault):
    context.subject.read_faulty(count, fault, version)


@then("no caller takes the answer for a whole one")
def step_impl(context):
    seen = 0
    for answer in context.subject.answers:
        whole = not answer.broken and not answer.reason
        assert not whole, f"{len(answer.body)} bytes as a whole answer: {answer}"
        seen += answer.broken and answer.status == 200
    assert seen >= len(context.subject.answers) // 2, f"only {seen} answers broke off"


@when('{size:d} bytes are read at "{pace}" through one instance')
def step_impl(context, size, pace):
    context.subject.download(size, pace)


@then("the download is whole")
def step_impl(context):
    assert context.subject.received == context.subject.expected


@then("the instance used at most {mib:d} MiB more than before")
def step_impl(context, mib):
    assert context.subject.grown_kib <= mib * 1024, f"{context.subject.grown_kib} KiB"


@when("an upstream sets a cookie for one organisation and another one calls")
def step_impl(context):
    fields = quote(json.dumps({"set-cookie": "session=atlas; Path=/"}))
    subject = context.subject
    first = subject.fleet.plan_calls(12, f"/archive/{{n}}?headers={fields}", 50)
    subject.run(first)
    subject.first = subject.answers
    subject.run(subject.fleet.plan_calls(48, "/archive/{n}", 50, organisation="birch"))


@then("the first caller got the cookie")
def step_impl(context):
    context.subject.fleet.assert_served(context.subject.first)
    for answer in context.subject.first:
        assert answer.headers.get("set-cookie") == "session=atlas; Path=/", str(answer)


@then("no request reached an upstream with a cookie")
def step_impl(context):
    ledger = context.subject.fleet.assert_truthful(context.subject.answers)
    for answer in context.subject.answers:
        for run in ledger.find_runs(answer.call.echo):
            assert not run["cookies"], str(run)


@when("an upstream redirects a caller to another path")
def step_impl(context):
    fields = quote(json.dumps({"location": "/archive/elsewhere"}))
    call = context.subject.fleet.plan_call(
        f"/archive/{{n}}?status=302&headers={fields}"
    )
    context.subject.run([call])


@then("the caller got the redirect and only one request ran")
def step_impl(context):
    (answer,) = context.subject.answers
    assert answer.status == 302, str(answer)
    assert answer.headers["location"] == "/archive/elsewhere"
    ledger = context.subject.fleet.read_ledger()
    assert len(ledger.find_runs(answer.call.echo)) == 1
    assert not [run for run in ledger.records if run["path"] == "/archive/elsewhere"]


@when("an upstream answers with content that is said to be compressed")
def step_impl(context):
    fields = quote(json.dumps({"content-encoding": "gzip"}))
    call = context.subject.fleet.plan_call(
        f"/archive/{{n}}?body=no+gzip+at+all&headers={fields}"
    )
    context.subject.run([call])


@then("the caller got the same bytes and the same content-encoding")
def step_impl(context):
    (answer,) = context.subject.answers
    assert answer.status == 200 and not answer.broken, str(answer)
    assert answer.body == b"no gzip at all", str(answer)
    assert answer.headers["content-encoding"] == "gzip"


@when("the open connections of 3 upstreams go silent while calls run")
def step_impl(context):
    context.subject.silence_connections()


@then("some POSTs met a silent connection")
def step_impl(context):
    silent = [
        answer
        for answer in context.subject.answers
        if answer.call.method == "POST" and answer.status == 504
    ]
    assert silent


@then("calls that were sent {seconds:d} s later or more are answered whole")
def step_impl(context, seconds):
    subject = context.subject
    late = [
        answer
        for answer in subject.answers
        if answer.sent_seconds >= subject.silenced_at + seconds
    ]
    assert len(late) >= 100
    context.subject.fleet.assert_served(late)


@then("no POST ran twice after the connections went silent")
def step_impl(context):
    # assert_truthful allows one run of a POST.
    context.subject.fleet.assert_truthful(context.subject.answers)
    silent = [item for item in context.subject.answers if item.status == 504]
    for answer in silent:
        assert answer.run == "unknown", str(answer)


@when("{count:d} downloads take {seconds:d} s and one upstream's go silent")
def step_impl(context, count, seconds):
    context.subject.read_slow_downloads(count, seconds)


@then("the silent downloads break off after {seconds:d} s")
def step_impl(context, seconds):
    subject = context.subject
    assert subject.silent, "no response had begun when an upstream was to go silent"
    for answer in subject.silent:
        waited = answer.ended_seconds - subject.silenced_at
        assert answer.broken, str(answer)
        assert seconds - MARGIN_SECONDS <= waited <= seconds + MARGIN_SECONDS, waited


@then("the slow downloads are whole")
def step_impl(context):
    subject = context.subject
    assert subject.slow
    for answer in subject.slow:
        assert answer.status == 200 and not answer.broken, answer.fault
        assert len(answer.body) == subject.expected, len(answer.body)


@when("{count:d} callers stop in the middle of a request's body")
def step_impl(context, count):
    context.subject.stop_in_bodies(count)


@when("{count:d} callers do not read their answers of 100 kB")
def step_impl(context, count):
    context.subject.leave_answers_unread(count)


@then("other callers are answered whole within {seconds:d} s")
def step_impl(context, seconds):
    context.subject.fleet.assert_served(context.subject.answers)
    slowest = max(context.subject.answers, key=lambda answer: answer.seconds)
    assert slowest.seconds <= seconds, str(slowest)


@then("no request of the slow callers ran")
def step_impl(context):
    ledger = context.subject.fleet.read_ledger()
    for call in context.subject.slow_calls:
        assert not ledger.find_runs(call.echo), call.echo


@when("requests of these framings are sent, each with another one inside")
def step_impl(context):
    context.subject.send_framings([row["framing"] for row in context.table])


@then("no upstream saw an inner request")
def step_impl(context):
    inner = [
        run
        for run in context.subject.fleet.read_ledger().records
        if run["echo"] == "inner" or run["path"].startswith(INNER_PATH)
    ]
    assert not inner, str(inner)


@then("each outer request was refused or ran alone")
def step_impl(context):
    ledger = context.subject.fleet.read_ledger()
    for shape, call, future in context.subject.framed:
        runs, received = ledger.find_runs(call.echo), future.result()
        # A GET may be hedged once: the same request then runs on two upstreams. A
        # smuggled request would have an id of its own.
        is_hedged = len(runs) == 2 and all(run["method"] == "GET" for run in runs)
        assert len(runs) <= 1 or is_hedged, f"{shape}: {runs}"
        assert len({run["request_id"] for run in runs}) <= 1, f"{shape}: {runs}"
        assert len({run["upstream"] for run in runs}) == len(runs), f"{shape}: {runs}"
        expected = b"HTTP/1.1 200" if runs else (b"HTTP/1.1 4", b"HTTP/1.1 5")
        assert not received or received.startswith(expected), f"{shape}: {received}"
