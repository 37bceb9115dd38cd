import os
import re
import time

from behave import given, then, when

from egrethall.entry._logs import DroppingLogWriter, UptimeStamper
from egrethall.entry._observer import LogRateLimiter
from egrethall.types import ManualClock


class LoggedPipe:
    """A pipe with a log writer at one end; collects what is read at the other."""

    def __init__(self):
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)
        self.writer = DroppingLogWriter(self.write_fd)
        self.written = 0
        self.text = b""

    def write(self, count, size):
        for _ in range(count):
            self.written += 1
            start = f"number={self.written} "
            self.writer.write(start + "x" * (size - len(start) - 1) + "\n")

    def read(self):
        try:
            while data := os.read(self.read_fd, 65536):
                self.text += data
        except BlockingIOError:
            return

    def close(self):
        os.close(self.read_fd)
        os.close(self.write_fd)


@given("a pipe that nobody reads")
def step_impl(context):
    context.pipe = LoggedPipe()
    context.add_cleanup(context.pipe.close)


@when("{count:d} lines of {size:d} bytes are written within {seconds:d} s")
def step_impl(context, count, size, seconds):
    started = time.monotonic()
    context.pipe.write(count, size)
    assert time.monotonic() - started < seconds


@then("some lines are dropped")
def step_impl(context):
    context.pipe.read()
    assert context.pipe.text.count(b"number=") < context.pipe.written


@when("the pipe is read and {count:d} more lines are written")
def step_impl(context, count):
    for _ in range(count):
        context.pipe.write(1, 200)
        context.pipe.read()


@then("each received line is complete and the dropped lines are counted")
def step_impl(context):
    lines = context.pipe.text.decode().splitlines()
    received = [line for line in lines if line.startswith("number=")]
    assert all(len(line) == 199 for line in received), set(map(len, received))
    dropped_counts = re.findall(r"event='log lines lost' count=(\d+)", "\n".join(lines))
    assert len(received) + sum(map(int, dropped_counts)) == context.pipe.written


@given("a limit of {lines:d} lines per second")
def step_impl(context, lines):
    context.clock = ManualClock()
    context.limiter = LogRateLimiter(lines, context.clock)


@when("{count:d} lines are requested in each of {seconds:d} s")
def step_impl(context, count, seconds):
    context.allowed = 0
    for _ in range(seconds):
        context.allowed += sum(context.limiter.try_acquire() for _ in range(count))
        context.clock.advance(1.0)


@then("{allowed:d} lines are allowed and {left_out:d} are left out")
def step_impl(context, allowed, left_out):
    assert context.allowed == allowed
    assert context.limiter.take_suppressed_count() == left_out


@given("log lines that are stamped with the uptime")
def step_impl(context):
    context.clock = ManualClock(7.0)
    context.stamper = UptimeStamper(context.clock)


@when("a line is written {first:f} s and another one {second:f} s after the start")
def step_impl(context, first, second):
    context.lines = []
    for wait_seconds in (first, second - first):
        context.clock.advance(wait_seconds)
        context.lines.append(context.stamper(None, "info", {"event": "request"}))


@then("the lines state an uptime of {first} and {second} s")
def step_impl(context, first, second):
    stated = [line["uptime_seconds"] for line in context.lines]
    assert stated == [first, second], stated
