"""Exchanges heartbeats and usage reports between instances, as datagrams."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from dataclasses import replace
from typing import Protocol

import anyio
import structlog
from anyio.abc import UDPSocket

from egrethall.configuration import split_address
from egrethall.fleet._members import (
    MEMBERS_PER_HEARTBEAT,
    FleetMembers,
)
from egrethall.fleet._messages import (
    CollectorAnswer,
    Heartbeat,
    MalformedMessageError,
    QuarantineReleases,
    UsageReports,
    decode_message,
    encode_message,
)
from egrethall.types import EgrethallError

#: Time between two rounds. Usage that is not reported to the others yet is bounded by
#: the demand of one round, which must fit into the excess that an allowance tolerates.
ROUND_SECONDS = 0.5

#: Interval at which a replacement process contacts seeds that did not answer yet, and
#: reports its usage, so that it learns within one round what the fleet has admitted.
JOINING_INTERVAL_SECONDS = 0.1

#: Time after which an announcement is repeated.
ANNOUNCE_AGAIN_SECONDS = 0.15

logger = structlog.get_logger(__name__)


class FleetSocketError(EgrethallError):
    """The address for heartbeats cannot be bound."""


class FleetParticipant(Protocol):
    """Composes the messages that an instance sends and handles those it receives."""

    @property
    def joining(self) -> bool:
        """Whether the process replaces another one and learns of the others."""
        ...

    def begin_round(self) -> None:
        """Prepares for a round; called before each one."""
        ...

    def begin_joining_step(self) -> None:
        """Prepares for a step between two rounds while the process is joining."""
        ...

    def compose_heartbeat(self, max_named: int) -> Heartbeat:
        """Returns the next heartbeat, naming up to ``max_named`` other instances."""
        ...

    def compose_reports(self) -> Mapping[str, UsageReports]:
        """Returns the reports to send in this round, by the collector's address."""
        ...

    def compose_releases(self) -> QuarantineReleases | None:
        """Returns the ends of quarantines to send in this round, if there are any."""
        ...

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handles the heartbeat of another instance."""
        ...

    def receive_releases(self, releases: QuarantineReleases) -> None:
        """Handles the ends of quarantines that another instance knows of."""
        ...

    def find_forwards(self, reports: UsageReports) -> Mapping[str, UsageReports]:
        """Returns the reports that have another collector, by its address."""
        ...

    def receive_reports(self, reports: UsageReports) -> CollectorAnswer:
        """Handles reports as their collector; returns the answer to them."""
        ...

    def receive_answer(self, answer: CollectorAnswer) -> None:
        """Handles the answer of a collector."""
        ...


class FleetExchange:
    """Sends heartbeats and reports in rounds and dispatches received messages.

    Lost datagrams are not sent again, since each message carries totals, not changes.
    """

    def __init__(
        self, address: str, members: FleetMembers, participant: FleetParticipant
    ) -> None:
        self._address = address
        self._members = members
        self._participant = participant
        self._malformed_count = 0
        self._announcement_due = anyio.Event()
        #: Whether the next announcement goes to other zones as well.
        self._relays_due = False

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
                tasks.start_soon(self._join, sender)
                while True:
                    self._send_round(sender)
                    await anyio.sleep(ROUND_SECONDS)

    def announce(self, *, to_other_zones: bool = False) -> None:
        """Schedules heartbeats to the own availability zone before the next round.

        Announces new records, or that this instance no longer reads the store.

        :param to_other_zones: whether a few instances of each other zone, which
            announce the records there, get one as well.
        """
        self._relays_due = self._relays_due or to_other_zones
        self._announcement_due.set()

    def _send_round(self, sender: socket.socket) -> None:
        """Sends a heartbeat to the recipients of this round, and the reports."""
        self._members.remove_expired()
        self._participant.begin_round()
        heartbeat = self._participant.compose_heartbeat(MEMBERS_PER_HEARTBEAT)
        naming = encode_message(heartbeat)
        plain = encode_message(replace(heartbeat, members=()))
        recipients = dict.fromkeys(self._members.choose_recipients())
        if heartbeat.polls_store:
            # The zone detects within a few rounds that its reader stopped.
            recipients |= dict.fromkeys(
                self._members.find_zone_addresses(heartbeat.availability_zone)
            )
        uninformed = self._members.find_uninformed(recipients)
        for address in recipients:
            _send(sender, naming if address in uninformed else plain, address)
        releases = self._participant.compose_releases()
        if releases is not None:
            datagram = encode_message(releases)
            for address in recipients:
                _send(sender, datagram, address)
        self._send_reports(sender)

    def _send_reports(self, sender: socket.socket) -> None:
        for address, reports in self._participant.compose_reports().items():
            _send(sender, encode_message(reports), address)

    async def _join(self, sender: socket.socket) -> None:
        if not self._participant.joining:
            return
        while self._participant.joining:
            await anyio.sleep(JOINING_INTERVAL_SECONDS)
            self._participant.begin_joining_step()
            seeds = self._members.find_unconfirmed_seeds()
            if seeds:
                heartbeat = self._participant.compose_heartbeat(MEMBERS_PER_HEARTBEAT)
                datagram = encode_message(heartbeat)
                for address in seeds:
                    _send(sender, datagram, address)
            self._send_reports(sender)
        logger.info("joined the fleet", known=self._members.fleet_size - 1)

    async def _announce(self, sender: socket.socket) -> None:
        while True:
            await self._announcement_due.wait()
            self._announcement_due = anyio.Event()
            relays_due, self._relays_due = self._relays_due, False
            # Sent twice, because a datagram may be lost.
            for _ in range(2):
                heartbeat = self._participant.compose_heartbeat(MEMBERS_PER_HEARTBEAT)
                datagram = encode_message(heartbeat)
                zone = heartbeat.availability_zone
                for address in self._members.find_zone_addresses(zone):
                    _send(sender, datagram, address)
                if relays_due:
                    request = encode_message(replace(heartbeat, relay_requested=True))
                    for address in self._members.choose_relays(zone):
                        _send(sender, request, address)
                await anyio.sleep(ANNOUNCE_AGAIN_SECONDS)

    async def _listen(self, udp: UDPSocket, sender: socket.socket) -> None:
        while True:
            try:
                datagram, _ = await udp.receive()
            except anyio.BrokenResourceError as error:
                logger.error("heartbeat socket failed", error=str(error))
                raise
            self._receive_datagram(datagram, sender)

    def _receive_datagram(self, datagram: bytes, sender: socket.socket) -> None:
        try:
            message = decode_message(datagram)
        except MalformedMessageError as error:
            self._malformed_count += 1
            if self._malformed_count == 1:
                logger.warning("malformed message dropped", error=str(error))
            return
        if isinstance(message, UsageReports):
            self._receive_reports(message, sender)
        elif isinstance(message, CollectorAnswer):
            self._participant.receive_answer(message)
        elif isinstance(message, QuarantineReleases):
            self._participant.receive_releases(message)
        else:
            self._receive_heartbeat(message, sender)

    def _receive_reports(self, reports: UsageReports, sender: socket.socket) -> None:
        usage = dict(reports.usage)
        forwards = self._participant.find_forwards(reports)
        for address, forwarded in forwards.items():
            if address != reports.address:
                _send(sender, encode_message(forwarded), address)
            for organisation in forwarded.usage:
                del usage[organisation]
        if not usage and reports.address not in forwards:
            return
        # An answer without levels to an organisation's collector confirms that the
        # report has arrived.
        answer = self._participant.receive_reports(replace(reports, usage=usage))
        _send(sender, encode_message(answer), reports.address)

    def _receive_heartbeat(self, heartbeat: Heartbeat, sender: socket.socket) -> None:
        if self._members.observe(heartbeat):
            logger.info(
                "instance joined", name=heartbeat.name, address=heartbeat.address
            )
            # Tells the new instance about this one and, if it knows few others, about
            # them, now instead of in the next cycle.
            answer = self._participant.compose_heartbeat(
                self._members.count_introductions(heartbeat)
            )
            _send(sender, encode_message(answer), heartbeat.address)
            self._members.record_sent(heartbeat.name)
        self._participant.receive_heartbeat(heartbeat)


def _send(sender: socket.socket, datagram: bytes, address: str) -> None:
    # The kernel accepts or rejects a datagram at once, and the next datagram replaces a
    # lost one. Sending without a task saves two event loop iterations per datagram.
    try:
        sender.sendto(datagram, split_address(address))
    except OSError as error:
        logger.debug("heartbeat not sent", address=address, error=str(error))
