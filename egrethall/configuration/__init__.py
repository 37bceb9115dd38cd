"""Settings of an instance and the published configuration."""

from typing import TYPE_CHECKING

from egrethall._lazy_exports import make_getattr
from egrethall.configuration._addresses import (
    ADDRESS_RULE,
    is_address,
    split_address,
)
from egrethall.configuration._faults import (
    Fault,
    FaultGroup,
    InvalidRevisionError,
    InvalidSettingsError,
)
from egrethall.configuration._json import (
    MAX_TEXT_BYTES,
    read_json,
)
from egrethall.configuration._readers import (
    ObjectReader,
)

if TYPE_CHECKING:
    from egrethall.configuration._differences import (
        Change,
        describe_changes,
    )
    from egrethall.configuration._files import (
        assemble_directory,
        assemble_revision,
    )
    from egrethall.configuration._revisions import (
        parse_revision,
    )
    from egrethall.configuration._schemas import (
        SCHEMA_NAMES,
        read_schema,
    )
    from egrethall.configuration._settings import (
        PeerTlsFiles,
        Settings,
        TlsFiles,
        load_settings,
        parse_settings,
    )
    from egrethall.configuration._store import (
        ConfigurationStore,
        ConfigurationSubscriber,
    )
    from egrethall.configuration._warnings import (
        find_warnings,
    )
else:
    __getattr__ = make_getattr(
        __name__,
        {
            "_differences": (
                "Change",
                "describe_changes",
            ),
            "_files": (
                "assemble_directory",
                "assemble_revision",
            ),
            "_revisions": ("parse_revision",),
            "_schemas": (
                "SCHEMA_NAMES",
                "read_schema",
            ),
            "_settings": (
                "PeerTlsFiles",
                "Settings",
                "TlsFiles",
                "load_settings",
                "parse_settings",
            ),
            "_store": (
                "ConfigurationStore",
                "ConfigurationSubscriber",
            ),
            "_warnings": ("find_warnings",),
        },
    )

__all__ = [
    "ADDRESS_RULE",
    "Change",
    "ConfigurationStore",
    "ConfigurationSubscriber",
    "Fault",
    "FaultGroup",
    "InvalidRevisionError",
    "InvalidSettingsError",
    "MAX_TEXT_BYTES",
    "ObjectReader",
    "PeerTlsFiles",
    "SCHEMA_NAMES",
    "Settings",
    "TlsFiles",
    "assemble_directory",
    "assemble_revision",
    "describe_changes",
    "find_warnings",
    "is_address",
    "load_settings",
    "parse_revision",
    "parse_settings",
    "read_json",
    "read_schema",
    "split_address",
]
