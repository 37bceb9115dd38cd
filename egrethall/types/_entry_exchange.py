"""What passes between callers, an entry instance and upstreams, decoded."""

from dataclasses import dataclass
from typing import Protocol

from egrethall.types._http_headers import Headers
from egrethall.types._published import UpstreamReading


@dataclass(frozen=True)
class CallerHead:
    """The head of a caller's request."""

    #: Names this attempt of the caller; empty if it has none.
    request_id: str
    #: Time that the caller will wait; None if it does not say.
    time_limit_seconds: float | None
    #: None if the request carries none.
    key: str | None
    #: Headers for the upstream, without the key and what concerns one connection.
    headers: Headers


@dataclass(frozen=True)
class UpstreamHead:
    """The head of an upstream's answer."""

    status: int
    #: Headers for the caller, without what concerns one connection.
    headers: Headers
    #: The request that the answer belongs to; empty if it does not say.
    request_id: str
    #: True if the answer carries the proof that it is the upstream's own.
    signed: bool
    #: True if the upstream guarantees that it did not run the request.
    not_run: bool
    #: True if the body is encoded and so not what the upstream signed.
    encoded: bool
    #: True if another upstream has this address.
    misdirected: bool
    reading: UpstreamReading | None
    #: Name of the upstream that answered a probe; empty if it does not say.
    upstream: str
    #: Time for which the upstream says that it stays cold.
    cold_seconds: float
    #: Requests per second that the upstream accepts from the whole fleet; None if it
    #: states no limit.
    rate_limit_per_second: float | None
    #: True if the upstream says that it leaves and takes no new work.
    leaving: bool
    #: Time for which an upstream that refuses wants no requests from this instance;
    #: None if it does not say.
    retry_after_seconds: float | None
    #: Time after which the upstream closes the idle connection; None if unknown.
    idle_seconds: float | None


class ExchangeFormat(Protocol):
    """Names and formats of headers between callers, instances and upstreams."""

    def decode_caller_head(self, headers: Headers) -> CallerHead:
        """Returns what a request's headers say."""
        ...

    def encode_upstream_headers(
        self,
        head: CallerHead,
        organisation: str | None,
        upstream: str,
        time_left_seconds: float,
    ) -> Headers:
        """Returns the headers of a request to ``upstream``, lengths excluded."""
        ...

    def decode_upstream_head(self, status: int, headers: Headers) -> UpstreamHead:
        """Returns what an answer's status and headers say."""
        ...
