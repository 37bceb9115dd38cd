"""What this instance knows about an upstream since its last start."""

import structlog

from egrethall.types import Clock, UpstreamEntry, UpstreamHead

#: Time for which an upstream is avoided after a first failure, and its maximum. Each
#: consecutive failure multiplies it by the factor. Longer than the recovery of a
#: connection, shorter than a restart.
FIRST_PENALTY_SECONDS = 0.5
MAX_PENALTY_SECONDS = 4.0
PENALTY_FACTOR = 2.0

#: Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.3

#: Time in which the failure ratio halves without new outcomes, so that an upstream
#: that has recovered is tried again.
FAILURE_HALF_LIFE_SECONDS = 3.0

#: Time for which a stated rate limit applies without being stated again. Upstreams
#: without room under their limit are not probed, so that an instance learns only by
#: this time that a limit has ended.
RATE_LIMIT_VALIDITY_SECONDS = 2.0

logger = structlog.get_logger(__name__)


class UpstreamState:
    """Published entry, warm-up and recent failures of an upstream since its start."""

    def __init__(self, entry: UpstreamEntry, clock: Clock) -> None:
        self.entry = entry
        #: Requests that this instance has sent to the upstream.
        self.sent_requests = 0
        self._clock = clock
        now_seconds = clock.monotonic_seconds()
        self._cold_until_seconds = now_seconds + entry.cold_seconds
        self._penalized_until_seconds = float("-inf")
        self._consecutive_failures = 0
        #: Rate limit that the upstream states; None without one.
        self._rate_limit_per_second: float | None = None
        self._rate_limit_stated_at_seconds = now_seconds
        #: Whether the upstream has said in a response that it leaves.
        self._leaving = False
        self._paused_until_seconds = float("-inf")
        self._failure_ratio = 0.0
        self._failure_ratio_at_seconds = now_seconds

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.entry.name

    @property
    def run_key(self) -> str:
        """Identifies this start of the upstream, which may come back under its name."""
        return f"{self.entry.name}@{self.entry.started_at_ms}"

    @property
    def cold(self) -> bool:
        """Whether it accepts only its cold rate, by its own last report."""
        return self._clock.monotonic_seconds() < self._cold_until_seconds

    @property
    def penalized(self) -> bool:
        """Whether it is avoided because of a recent failure."""
        return self._clock.monotonic_seconds() < self._penalized_until_seconds

    @property
    def leaving(self) -> bool:
        """Whether it takes no new requests, by its entry or by a response of it.

        The entry may be read later than the first response that says so, and may never
        say it.
        """
        return self._leaving or self.entry.draining

    @property
    def paused_until_seconds(self) -> float:
        """Clock reading until which it wants no requests from this instance."""
        return self._paused_until_seconds

    @property
    def rate_limit_per_second(self) -> float | None:
        """Requests per second that it accepts from the whole fleet.

        None if it has stated no limit in the last :data:`RATE_LIMIT_VALIDITY_SECONDS`.
        """
        age_seconds = (
            self._clock.monotonic_seconds() - self._rate_limit_stated_at_seconds
        )
        if age_seconds > RATE_LIMIT_VALIDITY_SECONDS:
            return None
        return self._rate_limit_per_second

    @property
    def failure_ratio(self) -> float:
        """Fraction of failures among recent outcomes; decays without new ones."""
        age_seconds = self._clock.monotonic_seconds() - self._failure_ratio_at_seconds
        return float(
            self._failure_ratio * 0.5 ** (age_seconds / FAILURE_HALF_LIFE_SECONDS)
        )

    def update_entry(self, entry: UpstreamEntry) -> None:
        """Replaces the entry by a newer one of the same run."""
        if entry.cold_seconds > 0 and entry.cold_seconds != self.entry.cold_seconds:
            self.observe_cold(entry.cold_seconds)
        self.entry = entry

    def observe_cold(self, cold_seconds: float) -> None:
        """Records for how long the upstream reports to stay cold."""
        self._cold_until_seconds = self._clock.monotonic_seconds() + cold_seconds

    def observe_rate_limit(self, limit_per_second: float | None, source: str) -> None:
        """Records the rate limit that a response of the upstream states.

        :param limit_per_second: None if the response states no limit.
        :param source: the kind of response, for the log.
        """
        if limit_per_second is None and self.rate_limit_per_second is not None:
            # Not every response has to repeat the limit.
            return
        known = self._rate_limit_per_second
        self._rate_limit_per_second = limit_per_second
        self._rate_limit_stated_at_seconds = self._clock.monotonic_seconds()
        if limit_per_second != known:
            logger.info(
                "upstream rate limit changed",
                upstream=self.name,
                limit_per_second=limit_per_second,
                before=known,
                source=source,
                sent_requests=self.sent_requests,
            )

    def observe_head(self, head: UpstreamHead) -> None:
        """Records whether a response of the upstream says to send it no requests.

        That it leaves holds for the rest of its run.
        """
        if head.leaving and not self._leaving:
            self._leaving = True
            logger.info("upstream leaves", upstream=self.name)
        if head.retry_after_seconds is not None:
            self._pause(head.retry_after_seconds)

    def observe_success(self) -> None:
        """Records that the upstream responded to a request."""
        self._consecutive_failures = 0
        self._update_failure_ratio(0.0)

    def observe_refusal(self) -> None:
        """Records that the upstream refused a request without running it.

        The upstream is not penalized: if all upstreams of a service refuse some of
        their requests, avoiding them would concentrate the load on the few remaining.
        """
        self._update_failure_ratio(1.0)

    def observe_failure(self, reason: str) -> None:
        """Records that a request or a probe got no response or a faulty one."""
        penalty_seconds = min(
            FIRST_PENALTY_SECONDS * PENALTY_FACTOR**self._consecutive_failures,
            MAX_PENALTY_SECONDS,
        )
        self._consecutive_failures += 1
        self._penalized_until_seconds = (
            self._clock.monotonic_seconds() + penalty_seconds
        )
        self._update_failure_ratio(1.0)
        logger.info(
            "upstream failed",
            upstream=self.name,
            reason=reason,
            penalty_seconds=penalty_seconds,
            failure_ratio=round(self._failure_ratio, 2),
        )

    def _pause(self, retry_after_seconds: float) -> None:
        until_seconds = self._clock.monotonic_seconds() + retry_after_seconds
        if until_seconds <= self._paused_until_seconds:
            return
        self._paused_until_seconds = until_seconds
        logger.info(
            "upstream refuses for a while",
            upstream=self.name,
            retry_after_seconds=retry_after_seconds,
        )

    def _update_failure_ratio(self, outcome: float) -> None:
        decayed = self.failure_ratio
        self._failure_ratio = decayed + FAILURE_WEIGHT * (outcome - decayed)
        self._failure_ratio_at_seconds = self._clock.monotonic_seconds()
