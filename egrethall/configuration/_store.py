"""The configuration that is in force in one instance."""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable
from functools import cached_property

import structlog
from anyio import Lock, to_thread

from egrethall.configuration._differences import describe_changes
from egrethall.configuration._faults import Fault, InvalidRevisionError
from egrethall.configuration._revisions import parse_revision
from egrethall.types import AuditEvent, AuditTrail, Clock, Configuration

#: Told after a change, with the configuration before (None at first) and after it.
ConfigurationSubscriber = Callable[[Configuration | None, Configuration], None]

#: Rejected texts that are remembered so that each is reported once.
MAX_REMEMBERED_REJECTIONS = 64

#: Texts up to this length are read at once; that takes a few milliseconds.
SHORT_TEXT_BYTES = 16 * 1024

#: Faults of a rejected revision that one audit event quotes.
MAX_QUOTED_FAULTS = 5


class _Offer:
    """A text that somebody offers, with what was announced beside it."""

    def __init__(
        self, text: bytes, source: str, announced_revision: int | None
    ) -> None:
        self.text = text
        self.source = source
        self.announced_revision = announced_revision

    @cached_property
    def key(self) -> tuple[int | None, bytes]:
        """What tells offers apart that were rejected.

        A text that was rejected for its announcement may be valid with another.
        """
        return self.announced_revision, hashlib.sha256(self.text).digest()


