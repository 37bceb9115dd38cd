"""Upstream tickets that can be finished only once."""

from egrethall.types import AttemptOutcome, LoadReport, UpstreamTicket


class FinishOnceTicket:
    """An :class:`~egrethall.types.UpstreamTicket` that is finished only once.

    On cancellation, several places may finish the same ticket: the attempt, the
    response that it produced, or the call that holds the ticket before both.
    """

    def __init__(self, ticket: UpstreamTicket) -> None:
        self.upstream = ticket.upstream
        self._ticket = ticket
        self._finished = False

    def observe_response(
        self, report: LoadReport | None, latency_seconds: float
    ) -> None:
        """Forwards the load report and the latency to the wrapped ticket."""
        self._ticket.observe_response(report, latency_seconds)

    def finish(self, outcome: AttemptOutcome) -> None:
        """Finishes the ticket with the first ``outcome`` and ignores later ones."""
        if self._finished:
            return
        self._finished = True
        self._ticket.finish(outcome)
