"""Interfaces of the decisions that the caller side asks."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from egrethall.types import (
    AllowanceGate,
    CallRequest,
    CallResult,
    Configuration,
    Organisation,
    Route,
    Service,
    UpstreamResponse,
)


class ConfigurationSource(Protocol):
    """The configuration that is in force."""

    def get_current(self) -> Configuration | None:
        """Returns the revision in force, or None before the first one."""
        ...


class KeyIdentifier(Protocol):
    """Finds the organisation that a key belongs to."""

    def identify(self, key: bytes) -> Organisation | None:
        """Returns the owner of ``key``, or None if the key is not valid now."""
        ...


@dataclass(frozen=True)
class RouteAnswer:
    """What the route table says about a method and a path."""

    #: The service and its route; both None if there is no route.
    service: Service | None = None
    route: Route | None = None
    #: Methods that the path has routes for, if the request's method is not one.
    allowed_methods: frozenset[str] = frozenset()
    #: Why the path can be read in more than one way; empty if it cannot.
    target_fault: str = ""


class RouteMatcher(Protocol):
    """Finds the service that answers a request."""

    def match(self, method: str, path: bytes) -> RouteAnswer:
        """Returns the route of ``path``, which is raw and has no query."""
        ...


class RelayedResponse(UpstreamResponse, Protocol):
    """An upstream's answer, with what the log line of its call needs."""

    #: Name of the upstream that answered.
    upstream: str
    #: Attempts that were made for the request.
    attempts: int


class CallForwarder(Protocol):
    """Sends a request to an upstream of its service."""

    async def forward(self, request: CallRequest) -> RelayedResponse:
        """Returns the answer once its headers have arrived.

        Raises :class:`~egrethall.types.RefusedError`, and
        :class:`~egrethall.types.RequestBodyError` from the request's body.
        """
        ...


class IdempotencyGate(Protocol):
    """Lets each ``Idempotency-Key`` of an organisation run once."""

    async def forward(
        self,
        request: CallRequest,
        forward: Callable[[CallRequest], Awaitable[RelayedResponse]],
    ) -> RelayedResponse:
        """Reserves the key, calls ``forward`` and records the outcome.

        Raises :class:`~egrethall.types.RefusedError` with
        ``idempotency-in-progress``, ``idempotency-already-run`` or
        ``allowance-unavailable``, and whatever ``forward`` raises.
        """
        ...


class CallObserver(Protocol):
    """Counts calls, for metrics."""

    def observe_start(self) -> None:
        """Records that a call has arrived."""
        ...

    def observe_end(self, result: CallResult) -> None:
        """Records how a call ended; called once for each start."""
        ...


@dataclass(frozen=True)
class IngressCollaborators:
    """The decisions that :class:`IngressApplication` asks for each call."""

    configuration: ConfigurationSource
    keys: KeyIdentifier
    routes: RouteMatcher
    allowances: AllowanceGate
    idempotency: IdempotencyGate
    forwarder: CallForwarder
    observer: CallObserver
