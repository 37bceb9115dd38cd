"""JSON encoding of the operators' interface."""

import dataclasses
import enum
import json
import math
from collections.abc import Mapping
from datetime import datetime

from egrethall.operators._redaction import redact_keys


def write_json(value: object) -> bytes:
    """Returns ``value`` as JSON, redacted by :func:`redact_keys`.

    Data classes become objects; infinite numbers and NaN become null.
    """
    text = json.dumps(convert_to_json_types(value), indent=1)
    return (redact_keys(text) + "\n").encode("utf-8")


def convert_to_json_types(value: object) -> object:
    """Returns ``value`` converted to types that :mod:`json` can encode."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, float):
        return value if math.isfinite(value) else None
    if isinstance(value, datetime):
        return value.isoformat(timespec="milliseconds")
    if isinstance(value, Mapping):
        return {str(key): convert_to_json_types(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [convert_to_json_types(item) for item in value]
    if isinstance(value, frozenset | set):
        return sorted(str(item) for item in value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: convert_to_json_types(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    return value
