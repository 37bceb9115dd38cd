"""The command line of egrethall."""

from egrethall.commands._keys import (
    create_key,
    describe_key,
)
from egrethall.commands._logs import (
    configure_logging,
    remove_keys,
)
from egrethall.commands._main import (
    application,
    main,
)

__all__ = [
    "application",
    "configure_logging",
    "create_key",
    "describe_key",
    "main",
    "remove_keys",
]
