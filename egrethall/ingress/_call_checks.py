"""The decisions on a request that need nothing but its head."""

from dataclasses import dataclass, field

from egrethall.ingress._asgi import Scope
from egrethall.ingress._collaborators import IngressCollaborators, RouteAnswer
from egrethall.ingress._credentials import find_key
from egrethall.ingress._framing import check_framing, find_idempotency_key
from egrethall.ingress._key_search import contains_key, remove_keys_from_query
from egrethall.types import (
    Configuration,
    Organisation,
    Plan,
    Refusal,
    RefusalReason,
    RefusedError,
    Route,
    Service,
)


@dataclass
class CallRecord:
    """What becomes known of a call while it runs, for its log line."""

    request_id: str
    started_at_seconds: float
    organisation: str = ""
    service: str = ""
    upstream: str = ""
    attempts: int = 0
    #: Replaced when the call ends by itself.
    outcome: str = "cancelled"
    queue_ms: float = 0.0
    succeeded: bool = False
    #: For the ``allow`` header of ``method-not-allowed``.
    allowed_methods: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CheckedCall:
    """A request whose head has passed all checks."""

    #: None on routes that are open to all.
    organisation: Organisation | None
    service: Service
    route: Route
    method: str
    target: bytes
    #: None if the caller did not announce a length.
    announced_bytes: int | None
    idempotency_key: bytes | None
    key: bytes | None = field(default=None, repr=False)

    @property
    def idempotent(self) -> bool:
        """Whether the request may be sent again after a failure."""
        return self.method in self.route.idempotent_methods

    @property
    def reservation_key(self) -> bytes | None:
        """The idempotency key, if the request needs a reservation."""
        return None if self.idempotent else self.idempotency_key

    @property
    def organisation_name(self) -> str:
        """The organisation's name, empty on routes that are open to all."""
        return "" if self.organisation is None else self.organisation.name


class CallChecks:
    """Checks framing, key, route and plan of requests, in this order.

    A request without a valid key learns nothing about routes, except about those
    that are open to all. On open routes keys are removed and not looked at.
    """

    def __init__(self, collaborators: IngressCollaborators) -> None:
        self._collaborators = collaborators
        self._indexed: Configuration | None = None
        self._plans: dict[str, Plan] = {}

    def check(self, scope: Scope, record: CallRecord) -> CheckedCall:
        """Returns the checked call; raises :class:`RefusedError`."""
        configuration = self._collaborators.configuration.get_current()
        if configuration is None:
            raise _refuse(
                RefusalReason.NOT_CONFIGURED,
                "This instance has not received a configuration yet.",
            )
        announced_bytes = check_framing(scope)
        idempotency_key = find_idempotency_key(scope["headers"])
        target = _clean_target(scope)
        method: str = scope["method"]
        key = find_key(scope["headers"])
        answer = self._collaborators.routes.match(method, scope["raw_path"])
        if answer.route is not None and answer.route.open:
            key, organisation = None, None
        else:
            organisation = self.identify(key)
            record.organisation = organisation.name
        record.allowed_methods = answer.allowed_methods
        service, route = _require_route(answer)
        record.service = service.name
        if organisation is not None:
            self._check_plan(configuration, organisation, service)
        return CheckedCall(
            organisation,
            service,
            route,
            method,
            target,
            announced_bytes,
            idempotency_key,
            key,
        )

    def identify(self, key: bytes | None) -> Organisation:
        """Returns the owner of ``key``.

        Raises :class:`RefusedError` with ``key-missing`` or ``key-unknown``.
        """
        if key is None:
            raise _refuse(
                RefusalReason.KEY_MISSING,
                "Send a key as Authorization: Bearer or X-Api-Key.",
            )
        organisation = self._collaborators.keys.identify(key)
        if organisation is None:
            raise _refuse(
                RefusalReason.KEY_UNKNOWN, "The key is not valid, or not any more."
            )
        return organisation

    def check_key_again(self, call: CheckedCall) -> None:
        """Checks that the key still belongs to the organisation of ``call``.

        Needed when time has passed since :meth:`check`, because a withdrawn key
        must stop working for requests whose bodies arrive slowly, too.
        """
        if call.organisation is None:
            return
        if self.identify(call.key).name != call.organisation.name:
            raise _refuse(
                RefusalReason.KEY_UNKNOWN, "The key changed its organisation."
            )

    def _check_plan(
        self, configuration: Configuration, organisation: Organisation, service: Service
    ) -> None:
        if configuration is not self._indexed:
            self._plans = {plan.name: plan for plan in configuration.plans}
            self._indexed = configuration
        plan = self._plans.get(organisation.plan)
        if plan is None or service.name not in plan.services:
            raise _refuse(
                RefusalReason.SERVICE_NOT_IN_PLAN,
                f"The organisation's plan does not include service {service.name}.",
            )


def _clean_target(scope: Scope) -> bytes:
    path: bytes = scope["raw_path"]
    query = remove_keys_from_query(scope["query_string"])
    target = path + b"?" + query if query else path
    if contains_key(target):
        raise _refuse(
            RefusalReason.KEY_MISPLACED, "Path and query together contain a key."
        )
    return target


def _require_route(answer: RouteAnswer) -> tuple[Service, Route]:
    if answer.target_fault:
        raise _refuse(RefusalReason.BAD_REQUEST, f"{answer.target_fault}.")
    if answer.allowed_methods:
        raise _refuse(
            RefusalReason.METHOD_NOT_ALLOWED,
            "The path has routes for other methods only.",
        )
    if answer.service is None or answer.route is None:
        raise _refuse(RefusalReason.NO_ROUTE, "No route leads to this path.")
    return answer.service, answer.route


def _refuse(reason: RefusalReason, detail: str) -> RefusedError:
    return RefusedError(Refusal(reason, detail))
