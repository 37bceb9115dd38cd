"""One log line for each call."""

import structlog

from egrethall.types import CallResult, RandomSource

_logger = structlog.get_logger("egrethall.ingress")


class CallLog:
    """Writes a line for each refused or failed call and for a share of the others."""

    def __init__(self, random: RandomSource, sampled_share: float = 1.0) -> None:
        if not 0.0 <= sampled_share <= 1.0:
            raise ValueError(
                f"sampled_share must be between 0 and 1, got {sampled_share}"
            )
        self._random = random
        self._sampled_share = sampled_share

    def write(self, result: CallResult, succeeded: bool) -> None:
        """Writes the line of one call; no field can contain a key."""
        if succeeded and not self._is_sampled():
            return
        _logger.info(
            "call",
            request_id=result.request_id,
            organisation=result.organisation,
            service=result.service,
            upstream=result.upstream,
            attempts=result.attempts,
            outcome=result.outcome,
            queue_ms=round(result.queue_ms, 3),
            total_ms=round(result.total_ms, 3),
        )

    def write_fault(self, request_id: str, error: BaseException) -> None:
        """Writes the line of a fault in the project's own code.

        The error's text is left out, because it could quote the request.
        """
        _logger.error("call_fault", request_id=request_id, error=type(error).__name__)

    def _is_sampled(self) -> bool:
        if self._sampled_share >= 1.0:
            return True
        return self._random.random() < self._sampled_share
