"""Records the log lines and metrics of requests."""

import structlog

from egrethall.entry._metrics import RequestMetrics
from egrethall.entry._request import RequestRecord
from egrethall.types import Clock

#: Limit of log lines of successful requests. Further ones are only counted.
MAX_SUCCESS_LINES_PER_SECOND = 5

#: Limit of log lines of all other requests. Further ones are only counted.
MAX_FAILURE_LINES_PER_SECOND = 50

OUTCOME_ANSWERED = "answered"

logger = structlog.get_logger("egrethall.request")


class LogRateLimiter:
    """Limits the log lines of one kind per second and counts the suppressed ones."""

    def __init__(self, lines_per_second: int, clock: Clock) -> None:
        self._lines_per_second = lines_per_second
        self._clock = clock
        self._second = 0
        self._written = 0
        self._suppressed_count = 0

    def try_acquire(self) -> bool:
        """Returns whether a line may be written now, and counts it either way."""
        second = int(self._clock.monotonic_seconds())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._lines_per_second:
            self._suppressed_count += 1
            return False
        self._written += 1
        return True

    def take_suppressed_count(self) -> int:
        """Returns the number of lines suppressed since the last call, and resets it."""
        count, self._suppressed_count = self._suppressed_count, 0
        return count


class RequestObserver:
    """Writes a rate-limited log line per request and updates the metrics."""

    def __init__(self, clock: Clock, metrics: RequestMetrics) -> None:
        self._success_limiter = LogRateLimiter(MAX_SUCCESS_LINES_PER_SECOND, clock)
        self._failure_limiter = LogRateLimiter(MAX_FAILURE_LINES_PER_SECOND, clock)
        self._metrics = metrics

    def record_start(self) -> None:
        """Counts a request whose handling starts."""
        self._metrics.running += 1

    def record_end(self, record: RequestRecord, elapsed_seconds: float) -> None:
        """Counts and logs a request whose handling has ended."""
        metrics = self._metrics
        service = record.service or "none"
        metrics.running -= 1
        if record.forwarded_from:
            metrics.forwarded_requests["received", record.outcome] += 1
        else:
            metrics.requests[service, record.outcome] += 1
            metrics.observe_latency(service, elapsed_seconds)
        if record.forwarded_to:
            metrics.forwarded_requests["sent", record.outcome] += 1
        if record.attempts:
            metrics.attempts[service] += record.attempts
            metrics.placing_latency.observe(record.placing_seconds)
            if record.rate_limit_per_second is not None:
                metrics.limited_requests[service] += 1
        succeeded = record.outcome == OUTCOME_ANSWERED
        limiter = self._success_limiter if succeeded else self._failure_limiter
        if not limiter.try_acquire():
            return
        suppressed_count = limiter.take_suppressed_count()
        metrics.suppressed_log_lines += suppressed_count
        logger.info(
            "request",
            id=record.request_id,
            outcome=record.outcome,
            status=record.status,
            route=record.route,
            organisation=record.organisation,
            service=record.service,
            version=record.version,
            upstream=record.upstream,
            forwarded_to=record.forwarded_to,
            forwarded_from=record.forwarded_from,
            reading=record.reading,
            limit_per_second=record.rate_limit_per_second,
            attempts=record.attempts,
            failures=";".join(record.failures),
            detail=record.detail,
            placing_ms=round(record.placing_seconds * 1000, 1),
            total_ms=round(elapsed_seconds * 1000, 1),
            left_out=suppressed_count,
        )
