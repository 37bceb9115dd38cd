"""Quarantines requests that crash upstreams, so that they crash no further ones."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TypeVar

import structlog

from egrethall.types import Clock

#: Crashed upstreams at which a request is quarantined. A single one is no proof, since
#: connections break for other reasons, too.
QUARANTINE_CRASHES = 2

#: Crashes further apart than this do not quarantine a request: they are assumed to be
#: unrelated.
CRASH_WINDOW_SECONDS = 30.0

#: Time without a repetition after which a quarantined request is forgotten. Callers
#: that repeat a request by hand do so sooner.
QUARANTINE_IDLE_SECONDS = 600.0

#: Time from the last crash to the first trial, and the factor for each further one. A
#: harmless request may have been in flight at upstreams that crashed together, and one
#: trial shows that.
FIRST_TRIAL_DELAY_SECONDS = 30.0
TRIAL_DELAY_FACTOR = 4.0

#: Trials of one quarantine. Each may cost an upstream, and the whole fleet may send
#: such a request to upstreams three times more.
MAX_TRIALS = 3

#: Time after the quarantine began from which a further crash is that of a trial.
#: Before, attempts end that were sent before the instances knew of the quarantine.
TRIAL_CRASH_DELAY_SECONDS = 10.0

#: Requests whose crashes are kept; the least recently used is evicted first.
MAX_TRACKED_REQUESTS = 2048

#: Time for which heartbeats repeat a report, since datagrams can be lost. Each instance
#: passes on what it hears for the first time, so that all of a large fleet, whose
#: rounds reach few of them, hear it in a few rounds.
REPORT_SECONDS = 2.0

MAX_CRASHES_PER_HEARTBEAT = 32

FINGERPRINT_BYTES = 8

logger = structlog.get_logger(__name__)

_Report = TypeVar("_Report")


@dataclass
class _Suspect:
    """What is known of a request that has crashed upstreams."""

    #: Clock reading at which each crash was heard of, by the run of its upstream.
    crashes: dict[str, float] = field(default_factory=dict)
    #: Clock reading at the begin of the quarantine; None without one.
    quarantined_at_seconds: float | None = None
    #: Clock reading of the last crash, repetition or trial.
    used_at_seconds: float = 0.0
    next_trial_at_seconds: float = 0.0
    trials: int = 0


class CrashGuard:
    """Counts the upstreams that were lost while they ran the same request.

    Answers callers that go on repeating a request that crashes each upstream. Two
    requests are the same if their method, target, caller's key and body are equal.
    Instances report crashes to each other, because the caller may repeat the request
    at any of them.

    A quarantine lasts while the request is repeated. One instance of the fleet tries
    the request again after longer and longer times; a response ends the quarantine.

    :param makes_trials: returns whether this instance is the one that makes the trials
        of a fingerprint.
    """

    def __init__(
        self,
        clock: Clock,
        makes_trials: Callable[[bytes], bool] = lambda fingerprint: True,
    ) -> None:
        self._clock = clock
        self._makes_trials = makes_trials
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        #: Time until which each crash is reported, by fingerprint and upstream's run.
        self._reports: dict[tuple[bytes, str], float] = {}
        #: Likewise for fingerprints whose quarantine has ended.
        self._releases: dict[bytes, float] = {}
        #: Number of requests that were refused because of a quarantine.
        self.refused_count = 0

    @property
    def empty(self) -> bool:
        """Whether no crash is recorded, so that no fingerprint has to be computed."""
        return not self._suspects

    @property
    def quarantined_count(self) -> int:
        """Number of requests in quarantine."""
        return sum(map(self.is_quarantined, self._suspects))

    def make_fingerprint(
        self, method: str, target: bytes, key: str | None, body: bytes | memoryview
    ) -> bytes:
        """Returns a digest that identifies the request at every instance."""
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (method.encode(), target, (key or "").encode("latin-1"), body):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.digest()

    def count_crashes(self, fingerprint: bytes) -> int:
        """Returns how many upstreams the request has crashed, as far as it counts."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        if self.is_quarantined(fingerprint):
            return len(suspect.crashes)
        oldest_seconds = self._clock.monotonic_seconds() - CRASH_WINDOW_SECONDS
        return sum(at >= oldest_seconds for at in suspect.crashes.values())

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether the request is quarantined: sent to no further upstream."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined_at_seconds is None:
            return False
        idle_seconds = self._clock.monotonic_seconds() - suspect.used_at_seconds
        return idle_seconds < QUARANTINE_IDLE_SECONDS

    def try_admit(self, fingerprint: bytes) -> bool:
        """Returns whether a repetition of the request may be sent to an upstream.

        While the request is quarantined, that is a trial. It uses up the turn, and must
        be neither hedged nor retried.
        """
        if not self.is_quarantined(fingerprint):
            return True
        now_seconds = self._clock.monotonic_seconds()
        suspect = self._suspects[fingerprint]
        suspect.used_at_seconds = now_seconds
        self._suspects.move_to_end(fingerprint)
        if (
            suspect.trials >= MAX_TRIALS
            or now_seconds < suspect.next_trial_at_seconds
            or not self._makes_trials(fingerprint)
        ):
            self.refused_count += 1
            return False
        self._schedule_trial(suspect, now_seconds)
        logger.info(
            "quarantined request tried",
            fingerprint=fingerprint.hex(),
            trial=suspect.trials,
        )
        return True

    def observe_crash(self, fingerprint: bytes, upstream_run: str) -> None:
        """Records that an upstream crashed while it ran the request.

        :param upstream_run: identifies the upstream and its start, since one that comes
            back under its name may crash again.
        """
        self._add_crash(fingerprint, upstream_run)

    def observe_success(self, fingerprint: bytes) -> None:
        """Clears the crashes of a request that an upstream has responded to."""
        if self.is_quarantined(fingerprint):
            self._report_release(fingerprint)
        self._suspects.pop(fingerprint, None)

    def merge_reports(self, crashes: Iterable[tuple[bytes, str]]) -> None:
        """Records crashes that another instance reports, and passes on new ones."""
        for fingerprint, upstream_run in crashes:
            if fingerprint not in self._releases:
                self._add_crash(fingerprint, upstream_run)

    def merge_releases(self, fingerprints: Iterable[bytes]) -> None:
        """Ends quarantines that ended at another instance, and passes that on."""
        for fingerprint in fingerprints:
            if fingerprint not in self._releases:
                self._report_release(fingerprint)
                self._suspects.pop(fingerprint, None)

    def drop_expired(self) -> None:
        """Forgets quarantines without repetitions, crashes that are too old to count,
        and reports that were repeated for long enough.
        """
        now_seconds = self._clock.monotonic_seconds()
        self._reports = _drop_ended(self._reports, now_seconds)
        self._releases = _drop_ended(self._releases, now_seconds)
        expired = [
            fingerprint
            for fingerprint in self._suspects
            if not self.count_crashes(fingerprint)
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]

    def list_reports(self) -> tuple[tuple[bytes, str], ...]:
        """Returns the crashes that the next heartbeat reports."""
        current = _drop_ended(self._reports, self._clock.monotonic_seconds())
        return tuple(current)[-MAX_CRASHES_PER_HEARTBEAT:]

    def list_releases(self) -> tuple[bytes, ...]:
        """Returns the fingerprints whose quarantine has ended lately."""
        current = _drop_ended(self._releases, self._clock.monotonic_seconds())
        return tuple(current)[-MAX_CRASHES_PER_HEARTBEAT:]

    def _report_release(self, fingerprint: bytes) -> None:
        now_seconds = self._clock.monotonic_seconds()
        self._releases[fingerprint] = now_seconds + REPORT_SECONDS
        self._reports = {
            report: until_seconds
            for report, until_seconds in self._reports.items()
            if report[0] != fingerprint
        }
        logger.info("quarantine ended", fingerprint=fingerprint.hex())

    def _add_crash(self, fingerprint: bytes, upstream_run: str) -> None:
        now_seconds = self._clock.monotonic_seconds()
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_TRACKED_REQUESTS:
            self._suspects.popitem(last=False)
        if not self.is_quarantined(fingerprint):
            # What happened before an expired quarantine is unrelated, like old crashes.
            suspect.quarantined_at_seconds = None
            suspect.crashes = {
                run: at_seconds
                for run, at_seconds in suspect.crashes.items()
                if at_seconds >= now_seconds - CRASH_WINDOW_SECONDS
            }
        if upstream_run in suspect.crashes:
            return
        suspect.crashes[upstream_run] = suspect.used_at_seconds = now_seconds
        self._reports[(fingerprint, upstream_run)] = now_seconds + REPORT_SECONDS
        quarantined_at_seconds = suspect.quarantined_at_seconds
        if quarantined_at_seconds is not None:
            self._observe_later_crash(suspect, now_seconds - quarantined_at_seconds)
        elif len(suspect.crashes) >= QUARANTINE_CRASHES:
            suspect.quarantined_at_seconds = now_seconds
            suspect.trials = 0
            suspect.next_trial_at_seconds = now_seconds + FIRST_TRIAL_DELAY_SECONDS
            logger.warning(
                "request quarantined",
                fingerprint=fingerprint.hex(),
                upstreams=",".join(suspect.crashes),
            )

    def _observe_later_crash(self, suspect: _Suspect, since_seconds: float) -> None:
        """Postpones the next trial after a crash during the quarantine.

        That of another instance's trial counts as one of this instance, which may
        become the one that makes them.
        """
        now_seconds = self._clock.monotonic_seconds()
        is_own_trial = suspect.trials > 0 and now_seconds < (
            suspect.next_trial_at_seconds
        )
        if since_seconds >= TRIAL_CRASH_DELAY_SECONDS and not is_own_trial:
            self._schedule_trial(suspect, now_seconds)
        delay_seconds = FIRST_TRIAL_DELAY_SECONDS * TRIAL_DELAY_FACTOR**suspect.trials
        suspect.next_trial_at_seconds = now_seconds + delay_seconds

    def _schedule_trial(self, suspect: _Suspect, now_seconds: float) -> None:
        suspect.trials += 1
        delay_seconds = FIRST_TRIAL_DELAY_SECONDS * TRIAL_DELAY_FACTOR**suspect.trials
        suspect.next_trial_at_seconds = now_seconds + delay_seconds


def _drop_ended(
    until_seconds: dict[_Report, float], now_seconds: float
) -> dict[_Report, float]:
    return {report: at for report, at in until_seconds.items() if at >= now_seconds}
