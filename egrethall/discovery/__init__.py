"""Clients and watches of the platform's configuration service and instance list."""

from egrethall.discovery._errors import (
    PlatformError,
    PlatformResponseError,
    PlatformUnavailableError,
)
from egrethall.discovery._http import (
    MAXIMUM_BODY_BYTES,
    HttpConfigurationService,
    HttpInstanceList,
    PlatformClient,
)
from egrethall.discovery._interfaces import (
    ConfigurationService,
    InstanceList,
    PublishedText,
)
from egrethall.discovery._listing import parse_listing
from egrethall.discovery._watches import (
    WATCH_SECONDS,
    WatchCounters,
    WatchStatus,
    watch_configuration,
    watch_instances,
)

__all__ = [
    "ConfigurationService",
    "HttpConfigurationService",
    "HttpInstanceList",
    "InstanceList",
    "MAXIMUM_BODY_BYTES",
    "PlatformClient",
    "PlatformError",
    "PlatformResponseError",
    "PlatformUnavailableError",
    "PublishedText",
    "WATCH_SECONDS",
    "WatchCounters",
    "WatchStatus",
    "parse_listing",
    "watch_configuration",
    "watch_instances",
]
