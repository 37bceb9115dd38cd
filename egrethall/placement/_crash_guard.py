"""Quarantines requests that crash upstreams, so that they crash no further ones."""

from collections import OrderedDict
from hashlib import blake2b

from egrethall.types import Clock

#: Crashed upstreams at which a request is quarantined. A single one is no proof, since
#: connections break for other reasons, too.
QUARANTINE_CRASHES = 2

#: Crashes older than this are not counted: they are assumed to be unrelated.
CRASH_WINDOW_SECONDS = 30.0

#: Requests whose crashes are kept; the least recently reported is evicted first.
MAX_TRACKED_REQUESTS = 2048

#: Time for which heartbeats repeat a crash, since datagrams can be lost.
REPORT_SECONDS = 2.0

MAX_CRASHES_PER_HEARTBEAT = 20

FINGERPRINT_BYTES = 8


class CrashGuard:
    """Counts the upstreams that were lost while they ran the same request.

    Two requests are the same if their method, target, caller's key and body are equal.
    Instances report crashes to each other, because the caller may repeat the request
    at any of them.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Time of each request's first crash at each upstream, by fingerprint.
        self._crashes: OrderedDict[bytes, dict[str, float]] = OrderedDict()
        #: Time of each crash that this instance observed itself.
        self._own_crashes: dict[tuple[bytes, str], float] = {}

    @property
    def empty(self) -> bool:
        """Whether no crash is recorded, so that no fingerprint has to be computed."""
        return not self._crashes

    def make_fingerprint(
        self, method: str, target: bytes, key: str | None, body: bytes
    ) -> bytes:
        """Returns a digest that identifies the request at every instance."""
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (method.encode(), target, (key or "").encode("latin-1"), body):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.digest()

    def count_crashes(self, fingerprint: bytes) -> int:
        """Returns how many upstreams the request has recently crashed."""
        known = self._crashes.get(fingerprint)
        if known is None:
            return 0
        oldest_seconds = self._clock.monotonic_seconds() - CRASH_WINDOW_SECONDS
        return sum(at_seconds >= oldest_seconds for at_seconds in known.values())

    def is_kept_back(self, fingerprint: bytes) -> bool:
        """Returns whether the request is quarantined: sent to no further upstream."""
        return self.count_crashes(fingerprint) >= QUARANTINE_CRASHES

    def observe_crash(self, fingerprint: bytes, upstream: str) -> None:
        """Records that a connection broke while the upstream ran the request."""
        now_seconds = self._clock.monotonic_seconds()
        self._own_crashes[(fingerprint, upstream)] = now_seconds
        self._add_crash(fingerprint, upstream, now_seconds)

    def observe_success(self, fingerprint: bytes) -> None:
        """Clears the crashes of a request that an upstream has responded to."""
        self._crashes.pop(fingerprint, None)

    def merge(self, crashes: tuple[tuple[bytes, str], ...]) -> None:
        """Records crashes that another instance has reported."""
        now_seconds = self._clock.monotonic_seconds()
        for fingerprint, upstream in crashes:
            self._add_crash(fingerprint, upstream, now_seconds)

    def find_reports(self) -> tuple[tuple[bytes, str], ...]:
        """Returns the crashes that the next heartbeat reports."""
        oldest_seconds = self._clock.monotonic_seconds() - REPORT_SECONDS
        self._own_crashes = {
            crash: at_seconds
            for crash, at_seconds in self._own_crashes.items()
            if at_seconds >= oldest_seconds
        }
        return tuple(self._own_crashes)[-MAX_CRASHES_PER_HEARTBEAT:]

    def _add_crash(self, fingerprint: bytes, upstream: str, at_seconds: float) -> None:
        self._crashes.setdefault(fingerprint, {}).setdefault(upstream, at_seconds)
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_TRACKED_REQUESTS:
            self._crashes.popitem(last=False)
