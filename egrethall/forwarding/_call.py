"""The state of one request while it is being forwarded."""

from egrethall.forwarding._failures import is_certainly_not_run
from egrethall.forwarding._quarantine import CrashQuarantine
from egrethall.types import CallRequest, UpstreamError

#: Attempts for one request, including those that certainly did not run it.
MAX_ATTEMPTS = 3


class Call:
    """A request and its attempts so far."""

    def __init__(self, request: CallRequest, quarantine: CrashQuarantine) -> None:
        self.request = request
        self.failures: list[UpstreamError] = []
        self.attempts = 0
        #: Whether the single permitted retry or hedge has been used.
        self.repeat_used = False
        self._quarantine = quarantine
        self._fingerprint: bytes | None = None
        #: Names of upstreams at which an attempt failed.
        self._failed_upstreams: set[str] = set()

    @property
    def organisation(self) -> str:
        """The organisation's name; empty on public routes."""
        organisation = self.request.organisation
        return "" if organisation is None else organisation.name

    @property
    def fingerprint(self) -> bytes:
        """The fingerprint, computed on first use."""
        if self._fingerprint is None:
            self._fingerprint = self._quarantine.compute_fingerprint(self.request)
        return self._fingerprint

    @property
    def is_suspect(self) -> bool:
        """Whether a connection recently broke while an equal request ran on it."""
        if self._quarantine.is_empty:
            return False
        return bool(self._quarantine.find_struck_upstreams(self.fingerprint))

    @property
    def can_be_repeated(self) -> bool:
        """Whether the request may be repeated although it may have run."""
        return (
            self.request.idempotent
            and self.request.body.complete
            and not self.repeat_used
        )

    @property
    def certainly_not_run(self) -> bool:
        """Whether no attempt so far can have run the request."""
        return all(is_certainly_not_run(error) for error in self.failures)

    def record_failure(self, error: UpstreamError) -> None:
        """Records the failure of one attempt."""
        self.failures.append(error)
        self._failed_upstreams.add(error.upstream)

    def find_excluded_upstreams(self) -> frozenset[str]:
        """Returns the upstreams that the next attempt must not go to.

        A suspect is kept apart from other suspects, so that a crash can be attributed
        to one request, and, as long as the service has others, from the upstreams
        whose connections broke while they ran it.
        """
        excluded = set(self._failed_upstreams)
        if self.is_suspect:
            excluded |= self._quarantine.find_occupied_upstreams(self.fingerprint)
            struck = self._quarantine.find_struck_upstreams(self.fingerprint)
            names = {upstream.name for upstream in self.request.service.upstreams}
            if names - struck:
                excluded |= struck
        return frozenset(excluded)

    def find_other_upstreams(self, upstream: str) -> frozenset[str]:
        """Returns the names of the service's upstreams other than ``upstream``."""
        names = {other.name for other in self.request.service.upstreams}
        return frozenset(names - {upstream})
