"""The JSON Schemas that are shipped with the package."""

from importlib import resources

#: The schemas' names; each is the file ``NAME.schema.json`` of this package.
SCHEMA_NAMES = ("configuration", "settings")


def read_schema(name: str) -> str:
    """Returns the text of the JSON Schema ``name``, see :data:`SCHEMA_NAMES`.

    The schemas are for editors and other tools. They cover types and ranges of single
    values; :func:`parse_settings` and :func:`parse_revision` check more.
    """
    if name not in SCHEMA_NAMES:
        raise ValueError(f"schema is {name!r}; allowed: {', '.join(SCHEMA_NAMES)}")
    file = resources.files("egrethall.configuration").joinpath(f"{name}.schema.json")
    return file.read_text(encoding="utf-8")
