"""Messages of a request that one instance forwards to another.

1. The head of the request, and its body in parts that end with an empty one.
2. An :class:`Acceptance`: the recipient can send the request to upstreams, or not.
3. The time left. Only now the recipient may send the request, so that one that hangs
   before this point does not run it later.
4. A :class:`ForwardedResponse` and the rest of its body in parts that end with an empty
   one, or a refusal.

A stream that ends earlier after step 3 leaves open whether the request has run.

A later release may append fields to each message that is a list; they are ignored.
"""

from dataclasses import dataclass
from typing import Any

import msgpack

from egrethall.types import FINAL_STATUSES, Headers, Refusal, RefusalReason, RequestKind

#: Largest part of a body that is accepted as one message.
MAX_PART_BYTES = 256 * 1024

#: Part of a body that is sent as one message. The event loop copies what the socket
#: does not take.
SENT_PART_BYTES = 64 * 1024

_REASONS = {reason.code: reason for reason in RefusalReason}


@dataclass(frozen=True)
class ForwardedHead:
    """What a recipient needs to know of a request, besides its body."""

    #: Name of the instance that forwards it.
    sender: str
    request_id: str
    method: str
    target: bytes
    #: Headers for the upstream, without the caller's key.
    headers: Headers
    has_body: bool
    #: Version of the configuration that the request was routed by.
    version: int
    route: str
    service: str
    kind: RequestKind
    objective_seconds: float
    max_attempts: int
    priority: int
    #: None if the request needs no key.
    organisation: str | None
    #: Identifies the request among those that crash upstreams.
    fingerprint: bytes


@dataclass(frozen=True)
class Acceptance:
    """Whether the recipient can send the request, and why not."""

    refusal: Refusal | None


@dataclass(frozen=True)
class ForwardedResponse:
    """The response of an upstream, with the beginning of its body."""

    status: int
    headers: Headers
    body: bytes
    #: Length of the whole body in bytes; None if it is not known in advance.
    content_length: int | None
    #: True if further parts of the body follow.
    continues: bool
    #: Name of the upstream.
    upstream: str


def encode_head(head: ForwardedHead) -> bytes:
    """Returns the message of a request's head."""
    fields = {**vars(head), "kind": head.kind.value}
    return bytes(msgpack.packb(list(fields.values())))


def decode_head(message: Any) -> ForwardedHead:  # noqa: ANN401
    """Returns the head in a decoded message; raises :class:`ValueError`."""
    try:
        sender, request_id, method, target, headers, has_body, version, *rest = message
        route, service, kind, objective_seconds, max_attempts, priority, *rest = rest
        organisation, fingerprint, *_ = rest
        return ForwardedHead(
            sender=str(sender),
            request_id=str(request_id),
            method=str(method),
            target=bytes(target),
            headers=_decode_headers(headers),
            has_body=bool(has_body),
            version=int(version),
            route=str(route),
            service=str(service),
            kind=RequestKind(kind),
            objective_seconds=float(objective_seconds),
            max_attempts=int(max_attempts),
            priority=int(priority),
            organisation=None if organisation is None else str(organisation),
            fingerprint=bytes(fingerprint),
        )
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed head of a forwarded request: {error}") from error


def encode_acceptance(acceptance: Acceptance) -> bytes:
    """Returns the message of an acceptance."""
    return bytes(msgpack.packb(_encode_refusal(acceptance.refusal)))


def decode_acceptance(message: bytes) -> Acceptance:
    """Returns the acceptance in a message; raises :class:`ValueError`."""
    return Acceptance(_decode_refusal(msgpack.unpackb(message)))


def encode_time_left(seconds: float) -> bytes:
    """Returns the message that lets the recipient send the request."""
    return bytes(msgpack.packb(seconds))


def decode_time_left(message: bytes) -> float:
    """Returns the time left in seconds; raises :class:`ValueError`."""
    return float(msgpack.unpackb(message))


def encode_response(response: ForwardedResponse | Refusal) -> bytes:
    """Returns the message of a response or a refusal."""
    if isinstance(response, Refusal):
        return bytes(msgpack.packb(_encode_refusal(response)))
    return bytes(msgpack.packb(list(vars(response).values())))


def decode_response(message: bytes) -> ForwardedResponse | Refusal:
    """Returns the response or refusal in a message; raises :class:`ValueError`."""
    fields = msgpack.unpackb(message)
    try:
        if isinstance(fields[0], str):
            refusal = _decode_refusal(fields)
            if refusal is not None:
                return refusal
        status, headers, body, content_length, continues, upstream, *_ = fields
        if int(status) not in FINAL_STATUSES:
            raise ValueError(f"forwarded response with invalid status {status}")
        return ForwardedResponse(
            int(status),
            _decode_headers(headers),
            bytes(body),
            None if content_length is None else int(content_length),
            bool(continues),
            str(upstream),
        )
    except (TypeError, IndexError) as error:
        raise ValueError(f"malformed forwarded response: {error}") from error


def _decode_headers(headers: Any) -> Headers:  # noqa: ANN401
    return tuple((bytes(name), bytes(value)) for name, value in headers)


def _encode_refusal(refusal: Refusal | None) -> list[Any] | None:
    if refusal is None:
        return None
    return [refusal.reason.code, refusal.detail, refusal.retry_after_seconds]


def _decode_refusal(fields: Any) -> Refusal | None:  # noqa: ANN401
    if fields is None:
        return None
    try:
        code, detail, retry_after_seconds, *_ = fields
        return Refusal(_REASONS[code], str(detail), retry_after_seconds)
    except (TypeError, ValueError, KeyError) as error:
        raise ValueError(f"malformed refusal: {error!r}") from error
