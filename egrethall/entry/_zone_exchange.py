"""Counts the responses that come from other availability zones."""

from egrethall.entry._connection_pool import ConnectionPool
from egrethall.entry._memory_account import MemoryAccount
from egrethall.entry._prober import ProbeResult
from egrethall.entry._request import AdmittedRequest, Response, SendOutcome
from egrethall.entry._upstream_exchange import UpstreamExchange
from egrethall.placement import UpstreamPath, ZoneOverflow
from egrethall.types import Clock, ExchangeFormat


class ZoneCountingExchange(UpstreamExchange):
    """An :class:`UpstreamExchange` that tells :class:`ZoneOverflow` of each response.

    A hedge whose response is not awaited counts as a request without bytes.
    """

    def __init__(
        self,
        own_zone: str,
        overflow: ZoneOverflow,
        pool: ConnectionPool,
        exchange_format: ExchangeFormat,
        path: UpstreamPath,
        account: MemoryAccount,
        clock: Clock,
    ) -> None:
        super().__init__(pool, exchange_format, path, account, clock)
        self._own_zone = own_zone
        self._overflow = overflow

    async def attempt(
        self, request: AdmittedRequest, probe: ProbeResult
    ) -> SendOutcome:
        """Sends the request on the connection of ``probe``; returns the outcome."""
        transfer = self._overflow.start_transfer(
            request.service.name,
            request.route.kind,
            probe.state.entry.availability_zone,
        )
        try:
            outcome = await super().attempt(request, probe)
        except BaseException:
            self._overflow.end_transfer(transfer, None)
            raise
        self._overflow.end_transfer(transfer, _measure_bytes(outcome.response))
        return outcome


def _measure_bytes(response: Response | None) -> int | None:
    if response is None:
        return None
    if response.content_length is None:
        # The length of a long response that is sent in chunks is not known yet.
        return len(response.body)
    return response.content_length
