"""How instances find each other from a few seeds and share what they know."""

from egrethall.fleet._gossip import (
    ROUND_SECONDS,
    FleetExchange,
    FleetSocketError,
)
from egrethall.fleet._members import (
    NAMED_IN_ROUND,
    NAMED_TO_NEWCOMER,
    FleetMembers,
)
from egrethall.fleet._messages import (
    Heartbeat,
    MalformedHeartbeatError,
    OrganisationUsage,
    decode_heartbeat,
    encode_heartbeat,
)
from egrethall.fleet._record_exchange import RecordServer, read_records_from_peer

__all__ = [
    "FleetExchange",
    "FleetMembers",
    "FleetSocketError",
    "Heartbeat",
    "MalformedHeartbeatError",
    "NAMED_IN_ROUND",
    "NAMED_TO_NEWCOMER",
    "OrganisationUsage",
    "ROUND_SECONDS",
    "RecordServer",
    "decode_heartbeat",
    "encode_heartbeat",
    "read_records_from_peer",
]
