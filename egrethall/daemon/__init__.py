"""The daemon of an entry instance: wiring and lifecycle."""

from egrethall.daemon._instance import EntryInstance
from egrethall.daemon._run import run_daemon

__all__ = ["EntryInstance", "run_daemon"]