class ConfigurationStore:
    """The highest accepted revision; it never goes back to a lower one.

    An instance keeps nothing over a restart: a new store is empty and takes the
    first valid revision that the configuration service or a peer offers.
    """

    def __init__(self, audit: AuditTrail, clock: Clock) -> None:
        self._audit = audit
        self._clock = clock
        self._log = structlog.get_logger("egrethall.configuration")
        self._current: Configuration | None = None
        self._text = b""
        self._confirmed_at_seconds = -math.inf
        self._rejected_offers: OrderedDict[tuple[int | None, bytes], None] = (
            OrderedDict()
        )
        self._reading = Lock()
        self._subscribers: list[ConfigurationSubscriber] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._current

    def get_current(self) -> Configuration | None:
        """Returns :attr:`current`, for callers that take a query instead of a store."""
        return self._current

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self._current.revision if self._current is not None else 0

    @property
    def text(self) -> bytes:
        """The text of the revision in force, word for word, for peers."""
        return self._text

    def confirmed_age_seconds(self) -> float:
        """Returns the age of the newest proof that the revision is current.

        It is infinite before the first configuration.
        """
        return self._clock.monotonic_seconds() - self._confirmed_at_seconds

    def subscribe(self, subscriber: ConfigurationSubscriber) -> None:
        """Adds a subscriber and tells it of the configuration in force, if any."""
        self._subscribers.append(subscriber)
        if self._current is not None:
            self._notify_subscriber(subscriber, None, self._current)

    def confirm_revision(self, revision: int, age_seconds: float = 0.0) -> None:
        """Notes a proof that ``revision`` was current ``age_seconds`` ago.

        Proofs of another revision than the one in force are ignored.
        """
        if self._current is None or revision != self.revision:
            return
        # Not a number compares as false and is ignored, too.
        if not age_seconds >= 0.0:
            return
        confirmed_at_seconds = self._clock.monotonic_seconds() - age_seconds
        self._confirmed_at_seconds = max(
            self._confirmed_at_seconds, confirmed_at_seconds
        )

    def apply_text(
        self,
        text: bytes,
        source: str,
        announced_revision: int | None = None,
        confirmed_age_seconds: float = 0.0,
    ) -> None:
        """Puts the revision in ``text`` in force if it is valid and higher.

        A lower revision is ignored. A faulty one, or the revision in force with
        another text, is logged and audited once and changes nothing.

        :param source: who offered the text, for example ``configuration service``.
        :param announced_revision: the revision that the offer names beside the text.
        :param confirmed_age_seconds: age of the offer's proof of being current.
        """
        offer = _Offer(text, source, announced_revision)
        if not self._is_known(offer):
            self._settle(offer, _read_text(text))
        self._confirm_text(text, confirmed_age_seconds)

    async def receive_text(
        self,
        text: bytes,
        source: str,
        announced_revision: int | None = None,
        confirmed_age_seconds: float = 0.0,
    ) -> None:
        """Does the same as :meth:`apply_text` without blocking the event loop.

        A long text is read in a worker thread, because reading 1,300 upstreams takes
        some 50 ms. Several offers are read one after the other, so that a text which
        all peers send is read once.
        """
        offered_at_seconds = self._clock.monotonic_seconds()
        offer = _Offer(text, source, announced_revision)
        async with self._reading:
            if not self._is_known(offer):
                read = (
                    _read_text(text)
                    if len(text) <= SHORT_TEXT_BYTES
                    else (await to_thread.run_sync(_read_text, text))
                )
                # apply_text may have put a revision in force in the meantime.
                if not self._is_known(offer):
                    self._settle(offer, read)
        elapsed_seconds = self._clock.monotonic_seconds() - offered_at_seconds
        self._confirm_text(text, confirmed_age_seconds + elapsed_seconds)

    def _is_known(self, offer: "_Offer") -> bool:
        """Returns whether an offer is in force, lower, or was rejected before."""
        if self._current is None:
            return offer.key in self._rejected_offers
        announced_revision = offer.announced_revision
        is_lower = announced_revision is not None and announced_revision < self.revision
        return (
            is_lower or offer.text == self._text or offer.key in self._rejected_offers
        )

    def _confirm_text(self, text: bytes, age_seconds: float) -> None:
        if self._current is not None and text == self._text:
            self.confirm_revision(self.revision, age_seconds)

    def _settle(
        self, offer: "_Offer", read: Configuration | InvalidRevisionError
    ) -> None:
        """Accepts, rejects or ignores an offer whose text has been read."""
        if isinstance(read, InvalidRevisionError):
            self._reject(offer, read)
            return
        fault = self._find_conflict(read, offer.announced_revision)
        if fault is not None:
            message = "the revision contradicts its announcement or an earlier text"
            self._reject(offer, InvalidRevisionError(message, [fault]))
            return
        if read.revision > self.revision:
            self._accept(read, offer)

    def _find_conflict(
        self, configuration: Configuration, announced_revision: int | None
    ) -> Fault | None:
        revision = configuration.revision
        if announced_revision is not None and revision != announced_revision:
            return Fault(
                "$.revision", str(revision), f"{announced_revision}, announced"
            )
        if self._current is not None and revision == self.revision:
            found = f"{revision}, in force with another text"
            return Fault("$.revision", found, f"a revision above {self.revision}")
        return None

    def _accept(self, configuration: Configuration, offer: "_Offer") -> None:
        old = self._current
        self._current = configuration
        self._text = offer.text
        # Proofs of the lower revision say nothing of the new one.
        self._confirmed_at_seconds = -math.inf
        self._log.info(
            "configuration in force",
            revision=configuration.revision,
            source=offer.source,
        )
        self._audit_acceptance(old, configuration, offer.source)
        for subscriber in tuple(self._subscribers):
            self._notify_subscriber(subscriber, old, configuration)

    def _audit_acceptance(
        self, old: Configuration | None, new: Configuration, source: str
    ) -> None:
        before = str(old.revision) if old is not None else "none"
        self._record("configuration", source, "revision", before, str(new.revision))
        if old is None:
            # Every item is new to a starting instance; the ring has better uses.
            return
        for change in describe_changes(old, new):
            self._record(
                "configuration-change",
                source,
                change.subject,
                change.before,
                change.after,
            )

    def _reject(self, offer: "_Offer", error: InvalidRevisionError) -> None:
        self._rejected_offers[offer.key] = None
        if len(self._rejected_offers) > MAX_REMEMBERED_REJECTIONS:
            self._rejected_offers.popitem(last=False)
        quoted = "; ".join(str(fault) for fault in error.faults[:MAX_QUOTED_FAULTS])
        if error.fault_count > MAX_QUOTED_FAULTS:
            quoted += f"; {error.fault_count - MAX_QUOTED_FAULTS} more"
        self._log.error(
            "revision rejected",
            announced_revision=offer.announced_revision,
            source=offer.source,
            fault_count=error.fault_count,
            faults=quoted,
            revision_in_force=self.revision,
        )
        announced = offer.announced_revision
        offered = "unknown" if announced is None else str(announced)
        self._record(
            "configuration-rejected",
            offer.source,
            f"revision {offered}",
            str(self.revision),
            f"{error.message}: {quoted}",
        )

    def _notify_subscriber(
        self,
        subscriber: ConfigurationSubscriber,
        old: Configuration | None,
        new: Configuration,
    ) -> None:
        """Calls one subscriber; its failure must not keep the others on the old."""
        try:
            subscriber(old, new)
        except Exception as error:
            self._log.exception(
                "subscriber failed to apply the configuration", revision=new.revision
            )
            self._record(
                "configuration-not-applied",
                "instance",
                getattr(subscriber, "__qualname__", type(subscriber).__name__),
                str(old.revision) if old is not None else "none",
                f"{type(error).__name__}: {error}",
            )

    def _record(
        self, kind: str, actor: str, subject: str, before: str, after: str
    ) -> None:
        event = AuditEvent(kind, actor, subject, before, after, self.revision)
        self._audit.record(event)


def _read_text(text: bytes) -> Configuration | InvalidRevisionError:
    """Returns the configuration in ``text`` or its faults; needs no event loop."""
    try:
        return parse_revision(text)
    except InvalidRevisionError as error:
        return error
