"""The command line."""

import enum
import importlib
from pathlib import Path
from typing import Annotated

import typer

from egrethall import __version__
from egrethall.commands._fleet_command import fleet
from egrethall.commands._instance_commands import audit, explain, status
from egrethall.commands._keys import keys
from egrethall.commands._logs import configure_logging
from egrethall.commands._output import (
    BAD_USAGE,
    FAILED,
    iterate_leaves,
    print_error,
    print_faults,
)
from egrethall.commands._revision_commands import check, diff, publish
from egrethall.configuration import InvalidSettingsError, load_settings, read_schema
from egrethall.types import EgrethallError

application = typer.Typer(
    name="egrethall",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


class SchemaName(enum.Enum):
    """The JSON Schemas that are shipped."""

    SETTINGS = "settings"
    CONFIGURATION = "configuration"


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"egrethall {__version__}")
        raise typer.Exit


@application.callback()
def _describe_application(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Show the version.",
        ),
    ] = False,
) -> None:
    """HTTP load balancer for many organisations over shared upstreams.

    Exit status: 0 done, 1 failed, 2 bad usage or faulty settings.
    """


@application.command()
def serve(
    settings: Annotated[
        Path,
        typer.Option(exists=True, dir_okay=False, help="JSON file with the settings."),
    ],
) -> None:
    """Runs an entry instance until SIGTERM or SIGINT."""
    try:
        loaded = load_settings(settings)
    except InvalidSettingsError as error:
        print_faults(error)
        raise typer.Exit(BAD_USAGE) from None
    configure_logging()
    # The daemon loads all of the package; the other commands start without it.
    daemon = importlib.import_module("egrethall.daemon")
    try:
        daemon.run_daemon(loaded)
    except (EgrethallError, OSError) as error:
        print_error(f"{type(error).__name__}: {error}")
        raise typer.Exit(FAILED) from None
    except ExceptionGroup as group:
        expected, unexpected = group.split((EgrethallError, OSError))
        if unexpected is not None:
            raise
        for leaf in iterate_leaves(expected):
            print_error(f"{type(leaf).__name__}: {leaf}")
        raise typer.Exit(FAILED) from None


@application.command()
def entry(
    settings: Annotated[
        Path,
        typer.Option(exists=True, dir_okay=False, help="JSON file with the settings."),
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Only check the settings.")
    ] = False,
) -> None:
    """Runs an entry instance on a platform with a read-only store, until SIGTERM."""
    module = importlib.import_module("egrethall.entry")
    try:
        loaded = module.load_entry_settings(settings)
    except InvalidSettingsError as error:
        print_faults(error)
        raise typer.Exit(BAD_USAGE) from None
    if check:
        typer.echo(f"no faults: instance={loaded.name} seeds={len(loaded.seeds)}")
        return
    module.run_entry(loaded, settings)


@application.command()
def schema(
    name: Annotated[SchemaName, typer.Argument(help="Which schema.")],
) -> None:
    """Prints the JSON Schema of the settings or of a published revision."""
    typer.echo(read_schema(name.value), nl=False)


application.command()(check)
application.command()(diff)
application.command()(publish)
application.command()(status)
application.command()(fleet)
application.command()(audit)
application.command()(explain)
application.add_typer(keys, name="key")


def main() -> None:
    """Runs the command that the process was started with."""
    application()
