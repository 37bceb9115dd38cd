"""Reloads the settings file of a running instance when it changes."""

from pathlib import Path

import structlog

from egrethall.configuration import InvalidSettingsError
from egrethall.entry._settings import EntrySettings, load_entry_settings

logger = structlog.get_logger(__name__)


class SettingsFile:
    """Detects changes of the settings file; logs and ignores invalid settings."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._loaded_mtime_ns = self._read_mtime_ns()

    @property
    def changed(self) -> bool:
        """Whether the modification time differs from that of the last load."""
        return self._read_mtime_ns() != self._loaded_mtime_ns

    def load(self) -> EntrySettings | None:
        """Returns the settings, or None if they are invalid and the old ones stay."""
        self._loaded_mtime_ns = self._read_mtime_ns()
        try:
            return load_entry_settings(self._path)
        except InvalidSettingsError as error:
            logger.warning(
                "settings kept; new ones are faulty",
                faults="; ".join(str(fault) for fault in error.faults),
            )
            return None

    def _read_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            logger.warning("settings file not readable", error=str(error))
            return 0
