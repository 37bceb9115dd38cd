import dataclasses
import math
import tracemalloc

import msgpack
from behave import then, when
from hypothesis import HealthCheck, given as given_examples, settings, strategies as st

from egrethall.peers import (
    MAXIMUM_FRAME_BYTES,
    PeerCodecError,
    decode_message,
    encode_message,
)
from egrethall.peers._schema import KIND_BY_CLASS
from egrethall.types import (
    Borrow,
    BucketState,
    Complete,
    ConfigurationRequest,
    ConfigurationText,
    CrashReport,
    Handover,
    Heartbeat,
    HeartbeatAck,
    Hello,
    HelloProof,
    IdempotencyRecord,
    InstanceId,
    Loan,
    Release,
    Reserve,
    ReserveReply,
    UpstreamEvent,
    UpstreamFact,
    UpstreamState,
)

COUNT = st.integers(0, 2**63 - 1)
SHARDS = st.integers(0, 2**64 - 1)
SECONDS = st.floats(0.0, 1e12)
AGE = st.one_of(SECONDS, st.just(math.inf))
NAME = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=40)
DIGEST = st.binary(min_size=1, max_size=64)
STATUS = st.integers(-2, 999)
FACT = st.builds(
    UpstreamFact, NAME, st.sampled_from(UpstreamState), NAME, st.integers(-1, 900), AGE
)
FACTS = st.lists(FACT, max_size=4).map(tuple)
BUCKET = st.builds(BucketState, NAME, st.floats(-1e12, 1e12), SECONDS, SECONDS)
RECORD = st.builds(IdempotencyRecord, DIGEST, STATUS, AGE)
MESSAGES = st.one_of(
    st.builds(
        Hello,
        COUNT,
        st.builds(InstanceId, NAME, SHARDS),
        NAME,
        st.binary(min_size=32, max_size=32),
    ),
    st.builds(HelloProof, st.binary(min_size=32, max_size=32)),
    st.builds(Heartbeat, COUNT, COUNT, SHARDS, SHARDS, st.booleans(), AGE, FACTS),
    st.builds(HeartbeatAck, COUNT, COUNT, SHARDS),
    st.builds(Release, SHARDS),
    st.builds(
        Handover,
        st.integers(0, 63),
        st.lists(BUCKET, max_size=4).map(tuple),
        FACTS,
        st.lists(RECORD, max_size=4).map(tuple),
    ),
    st.builds(Borrow, COUNT, NAME, COUNT, COUNT),
    st.builds(Loan, COUNT, COUNT, SECONDS, AGE, st.booleans()),
    st.builds(ConfigurationRequest, COUNT),
    st.builds(ConfigurationText, COUNT, st.binary(max_size=200)),
    st.builds(UpstreamEvent, FACT),
    st.builds(CrashReport, DIGEST, NAME, st.booleans(), st.booleans()),
    st.builds(Reserve, COUNT, DIGEST, st.booleans()),
    st.builds(ReserveReply, COUNT, st.booleans(), STATUS, st.booleans()),
    st.builds(Complete, DIGEST, STATUS, st.booleans()),
)


class CodecSubject:
    """Encodes and decodes messages and records failures."""

    def __init__(self):
        self.unequal = []
        self.kinds = set()
        self.unexpected = []
        self.error = None
        self.allocated_bytes = 0

    def check_round_trip(self, message):
        decoded = decode_message(encode_message(message))
        self.kinds.add(type(message))
        if decoded != message or type(decoded) is not type(message):
            self.unequal.append(message)

    def check_invalid_payload(self, payload):
        try:
            message = decode_message(payload)
            # An accepted payload must decode to a message that can be encoded again.
            encode_message(message)
        except PeerCodecError:
            return
        except Exception as error:
            self.unexpected.append((payload, repr(error)))

    def decode_and_measure(self, payload):
        tracemalloc.start()
        try:
            decode_message(payload)
        except PeerCodecError as error:
            self.error = error
        finally:
            self.allocated_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()


def run_examples(strategy, check, count):
    # Derandomized and without a database, so that each run uses the same examples.
    configured = settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    configured(given_examples(strategy)(check))()


@st.composite
def damaged_payloads(draw):
    payload = bytearray(encode_message(draw(MESSAGES)))
    for _ in range(draw(st.integers(1, 4))):
        position = draw(st.integers(0, len(payload) - 1))
        payload[position] = draw(st.integers(0, 255))
    cut = draw(st.integers(0, len(payload)))
    tail = draw(st.one_of(st.just(b""), st.binary(max_size=8)))
    return bytes(payload[:cut]) + tail if draw(st.booleans()) else bytes(payload)


