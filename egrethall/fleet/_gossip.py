"""Heartbeats between instances, as datagrams."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
import structlog
from anyio.abc import UDPSocket

from egrethall.configuration import split_address
from egrethall.fleet._members import (
    NAMED_IN_ROUND,
    NAMED_TO_NEWCOMER,
    FleetMembers,
)
from egrethall.fleet._messages import (
    Heartbeat,
    MalformedHeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from egrethall.types import EgrethallError

#: Time between two rounds. Usage that others have not heard of yet is bounded by the
#: demand of one round, which must fit into the excess that an allowance bears.
ROUND_SECONDS = 0.5

#: Time after which changed records are announced once more.
ANNOUNCE_AGAIN_SECONDS = 0.15

logger = structlog.get_logger(__name__)


class FleetSocketError(EgrethallError):
    """The address for heartbeats cannot be used."""


class FleetExchange:
    """Sends heartbeats in rounds and passes on those that arrive.

    A lost datagram needs no repetition: each heartbeat carries totals, not changes.

    :param compose: returns the heartbeat to send now, with as many other instances
        named as its argument says.
    :param begin_round: is called before each round.
    :param receive: is called with each heartbeat of another instance.
    """

    def __init__(
        self,
        address: str,
        members: FleetMembers,
        compose: Callable[[int], Heartbeat],
        begin_round: Callable[[], None],
        receive: Callable[[Heartbeat], None],
    ) -> None:
        self._address = address
        self._members = members
        self._compose = compose
        self._begin_round = begin_round
        self._receive = receive
        self._malformed = 0
        self._news = anyio.Event()

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled; raises :class:`FleetSocketError`."""
        host, port = split_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)
            try:
                sender.bind((host, 0))
                udp = await anyio.create_udp_socket(local_host=host, local_port=port)
            except OSError as error:
                raise FleetSocketError(f"{self._address}: {error}") from error
            async with udp, anyio.create_task_group() as tasks:
                tasks.start_soon(self._listen, udp, sender)
                tasks.start_soon(self._announce, sender)
                while True:
                    self._send_round(sender)
                    await anyio.sleep(ROUND_SECONDS)

    def announce(self) -> None:
        """Has the instances of the own zone told at once that records changed."""
        self._news.set()

    def _send_round(self, sender: socket.socket) -> None:
        """Sends one heartbeat to each instance whose turn it is."""
        self._members.forget_expired()
        self._begin_round()
        heartbeat = self._compose(NAMED_IN_ROUND)
        datagram = encode_heartbeat(heartbeat)
        for address in self._members.choose_recipients(urgent=heartbeat.urgent):
            _send(sender, datagram, address)

    async def _announce(self, sender: socket.socket) -> None:
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            # The second time makes up for lost datagrams.
            for _ in range(2):
                heartbeat = self._compose(NAMED_IN_ROUND)
                datagram = encode_heartbeat(heartbeat)
                zone = heartbeat.availability_zone
                for address in self._members.find_addresses(zone):
                    _send(sender, datagram, address)
                await anyio.sleep(ANNOUNCE_AGAIN_SECONDS)

    async def _listen(self, udp: UDPSocket, sender: socket.socket) -> None:
        while True:
            try:
                datagram, _ = await udp.receive()
            except anyio.BrokenResourceError as error:
                logger.error("heartbeat socket failed", error=str(error))
                raise
            try:
                heartbeat = decode_heartbeat(datagram)
            except MalformedHeartbeatError as error:
                self._malformed += 1
                if self._malformed == 1:
                    logger.warning("malformed heartbeat dropped", error=str(error))
                continue
            if self._members.observe(heartbeat):
                logger.info(
                    "instance joined", name=heartbeat.name, address=heartbeat.address
                )
                # A new instance learns of the others without waiting for a round.
                answer = encode_heartbeat(self._compose(NAMED_TO_NEWCOMER))
                _send(sender, answer, heartbeat.address)
            self._receive(heartbeat)


def _send(sender: socket.socket, datagram: bytes, address: str) -> None:
    # The kernel takes a datagram at once or not at all, and a lost one is replaced by
    # the next. Sending without a task saves two rounds of the loop each.
    try:
        sender.sendto(datagram, split_address(address))
    except OSError as error:
        logger.debug("heartbeat not sent", address=address, error=str(error))
