"""A caller's request on its way to an upstream, and the interfaces it crosses."""

import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from egrethall.types._configuration import Organisation, Route, Service, Upstream
from egrethall.types._errors import EgrethallError
from egrethall.types._http_headers import Headers
from egrethall.types._loads import LoadReport


class UpstreamError(EgrethallError):
    """An attempt at an upstream failed."""

    def __init__(self, upstream: str, detail: str) -> None:
        super().__init__(f"upstream {upstream}: {detail}")
        self.upstream = upstream


class ConnectFailedError(UpstreamError):
    """No connection was made, so the request was not run."""


class ConnectionBrokenError(UpstreamError):
    """The connection broke after the request was sent: it may have run."""


class AttemptTimeoutError(UpstreamError):
    """No answer came in time: the request may have run."""


class RequestBodyError(EgrethallError):
    """The caller's request body could not be read to its end."""


class RequestBody(Protocol):
    """The body of a caller's request."""

    #: The first bytes, at most 64 KiB, read before the request was routed.
    prefix: bytes
    #: True if ``prefix`` is the whole body, which can then be sent again.
    complete: bool

    def stream(self) -> AsyncIterator[bytes]:
        """Returns the whole body; a second call needs a complete ``prefix``.

        The iterator raises :class:`RequestBodyError` if the caller goes away.
        """
        ...


class AllowanceToken(Protocol):
    """A token of an organisation's allowance, taken for one request."""

    async def confirm(self, deadline_at_seconds: float) -> None:
        """Makes the token count at this moment; called right before the dispatch.

        Raises :class:`RefusedError` like :meth:`AllowanceGate.admit`.
        """
        ...


@dataclass(frozen=True)
class CallRequest:
    """A request that has passed the checks of its framing, key and route."""

    request_id: str
    #: None on routes that are open to all.
    organisation: Organisation | None
    service: Service
    route: Route
    method: str
    #: Path and query as sent by the caller, without any key.
    target: bytes
    #: Headers for the upstream: end-to-end only and without any key.
    headers: Headers
    #: Length of the body if the caller announced it; 0 if there is none.
    content_length: int | None
    body: RequestBody
    #: Clock time by which the answer must have begun.
    deadline_at_seconds: float
    idempotent: bool
    idempotency_key: bytes | None = None
    #: The token that admitted the request; None on routes that are open to all.
    allowance_token: AllowanceToken | None = None


class UpstreamResponse(Protocol):
    """An upstream's answer, whose body has not been read yet."""

    status: int
    #: End-to-end headers, ``load-report`` excluded.
    headers: Headers
    load_report: LoadReport | None
    #: True if the upstream refused and guarantees that the request was not run.
    not_run: bool

    def stream(self) -> AsyncIterator[bytes]:
        """Returns the body; raises :class:`ConnectionBrokenError` if cut."""
        ...

    async def aclose(self) -> None:
        """Ends the answer; its connection is reused only if it was read whole."""
        ...


class UpstreamTransport(Protocol):
    """Sends one request to one upstream."""

    async def send(
        self, upstream: Upstream, request: CallRequest, timeout_seconds: float
    ) -> UpstreamResponse:
        """Returns the answer once its headers have arrived.

        Raises :class:`ConnectFailedError`, :class:`ConnectionBrokenError` or
        :class:`AttemptTimeoutError`.
        """
        ...


class AttemptOutcome(enum.Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    #: The upstream answered with a status of 500 or more of its own.
    FAILED = "failed"
    #: The upstream refused and guarantees that the request was not run.
    REFUSED = "refused"
    CONNECT_FAILED = "connect-failed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    #: The caller or a faster attempt made it unnecessary.
    CANCELLED = "cancelled"


class UpstreamTicket(Protocol):
    """The right to send one request to one upstream."""

    upstream: Upstream

    def observe_response(
        self, report: LoadReport | None, latency_seconds: float
    ) -> None:
        """Records that response headers arrived after ``latency_seconds``."""
        ...

    def finish(self, outcome: AttemptOutcome) -> None:
        """Ends the attempt and frees its place; must be called exactly once."""
        ...


class UpstreamSelector(Protocol):
    """Chooses upstreams for attempts, after a fair wait if all are busy."""

    async def acquire(
        self,
        service: Service,
        organisation: str,
        deadline_at_seconds: float,
        excluded: frozenset[str] = frozenset(),
    ) -> UpstreamTicket:
        """Returns a ticket for an upstream that is not in ``excluded``.

        Raises :class:`RefusedError` with ``overloaded`` or ``no-upstream``.
        """
        ...

    def is_overloaded(self, service: str) -> bool:
        """Returns whether requests wait in the queue of ``service``."""
        ...


class AllowanceGate(Protocol):
    """Admits requests within their organisation's rate and burst."""

    async def admit(
        self, organisation: str, deadline_at_seconds: float
    ) -> AllowanceToken:
        """Takes one token of the organisation's allowance.

        Raises :class:`RefusedError` with ``rate-exceeded`` or
        ``allowance-unavailable``.
        """
        ...


class UpstreamTokenGate(Protocol):
    """Limits the requests to upstreams that are not warm."""

    async def take_token(self, upstream: str, deadline_at_seconds: float) -> bool:
        """Takes one token of a cold upstream's rate; returns False if there is none."""
        ...


@dataclass(frozen=True)
class CallResult:
    """How a call ended, for logs and metrics."""

    request_id: str
    organisation: str
    service: str
    upstream: str
    attempts: int
    #: A status, or a refusal's reason.
    outcome: str
    queue_ms: float
    total_ms: float
