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
    UsageReport,
    decode_heartbeat,
    encode_heartbeat,
)
from egrethall.fleet._record_exchange import RecordServer, read_records_from_peer
from egrethall.fleet._record_sources import RecordSources
from egrethall.fleet._silence import (
    MAX_RECIPIENTS,
    RECIPIENTS_IN_TURN,
    URGENT_RECIPIENTS,
    count_turn_rounds,
    find_silent,
)

__all__ = [
    "FleetExchange",
    "FleetMembers",
    "FleetSocketError",
    "Heartbeat",
    "MAX_RECIPIENTS",
    "MalformedHeartbeatError",
    "NAMED_IN_ROUND",
    "NAMED_TO_NEWCOMER",
    "OrganisationUsage",
    "RECIPIENTS_IN_TURN",
    "ROUND_SECONDS",
    "RecordServer",
    "RecordSources",
    "URGENT_RECIPIENTS",
    "UsageReport",
    "count_turn_rounds",
    "decode_heartbeat",
    "encode_heartbeat",
    "find_silent",
    "read_records_from_peer",
]
