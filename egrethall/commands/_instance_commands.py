"""Commands that read from a running instance."""

import json
from collections.abc import Iterable, Sequence
from typing import Annotated, Any
from urllib.parse import quote

import httpx
import typer

from egrethall.commands._output import (
    FAILED,
    print_error,
    print_json,
    print_pairs,
    print_table,
)
from egrethall.configuration import split_address
from egrethall.types import EgrethallError

#: Time for one answer; an instance answers operators from memory.
TIMEOUT_SECONDS = 5.0

#: More than an instance with the largest configuration shows.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class AnswerError(EgrethallError):
    """An instance gave no usable answer."""


def check_address(address: str) -> str:
    """Returns ``address`` if it is an IP number and a port."""
    try:
        split_address(address)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    return address


Address = Annotated[
    str,
    typer.Option(
        callback=check_address,
        help="Operator address of the instance: IP number and port.",
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print the instance's JSON instead of tables.")
]


def status(address: Address, as_json: AsJson = False) -> None:
    """Shows readiness, configuration, peers, queues and upstreams of an instance."""
    state = _fetch(address, "/state")
    if as_json:
        print_json(state)
        return
    readiness = _object(state.get("readiness"))
    print_pairs(
        "Instance",
        [
            ("ready", readiness.get("ready")),
            ("reasons", readiness.get("reasons")),
            *_select_pairs(
                state,
                "name",
                "availability_zone",
                "stopping",
                "revision",
                "confirmed_age_seconds",
                "uptime_seconds",
                "in_flight",
                "has_majority",
                "held_shards",
            ),
        ],
    )
    _print_records(
        "Peers",
        state.get("peers"),
        (
            "name",
            "availability_zone",
            "connected",
            "leaving",
            "revision",
            "heard_age_seconds",
        ),
    )
    _print_records("Queues", state.get("queues"), ("service", "waiting", "max_queue"))
    _print_records(
        "Upstreams",
        state.get("upstreams"),
        (
            "service",
            "name",
            "availability_zone",
            "state",
            "in_flight",
            "reported_in_flight",
            "latency_ms",
            "ejected",
            "out_of_service",
        ),
    )


def audit(
    address: Address,
    limit: Annotated[
        int, typer.Option(min=1, max=1000, help="Number of events, newest first.")
    ] = 50,
    kind: Annotated[
        str | None,
        typer.Option(help="Only events of this kind, for example configuration."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Shows the newest events of an instance's audit trail."""
    query = f"?limit={limit}"
    if kind is not None:
        query += f"&kind={quote(kind, safe='')}"
    answer = _fetch(address, f"/audit{query}")
    if as_json:
        print_json(answer)
        return
    events = [_object(item) for item in _list(answer.get("events"))]
    records = [{"at": item.get("at"), **_object(item.get("event"))} for item in events]
    _print_records(
        "Audit trail",
        records,
        ("at", "kind", "actor", "subject", "before", "after", "revision"),
    )
    if not records:
        typer.echo("no events")


def explain(
    organisation: Annotated[str, typer.Argument(help="Name of the organisation.")],
    address: Address,
    as_json: AsJson = False,
) -> None:
    """Shows why an organisation's requests are admitted or refused."""
    answer = _fetch(address, f"/explain/{quote(organisation, safe='')}")
    if as_json:
        print_json(answer)
        return
    print_pairs(
        "Organisation",
        _select_pairs(
            answer,
            "organisation",
            "plan",
            "rate_per_second",
            "burst",
            "services",
            "key_ids",
            "admitted",
            "wallet_tokens",
            "remarks",
        ),
    )
    refused = _object(answer.get("refused"))
    print_table("Refused", ("reason", "requests"), sorted(refused.items()))
    _print_records(
        "Buckets",
        answer.get("buckets"),
        ("resource", "shard", "holder", "level", "lent"),
    )


def _fetch(address: str, path: str) -> dict[str, Any]:
    """Returns the JSON object at ``path``; ends the command if there is none."""
    try:
        return fetch_object(address, path)
    except AnswerError as error:
        print_error(str(error))
        raise typer.Exit(FAILED) from None


def fetch_object(address: str, path: str) -> dict[str, Any]:
    """Returns the JSON object that an instance has at ``path``.

    Raises :class:`AnswerError` if there is none.
    """
    try:
        status_code, body = _read_answer(f"http://{address}{path}")
        answer = json.loads(body)
    except httpx.HTTPError as error:
        detail = str(error) or type(error).__name__
        raise AnswerError(f"no answer from {address}: {detail}") from error
    except (ValueError, RecursionError) as error:
        raise AnswerError(
            f"{address} is no operator address of egrethall: {error}"
        ) from error
    if not isinstance(answer, dict):
        raise AnswerError(f"{address} is no operator address of egrethall: no object")
    if status_code != httpx.codes.OK:
        detail = answer.get("detail", "no detail")
        raise AnswerError(f"{address} answered {status_code}: {detail}")
    return answer


def _read_answer(url: str) -> tuple[int, bytes]:
    """Returns the status and the body of an answer of bounded length."""
    # No proxy and no netrc of the operator's shell: the address is an IP number.
    with (
        httpx.Client(trust_env=False, timeout=TIMEOUT_SECONDS) as client,
        client.stream("GET", url) as response,
    ):
        body = bytearray()
        for part in response.iter_bytes():
            body += part
            if len(body) > MAX_ANSWER_BYTES:
                raise ValueError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
        return response.status_code, bytes(body)


def _print_records(title: str, records: object, columns: Sequence[str]) -> None:
    rows = [
        [_object(record).get(column) for column in columns] for record in _list(records)
    ]
    print_table(title, columns, rows)


def _select_pairs(record: dict[str, Any], *names: str) -> Iterable[tuple[str, object]]:
    return [(name, record.get(name)) for name in names]


def _object(value: object) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _list(value: object) -> list[Any]:
    return value if isinstance(value, list) else []