@when("{count:d} random messages of all kinds are encoded and decoded")
def step_impl(context, count):
    context.codec = CodecSubject()
    run_examples(MESSAGES, context.codec.check_round_trip, count)


@then("each one is equal to what was sent")
def step_impl(context):
    assert not context.codec.unequal, context.codec.unequal[:3]
    assert len(context.codec.kinds) == 15, context.codec.kinds


@when("{count:d} random frames are decoded")
def step_impl(context, count):
    context.codec = CodecSubject()
    run_examples(st.binary(max_size=300), context.codec.check_invalid_payload, count)


@when("{count:d} damaged frames of valid messages are decoded")
def step_impl(context, count):
    run_examples(damaged_payloads(), context.codec.check_invalid_payload, count)


@then("nothing but the codec's error was raised")
def step_impl(context):
    assert not context.codec.unexpected, context.codec.unexpected[:3]


@then("a heartbeat with three unknown trailing fields is read")
def step_impl(context):
    payload = msgpack.packb([3, 1, 2, 3, 4, False, 0.5, [], {"a": [1]}, None, "later"])
    assert decode_message(payload) == Heartbeat(1, 2, 3, 4, False, 0.5)


@then("a heartbeat without its trailing default field is read")
def step_impl(context):
    payload = msgpack.packb([3, 1, 2, 3, 4, False, 0.5])
    assert decode_message(payload) == Heartbeat(1, 2, 3, 4, False, 0.5)


@when("the msgpack value {value} is decoded as a frame")
def step_impl(context, value):
    names = {"bytes": bytes, "float": float}
    written = eval(value, {"__builtins__": names})
    context.codec = CodecSubject()
    context.codec.decode_and_measure(msgpack.packb(written))


@then('the codec refuses it with "{error}"')
def step_impl(context, error):
    assert error in str(context.codec.error), context.codec.error


@when("a frame of the largest size made of {pattern} is decoded")
def step_impl(context, pattern):
    size = MAXIMUM_FRAME_BYTES
    heartbeat = msgpack.packb([1, 1, 0, 0, False, 0.1])[1:]
    patterns = {
        "nested arrays": b"\x91" * size,
        "empty arrays": b"\xdd" + size.to_bytes(4, "big") + b"\x90" * (size - 5),
        "huge array headers": b"\xdd\xff\xff\xff\xff" * (size // 5),
        "nested maps": b"\x9f\x03" + b"\x81" * (size - 2),
        "empty upstream facts": b"\x98\x03"
        + heartbeat
        + b"\xdc\x10\x00"
        + b"\x90" * (size - 5 - len(heartbeat)),
        "unknown small fields": b"\xdd"
        + size.to_bytes(4, "big")
        + b"\x03"
        + heartbeat
        + b"\x90" * (size - 6 - len(heartbeat)),
    }
    assert len(patterns[pattern]) <= size
    context.codec = CodecSubject()
    context.codec.decode_and_measure(patterns[pattern])


@then("the codec refuses it")
def step_impl(context):
    assert context.codec.error is not None


@then("at most {count:d} times the frame's size was allocated")
def step_impl(context, count):
    allocated = context.codec.allocated_bytes
    assert allocated <= count * MAXIMUM_FRAME_BYTES, allocated


@when("the largest handover is encoded and decoded")
def step_impl(context):
    fact = UpstreamFact("lookup-1", UpstreamState.WARM, "ab12", 3, 0.5)
    bucket = BucketState("organisation/atlas/0", 1.5, 2.0, 0.5)
    records = tuple(
        IdempotencyRecord(number.to_bytes(16, "big"), 200, 1.0)
        for number in range(16_384)
    )
    message = Handover(1, (bucket,) * 4096, (fact,) * 4096, records)
    context.codec = CodecSubject()
    context.codec.decode_and_measure(encode_message(message))
    assert context.codec.error is None, context.codec.error


@then("at most {count:d} MiB were allocated")
def step_impl(context, count):
    assert context.codec.allocated_bytes <= count * 2**20, context.codec.allocated_bytes


@then("the wire format has each field of each message, in its order")
def step_impl(context):
    for message, (_, record) in KIND_BY_CLASS.items():
        expected = [item.name for item in dataclasses.fields(message)]
        assert record.field_names == expected, (message, record.field_names)
