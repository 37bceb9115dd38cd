"""HTTP interface for operators: metrics, state and audit trail of an instance."""

from egrethall.operators._application import (
    OperatorApplication,
    serve_operators,
)
from egrethall.operators._audit import (
    AUDIT_RING_CAPACITY,
    AuditRing,
    RecordedEvent,
)
from egrethall.operators._json import (
    write_json,
)
from egrethall.operators._metrics import (
    Metrics,
    OrganisationTally,
)
from egrethall.operators._redaction import (
    redact_keys,
)
from egrethall.operators._state import (
    BucketStatus,
    InstanceStatus,
    OrganisationExplanation,
    PeerStatus,
    QueueStatus,
    Readiness,
    StateSource,
    UpstreamStatus,
)

__all__ = [
    "AUDIT_RING_CAPACITY",
    "AuditRing",
    "BucketStatus",
    "InstanceStatus",
    "Metrics",
    "OperatorApplication",
    "OrganisationExplanation",
    "OrganisationTally",
    "PeerStatus",
    "QueueStatus",
    "Readiness",
    "RecordedEvent",
    "StateSource",
    "UpstreamStatus",
    "redact_keys",
    "serve_operators",
    "write_json",
]
