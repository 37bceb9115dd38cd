"""Interfaces of the platform's configuration service and instance list."""

from dataclasses import dataclass
from typing import Protocol

from egrethall.types import InstanceListing


@dataclass(frozen=True)
class PublishedText:
    """The configuration text of one revision, not yet validated."""

    #: Revision in the service's response; the text contains a revision of its own.
    revision: int
    text: bytes


class ConfigurationService(Protocol):
    """The platform's configuration service.

    Both methods raise :class:`PlatformUnavailableError` or
    :class:`PlatformResponseError`.
    """

    async def read(self) -> PublishedText | None:
        """Returns the published configuration, or None if there is none."""
        ...

    async def watch(
        self, after_revision: int, wait_seconds: float
    ) -> PublishedText | None:
        """Waits for a revision above ``after_revision``; returns None on timeout."""
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances.

    The list lags behind the actual state of the instances.

    Both methods raise :class:`PlatformUnavailableError` or
    :class:`PlatformResponseError`.
    """

    async def read(self) -> InstanceListing | None:
        """Returns the list, or None if there is none yet."""
        ...

    async def watch(
        self, after_revision: int, wait_seconds: float
    ) -> InstanceListing | None:
        """Waits for a revision above ``after_revision``; returns None on timeout."""
        ...
