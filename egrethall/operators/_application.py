"""The operators' interface as an ASGI application."""

import logging
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any, cast
from urllib.parse import parse_qs

import structlog
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import Framework

from egrethall.operators._audit import AUDIT_RING_CAPACITY, AuditRing
from egrethall.operators._json import write_json
from egrethall.operators._metrics import Metrics
from egrethall.operators._redaction import redact_keys
from egrethall.operators._state import StateSource

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

JSON_CONTENT_TYPE = "application/json"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PATHS = ("/healthz", "/readyz", "/metrics", "/state", "/audit", "/explain/ORGANISATION")
EXPLAIN_PREFIX = "/explain/"

#: Number of events in a response of ``/audit`` without ``limit``.
DEFAULT_AUDIT_LIMIT = 100

#: Time allowed for unfinished responses to operators when the instance stops.
SHUTDOWN_GRACE_SECONDS = 1.0

#: Time after which an idle connection is closed.
KEEP_ALIVE_TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True)
class _Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    content_type: str = JSON_CONTENT_TYPE


class OperatorApplication:
    """Serves health, readiness, metrics, state, audit trail and explanations.

    The interface is read-only. It has no access control: its address must be reachable
    by operators only.
    """

    def __init__(self, state: StateSource, metrics: Metrics, audit: AuditRing) -> None:
        self._state = state
        self._metrics = metrics
        self._audit = audit
        self._log = structlog.get_logger("egrethall.operators")

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Handles one ASGI scope: a request or the lifespan protocol."""
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        response = self._respond(scope)
        headers = [
            (b"content-type", response.content_type.encode("ascii")),
            (b"content-length", str(len(response.body)).encode("ascii")),
            (b"cache-control", b"no-store"),
        ]
        if response.status == 405:
            headers.append((b"allow", b"GET, HEAD"))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        body = b"" if scope["method"] == "HEAD" else response.body
        await send({"type": "http.response.body", "body": body})

    def _respond(self, scope: Message) -> _Response:
        if scope["method"] not in ("GET", "HEAD"):
            return _build_error_response(405, "the operators' interface only reads")
        try:
            return self._route(scope["path"], scope["query_string"])
        except Exception:
            self._log.exception("operators' request failed", path=scope["path"])
            return _build_error_response(500, "see the instance's log")

    def _route(self, path: str, query: bytes) -> _Response:
        if path == "/healthz":
            return _Response(200, write_json({"healthy": True}))
        if path == "/readyz":
            readiness = self._state.read_readiness()
            return _Response(200 if readiness.ready else 503, write_json(readiness))
        if path == "/metrics":
            text = redact_keys(self._metrics.expose().decode("utf-8"))
            return _Response(200, text.encode("utf-8"), METRICS_CONTENT_TYPE)
        if path == "/state":
            return _Response(200, write_json(self._state.read_status()))
        if path == "/audit":
            return self._build_audit_response(query)
        if path.startswith(EXPLAIN_PREFIX):
            return self._build_explanation_response(path.removeprefix(EXPLAIN_PREFIX))
        return _build_error_response(404, f"known paths: {', '.join(PATHS)}")

    def _build_audit_response(self, query: bytes) -> _Response:
        parameters = parse_qs(query.decode("latin-1"), keep_blank_values=True)
        unknown = sorted(parameters.keys() - {"limit", "kind"})
        if unknown:
            return _build_error_response(
                400, f"unknown {unknown[0]!r}; known: limit, kind"
            )
        limit = parameters.get("limit", [str(DEFAULT_AUDIT_LIMIT)])[-1]
        is_integer = limit.isascii() and limit.isdecimal() and len(limit) <= 4
        if not is_integer or not 1 <= int(limit) <= AUDIT_RING_CAPACITY:
            allowed = f"an integer from 1 to {AUDIT_RING_CAPACITY}"
            return _build_error_response(
                400, f"limit is {limit[:40]!r}; allowed: {allowed}"
            )
        kind = parameters.get("kind", [None])[-1]
        events = self._audit.select_newest(int(limit), kind)
        entries = [
            {"number": recorded.number, "at": recorded.at, "event": recorded.event}
            for recorded in events
        ]
        return _Response(200, write_json({"events": entries}))

    def _build_explanation_response(self, organisation: str) -> _Response:
        explanation = self._state.explain_organisation(organisation)
        if explanation is None:
            name = organisation[:80]
            return _build_error_response(404, f"no organisation is named {name!r}")
        return _Response(200, write_json(explanation))


async def serve_operators(
    application: OperatorApplication,
    address: str,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serves the operators' interface on ``address`` until ``wait_for_stop`` returns.

    :raises OSError: the address cannot be bound.
    """
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.graceful_timeout = SHUTDOWN_GRACE_SECONDS
    config.shutdown_timeout = SHUTDOWN_GRACE_SECONDS
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_SECONDS
    config.include_server_header = False
    await serve(
        cast(Framework, application),
        config,
        shutdown_trigger=wait_for_stop,
        mode="asgi",
    )


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        if message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


def _build_error_response(status: int, detail: str) -> _Response:
    return _Response(status, write_json({"detail": detail}))
