"""Adapter to the users' platform: HTTP headers, stored documents, store API."""

from egrethall.platform._documents import (
    DocumentError,
    decode_configuration,
    decode_record,
    decode_upstream,
)
from egrethall.platform._headers import PlatformExchangeFormat
from egrethall.platform._store import StoreClient

__all__ = [
    "DocumentError",
    "PlatformExchangeFormat",
    "StoreClient",
    "decode_configuration",
    "decode_record",
    "decode_upstream",
]
