"""Commands for callers' keys."""

import json
import sys

import typer

from egrethall.admission import KEY_PATTERN, digest_key, make_key
from egrethall.commands._output import FAILED, print_error
from egrethall.commands._revision_commands import RevisionOrDirectory, read_revision

KEY_PREFIX = "egk_"

#: Longer input is no key; the bound keeps a wrong file from being read whole.
MAX_KEY_CHARACTERS = 200

keys = typer.Typer(no_args_is_help=True, help="Create keys for callers.")


def create_key() -> str:
    """Returns a new key from the operating system's random numbers."""
    return make_key().key


def describe_key(key: str) -> dict[str, str]:
    """Returns the entry of ``key`` for organisations.json; it contains no secret."""
    key_id = key.removeprefix(KEY_PREFIX).partition("_")[0]
    digest = digest_key(key.encode("ascii"))
    return {"key_id": key_id, "digest": f"sha256:{digest.hex()}"}


@keys.callback()
def _describe_group() -> None:
    """Create keys for callers."""


@keys.command("new")
def create() -> None:
    """Prints a new key and its entry for organisations.json.

    The key is shown once and stored nowhere. Give it to the caller; put the entry into
    the list of keys of the caller's organisation and publish a new revision.
    """
    key = create_key()
    typer.echo(f"key={key}")
    typer.echo(f"entry={json.dumps(describe_key(key))}")


@keys.command("find")
def find(where: RevisionOrDirectory) -> None:
    """Reads a key from standard input and tells whose it is.

    The key is neither printed nor kept. It is not an argument, because other users of
    the machine can read the arguments of a process.
    """
    key = sys.stdin.readline(MAX_KEY_CHARACTERS).strip()
    if not KEY_PATTERN.fullmatch(key.encode("utf-8", "replace")):
        print_error(
            f"the input of {len(key)} characters is no key; a key is egk_, 8 "
            "hexadecimal digits, _ and 43 characters of base64url"
        )
        raise typer.Exit(FAILED)
    entry = describe_key(key)
    key_id, digest = entry["key_id"], entry["digest"].removeprefix("sha256:")
    for organisation in read_revision(where).organisations:
        for candidate in organisation.keys:
            if candidate.digest.hex() == digest:
                typer.echo(
                    f"organisation={organisation.name} plan={organisation.plan} "
                    f"key_id={candidate.key_id}"
                )
                return
            if candidate.key_id == key_id:
                print_error(
                    f"key id {key_id} belongs to organisation {organisation.name}, "
                    "but the digest differs: the key is mistyped or was replaced"
                )
                raise typer.Exit(FAILED)
    print_error(f"no organisation has a key with the id {key_id}")
    raise typer.Exit(FAILED)
