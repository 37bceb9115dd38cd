"""Fleet membership from a few seeds, and the exchange of usage and records."""

from egrethall.fleet._forwarding_messages import (
    MAX_PART_BYTES,
    SENT_PART_BYTES,
    Acceptance,
    ForwardedHead,
    ForwardedResponse,
    decode_acceptance,
    decode_head,
    decode_response,
    decode_time_left,
    encode_acceptance,
    encode_head,
    encode_response,
    encode_time_left,
)
from egrethall.fleet._frames import receive_frame, send_frame
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
    QuarantineReleases,
    UsageReports,
    decode_message,
    encode_message,
)
from egrethall.fleet._peer_server import ForwardedRequestHandler, PeerServer
from egrethall.fleet._record_exchange import read_records_from_peer
from egrethall.fleet._record_sources import RecordSources
from egrethall.fleet._silence import (
    MAX_SINGLE_ROUND_RECIPIENTS,
    RECIPIENTS_PER_ROUND,
    count_rounds_per_cycle,
    find_silent,
)

__all__ = [
    "Acceptance",
    "CollectorAnswer",
    "FleetExchange",
    "FleetLevel",
    "FleetMembers",
    "FleetParticipant",
    "FleetSocketError",
    "ForwardedHead",
    "ForwardedRequestHandler",
    "ForwardedResponse",
    "Heartbeat",
    "JOINING_INTERVAL_SECONDS",
    "MAX_PART_BYTES",
    "SENT_PART_BYTES",
    "MAX_SINGLE_ROUND_RECIPIENTS",
    "MEMBERS_PER_HEARTBEAT",
    "MEMBERS_PER_JOIN_ANSWER",
    "MalformedMessageError",
    "Message",
    "OrganisationUsage",
    "PeerServer",
    "QuarantineReleases",
    "RECIPIENTS_PER_ROUND",
    "ROUND_SECONDS",
    "RecordSources",
    "UsageReports",
    "count_rounds_per_cycle",
    "decode_acceptance",
    "decode_head",
    "decode_message",
    "decode_response",
    "decode_time_left",
    "encode_acceptance",
    "encode_head",
    "encode_message",
    "encode_response",
    "encode_time_left",
    "find_silent",
    "read_records_from_peer",
    "receive_frame",
    "send_frame",
]
