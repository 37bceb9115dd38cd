"""Quarantine of requests that are suspected of crashing upstreams."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from egrethall.forwarding._fingerprints import Fingerprinter
from egrethall.types import (
    AuditEvent,
    AuditTrail,
    CallRequest,
    Clock,
    CrashReport,
    PeerRequester,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Strikes further apart are treated as unrelated crashes.
STRIKE_LIFETIME_SECONDS = 60.0
QUARANTINE_SECONDS = 300.0

#: Bounds of the tables; the oldest entry is evicted. An entry takes under 1 KiB.
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 1024

#: Maximum number of reports sent to a new peer.
MAX_REPORTS = 512

#: Maximum number of strikes kept for one suspect, one per upstream.
MAX_STRIKES_PER_SUSPECT = 8


class _Strike:
    """The latest strike against one suspect at one upstream.

    ``alone`` says whether it was the only suspect that the reporting instance had in
    flight there.
    """

    def __init__(self, at_seconds: float, alone: bool) -> None:
        self.at_seconds = at_seconds
        self.alone = alone


@dataclass(frozen=True)
class _QuarantineEntry:
    """One request in quarantine."""

    until_seconds: float
    #: Names of the upstreams at which it got its strikes.
    upstreams: tuple[str, ...]


class CrashQuarantine:
    """Keeps a request that crashes upstreams from crashing more than two of them.

    A request gets a strike when its connection breaks before a response. All requests
    in flight at a crashed upstream get one, so a single strike only makes a request a
    suspect. A suspect is sent only to upstreams at which this instance has no other
    suspect in flight. A strike received while it was the only suspect there
    (``alone``), together with one at another upstream, puts the request into
    quarantine. The rule does not depend on the order in which the reports of peers
    arrive.

    :param revision: Returns the configuration revision in force, for audit events.
    """

    def __init__(
        self,
        clock: Clock,
        shared_secret: bytes,
        peers: PeerRequester,
        audit_trail: AuditTrail,
        revision: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._fingerprinter = Fingerprinter(shared_secret)
        self._peers = peers
        self._audit_trail = audit_trail
        self._revision = revision
        self._strikes: OrderedDict[bytes, dict[str, _Strike]] = OrderedDict()
        self._quarantined: OrderedDict[bytes, _QuarantineEntry] = OrderedDict()
        #: For each upstream, the number of attempts in flight of each suspect.
        self._in_flight: dict[str, dict[bytes, int]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspects or quarantines, so no fingerprint is needed."""
        return not self._strikes and not self._quarantined

    @property
    def suspect_count(self) -> int:
        """The number of requests with strikes, expired ones included."""
        return len(self._strikes)

    @property
    def quarantined_count(self) -> int:
        """The number of requests in quarantine, expired ones included."""
        return len(self._quarantined)

    def forget_expired(self) -> None:
        """Drops expired entries, oldest first, up to the first unexpired one."""
        now_seconds = self._clock.monotonic_seconds()
        while self._strikes:
            strikes = next(iter(self._strikes.values()))
            newest_seconds = max(strike.at_seconds for strike in strikes.values())
            if newest_seconds >= now_seconds - STRIKE_LIFETIME_SECONDS:
                break
            self._strikes.popitem(last=False)
        while self._quarantined:
            if next(iter(self._quarantined.values())).until_seconds > now_seconds:
                break
            self._quarantined.popitem(last=False)

    def compute_fingerprint(self, request: CallRequest) -> bytes:
        """Returns the fingerprint of ``request``."""
        return self._fingerprinter.compute(request)

    def check(self, fingerprint: bytes) -> None:
        """Raises :class:`RefusedError` if the request is in quarantine."""
        remaining_seconds = self._find_remaining_seconds(fingerprint)
        if remaining_seconds <= 0:
            return
        raise RefusedError(
            Refusal(
                RefusalReason.REQUEST_QUARANTINED,
                "the connections of two upstreams broke while they ran this request",
                remaining_seconds,
            )
        )

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether :meth:`check` would refuse the request."""
        return self._find_remaining_seconds(fingerprint) > 0

    def find_struck_upstreams(self, fingerprint: bytes) -> frozenset[str]:
        """Returns the upstreams of recent strikes; empty if there are none."""
        self._forget_expired_strikes(fingerprint)
        return frozenset(self._strikes.get(fingerprint, ()))

    def find_occupied_upstreams(self, fingerprint: bytes) -> frozenset[str]:
        """Returns the upstreams at which this instance has other suspects in flight."""
        return frozenset(
            upstream
            for upstream, suspects in self._in_flight.items()
            if any(suspect != fingerprint for suspect in suspects)
        )

    def begin_attempt(self, fingerprint: bytes, upstream: str) -> None:
        """Records that an attempt of a suspect at ``upstream`` begins."""
        suspects = self._in_flight.setdefault(upstream, {})
        suspects[fingerprint] = suspects.get(fingerprint, 0) + 1

    def end_attempt(self, fingerprint: bytes, upstream: str) -> None:
        """Records the end of an attempt that :meth:`begin_attempt` recorded."""
        suspects = self._in_flight[upstream]
        suspects[fingerprint] -= 1
        if not suspects[fingerprint]:
            del suspects[fingerprint]
        if not suspects:
            del self._in_flight[upstream]

    def record_strike(self, fingerprint: bytes, upstream: str) -> None:
        """Records that the connection broke, and reports it to all peers.

        Must be called before :meth:`end_attempt`, because the strike depends on the
        suspects in flight.
        """
        suspects = self._in_flight.get(upstream, {})
        alone = set(suspects) == {fingerprint}
        self._add_strike(fingerprint, upstream, alone)
        self._peers.broadcast_notice(CrashReport(fingerprint, upstream, alone))

    def record_success(self, fingerprint: bytes) -> None:
        """Clears a suspect that has been answered, at this instance and all peers."""
        if self._strikes.pop(fingerprint, None) is None:
            return
        self._peers.broadcast_notice(CrashReport(fingerprint, "", False, cleared=True))

    def receive_report(self, report: CrashReport) -> None:
        """Applies a report from a peer."""
        if report.cleared:
            self._strikes.pop(report.fingerprint, None)
            return
        self._add_strike(report.fingerprint, report.upstream, report.alone)

    def build_reports(self) -> tuple[CrashReport, ...]:
        """Returns the reports for a peer that has just started.

        Without them, each replaced instance could lose a further upstream to a request
        that is in quarantine elsewhere. The peer starts its own 300 s on arrival. A
        quarantine that is more than half over is left out, so that consecutive
        restarts do not prolong it indefinitely.
        """
        now_seconds = self._clock.monotonic_seconds()
        reports = [
            CrashReport(fingerprint, upstream, strike.alone)
            for fingerprint, strikes in self._strikes.items()
            for upstream, strike in strikes.items()
            if strike.at_seconds >= now_seconds - STRIKE_LIFETIME_SECONDS
        ]
        for fingerprint, entry in self._quarantined.items():
            if entry.until_seconds - now_seconds > QUARANTINE_SECONDS / 2:
                reports += [
                    CrashReport(fingerprint, upstream, True)
                    for upstream in entry.upstreams
                ]
        return tuple(reports[-MAX_REPORTS:])

    def _find_remaining_seconds(self, fingerprint: bytes) -> float:
        entry = self._quarantined.get(fingerprint)
        if entry is None:
            return 0.0
        return entry.until_seconds - self._clock.monotonic_seconds()

    def _add_strike(self, fingerprint: bytes, upstream: str, alone: bool) -> None:
        if self.is_quarantined(fingerprint):
            # Strikes of attempts that began before the quarantine do not prolong it.
            return
        now_seconds = self._clock.monotonic_seconds()
        self._forget_expired_strikes(fingerprint)
        strikes = self._strikes.setdefault(fingerprint, {})
        known = strikes.pop(upstream, None)
        # Strikes of several equal requests at one upstream count as one strike, which
        # is alone if any of them was.
        strikes[upstream] = _Strike(now_seconds, alone or bool(known and known.alone))
        self._strikes.move_to_end(fingerprint)
        if len(strikes) > 1 and any(strike.alone for strike in strikes.values()):
            self._begin_quarantine(fingerprint, tuple(strikes), now_seconds)
            return
        if len(strikes) > MAX_STRIKES_PER_SUSPECT:
            del strikes[next(iter(strikes))]
        while len(self._strikes) > MAX_SUSPECTS:
            self._strikes.popitem(last=False)

    def _begin_quarantine(
        self, fingerprint: bytes, upstreams: tuple[str, ...], now_seconds: float
    ) -> None:
        del self._strikes[fingerprint]
        self._quarantined[fingerprint] = _QuarantineEntry(
            now_seconds + QUARANTINE_SECONDS, upstreams
        )
        self._quarantined.move_to_end(fingerprint)
        while len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)
        self._audit_trail.record(
            AuditEvent(
                kind="request-quarantine",
                actor="crash-quarantine",
                subject=f"request {fingerprint.hex()}",
                before=f"suspect after broken connections to {', '.join(upstreams)}",
                after=f"quarantined for {QUARANTINE_SECONDS:.0f} s",
                revision=self._revision(),
            )
        )

    def _forget_expired_strikes(self, fingerprint: bytes) -> None:
        strikes = self._strikes.get(fingerprint)
        if strikes is None:
            return
        oldest_seconds = self._clock.monotonic_seconds() - STRIKE_LIFETIME_SECONDS
        for upstream in list(strikes):
            if strikes[upstream].at_seconds < oldest_seconds:
                del strikes[upstream]
        if not strikes:
            del self._strikes[fingerprint]
