"""The operators' files, from which a revision is assembled."""

import json
from pathlib import Path

from egrethall.configuration._faults import Fault, InvalidRevisionError
from egrethall.configuration._json import MAX_TEXT_BYTES, join_path, read_json
from egrethall.configuration._readers import ObjectReader
from egrethall.configuration._revisions import MAX_REVISION, read_configuration

ORGANISATIONS_FILE = "organisations.json"
PLANS_FILE = "plans.json"
SERVICES_FILE = "services.json"

#: Which file each part of a revision comes from.
_SOURCES = {
    "organisations": ORGANISATIONS_FILE,
    "plans": PLANS_FILE,
    "services": SERVICES_FILE,
    "fleet": SERVICES_FILE,
    "out_of_service": SERVICES_FILE,
}


def assemble_revision(
    organisations: bytes, plans: bytes, services: bytes, revision: int
) -> bytes:
    """Returns the text of a revision made of the operators' three files.

    Raises :class:`InvalidRevisionError` with every fault of all files.
    """
    faults: list[Fault] = []
    if not 1 <= revision <= MAX_REVISION:
        allowed = f"an integer from 1 to {MAX_REVISION}"
        faults.append(Fault("$.revision", str(revision), allowed))
    parts: dict[str, object] = {"revision": max(1, min(revision, MAX_REVISION))}
    texts = {
        ORGANISATIONS_FILE: organisations,
        PLANS_FILE: plans,
        SERVICES_FILE: services,
    }
    unreadable = False
    for name, text in texts.items():
        value, found = read_json(text)
        unreadable = unreadable or bool(found)
        if not found:
            parts.update(_select_parts(name, value, found))
        faults.extend(fault.locate_in(name) for fault in found)
    if unreadable:
        # Whatever refers to the unreadable file would be reported as missing.
        raise InvalidRevisionError("the files are not usable", faults)
    found = []
    read_configuration(parts, found)
    faults.extend(fault.locate_in(_find_source(fault.path)) for fault in found)
    if faults:
        raise InvalidRevisionError("the files are not usable", faults)
    assembled = (json.dumps(parts, indent=1) + "\n").encode("utf-8")
    if len(assembled) > MAX_TEXT_BYTES:
        allowed = f"at most {MAX_TEXT_BYTES} bytes, the three files together"
        fault = Fault("$", f"{len(assembled)} bytes long", allowed)
        raise InvalidRevisionError("the files are not usable", [fault])
    return assembled


def assemble_directory(directory: Path, revision: int) -> bytes:
    """Returns the text of a revision made of the files in ``directory``.

    Raises :class:`InvalidRevisionError` as :func:`assemble_revision` does, and for
    files that cannot be read.
    """
    faults: list[Fault] = []
    texts = []
    for name in (ORGANISATIONS_FILE, PLANS_FILE, SERVICES_FILE):
        try:
            texts.append((directory / name).read_bytes())
        except OSError as error:
            found = f"not readable ({error.strerror})"
            faults.append(Fault("$", found, "a readable file", str(directory / name)))
    if faults:
        raise InvalidRevisionError("the files are not usable", faults)
    organisations, plans, services = texts
    return assemble_revision(organisations, plans, services, revision)


def _select_parts(name: str, value: object, faults: list[Fault]) -> dict[str, object]:
    """Returns the parts of a revision that a file contributes.

    A part that is missing is found when the whole revision is read.
    """
    parts: dict[str, object] = {}
    reader = ObjectReader(value, "$", faults)
    for key in (key for key, source in _SOURCES.items() if source == name):
        if reader.has(key):
            parts[key] = reader.read_value(key)
        else:
            reader.allow(key)
    reader.finish()
    return parts


def _find_source(path: str) -> str:
    for key, source in _SOURCES.items():
        top = join_path("$", key)
        if path == top or path.startswith((f"{top}.", f"{top}[")):
            return source
    return ""
