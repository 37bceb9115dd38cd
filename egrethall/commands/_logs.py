"""Logs: one line of key=value pairs for each event, on standard error."""

import logging
import sys
from collections.abc import Callable, Mapping, MutableMapping
from typing import Any, TextIO

import structlog

from egrethall.operators import redact_keys

EventDict = MutableMapping[str, Any]


def configure_logging(stream: TextIO | None = None) -> None:
    """Sets up structlog and the standard library's loggers for the whole process.

    Libraries log through the standard library; from warnings on, their messages come
    out in the same form. Neither can write a caller's key.
    """
    output = stream or sys.stderr
    shared: list[Callable[[Any, str, EventDict], Any]] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
        structlog.processors.format_exc_info,
        remove_keys,
    ]
    renderer = structlog.processors.LogfmtRenderer(
        key_order=["at", "level", "event"], drop_missing=True
    )
    structlog.configure(
        processors=[*shared, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.ExtraAdder(), *shared],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            renderer,
        ],
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)


def remove_keys(logger: object, method: str, event: EventDict) -> EventDict:
    """Removes everything that looks like a caller's key from an event."""
    return {_to_field_name(key): _clean(value) for key, value in event.items()}


def _clean(value: object) -> object:
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, bytes):
        return _clean_text(value.decode("utf-8", "backslashreplace"))
    if isinstance(value, Mapping | list | tuple | set | frozenset):
        return _clean_text(repr(value))
    return _clean_text(str(value))


def _clean_text(text: str) -> str:
    """Returns ``text`` without keys and with control characters escaped.

    The renderer escapes line feeds; the others could forge lines or steer a terminal.
    """
    safe = redact_keys(text)
    if safe.isprintable():
        return safe
    return "".join(
        character
        if character.isprintable() or character == "\n"
        else character.encode("unicode_escape").decode("ascii")
        for character in safe
    )


def _to_field_name(key: str) -> str:
    """Returns ``key`` as logfmt allows it; libraries may log any field name."""
    return _clean_text("_".join(key.split())) or "_"
