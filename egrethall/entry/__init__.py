"""The entry instance: an HTTP load balancer configured from a read-only store."""

from egrethall.entry._application import EntryApplication
from egrethall.entry._daemon import EntryDaemon, run_entry
from egrethall.entry._settings import (
    EntrySettings,
    load_entry_settings,
    parse_entry_settings,
)

__all__ = [
    "EntryApplication",
    "EntryDaemon",
    "EntrySettings",
    "load_entry_settings",
    "parse_entry_settings",
    "run_entry",
]
