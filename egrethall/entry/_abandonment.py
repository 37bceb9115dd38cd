"""Decides whether to give up attempts in flight when the path to upstreams is lost."""

from typing import Protocol

from egrethall.entry._peer_forwarder import PeerForwarder
from egrethall.entry._request import AdmittedRequest
from egrethall.forwarding import RetryBudget
from egrethall.placement import UpstreamPath


class AbandonPolicy(Protocol):
    """Decides when the attempts of one request are given up for another way."""

    async def wait(self) -> None:
        """Waits until the attempts in flight are not expected to get a response."""
        ...

    def claim(self, possible_runs: int) -> bool:
        """Takes the right to send the request once more; False if there is none.

        :param possible_runs: upstreams that may have run the request, including those
            of attempts in flight.
        """
        ...


class PathLossPolicy:
    """Abandons attempts that another instance can repeat after the path was lost."""

    def __init__(
        self,
        request: AdmittedRequest,
        path: UpstreamPath,
        forwarder: PeerForwarder,
        budget: RetryBudget,
    ) -> None:
        self._request = request
        self._path = path
        self._forwarder = forwarder
        self._budget = budget

    async def wait(self) -> None:
        """Waits until the path is lost."""
        await self._path.wait_until_lost()

    def claim(self, possible_runs: int) -> bool:
        """Takes a retry from the budget if another instance may serve the request."""
        request = self._request
        return (
            request.may_be_forwarded
            and self._forwarder.available
            and possible_runs < request.route.max_attempts
            and self._budget.take_token(request.service.name)
        )
