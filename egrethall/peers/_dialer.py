"""Keeps a connection open to one listed peer."""

from collections.abc import Awaitable, Callable

import anyio

from egrethall.peers._connect import PeerConnection, PeerConnector, parse_peer_address
from egrethall.peers._drops import DropLog
from egrethall.peers._errors import PeerHandshakeError, PeerSettingsError
from egrethall.peers._link import SILENCE_SECONDS
from egrethall.types import Clock, RandomSource

#: Bounds of the pause between attempts. The upper bound also limits how long it takes
#: to reconnect after a network partition has ended.
MINIMUM_BACK_OFF_SECONDS = 0.1
MAXIMUM_BACK_OFF_SECONDS = 2.0


class PeerDialer:
    """Reconnects to one peer with random exponential back-off while it is listed."""

    def __init__(
        self,
        peer_name: str,
        connector: PeerConnector,
        serve_connection: Callable[[PeerConnection], Awaitable[None]],
        clock: Clock,
        random_source: RandomSource,
        drops: DropLog,
    ) -> None:
        """Prepares to dial; :meth:`run` opens the connections.

        :param peer_name: Name of the peer.
        :param connector: Opens connections.
        :param serve_connection: Serves a connection until it ends.
        :param clock: Measures how long a connection lasted.
        :param random_source: Randomises the pauses, so that instances do not retry
            together.
        :param drops: Records failed attempts.
        """
        self._peer_name = peer_name
        self._connector = connector
        self._serve_connection = serve_connection
        self._clock = clock
        self._random_source = random_source
        self._drops = drops
        self._address: str | None = None
        self._address_changed = anyio.Event()
        self._failures = 0

    def set_address(self, address: str | None) -> bool:
        """Sets the address of the peer, or None if it is no longer listed.

        :returns: True if the peer has moved from one address to another.
        """
        has_moved = None not in (address, self._address) and address != self._address
        if address != self._address:
            self._address = address
            self._address_changed.set()
        return has_moved

    async def run(self) -> None:
        """Dials until the peer is neither connected nor listed."""
        while self._address is not None:
            self._address_changed = anyio.Event()
            await self._dial_once(self._address)
            # A peer that left the list while it was connected is not dialed again.
            if self._address is None:
                return
            with anyio.move_on_after(self._choose_back_off_seconds()):
                await self._address_changed.wait()

    async def _dial_once(self, address: str) -> None:
        started_seconds = self._clock.monotonic_seconds()
        try:
            connection = await self._connector.open_connection(
                self._peer_name, parse_peer_address(address)
            )
        except PeerHandshakeError as error:
            self._failures += 1
            self._drops.record_dropped_peer(error.reason, self._peer_name, str(error))
            return
        except PeerSettingsError as error:
            self._failures += 1
            self._drops.record_dropped_peer("bad-address", self._peer_name, str(error))
            return
        # An unexpected error on one connection must not close the others.
        except Exception as error:
            self._failures += 1
            self._drops.record_dropped_peer(
                "internal-error", self._peer_name, repr(error)
            )
            return
        try:
            await self._serve_connection(connection)
        except Exception as error:
            self._drops.record_dropped_peer(
                "internal-error", self._peer_name, repr(error)
            )
        lasted_seconds = self._clock.monotonic_seconds() - started_seconds
        self._failures = 0 if lasted_seconds > SILENCE_SECONDS else self._failures + 1

    def _choose_back_off_seconds(self) -> float:
        # The exponent is capped only so that the power stays small.
        longest = MINIMUM_BACK_OFF_SECONDS * 2.0 ** min(self._failures, 10)
        return self._random_source.uniform(
            MINIMUM_BACK_OFF_SECONDS, min(longest, MAXIMUM_BACK_OFF_SECONDS)
        )
