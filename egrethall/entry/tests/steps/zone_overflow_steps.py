import logging
import random

import anyio
import structlog
from behave import given, then, when
from structlog.testing import capture_logs

from egrethall.entry._client_limits import ClientLimits
from egrethall.entry._metrics import RequestMetrics
from egrethall.entry._process_limits import ProcessLimits
from egrethall.entry._settings import DEFAULT_MAX_BYTE_RATIO
from egrethall.entry.tests.zone_fleet import SERVICE, WAVE_SECONDS, ZoneFleet
from egrethall.placement import CrashGuard, UpstreamPath, ZoneOverflow
from egrethall.placement._zone_bytes import INITIAL_BYTES
from egrethall.placement._zone_overflow import MIN_STEP_SECONDS
from egrethall.records import SourceStatus
from egrethall.types import ManualClock, RequestKind, UpstreamReading

PLAY_SECONDS = 44.0
SEED = 1

# Lines of tens of instances would take most of the time of a play.
QUIET = structlog.make_filtering_bound_logger(logging.CRITICAL)


class ZonePlay:
    """Runs fleets of the same load with the overflow off and on."""

    def __init__(self, sizes, demand):
        self.sizes = dict(zip("abc", sizes, strict=True))
        self.demand = dict(zip("abc", demand, strict=True))
        self.max_byte_ratio = DEFAULT_MAX_BYTE_RATIO
        self.off = self.on = None

    def run(self, max_byte_ratio, seconds=PLAY_SECONDS, play=None):
        structlog.configure(wrapper_class=QUIET)
        fleet = ZoneFleet(self.sizes, SEED, max_byte_ratio)
        fleet.demand.update(self.demand)
        fleet.run(seconds, play)
        structlog.reset_defaults()
        return fleet


class ComparedZones:
    """The decision of one instance of zone a, with readings of two zones."""

    def __init__(self, here, there):
        self.clock = ManualClock()
        self.overflow = ZoneOverflow("a", 0.5, self.clock, random.Random(SEED))
        #: Reading and cost by zone.
        self.zones = {"a": here, "b": there}

    def read(self):
        for zone, (reading, cost) in self.zones.items():
            self.overflow.record_reading(SERVICE.name, zone, reading, cost)

    def pass_time(self, seconds, with_readings):
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            if with_readings:
                self.read()
            self.overflow.advance(SERVICE.name, 3)

    def respond(self, zone, size_bytes):
        kind = RequestKind.IDEMPOTENT
        transfer = self.overflow.start_transfer(SERVICE.name, kind, zone)
        self.overflow.end_transfer(transfer, size_bytes)

    @property
    def share(self):
        return self.overflow.find_shares()[SERVICE.name]


@given(
    "zones with {a:d}, {b:d} and {c:d} upstreams and {x:f}, {y:f} and {z:f} times the"
    " usual demand"
)
def step_impl(context, a, b, c, x, y, z):
    context.play = ZonePlay((a, b, c), (x, y, z))


@given("a bound of {ratio:f} for the bytes between zones")
def step_impl(context, ratio):
    context.play.max_byte_ratio = ratio


@when("the same load is played with the overflow off and on")
def step_impl(context):
    context.play.off = context.play.run(None)
    context.play.on = context.play.run(context.play.max_byte_ratio)


@when(
    "{count:d} upstreams of zone {zone} do not respond from {start:d} s to {end:d} s of"
    " {total:d} s"
)
def step_impl(context, count, zone, start, end, total):
    async def lose(fleet):
        lost = [fleet.upstreams[f"{zone}-u{number}"] for number in range(count)]
        await anyio.sleep(start)
        for upstream in lost:
            upstream.responds = False
        await anyio.sleep(end - start)
        for upstream in lost:
            upstream.responds = True

    context.play.on = context.play.run(context.play.max_byte_ratio, total, lose)


@then("in zone {zone} more requests are answered in time and fewer are refused")
def step_impl(context, zone):
    off, on = context.play.off, context.play.on
    assert on.find_share_in_time(zone) > off.find_share_in_time(zone), on.results
    assert on.results[zone, "refused"] < off.results[zone, "refused"], on.results


@then(
    "in zones {zones} the share in time is lower by at most {margin:f}, and none is"
    " refused"
)
def step_impl(context, zones, margin):
    off, on = context.play.off, context.play.on
    for zone in zones.replace(",", "").replace("and ", "").split():
        shares = off.find_share_in_time(zone), on.find_share_in_time(zone)
        assert shares[1] >= shares[0] - margin, (zone, shares)
        assert not on.results[zone, "refused"], on.results


@then("each share changes its direction at most {count:d} times in a wave of demand")
def step_impl(context, count):
    changes = [i.count_direction_changes() for i in context.play.on.instances]
    assert max(changes) <= count * PLAY_SECONDS / WAVE_SECONDS, changes


