"""Forwarding of requests: attempts, at-most-once rules and crash quarantine."""

from typing import TYPE_CHECKING

from egrethall._lazy_exports import make_getattr
from egrethall.forwarding._budget import RetryBudget

if TYPE_CHECKING:
    from egrethall.forwarding._counts import (
        ForwardingCount,
        ForwardingCounts,
        ForwardingEvent,
    )
    from egrethall.forwarding._failures import MalformedResponseError
    from egrethall.forwarding._forwarded_response import ForwardedResponse
    from egrethall.forwarding._forwarder import Forwarder
    from egrethall.forwarding._idempotency_guard import IdempotencyGuard
    from egrethall.forwarding._idempotency_registry import IdempotencyRegistry
    from egrethall.forwarding._quarantine import CrashQuarantine
else:
    __getattr__ = make_getattr(
        __name__,
        {
            "_counts": (
                "ForwardingCount",
                "ForwardingCounts",
                "ForwardingEvent",
            ),
            "_failures": ("MalformedResponseError",),
            "_forwarded_response": ("ForwardedResponse",),
            "_forwarder": ("Forwarder",),
            "_idempotency_guard": ("IdempotencyGuard",),
            "_idempotency_registry": ("IdempotencyRegistry",),
            "_quarantine": ("CrashQuarantine",),
        },
    )

__all__ = [
    "CrashQuarantine",
    "ForwardedResponse",
    "Forwarder",
    "ForwardingCount",
    "ForwardingCounts",
    "ForwardingEvent",
    "IdempotencyGuard",
    "IdempotencyRegistry",
    "MalformedResponseError",
    "RetryBudget",
]
