"""The budget for retries and hedges."""

#: Share of an instance's calls to a service that may be retried or hedged.
RETRY_RATIO = 0.1

#: Tokens that an instance can accumulate for a service. The bound keeps a quiet period
#: from paying for a retry storm.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Limits retries and hedges to a share of the calls of each service.

    Each call adds ``ratio`` of a token and each retry or hedge takes one token, as in
    Finagle's retry budgets. The number of services bounds the table.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        max_saved_retries: float = MAX_SAVED_RETRIES,
    ) -> None:
        if not 0 <= ratio <= 1:
            raise ValueError(f"ratio must be from 0 to 1, got {ratio}")
        self._ratio = ratio
        self._max_saved_retries = max_saved_retries
        self._tokens: dict[str, float] = {}

    def set_max_saved_retries(self, max_saved_retries: float) -> None:
        """Changes the maximum number of tokens of each service."""
        self._max_saved_retries = max_saved_retries

    def record_call(self, service: str) -> None:
        """Adds the share of a token that one call earns."""
        tokens = self._tokens.get(service, 0.0) + self._ratio
        self._tokens[service] = min(tokens, self._max_saved_retries)

    def has_token(self, service: str) -> bool:
        """Returns whether :meth:`take_token` would succeed now."""
        # In floating point, ten additions of 0.1 give slightly less than 1.
        return self._tokens.get(service, 0.0) >= 1.0 - 1e-9

    def take_token(self, service: str) -> bool:
        """Takes a token for one retry or hedge; returns False if there is none."""
        if not self.has_token(service):
            return False
        self._tokens[service] -= 1.0
        return True
