"""The command that compares the instances of a fleet."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import typer

from egrethall.commands._instance_commands import (
    AnswerError,
    check_address,
    fetch_object,
)
from egrethall.commands._output import FAILED, print_json, print_table
from egrethall.leases import SHARD_COUNT


def _check_addresses(addresses: list[str]) -> list[str]:
    return [check_address(address) for address in addresses]


@dataclass(frozen=True)
class _InstanceReport:
    """What one address of the fleet answered."""

    address: str
    #: The object of ``/state``; empty if there was no answer.
    state: dict[str, Any]
    #: Why there was no answer; empty if there was one.
    failure: str = ""

    @property
    def ready(self) -> bool:
        """Whether the instance says that it is ready."""
        readiness = self.state.get("readiness")
        return isinstance(readiness, dict) and readiness.get("ready") is True

    @property
    def held_shards(self) -> list[int]:
        """The shards whose lease the instance holds."""
        shards = self.state.get("held_shards")
        if not isinstance(shards, list):
            return []
        return [shard for shard in shards if isinstance(shard, int)]


def fleet(
    addresses: Annotated[
        list[str],
        typer.Option(
            "--address",
            callback=_check_addresses,
            help="Operator address of an instance; once for each instance.",
        ),
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON instead of tables.")
    ] = False,
) -> None:
    """Compares the instances of a fleet; fails if they do not agree.

    The instances are asked one after the other, so during a change two of them may
    show the same shard, or different revisions, for a few seconds.
    """
    reports = [_ask(address) for address in addresses]
    findings = list(_find_disagreements(reports))
    if as_json:
        states = {report.address: report.state for report in reports}
        print_json({"instances": states, "findings": findings})
    else:
        _print_reports(reports, findings)
    if findings:
        raise typer.Exit(FAILED)


def _ask(address: str) -> _InstanceReport:
    try:
        return _InstanceReport(address, fetch_object(address, "/state"))
    except AnswerError as error:
        return _InstanceReport(address, {}, str(error))


def _find_disagreements(reports: list[_InstanceReport]) -> Iterator[str]:
    answered = [report for report in reports if not report.failure]
    for report in reports:
        if report.failure:
            yield report.failure
        elif not report.ready:
            yield f"{report.address} is not ready"
    revisions = sorted({str(report.state.get("revision")) for report in answered})
    if len(revisions) > 1:
        yield f"different revisions are in force: {', '.join(revisions)}"
    holders: dict[int, str] = {}
    for report in answered:
        for shard in report.held_shards:
            holder = holders.setdefault(shard, report.address)
            if holder != report.address:
                yield f"shard {shard} is held by {holder} and {report.address}"
    missing = SHARD_COUNT - len(holders)
    if missing > 0 and len(answered) == len(reports):
        yield f"{missing} of {SHARD_COUNT} shards are held by none of the instances"


def _print_reports(reports: list[_InstanceReport], findings: list[str]) -> None:
    names = ("name", "availability_zone", "revision", "confirmed_age_seconds")
    print_table(
        "Fleet",
        ("address", "ready", *names, "has_majority", "held_shards", "in_flight"),
        [
            [
                report.address,
                report.ready,
                *(report.state.get(name) for name in names),
                report.state.get("has_majority"),
                len(report.held_shards),
                report.state.get("in_flight"),
            ]
            for report in reports
        ],
    )
    for finding in findings:
        typer.echo(f"finding: {finding}")
    if not findings:
        typer.echo("the instances agree")
