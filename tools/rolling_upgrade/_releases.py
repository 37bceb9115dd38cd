"""Checks releases out of the repository's history."""

import io
import subprocess
import sys
import tarfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

#: Prints from where processes in the current directory import the package.
_FIND_PACKAGE = "import egrethall; print(egrethall.__file__)"


@dataclass(frozen=True)
class Release:
    """The sources of one commit."""

    #: ``earlier`` or ``new``.
    name: str
    commit: str
    directory: Path


def check_out(commit: str, directory: Path) -> Release:
    """Writes the files of a commit to a new directory.

    Raises :class:`subprocess.CalledProcessError` if git does not know the commit, and
    :class:`RuntimeError` if its files would not be the ones that are run.
    """
    full_commit = _run_git("rev-parse", "--verify", f"{commit}^{{commit}}")
    archive = _run_git("archive", "--format=tar", full_commit.decode().strip())
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(directory, filter="data")
    imported = subprocess.run(
        [sys.executable, "-c", _FIND_PACKAGE],
        cwd=directory,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    if not Path(imported).is_relative_to(directory):
        raise RuntimeError(f"{commit} would run with the package at {imported}")
    return Release(directory.name, full_commit.decode().strip(), directory)


def _run_git(*arguments: str) -> bytes:
    return subprocess.run(
        ["git", "-C", str(ROOT), *arguments], check=True, stdout=subprocess.PIPE
    ).stdout
