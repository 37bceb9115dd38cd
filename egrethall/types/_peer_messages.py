"""Messages between entry instances.

Sets of shards travel as one integer whose bit ``n`` stands for shard ``n``.
"""

from dataclasses import dataclass

from egrethall.types._instances import InstanceId
from egrethall.types._loads import UpstreamFact


@dataclass(frozen=True)
class Hello:
    """The first message of each side of a connection."""

    version: int
    sender: InstanceId
    availability_zone: str
    nonce: bytes


@dataclass(frozen=True)
class HelloProof:
    """Proof that the sender knows the fleet's shared secret."""

    mac: bytes


@dataclass(frozen=True)
class Heartbeat:
    """A sign of life that also asks for votes on shards."""

    sequence: int
    revision: int
    #: Shards that the sender holds now.
    held_shards: int
    #: Shards that the sender asks a vote for, those to renew included.
    wanted_shards: int
    leaving: bool
    #: Age of the newest proof that ``revision`` is current.
    confirmed_age_seconds: float
    upstream_facts: tuple[UpstreamFact, ...] = ()


@dataclass(frozen=True)
class HeartbeatAck:
    """The votes of the receiver of a :class:`Heartbeat`."""

    sequence: int
    revision: int
    granted_shards: int


@dataclass(frozen=True)
class Release:
    """Gives back the votes that the sender got for some shards."""

    shards: int
    #: Last :attr:`Heartbeat.sequence` sent before; later votes stay in force.
    sequence: int = 0


@dataclass(frozen=True)
class BucketState:
    """A token bucket on its way to another holder."""

    resource: str
    level: float
    #: Tokens lent and not known to be spent.
    lent: float
    #: Time until the last of the loans has expired.
    lent_for_seconds: float


@dataclass(frozen=True)
class IdempotencyRecord:
    """What is known of one request with an ``Idempotency-Key``."""

    #: Digest of organisation and idempotency key.
    key: bytes
    #: Status of the first answer; 0 while the request runs, -1 if unknown.
    status: int
    age_seconds: float


@dataclass(frozen=True)
class Handover:
    """The state of one shard, sent by its holder to the next one."""

    shard: int
    buckets: tuple[BucketState, ...] = ()
    upstream_facts: tuple[UpstreamFact, ...] = ()
    idempotency_records: tuple[IdempotencyRecord, ...] = ()
    #: Last :attr:`Heartbeat.sequence` heard from the receiver, which bounds the
    #: age of the state by the receiver's own clock; 0 if none.
    heard_sequence: int = 0


@dataclass(frozen=True)
class Borrow:
    """Asks the holder of a bucket for tokens."""

    request_id: int
    #: Name of the bucket, for example ``organisation/atlas/0``.
    resource: str
    amount: int
    #: Tokens of earlier loans of this bucket that the sender has used since.
    spent: int
    #: Loans of this bucket up to this request are used up or dropped for good.
    settled_request_id: int = 0
    #: Time for which the sender can use the tokens; the loan may be shorter.
    wanted_seconds: float = 1.0


@dataclass(frozen=True)
class Loan:
    """The answer to a :class:`Borrow`."""

    request_id: int
    #: Tokens lent; 0 is a refusal.
    amount: int
    #: Counted from the moment when the borrower sent its request.
    valid_for_seconds: float
    #: After a refusal: time until the bucket has a token again.
    retry_after_seconds: float
    #: False if the receiver of the request does not hold the shard.
    is_holder: bool = True


@dataclass(frozen=True)
class ConfigurationRequest:
    """Asks for the configuration text of at least a revision."""

    revision: int


@dataclass(frozen=True)
class ConfigurationText:
    """A published configuration, word for word."""

    revision: int
    text: bytes


@dataclass(frozen=True)
class UpstreamEvent:
    """Tells all peers at once of a change that an instance has seen."""

    fact: UpstreamFact


@dataclass(frozen=True)
class CrashReport:
    """A strike against a request, or the end of its suspicion."""

    fingerprint: bytes
    upstream: str
    #: True if the request was the only suspect on the upstream.
    alone: bool
    #: True if the request has been answered: it is no longer a suspect.
    cleared: bool = False


@dataclass(frozen=True)
class Reserve:
    """Asks to be the one who runs a request with an ``Idempotency-Key``."""

    request_id: int
    key: bytes
    #: True for the copy that a holder keeps on its successor.
    copy: bool = False


@dataclass(frozen=True)
class ReserveReply:
    """The answer to a :class:`Reserve`."""

    request_id: int
    granted: bool
    #: As :attr:`IdempotencyRecord.status`, if not granted.
    status: int
    is_holder: bool = True


@dataclass(frozen=True)
class Complete:
    """Reports the outcome of a reserved request."""

    key: bytes
    #: As :attr:`IdempotencyRecord.status`; -2 removes the record (not run).
    status: int
    copy: bool = False


PeerMessage = (
    Hello
    | HelloProof
    | Heartbeat
    | HeartbeatAck
    | Release
    | Handover
    | Borrow
    | Loan
    | ConfigurationRequest
    | ConfigurationText
    | UpstreamEvent
    | CrashReport
    | Reserve
    | ReserveReply
    | Complete
)
