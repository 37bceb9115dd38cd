"""Fleet membership from a few seeds, and the exchange of usage and records."""

from egrethall.fleet._gossip import (
    JOINING_INTERVAL_SECONDS,
    ROUND_SECONDS,
    FleetExchange,
    FleetParticipant,
    FleetSocketError,
)
from egrethall.fleet._members import (
    MEMBERS_PER_HEARTBEAT,
    MEMBERS_PER_JOIN_ANSWER,
    FleetMembers,
)
from egrethall.fleet._messages import (
    CollectorAnswer,
    FleetLevel,
    Heartbeat,
    MalformedMessageError,
    Message,
    OrganisationUsage,
    UsageReports,
    decode_message,
    encode_message,
)
from egrethall.fleet._record_exchange import RecordServer, read_records_from_peer
from egrethall.fleet._record_sources import RecordSources
from egrethall.fleet._silence import (
    MAX_SINGLE_ROUND_RECIPIENTS,
    RECIPIENTS_PER_ROUND,
    count_rounds_per_cycle,
    find_silent,
)

__all__ = [
    "FleetExchange",
    "FleetLevel",
    "CollectorAnswer",
    "FleetMembers",
    "FleetParticipant",
    "FleetSocketError",
    "Heartbeat",
    "JOINING_INTERVAL_SECONDS",
    "MAX_SINGLE_ROUND_RECIPIENTS",
    "MEMBERS_PER_HEARTBEAT",
    "MEMBERS_PER_JOIN_ANSWER",
    "MalformedMessageError",
    "Message",
    "OrganisationUsage",
    "RECIPIENTS_PER_ROUND",
    "ROUND_SECONDS",
    "RecordServer",
    "RecordSources",
    "UsageReports",
    "count_rounds_per_cycle",
    "decode_message",
    "encode_message",
    "find_silent",
    "read_records_from_peer",
]
