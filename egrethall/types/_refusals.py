"""Refusals: the answers that egrethall gives instead of an upstream's."""

import enum
from dataclasses import dataclass

from egrethall.types._errors import EgrethallError


class RequestRun(enum.Enum):
    """Whether a refused request was run by an upstream."""

    NO = "no"
    UNKNOWN = "unknown"


class RefusalReason(enum.Enum):
    """The machine-readable reason of a refusal, with status and run state."""

    BAD_REQUEST = ("bad-request", 400, RequestRun.NO)
    KEY_MISPLACED = ("key-misplaced", 400, RequestRun.NO)
    KEY_MISSING = ("key-missing", 401, RequestRun.NO)
    KEY_UNKNOWN = ("key-unknown", 401, RequestRun.NO)
    SERVICE_NOT_IN_PLAN = ("service-not-in-plan", 403, RequestRun.NO)
    NO_ROUTE = ("no-route", 404, RequestRun.NO)
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405, RequestRun.NO)
    REQUEST_TIMEOUT = ("request-timeout", 408, RequestRun.NO)
    IDEMPOTENCY_IN_PROGRESS = ("idempotency-in-progress", 409, RequestRun.NO)
    IDEMPOTENCY_ALREADY_RUN = ("idempotency-already-run", 409, RequestRun.NO)
    BODY_TOO_LARGE = ("body-too-large", 413, RequestRun.NO)
    REQUEST_QUARANTINED = ("request-quarantined", 422, RequestRun.NO)
    RATE_EXCEEDED = ("rate-exceeded", 429, RequestRun.NO)
    HEADERS_TOO_LARGE = ("headers-too-large", 431, RequestRun.NO)
    OUTCOME_UNKNOWN = ("outcome-unknown", 502, RequestRun.UNKNOWN)
    CRASH_SUSPECT = ("crash-suspect", 503, RequestRun.NO)
    MEMORY_SHORT = ("memory-short", 503, RequestRun.NO)
    NOT_CONFIGURED = ("not-configured", 503, RequestRun.NO)
    ALLOWANCE_UNAVAILABLE = ("allowance-unavailable", 503, RequestRun.NO)
    OVERLOADED = ("overloaded", 503, RequestRun.NO)
    NO_UPSTREAM = ("no-upstream", 503, RequestRun.NO)
    UPSTREAMS_UNREACHABLE = ("upstreams-unreachable", 503, RequestRun.NO)
    UPSTREAM_REFUSED = ("upstream-refused", 503, RequestRun.NO)
    STOPPING = ("stopping", 503, RequestRun.NO)
    UPSTREAM_TIMEOUT = ("upstream-timeout", 504, RequestRun.UNKNOWN)

    def __init__(self, code: str, status: int, run: RequestRun) -> None:
        #: The value of ``x-refusal-reason``.
        self.code = code
        #: The HTTP status.
        self.status = status
        #: The value of ``x-request-run``.
        self.run = run


@dataclass(frozen=True)
class Refusal:
    """One refusal as the caller sees it."""

    reason: RefusalReason
    #: One sentence for a person; never contains a key.
    detail: str
    #: Time after which a new try makes sense, where it is known.
    retry_after_seconds: float | None = None


class RefusedError(EgrethallError):
    """A request was refused before or instead of an upstream's answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.reason.code}: {refusal.detail}")
        self.refusal = refusal
