"""The datagrams that instances exchange: heartbeats, usage reports and answers."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgpack

from egrethall.configuration import ADDRESS_RULE, is_address
from egrethall.types import EgrethallError

#: Version of the datagram format; datagrams of another version are dropped.
FORMAT_VERSION = 7


#: Message kinds, as encoded in a datagram.
_HEARTBEAT = 0
_USAGE_REPORTS = 1
_COLLECTOR_ANSWER = 2
_QUARANTINE_RELEASES = 3


class MalformedMessageError(EgrethallError):
    """A datagram that is not a valid message of this format."""


@dataclass(frozen=True)
class OrganisationUsage:
    """One instance's use of one organisation's allowance."""

    #: Requests admitted in this period.
    admitted: int
    #: Requests per second that arrive, refused ones included.
    demand_per_second: float
    #: Tokens left in the fleet-wide allowance, as far as the instance knows.
    level: float = 0.0
    #: Number of times that the count of admitted requests was reset because the
    #: organisation had been idle for long.
    period: int = 0
    #: How many of the admitted requests a collector has counted.
    counted: int = 0


@dataclass(frozen=True)
class UsageReports:
    """One instance's reports to the collector of some organisations."""

    name: str
    run: int
    #: Address to which the collector answers.
    address: str
    #: Number of this message among the heartbeats and reports of the run.
    sequence: int
    usage: Mapping[str, OrganisationUsage]
    #: Name of the instance to which the sender addressed it. That one forwards it if it
    #: knows the organisation's collector and the sender does not.
    recipient: str = ""
    #: Names of the collectors that the sender excludes, since they do not answer.
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True)
class FleetLevel:
    """State of one organisation's fleet-wide allowance, as its collector knows it."""

    #: Tokens left.
    level: float
    #: Requests per second that arrive at all instances, refused ones included.
    demand_per_second: float
    #: The recipient's last report of its admitted requests, already deducted from the
    #: level.
    admitted: int
    #: The period of that report.
    period: int


@dataclass(frozen=True)
class CollectorAnswer:
    """A collector's answer to reports."""

    #: Name of the collector.
    name: str
    levels: Mapping[str, FleetLevel]
    #: Address of the collector, which the recipient may not know yet.
    address: str = ""
    #: Name of the instance to which the reports were addressed.
    recipient: str = ""
    #: True if the collector is about to exit, so that another one is needed.
    leaving: bool = False


@dataclass(frozen=True)
class Heartbeat:
    """One instance's state and usage, sent to the others."""

    name: str
    #: Number of this run of the process; a later run has a higher one.
    run: int
    address: str
    availability_zone: str
    #: True if the process is about to exit.
    leaving: bool
    #: Revision of the store up to which the sender's records are complete.
    revision: int
    #: True if the sender reads the store itself and the store answers.
    reads_store: bool = False
    #: True if the sender calls the store, even if the store does not answer.
    polls_store: bool = False
    #: Seconds since the store recovered from the last outage that the sender knows of;
    #: 0 during one, infinite without one.
    since_outage_seconds: float = math.inf
    usage: Mapping[str, OrganisationUsage] = field(default_factory=dict)
    #: Fingerprints of requests that crashed an upstream, with the upstream's run.
    crashes: tuple[tuple[bytes, str], ...] = ()
    #: Names and addresses of some other instances.
    members: tuple[tuple[str, str], ...] = ()
    #: Number of this heartbeat in the run.
    sequence: int = 0
    #: Number of the other instances that the sender knows.
    known_count: int = 0
    #: True if the recipient is to read newer records at once and to announce them to
    #: its availability zone.
    relay_requested: bool = False
    #: False while a replacement process only learns of the others and of their usage.
    settled: bool = True
    #: False while the sender reaches no upstream.
    reaches_upstreams: bool = True


@dataclass(frozen=True)
class QuarantineReleases:
    """Requests that crash no upstreams after all.

    A message of its own, because earlier releases drop heartbeats with more fields.
    """

    fingerprints: tuple[bytes, ...]


Message = Heartbeat | UsageReports | CollectorAnswer | QuarantineReleases


def encode_message(message: Message) -> bytes:
    """Returns the datagram of ``message``."""
    if isinstance(message, Heartbeat):
        fields = _encode_heartbeat(message)
    elif isinstance(message, UsageReports):
        fields = _encode_reports(message)
    elif isinstance(message, QuarantineReleases):
        fields = (_QUARANTINE_RELEASES, message.fingerprints)
    else:
        fields = _encode_answer(message)
    return bytes(msgpack.packb([FORMAT_VERSION, *fields]))


def decode_message(datagram: bytes) -> Message:
    """Returns the message in a datagram; raises :class:`MalformedMessageError`."""
    try:
        version, kind, *fields = msgpack.unpackb(datagram)
        if version != FORMAT_VERSION:
            raise MalformedMessageError(f"unsupported message format {version!r}")
        return _DECODERS[kind](fields)
    except MalformedMessageError:
        raise
    except Exception as error:
        # msgpack raises a dozen exception types, depending on the fault.
        raise MalformedMessageError(f"malformed message: {error!r}") from error


