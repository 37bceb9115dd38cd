"""What the commands print."""

import json
from collections.abc import Iterable, Iterator, Sequence

import typer
from rich.console import Console
from rich.table import Table
from rich.text import Text

from egrethall.configuration import FaultGroup
from egrethall.operators import redact_keys

#: Exit status of a command that was used correctly and failed.
FAILED = 1
#: Exit status of bad usage; also of settings that cannot be used.
BAD_USAGE = 2

#: Width where the output is no terminal: tables must not be cut for other programs.
FILE_WIDTH_CHARACTERS = 240


def print_error(text: str) -> None:
    """Prints one line to standard error."""
    typer.echo(redact_keys(f"egrethall: {text}"), err=True)


def iterate_leaves(error: BaseException | None) -> Iterator[BaseException]:
    """Yields the errors in a group of errors and in the groups within it."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from iterate_leaves(inner)
    elif error is not None:
        yield error


def print_faults(group: FaultGroup, to_error: bool = True) -> None:
    """Prints each fault on a line of its own, and their number.

    A key that was pasted into a file by mistake is not repeated.
    """
    for fault in group.faults:
        typer.echo(redact_keys(str(fault)), err=to_error)
    left_out = group.fault_count - len(group.faults)
    if left_out > 0:
        typer.echo(f"... and {left_out} more", err=to_error)
    count = "1 fault" if group.fault_count == 1 else f"{group.fault_count} faults"
    typer.echo(f"{group.message}: {count}", err=to_error)


def print_json(value: object) -> None:
    """Prints a JSON value."""
    typer.echo(json.dumps(value, indent=1))


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Prints rows under column names; nothing if there are no rows."""
    table = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(Text(format_cell(cell)) for cell in row))
    if table.row_count:
        _create_console().print(table)


def print_pairs(title: str, pairs: Iterable[tuple[str, object]]) -> None:
    """Prints names and values as a table of two columns."""
    print_table(title, ("name", "value"), pairs)


def format_cell(value: object) -> str:
    """Returns a JSON value as a person reads it, without control characters."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.6g}"
        case list():
            return ", ".join(format_cell(item) for item in value) or "-"
        case dict():
            pairs = (f"{key}={format_cell(item)}" for key, item in value.items())
            return ", ".join(pairs) or "-"
    text = str(value)
    return "".join(character if character.isprintable() else "?" for character in text)


def _create_console() -> Console:
    console = Console(highlight=False, markup=False)
    if not console.is_terminal:
        console.width = FILE_WIDTH_CHARACTERS
    return console
