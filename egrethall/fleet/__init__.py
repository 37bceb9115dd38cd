"""Fleet membership from a few seeds, and the exchange of usage and records."""

from egrethall.fleet._gossip import (
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
    FleetLevel,
    FleetLevels,
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
    MAX_RECIPIENTS,
    RECIPIENTS_IN_TURN,
    count_turn_rounds,
    find_silent,
)

__all__ = [
    "FleetExchange",
    "FleetLevel",
    "FleetLevels",
    "FleetMembers",
    "FleetParticipant",
    "FleetSocketError",
    "Heartbeat",
    "MAX_RECIPIENTS",
    "MEMBERS_PER_HEARTBEAT",
    "MEMBERS_PER_JOIN_ANSWER",
    "MalformedMessageError",
    "Message",
    "OrganisationUsage",
    "RECIPIENTS_IN_TURN",
    "ROUND_SECONDS",
    "RecordServer",
    "RecordSources",
    "UsageReports",
    "count_turn_rounds",
    "decode_message",
    "encode_message",
    "find_silent",
    "read_records_from_peer",
]
