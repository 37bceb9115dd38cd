"""The side of an entry instance that callers talk to."""

from egrethall.ingress._application import IngressApplication
from egrethall.ingress._collaborators import (
    CallForwarder,
    CallObserver,
    ConfigurationSource,
    IdempotencyGate,
    IngressCollaborators,
    KeyIdentifier,
    RelayedResponse,
    RouteAnswer,
    RouteMatcher,
)
from egrethall.ingress._key_search import contains_key
from egrethall.ingress._server import CallerServerSettings, serve_callers

__all__ = [
    "CallForwarder",
    "CallObserver",
    "CallerServerSettings",
    "ConfigurationSource",
    "IdempotencyGate",
    "IngressApplication",
    "IngressCollaborators",
    "KeyIdentifier",
    "RelayedResponse",
    "RouteAnswer",
    "RouteMatcher",
    "contains_key",
    "serve_callers",
]
