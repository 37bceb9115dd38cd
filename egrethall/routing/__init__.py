"""Request routing and upstream selection."""

from egrethall.routing._choosers import (
    HotColdChooser,
    LeastInFlightChooser,
    RandomChooser,
    RoundRobinChooser,
    TwoChoicesChooser,
    UpstreamChooser,
    make_default_chooser,
)
from egrethall.routing._cold_starts import (
    PROBES_PER_SECOND,
    BucketLimits,
    ColdStartController,
    HolderView,
)
from egrethall.routing._directory import (
    UpstreamDirectory,
)
from egrethall.routing._fact_exchange import (
    UpstreamFactExchange,
)
from egrethall.routing._lifecycle import (
    FactPublisher,
)
from egrethall.routing._probes import (
    ProbeRunner,
    UpstreamProber,
)
from egrethall.routing._records import (
    Candidate,
    LeavingSignal,
    UpstreamRecord,
)
from egrethall.routing._route_table import (
    MethodNotAllowed,
    RouteMatch,
    RouteNotFound,
    RouteResult,
    RouteTable,
    TargetRefused,
)
from egrethall.routing._selector import (
    UpstreamSelectorService,
)
from egrethall.routing._statuses import (
    UpstreamStatus,
    describe_upstreams,
)
from egrethall.routing._tickets import (
    SelectedUpstreamTicket,
    TicketFinishedError,
)

__all__ = [
    "BucketLimits",
    "Candidate",
    "ColdStartController",
    "FactPublisher",
    "HolderView",
    "HotColdChooser",
    "LeastInFlightChooser",
    "LeavingSignal",
    "MethodNotAllowed",
    "PROBES_PER_SECOND",
    "ProbeRunner",
    "RandomChooser",
    "RoundRobinChooser",
    "RouteMatch",
    "RouteNotFound",
    "RouteResult",
    "RouteTable",
    "SelectedUpstreamTicket",
    "TargetRefused",
    "TicketFinishedError",
    "TwoChoicesChooser",
    "UpstreamChooser",
    "UpstreamDirectory",
    "UpstreamFactExchange",
    "UpstreamProber",
    "UpstreamRecord",
    "UpstreamSelectorService",
    "UpstreamStatus",
    "describe_upstreams",
    "make_default_chooser",
]
