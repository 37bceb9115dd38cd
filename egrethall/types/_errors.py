"""Base class of the project's errors."""


class EgrethallError(Exception):
    """The base class of all errors that this package raises."""
