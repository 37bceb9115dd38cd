"""The kinds of messages on the wire, with their fields and limits."""

from typing import Any

from egrethall.leases import SHARD_COUNT
from egrethall.peers._fields import (
    AGE_SECONDS,
    COUNT,
    DURATION_SECONDS,
    MAXIMUM_COUNT,
    MAXIMUM_NUMBER,
    SHARD_SET,
    BooleanField,
    BytesField,
    FloatField,
    IntegerField,
    MappedField,
    RecordField,
    TextField,
    TupleField,
)
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

#: Incremented whenever an older release would misread messages of a newer one.
PROTOCOL_VERSION = 1
#: Largest payload of a frame; fits the largest configuration text with its envelope.
MAXIMUM_FRAME_BYTES = 1_310_720
#: Largest payload of a frame before the sender has been authenticated.
MAXIMUM_HANDSHAKE_FRAME_BYTES = 4096
#: Largest configuration text, as for the configuration service (1 MiB + 64 KiB).
MAXIMUM_CONFIGURATION_BYTES = 1_114_112
#: Length of the nonces and MACs of the handshake.
NONCE_BYTES = 32
MAC_BYTES = 32
#: Twice the upstreams and buckets of one shard or instance in a large fleet.
MAXIMUM_FACTS = 4096
MAXIMUM_BUCKETS = 4096
#: Limit on records of one shard: 10 min at 27 requests per second.
MAXIMUM_IDEMPOTENCY_RECORDS = 16_384
MAXIMUM_NAME_CHARACTERS = 255

_NAME = TextField(MAXIMUM_NAME_CHARACTERS, minimum_length=1)
_RESOURCE = TextField(1024, minimum_length=1)
_DIGEST = BytesField(1, 64)
_STATUS = IntegerField(-2, 999)
_BOOLEAN = BooleanField()
_STATES = tuple(UpstreamState)

_INSTANCE = RecordField(InstanceId, (("name", _NAME), ("incarnation", SHARD_SET)))
_STATE = MappedField(
    IntegerField(0, len(_STATES) - 1),
    {state: index for index, state in enumerate(_STATES)}.__getitem__,
    _STATES.__getitem__,
)
_FACT = RecordField(
    UpstreamFact,
    (
        ("upstream", _NAME),
        ("state", _STATE),
        ("start_id", TextField(MAXIMUM_NAME_CHARACTERS)),
        ("in_flight", IntegerField(-1, MAXIMUM_COUNT)),
        ("age_seconds", AGE_SECONDS),
    ),
)
_FACTS = TupleField(_FACT, MAXIMUM_FACTS)
_BUCKET = RecordField(
    BucketState,
    (
        ("resource", _RESOURCE),
        # A level below zero is a debt left by a decrease of the burst.
        ("level", FloatField(-MAXIMUM_NUMBER, MAXIMUM_NUMBER)),
        ("lent", FloatField(0.0, MAXIMUM_NUMBER)),
        ("lent_for_seconds", DURATION_SECONDS),
    ),
)
_RECORD = RecordField(
    IdempotencyRecord,
    (("key", _DIGEST), ("status", _STATUS), ("age_seconds", AGE_SECONDS)),
)

#: Kind number on the wire, class and record field of each message. ``required`` is
#: the number of leading fields without a default.
_KINDS: tuple[tuple[int, type[Any], RecordField], ...] = (
    (
        1,
        Hello,
        RecordField(
            Hello,
            (
                ("version", COUNT),
                ("sender", _INSTANCE),
                ("availability_zone", TextField(MAXIMUM_NAME_CHARACTERS)),
                ("nonce", BytesField(NONCE_BYTES, NONCE_BYTES)),
            ),
        ),
    ),
    (2, HelloProof, RecordField(HelloProof, (("mac", BytesField(32, MAC_BYTES)),))),
    (
        3,
        Heartbeat,
        RecordField(
            Heartbeat,
            (
                ("sequence", COUNT),
                ("revision", COUNT),
                ("held_shards", SHARD_SET),
                ("wanted_shards", SHARD_SET),
                ("leaving", _BOOLEAN),
                ("confirmed_age_seconds", AGE_SECONDS),
                ("upstream_facts", _FACTS),
            ),
            required=6,
        ),
    ),
    (
        4,
        HeartbeatAck,
        RecordField(
            HeartbeatAck,
            (("sequence", COUNT), ("revision", COUNT), ("granted_shards", SHARD_SET)),
        ),
    ),
    (
        5,
        Release,
        RecordField(Release, (("shards", SHARD_SET), ("sequence", COUNT)), required=1),
    ),
    (
        6,
        Handover,
        RecordField(
            Handover,
            (
                ("shard", IntegerField(0, SHARD_COUNT - 1)),
                ("buckets", TupleField(_BUCKET, MAXIMUM_BUCKETS)),
                ("upstream_facts", _FACTS),
                (
                    "idempotency_records",
                    TupleField(_RECORD, MAXIMUM_IDEMPOTENCY_RECORDS),
                ),
                ("heard_sequence", COUNT),
            ),
            required=1,
        ),
    ),
    (
        7,
        Borrow,
        RecordField(
            Borrow,
            (
                ("request_id", COUNT),
                ("resource", _RESOURCE),
                ("amount", COUNT),
                ("spent", COUNT),
                ("settled_request_id", COUNT),
                ("wanted_seconds", DURATION_SECONDS),
            ),
            required=4,
        ),
    ),
    (
        8,
        Loan,
        RecordField(
            Loan,
            (
                ("request_id", COUNT),
                ("amount", COUNT),
                ("valid_for_seconds", DURATION_SECONDS),
                ("retry_after_seconds", AGE_SECONDS),
                ("is_holder", _BOOLEAN),
            ),
            required=4,
        ),
    ),
    (
        9,
        ConfigurationRequest,
        RecordField(ConfigurationRequest, (("revision", COUNT),)),
    ),
    (
        10,
        ConfigurationText,
        RecordField(
            ConfigurationText,
            (
                ("revision", COUNT),
                ("text", BytesField(0, MAXIMUM_CONFIGURATION_BYTES)),
            ),
        ),
    ),
    (11, UpstreamEvent, RecordField(UpstreamEvent, (("fact", _FACT),))),
    (
        12,
        CrashReport,
        RecordField(
            CrashReport,
            (
                ("fingerprint", _DIGEST),
                ("upstream", TextField(MAXIMUM_NAME_CHARACTERS)),
                ("alone", _BOOLEAN),
                ("cleared", _BOOLEAN),
            ),
            required=3,
        ),
    ),
    (
        13,
        Reserve,
        RecordField(
            Reserve,
            (("request_id", COUNT), ("key", _DIGEST), ("copy", _BOOLEAN)),
            required=2,
        ),
    ),
    (
        14,
        ReserveReply,
        RecordField(
            ReserveReply,
            (
                ("request_id", COUNT),
                ("granted", _BOOLEAN),
                ("status", _STATUS),
                ("is_holder", _BOOLEAN),
            ),
            required=3,
        ),
    ),
    (
        15,
        Complete,
        RecordField(
            Complete,
            (("key", _DIGEST), ("status", _STATUS), ("copy", _BOOLEAN)),
            required=2,
        ),
    ),
)
#: Kind number on the wire and record field, by message class.
KIND_BY_CLASS = {message: (kind, record) for kind, message, record in _KINDS}
#: Record field, by kind number on the wire.
RECORD_BY_KIND = {kind: record for kind, _, record in _KINDS}
