"""Commands on the operators' files and on revisions; they need no instance."""

import os
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from egrethall.commands._output import FAILED, print_error, print_faults
from egrethall.configuration import (
    MAX_TEXT_BYTES,
    InvalidRevisionError,
    assemble_directory,
    describe_changes,
    find_warnings,
    parse_revision,
)
from egrethall.types import Configuration

#: Stands for the revision of files that have not been published.
UNPUBLISHED_REVISION = 1

Directory = Annotated[
    Path,
    typer.Argument(
        exists=True,
        file_okay=False,
        help="Directory with organisations.json, plans.json and services.json.",
    ),
]
RevisionOrDirectory = Annotated[
    Path,
    typer.Argument(
        exists=True, help="A revision file, or a directory with the three files."
    ),
]


def check(directory: Directory) -> None:
    """Checks the operators' files and prints every fault.

    Warnings name what is valid and probably a mistake; they do not fail the check.
    """
    try:
        text = assemble_directory(directory, UNPUBLISHED_REVISION)
    except InvalidRevisionError as error:
        print_faults(error, to_error=False)
        raise typer.Exit(FAILED) from None
    configuration = parse_revision(text)
    for warning in find_warnings(configuration):
        typer.echo(f"warning: {warning}")
    upstreams = sum(len(service.upstreams) for service in configuration.services)
    typer.echo(
        f"no faults: organisations={len(configuration.organisations)} "
        f"plans={len(configuration.plans)} services={len(configuration.services)} "
        f"upstreams={upstreams} size_bytes={len(text)}"
    )


def diff(old: RevisionOrDirectory, new: RevisionOrDirectory) -> None:
    """Prints the differences between two revisions in words."""
    changes = describe_changes(read_revision(old), read_revision(new))
    for change in changes:
        typer.echo(change.sentence)
    if not changes:
        typer.echo("no differences")


def publish(
    directory: Directory,
    revision: Annotated[
        int,
        typer.Option(min=1, help="Number of the revision, above all earlier ones."),
    ],
    out: Annotated[Path, typer.Option(dir_okay=False, help="File to write.")],
) -> None:
    """Writes the revision that the configuration service is to publish.

    A file with a valid revision that is not lower is left as it is.
    """
    try:
        text = assemble_directory(directory, revision)
    except InvalidRevisionError as error:
        print_faults(error)
        raise typer.Exit(FAILED) from None
    earlier = _read_earlier_revision(out)
    if earlier >= revision:
        print_error(
            f"{out} has revision {earlier}; --revision must be at least {earlier + 1}"
        )
        raise typer.Exit(FAILED)
    try:
        _replace_file(out, text)
    except OSError as error:
        print_error(f"{out} cannot be written: {error.strerror}")
        raise typer.Exit(FAILED) from None
    typer.echo(f"revision={revision} file={out} size_bytes={len(text)}")


def read_revision(path: Path) -> Configuration:
    """Returns the configuration in a file or directory; ends the command on faults."""
    try:
        if path.is_dir():
            text = assemble_directory(path, UNPUBLISHED_REVISION)
            return parse_revision(text, str(path))
        return parse_revision(_read_file(path), str(path))
    except InvalidRevisionError as error:
        print_faults(error)
    except OSError as error:
        print_error(f"{path} is not readable: {error.strerror}")
    raise typer.Exit(FAILED)


def _read_earlier_revision(path: Path) -> int:
    """Returns the revision in ``path``, 0 if there is no valid one."""
    try:
        return parse_revision(_read_file(path)).revision
    except (InvalidRevisionError, OSError):
        return 0


def _read_file(path: Path) -> bytes:
    with path.open("rb") as file:
        return file.read(MAX_TEXT_BYTES + 1)


def _replace_file(path: Path, text: bytes) -> None:
    """Writes a file whole: a reader sees the old or the new text, never a part."""
    descriptor, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        Path(name).chmod(0o644)
        Path(name).replace(path)
    except OSError:
        Path(name).unlink(missing_ok=True)
        raise