@then("each instance keeps the bytes between zones within the bound")
def step_impl(context):
    for instance in context.play.on.instances:
        size_bytes = instance.bytes.total() + INITIAL_BYTES
        bound = context.play.max_byte_ratio * size_bytes
        assert instance.bytes[True] <= bound, instance.bytes


@then("fewer bytes are sent between zones")
def step_impl(context):
    ratios = context.play.off.byte_ratio, context.play.on.byte_ratio
    assert ratios[1] < ratios[0], ratios


@then(
    "in zone {zone} the mean share is at least {low:f} at {then:d} s and at most"
    " {high:f} at {later:d} s"
)
def step_impl(context, zone, low, then, high, later):
    shares = [context.play.on.find_shares(zone, at) for at in (then, later)]
    means = [sum(each) / len(each) for each in shares]
    assert means[0] >= low and means[1] <= high, means


@then("in zones b and c the mean share is at most {high:f} at {then:d} s")
def step_impl(context, high, then):
    shares = [s for zone in "bc" for s in context.play.on.find_shares(zone, then)]
    assert sum(shares) / len(shares) <= high, shares


@then(
    "at most half of its instances change their shares in the shortest step from"
    " {start:d} s"
)
def step_impl(context, start):
    instances = [i for i in context.play.on.instances if i.zone == "a"]
    moves = sorted(
        next(at for at, share in i.shares if at > start and share) for i in instances
    )
    moved_at_once = [at for at in moves if at <= moves[0] + MIN_STEP_SECONDS]
    assert len(moved_at_once) <= len(instances) / 2, moves


@then("at least {ratio:f} of the requests of zone {zone} are answered")
def step_impl(context, ratio, zone):
    results = context.play.on.results
    counts = [results[zone, each] for each in ("in time", "late", "refused")]
    assert sum(counts[:2]) >= ratio * sum(counts), counts


@then("instances of zones b and c send nothing to other zones")
def step_impl(context):
    sent = context.play.on.sent
    assert not [pair for pair in sent if pair[0] in "bc" and pair[0] != pair[1]], sent


@given("an instance whose zone is full while zone b is free")
def step_impl(context):
    full, free = UpstreamReading(4, 2, 4), UpstreamReading(0, 0, 4)
    context.zones = ComparedZones((full, None), (free, 1.0))


@given("an instance whose zone is twice as slow as zone b")
def step_impl(context):
    slow, free = UpstreamReading(0, 0, 4, 2.0), UpstreamReading(0, 0, 4)
    context.zones = ComparedZones((slow, 2.0), (free, 1.0))


@given("an instance whose readings of zone b show {taken:d} of 4 slots taken")
def step_impl(context, taken):
    free, there = UpstreamReading(0, 0, 4), UpstreamReading(taken, 0, 4)
    context.zones = ComparedZones((free, 1.0), (there, 1.0))
    context.zones.read()


@when("{seconds:d} s pass {how} readings")
def step_impl(context, seconds, how):
    with capture_logs() as context.lines:
        context.zones.pass_time(seconds, how == "with")


@when("responses have {size:d} bytes and {seconds:d} s pass with readings")
def step_impl(context, size, seconds):
    context.zones.respond("a", size)
    context.zones.pass_time(seconds, True)


@when("a response of {size:d} bytes comes from zone b, and one from its own zone")
def step_impl(context, size):
    context.zones.respond("b", size)
    context.zones.respond("a", size)


@then("its share is {share:f}")
def step_impl(context, share):
    assert context.zones.share == share, context.zones.share


@then("its share is {share:f}, and each change is logged with its inputs")
def step_impl(context, share):
    assert context.zones.share == share, context.zones.share
    lines = [x for x in context.lines if x["event"] == "share for other zones changed"]
    assert lines[-1]["share"] == share and len(lines) == round(share * 10), lines
    assert lines[-1]["zones"] == "b" and lines[-1]["cost_here"] == 6.0, lines[-1]


@then("a request of rank {rank:d} {verdict} an upstream there with {running:d} running")
def step_impl(context, rank, verdict, running):
    reading = UpstreamReading(running, 0, 4)
    may_send = context.zones.overflow.may_send(
        SERVICE.name, RequestKind.IDEMPOTENT, rank, "b", reading, 0
    )
    assert may_send == (verdict == "is sent to")


@then(
    "the metrics have {count:d} request and {size:d} bytes of other zones, and a share"
    " of {share:f}"
)
def step_impl(context, count, size, share):
    clock, overflow = context.zones.clock, context.zones.overflow
    path = UpstreamPath(lambda: 0, clock)
    limits = ClientLimits(ProcessLimits(), clock)
    metrics = RequestMetrics(
        SourceStatus(clock), path, CrashGuard(clock), limits, overflow
    )
    text = metrics.render().decode()
    for name, value in (
        ("requests_total", float(count)),
        ("response_bytes_total", float(size)),
        ("share", share),
    ):
        line = f'egrethall_other_zone_{name}{{service="{SERVICE.name}"}} {value}'
        assert line in text, text