def _encode_heartbeat(heartbeat: Heartbeat) -> tuple[Any, ...]:
    return (
        _HEARTBEAT,
        heartbeat.name,
        heartbeat.run,
        heartbeat.address,
        heartbeat.availability_zone,
        heartbeat.leaving,
        heartbeat.revision,
        heartbeat.reads_store,
        None
        if math.isinf(heartbeat.since_outage_seconds)
        else heartbeat.since_outage_seconds,
        _encode_usages(heartbeat.usage),
        heartbeat.crashes,
        heartbeat.members,
        heartbeat.sequence,
        heartbeat.known_count,
        heartbeat.polls_store,
        heartbeat.relay_requested,
        heartbeat.settled,
        heartbeat.reaches_upstreams,
    )


def _decode_heartbeat(fields: Sequence[Any]) -> Heartbeat:
    name, run, address, zone, leaving, revision, *rest = fields
    reads_store, since_outage_seconds, usage, crashes, members, *rest = rest
    sequence, known_count, polls_store, relay_requested, *rest = rest
    # Later releases append fields.
    settled, reaches_upstreams, *_ = rest
    return Heartbeat(
        name=str(name),
        run=int(run),
        address=_check_address(address),
        availability_zone=str(zone),
        leaving=bool(leaving),
        revision=int(revision),
        reads_store=bool(reads_store),
        polls_store=bool(polls_store),
        since_outage_seconds=(
            math.inf if since_outage_seconds is None else float(since_outage_seconds)
        ),
        usage=_decode_usages(usage),
        crashes=tuple(
            (bytes(fingerprint), str(upstream)) for fingerprint, upstream in crashes
        ),
        members=tuple((str(peer), _check_address(where)) for peer, where in members),
        sequence=int(sequence),
        known_count=int(known_count),
        relay_requested=bool(relay_requested),
        settled=bool(settled),
        reaches_upstreams=bool(reaches_upstreams),
    )


def _encode_reports(reports: UsageReports) -> tuple[Any, ...]:
    return (
        _USAGE_REPORTS,
        reports.name,
        reports.run,
        reports.address,
        reports.sequence,
        _encode_usages(reports.usage),
        reports.recipient,
        reports.excluded,
    )


def _decode_reports(fields: Sequence[Any]) -> UsageReports:
    name, run, address, sequence, usage, recipient, excluded, *_ = fields
    return UsageReports(
        str(name),
        int(run),
        _check_address(address),
        int(sequence),
        _decode_usages(usage),
        str(recipient),
        tuple(str(name) for name in excluded),
    )


def _encode_answer(answer: CollectorAnswer) -> tuple[Any, ...]:
    return (
        _COLLECTOR_ANSWER,
        answer.name,
        {
            organisation: (
                round(level.level),
                round(level.demand_per_second * 10),
                level.admitted,
                level.period,
            )
            for organisation, level in answer.levels.items()
        },
        answer.address,
        answer.recipient,
        answer.leaving,
    )


def _decode_answer(fields: Sequence[Any]) -> CollectorAnswer:
    name, levels, address, recipient, leaving, *_ = fields
    return CollectorAnswer(
        str(name),
        {
            str(organisation): FleetLevel(
                float(level), int(tenths) / 10, int(admitted), int(period)
            )
            for organisation, (level, tenths, admitted, period) in levels.items()
        },
        _check_address(address),
        str(recipient),
        bool(leaving),
    )


def _decode_releases(fields: Sequence[Any]) -> QuarantineReleases:
    fingerprints, *_ = fields
    return QuarantineReleases(tuple(bytes(value) for value in fingerprints))


def _check_address(value: object) -> str:
    address = str(value)
    if not is_address(address):
        raise MalformedMessageError(f"{address[:40]!r} is not {ADDRESS_RULE}")
    return address


def _encode_usages(usages: Mapping[str, OrganisationUsage]) -> dict[str, Any]:
    return {
        organisation: (
            usage.admitted,
            round(usage.demand_per_second * 10),
            round(usage.level),
            usage.period,
            usage.counted,
        )
        for organisation, usage in usages.items()
    }


def _decode_usages(usages: Mapping[Any, Sequence[Any]]) -> dict[str, OrganisationUsage]:
    return {
        str(organisation): OrganisationUsage(
            int(admitted), int(tenths) / 10, float(level), int(period), int(counted)
        )
        for organisation, (admitted, tenths, level, period, counted) in usages.items()
    }


_DECODERS: Mapping[int, Callable[[Sequence[Any]], Message]] = {
    _HEARTBEAT: _decode_heartbeat,
    _USAGE_REPORTS: _decode_reports,
    _COLLECTOR_ANSWER: _decode_answer,
    _QUARANTINE_RELEASES: _decode_releases,
}
