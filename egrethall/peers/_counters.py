"""Counters of messages and connections to peers."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType


@dataclass(frozen=True)
class MessageCount:
    """Number and total frame size of the messages of one kind since the start."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


@dataclass(frozen=True)
class PeerCounters:
    """A snapshot of the counters of a :class:`PeerService`."""

    #: By name of the message class. TLS and TCP overhead is not counted.
    messages: Mapping[str, MessageCount]
    #: Number of refused or closed connections, by reason.
    dropped_peers: Mapping[str, int]
    #: Number of dropped messages, by reason.
    dropped_messages: Mapping[str, int]
    #: Number of authenticated connections.
    opened_links: int

    @property
    def sent_bytes(self) -> int:
        """Bytes sent in all messages."""
        return sum(count.sent_bytes for count in self.messages.values())

    @property
    def received_bytes(self) -> int:
        """Bytes received in all messages."""
        return sum(count.received_bytes for count in self.messages.values())

    @property
    def sent_messages(self) -> int:
        """Messages sent."""
        return sum(count.sent_messages for count in self.messages.values())

    @property
    def received_messages(self) -> int:
        """Messages received."""
        return sum(count.received_messages for count in self.messages.values())


class PeerMeter:
    """Counts messages, dropped messages and dropped peers."""

    def __init__(self) -> None:
        self._sent_messages: Counter[str] = Counter()
        self._sent_bytes: Counter[str] = Counter()
        self._received_messages: Counter[str] = Counter()
        self._received_bytes: Counter[str] = Counter()
        self._dropped_peers: Counter[str] = Counter()
        self._dropped_messages: Counter[str] = Counter()
        self._opened_links = 0

    def count_sent(self, kind: str, frame_bytes: int) -> None:
        """Counts a message that was written to the stream."""
        self._sent_messages[kind] += 1
        self._sent_bytes[kind] += frame_bytes

    def count_received(self, kind: str, frame_bytes: int) -> None:
        """Counts a message that was decoded."""
        self._received_messages[kind] += 1
        self._received_bytes[kind] += frame_bytes

    def count_dropped_peer(self, reason: str) -> None:
        """Counts a connection that was refused or closed."""
        self._dropped_peers[reason] += 1

    def count_dropped_message(self, reason: str) -> None:
        """Counts a message that was not sent or not handled."""
        self._dropped_messages[reason] += 1

    def count_opened_link(self) -> None:
        """Counts an authenticated connection."""
        self._opened_links += 1

    def read_counters(self) -> PeerCounters:
        """Returns a snapshot of all counters."""
        kinds = sorted({*self._sent_messages, *self._received_messages})
        return PeerCounters(
            messages=MappingProxyType(
                {
                    kind: MessageCount(
                        self._sent_messages[kind],
                        self._sent_bytes[kind],
                        self._received_messages[kind],
                        self._received_bytes[kind],
                    )
                    for kind in kinds
                }
            ),
            dropped_peers=MappingProxyType(dict(self._dropped_peers)),
            dropped_messages=MappingProxyType(dict(self._dropped_messages)),
            opened_links=self._opened_links,
        )
