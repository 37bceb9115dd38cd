"""Exceptions raised when the platform's services are read."""

from egrethall.types import EgrethallError


class PlatformError(EgrethallError):
    """Base class of the exceptions of this package."""


class PlatformUnavailableError(PlatformError):
    """The platform sent no complete HTTP response, or not in time."""


class PlatformResponseError(PlatformError):
    """The platform's response does not follow its published interface."""
