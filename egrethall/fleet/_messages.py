"""The datagrams that instances send each other."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgpack

from egrethall.types import EgrethallError

#: Version of the format; instances ignore datagrams of another one.
FORMAT_VERSION = 3


class MalformedHeartbeatError(EgrethallError):
    """A datagram that is no heartbeat of this format."""


@dataclass(frozen=True)
class OrganisationUsage:
    """What one instance has done for one organisation."""

    #: Requests admitted in this period.
    admitted: int
    #: Requests per second that arrive, refused ones included.
    demand_per_second: float
    #: Tokens left over the whole fleet, as far as the instance knows.
    level: float = 0.0
    #: Number of times that the organisation was idle for so long that the count of
    #: admitted requests began anew.
    period: int = 0
    #: True if the organisation may soon exceed its allowance, so that each instance
    #: has to hear of this within a few rounds.
    pressed: bool = False


@dataclass(frozen=True)
class UsageReport:
    """What an instance has reported for one organisation, itself or through another."""

    name: str
    run: int
    #: Number of the heartbeat in which it was reported.
    sequence: int
    organisation: str
    usage: OrganisationUsage


@dataclass(frozen=True)
class Heartbeat:
    """What one instance tells the others about itself."""

    name: str
    #: Number of this run of the process; a later run has a higher one.
    run: int
    address: str
    availability_zone: str
    #: True if the process is about to end.
    leaving: bool
    #: Revision of the store up to which the sender's records are complete.
    revision: int
    #: True if the sender reads the store itself and is answered.
    reading: bool = False
    #: Seconds since the store came back, as far as the sender has seen.
    since_outage_seconds: float = math.inf
    usage: Mapping[str, OrganisationUsage] = field(default_factory=dict)
    #: Fingerprints of requests that crashed an upstream, with the upstream's name.
    crashes: tuple[tuple[bytes, str], ...] = ()
    #: Names and addresses of some other instances.
    members: tuple[tuple[str, str], ...] = ()
    #: Number of this heartbeat in the run.
    sequence: int = 0
    #: What others have reported of pressed organisations.
    relayed: tuple[UsageReport, ...] = ()

    @property
    def urgent(self) -> bool:
        """Whether it tells of an organisation that may soon exceed its allowance."""
        return bool(self.relayed) or any(u.pressed for u in self.usage.values())


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns the datagram of ``heartbeat``."""
    return bytes(
        msgpack.packb(
            [
                FORMAT_VERSION,
                heartbeat.name,
                heartbeat.run,
                heartbeat.address,
                heartbeat.availability_zone,
                heartbeat.leaving,
                heartbeat.revision,
                heartbeat.reading,
                heartbeat.since_outage_seconds,
                {name: _encode_usage(usage) for name, usage in heartbeat.usage.items()},
                heartbeat.crashes,
                heartbeat.members,
                heartbeat.sequence,
                [
                    (
                        report.name,
                        report.run,
                        report.sequence,
                        report.organisation,
                        _encode_usage(report.usage),
                    )
                    for report in heartbeat.relayed
                ],
            ]
        )
    )


def decode_heartbeat(datagram: bytes) -> Heartbeat:
    """Returns the heartbeat in a datagram; raises :class:`MalformedHeartbeatError`."""
    try:
        version, *fields = msgpack.unpackb(datagram)
        if version != FORMAT_VERSION:
            raise MalformedHeartbeatError(f"a heartbeat has format {version!r}")
        name, run, address, zone, leaving, revision, *rest = fields
        reading, since_outage_seconds, usage, crashes, *rest = rest
        members, sequence, relayed = rest
        return Heartbeat(
            name=str(name),
            run=int(run),
            address=str(address),
            availability_zone=str(zone),
            leaving=bool(leaving),
            revision=int(revision),
            reading=bool(reading),
            since_outage_seconds=float(since_outage_seconds),
            usage={
                str(organisation): _decode_usage(fields)
                for organisation, fields in usage.items()
            },
            crashes=tuple(
                (bytes(fingerprint), str(upstream)) for fingerprint, upstream in crashes
            ),
            members=tuple((str(peer), str(where)) for peer, where in members),
            sequence=int(sequence),
            relayed=tuple(
                UsageReport(
                    str(name),
                    int(run),
                    int(number),
                    str(organisation),
                    _decode_usage(fields),
                )
                for name, run, number, organisation, fields in relayed
            ),
        )
    except MalformedHeartbeatError:
        raise
    except Exception as error:
        # msgpack raises a dozen types, depending on what is wrong with the bytes.
        raise MalformedHeartbeatError(f"no heartbeat: {error}") from error


def _encode_usage(usage: OrganisationUsage) -> tuple[int, int, int, int, bool]:
    return (
        usage.admitted,
        round(usage.demand_per_second * 10),
        round(usage.level),
        usage.period,
        usage.pressed,
    )


def _decode_usage(fields: Sequence[Any]) -> OrganisationUsage:
    admitted, tenths, level, period, pressed = fields
    return OrganisationUsage(
        int(admitted), int(tenths) / 10, float(level), int(period), bool(pressed)
    )
