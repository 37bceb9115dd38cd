"""Tickets, which each permit one attempt at one upstream."""

from typing import Protocol

from egrethall.routing._records import UpstreamRecord
from egrethall.types import AttemptOutcome, EgrethallError, LoadReport


class TicketIssuer(Protocol):
    """Receives the response and outcome of a ticket's attempt."""

    def observe_response(
        self, record: UpstreamRecord, report: LoadReport | None, latency_seconds: float
    ) -> None:
        """Records the response headers' load report and latency."""
        ...

    def finish_call(
        self,
        record: UpstreamRecord,
        organisation: str,
        outcome: AttemptOutcome,
        started_at_seconds: float,
    ) -> None:
        """Records the outcome and frees the attempt's slot."""
        ...


class TicketFinishedError(EgrethallError):
    """Raised when a ticket is finished more than once."""


class SelectedUpstreamTicket:
    """Permits one attempt at the selected upstream; occupies a slot until finished."""

    def __init__(
        self,
        issuer: TicketIssuer,
        record: UpstreamRecord,
        organisation: str,
        started_at_seconds: float,
    ) -> None:
        #: The selected upstream.
        self.upstream = record.upstream
        self._issuer = issuer
        self._record = record
        self._organisation = organisation
        self._started_at_seconds = started_at_seconds
        self._finished = False

    def observe_response(
        self, report: LoadReport | None, latency_seconds: float
    ) -> None:
        """Records response headers that arrived after ``latency_seconds``."""
        self._issuer.observe_response(self._record, report, latency_seconds)

    def finish(self, outcome: AttemptOutcome) -> None:
        """Records the outcome of the attempt and frees its slot.

        Raises :class:`TicketFinishedError` if the ticket is already finished.
        """
        if self._finished:
            raise TicketFinishedError(
                f"the ticket for upstream {self.upstream.name} is already finished; "
                f"outcome {outcome.value} is ignored"
            )
        self._finished = True
        self._issuer.finish_call(
            self._record, self._organisation, outcome, self._started_at_seconds
        )
