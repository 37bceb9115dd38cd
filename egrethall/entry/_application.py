"""Handles callers' requests: routing, admission, and refusals as responses."""

from __future__ import annotations

import json
from dataclasses import dataclass

import structlog

from egrethall.entry._observer import OUTCOME_ANSWERED, RequestObserver
from egrethall.entry._published_state import PublishedState
from egrethall.entry._request import AdmittedRequest, RequestRecord, Response
from egrethall.entry._sender import RequestSender
from egrethall.entry._serving_state import ServingState
from egrethall.http1 import RequestHead
from egrethall.placement import HostRoutes, choose_service
from egrethall.quota import FleetAllowances
from egrethall.types import (
    CallerHead,
    Clock,
    ExchangeFormat,
    Headers,
    PublishedOrganisation,
    PublishedRoute,
    RandomSource,
    Refusal,
    RefusalReason,
    RefusedError,
)

#: Subtracted from the time that the caller will wait, so that a response sent at the
#: deadline still arrives in time.
RESPONSE_TRANSIT_MARGIN_SECONDS = 0.01

#: Time limit of requests that do not state one.
DEFAULT_TIME_LIMIT_SECONDS = 30.0

#: ``Retry-After`` of an instance that has not received a configuration yet.
UNCONFIGURED_RETRY_AFTER_SECONDS = 0.3

OUTCOME_FAULT = "fault"

#: Methods whose requests declare a body length even if the body is empty.
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class ReceivedRequest:
    """A complete request read from a caller's connection."""

    head: RequestHead
    body: bytes | memoryview
    #: Monotonic clock reading at which the request head was complete.
    received_at_seconds: float


class EntryApplication:
    """Routes, authenticates, admits and forwards requests, in this order."""

    def __init__(
        self,
        published: PublishedState,
        allowances: FleetAllowances,
        sender: RequestSender,
        exchange_format: ExchangeFormat,
        observer: RequestObserver,
        serving: ServingState,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._published = published
        self._allowances = allowances
        self._sender = sender
        self._format = exchange_format
        self._observer = observer
        self._serving = serving
        self._clock = clock
        self._random = random_source

    async def handle(self, received: ReceivedRequest) -> Response:
        """Returns the response to a request; a refusal becomes a response as well."""
        # This outcome stays if the caller disconnects, which cancels the task.
        record = RequestRecord(outcome="caller-gone")
        self._observer.record_start()
        try:
            request = self._admit(received, record)
            response = await self._send_until_exit(request)
            record.outcome = OUTCOME_ANSWERED if response.status < 500 else "failed"
            record.status = response.status
            return response
        except RefusedError as error:
            refusal = error.refusal
            record.outcome = refusal.reason.code
            record.status = refusal.reason.status
            record.detail = refusal.detail
            return build_refusal_response(refusal)
        except Exception:
            # An unexpected exception in one request must not affect other requests.
            logger.exception("request failed", id=record.request_id)
            record.outcome = OUTCOME_FAULT
            return build_refusal_response(
                Refusal(
                    RefusalReason.OUTCOME_UNKNOWN,
                    "The instance met an internal fault.",
                )
            )
        finally:
            elapsed = self._clock.monotonic_seconds() - received.received_at_seconds
            self._observer.record_end(record, elapsed)

    async def _send_until_exit(self, request: AdmittedRequest) -> Response:
        with self._serving.interruptible() as scope:
            return await self._sender.send(request)
        if not scope.cancelled_caught:
            raise RuntimeError("a request ended without a response")
        if request.record.attempts:
            raise _make_refusal(
                RefusalReason.OUTCOME_UNKNOWN,
                "The instance stopped before a response was complete.",
            )
        raise _make_refusal(RefusalReason.STOPPING, "The instance stops.")

    def _admit(
        self, received: ReceivedRequest, record: RequestRecord
    ) -> AdmittedRequest:
        head = self._format.decode_caller_head(received.head.headers)
        record.request_id = head.request_id
        routes = self._published.routes
        if routes is None:
            raise RefusedError(
                Refusal(
                    RefusalReason.NOT_CONFIGURED,
                    "This instance knows no configuration yet.",
                    UNCONFIGURED_RETRY_AFTER_SECONDS,
                )
            )
        record.version = routes.configuration.version
        route = routes.find_route(received.head.host, received.head.target)
        if route is None:
            raise _make_refusal(RefusalReason.NO_ROUTE, "No route leads to this path.")
        record.route = route.name
        organisation = _identify_organisation(routes, route, head)
        record.organisation = "" if organisation is None else organisation.name
        service = self._published.find_service(choose_service(route, self._random))
        if service is None:
            raise _make_refusal(
                RefusalReason.NO_UPSTREAM, "The service is not published."
            )
        record.service = service.name
        if not self._serving.has_time_for(
            route.objective_seconds, route.kind.repeatable
        ):
            raise _make_refusal(
                RefusalReason.STOPPING,
                "The instance stops before the request could be answered.",
            )
        if organisation is not None:
            self._allowances.admit(organisation.name)
        return AdmittedRequest(
            method=received.head.method,
            target=received.head.target,
            head=head,
            body=received.body,
            has_body=_has_body(received),
            route=route,
            service=service,
            organisation=organisation,
            received_at_seconds=received.received_at_seconds,
            deadline_at_seconds=_compute_deadline(received, route, head),
            record=record,
        )


def build_refusal_response(refusal: Refusal) -> Response:
    """Returns the response that states why a request was refused.

    ``Retry-After`` has fractions of seconds, which the platform's callers accept.
    """
    body = json.dumps({"reason": refusal.reason.code, "detail": refusal.detail})
    headers: list[tuple[bytes, bytes]] = [
        (b"content-type", b"application/json"),
        (b"x-refusal-reason", refusal.reason.code.encode("ascii")),
        (b"x-request-run", refusal.reason.run.value.encode("ascii")),
    ]
    if refusal.retry_after_seconds is not None:
        seconds = f"{refusal.retry_after_seconds:.3f}"
        headers.append((b"retry-after", seconds.encode("ascii")))
    encoded = body.encode()
    return Response(
        refusal.reason.status,
        tuple(headers),
        encoded,
        content_length=len(encoded),
        # The caller's next connection may lead to an instance that reaches upstreams.
        closes_connection=refusal.reason is RefusalReason.UPSTREAMS_UNREACHABLE,
    )


def _identify_organisation(
    routes: HostRoutes, route: PublishedRoute, head: CallerHead
) -> PublishedOrganisation | None:
    if route.public or not routes.requires_key:
        return None
    organisation = routes.find_organisation(head.key)
    if organisation is None:
        raise _make_refusal(
            RefusalReason.KEY_UNKNOWN, "The key belongs to no organisation."
        )
    return organisation


def _compute_deadline(
    received: ReceivedRequest, route: PublishedRoute, head: CallerHead
) -> float:
    limit_seconds = head.time_limit_seconds
    if limit_seconds is None:
        limit_seconds = DEFAULT_TIME_LIMIT_SECONDS
    limit_seconds = min(
        limit_seconds - RESPONSE_TRANSIT_MARGIN_SECONDS, route.timeout_seconds
    )
    return received.received_at_seconds + max(0.0, limit_seconds)


def _has_body(received: ReceivedRequest) -> bool:
    if received.body or received.head.method in _METHODS_WITH_BODY:
        return True
    return _declares_body(received.head.headers)


def _declares_body(headers: Headers) -> bool:
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)


def _make_refusal(reason: RefusalReason, detail: str) -> RefusedError:
    return RefusedError(Refusal(reason, detail))
