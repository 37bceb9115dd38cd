"""Data types of a request while an entry instance handles it."""

import enum
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from egrethall.entry._placer import PlacementRequest
from egrethall.placement import CrashGuard, UpstreamState
from egrethall.types import (
    CallerHead,
    Headers,
    PublishedOrganisation,
    PublishedRoute,
    PublishedService,
)


@dataclass
class RequestRecord:
    """The fields of a request's log line, filled in while the request is handled."""

    request_id: str = ""
    route: str = ""
    organisation: str = ""
    service: str = ""
    #: Version of the configuration that the request was routed by.
    version: int = 0
    upstream: str = ""
    #: Name of the instance to which the request was forwarded.
    forwarded_to: str = ""
    #: Name of the instance that has forwarded it to this one.
    forwarded_from: str = ""
    #: Number of attempts, hedged ones included.
    attempts: int = 0
    #: Failed attempts, each as ``upstream:detail``.
    failures: list[str] = field(default_factory=list)
    #: Load of the selected upstream when the request was sent: running requests,
    #: waiting requests, slots and slowness ratio.
    reading: str = ""
    #: Rate limit that the selected upstream stated before the request was sent; None
    #: without one.
    rate_limit_per_second: float | None = None
    #: Time spent on selecting upstreams, over all attempts but hedged ones.
    placing_seconds: float = 0.0
    outcome: str = ""
    status: int = 0
    detail: str = ""


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that was routed, authenticated and within its allowance."""

    method: str
    target: bytes
    head: CallerHead
    body: bytes | memoryview
    #: True if the caller declared a body, even an empty one.
    has_body: bool
    route: PublishedRoute
    service: PublishedService
    #: None if the request needs no API key.
    organisation: PublishedOrganisation | None
    #: Monotonic clock reading at which the request head was complete.
    received_at_seconds: float
    #: Monotonic clock reading by which the response is due.
    deadline_at_seconds: float
    record: RequestRecord
    #: Identifies a forwarded request in :class:`CrashGuard`; None for a caller's own.
    fingerprint: bytes | None = None
    #: False if another instance has forwarded the request to this one.
    may_be_forwarded: bool = True

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.repeatable

    @property
    def priority(self) -> int:
        """Rank of the request, which an organisation's plan may set; 0 is highest."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    def build_placement_request(
        self, excluded: frozenset[str], *, requires_free_slot: bool = False
    ) -> PlacementRequest:
        """Returns the input of the placement of one attempt.

        :param excluded: names of upstreams that must not be selected.
        :param requires_free_slot: see :attr:`PlacementRequest.requires_free_slot`.
        """
        return PlacementRequest(
            service=self.service,
            kind=self.route.kind,
            objective_seconds=self.route.objective_seconds,
            deadline_at_seconds=self.deadline_at_seconds,
            excluded=excluded,
            priority=self.priority,
            requires_free_slot=requires_free_slot,
        )

    def make_fingerprint(self, crashes: CrashGuard) -> bytes:
        """Returns the digest that identifies the request in :class:`CrashGuard`."""
        if self.fingerprint is not None:
            return self.fingerprint
        return crashes.make_fingerprint(
            self.method, self.target, self.head.key, self.body
        )


@dataclass(frozen=True)
class Response:
    """A response to the caller, from an upstream or from the instance itself."""

    status: int
    headers: Headers
    #: The whole body, or its beginning if ``remaining_body`` is set.
    body: bytes | memoryview
    #: Yields the body that follows ``body``; None if ``body`` is complete.
    remaining_body: AsyncIterator[bytes] | None = None
    #: Length of the whole body in bytes; None if it is not known in advance.
    content_length: int | None = None
    #: Frees the memory of ``body`` and closes the connection that ``remaining_body``
    #: reads from. If set, it must be called even when the body was not read to its end.
    close: Callable[[], Awaitable[None]] | None = None
    #: True if the caller is to use another connection for its next request.
    closes_connection: bool = False


class SendResult(enum.Enum):
    """How one attempt ended."""

    ANSWERED = "answered"
    #: The upstream did not run the request: it guarantees so, or no connection to it
    #: could be made.
    NOT_RUN = "not-run"
    #: The upstream responded with a server error.
    FAILED = "failed"
    #: The connection was lost before the response was complete.
    BROKEN = "broken"
    #: The response is not proven to come from this upstream and for this request.
    UNTRUSTED = "untrusted"
    #: The deadline passed before the response was complete.
    TIMED_OUT = "timed-out"
    #: The path to upstreams was lost before the response was complete.
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class SendOutcome:
    """The result of one attempt, with the response if one was received."""

    result: SendResult
    #: Reason of a failure, for logs.
    detail: str
    #: Name of the upstream.
    upstream: str
    response: Response | None = None
    #: The upstream as it was when a connection to it broke.
    state: UpstreamState | None = None
