"""The key that a caller presents."""

from collections.abc import Iterable

from egrethall.types import Refusal, RefusalReason, RefusedError

_BEARER = b"bearer"


def find_key(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Returns the key in ``Authorization: Bearer`` or ``X-Api-Key``, if any.

    Other schemes of ``Authorization`` are ignored. Raises
    :class:`~egrethall.types.RefusedError` if the headers carry different keys,
    because it is unclear for whom the request should run.
    """
    keys = set()
    for name, value in headers:
        if name == b"x-api-key":
            keys.add(value.strip())
        elif name == b"authorization":
            scheme, _, credentials = value.strip().partition(b" ")
            if scheme.lower() == _BEARER:
                keys.add(credentials.strip())
    keys.discard(b"")
    if len(keys) > 1:
        raise RefusedError(
            Refusal(
                RefusalReason.BAD_REQUEST,
                "The request carries two different keys; send one.",
            )
        )
    return keys.pop() if keys else None
