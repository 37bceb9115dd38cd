"""Runs an entry instance: ``python3 -m egrethall.entry``."""

import os
import sys
from pathlib import Path

from egrethall.configuration import InvalidSettingsError
from egrethall.entry._daemon import run_entry
from egrethall.entry._settings import load_entry_settings

#: Environment variable in which the platform passes the path of the settings file.
SETTINGS_PATH_VARIABLE = "EGRETHALL_CONFIG"

#: Exit status for a missing or invalid settings file.
USAGE_ERROR_STATUS = 2


def main() -> int:
    """Runs the instance until SIGTERM and returns the exit status."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if path is None:
        print(
            f"{SETTINGS_PATH_VARIABLE} must be set to the path of the settings file",
            file=sys.stderr,
        )
        return USAGE_ERROR_STATUS
    try:
        settings = load_entry_settings(Path(path))
    except InvalidSettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return USAGE_ERROR_STATUS
    run_entry(settings, Path(path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
