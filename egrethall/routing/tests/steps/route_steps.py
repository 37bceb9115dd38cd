import posixpath
import random
from urllib.parse import quote, unquote

from behave import given, then, when

from egrethall.routing import MethodNotAllowed, RouteMatch, RouteTable, TargetRefused
from egrethall.types import Configuration, Route, Service

AMBIGUOUS_PARTS = [
    *("/", "//", "/./", "/../", "..", ".", ";a", "%2e", "%2f", "%5c", "%25", "6c"),
    *("lookup", "archive", "x", "%6c", "%3b", "\\", "%c0%af", "/lookup", "/archive"),
]


class RouteTableFixture:
    """A route table with one service; describes the results as text."""

    def __init__(self, routes):
        table_routes = tuple(
            Route(prefix, frozenset(methods), frozenset({"GET"}), open=prefix == "/")
            for prefix, methods in routes.items()
        )
        service = Service("lookup", 2000, 1024, 10, table_routes, ())
        self.table = RouteTable(Configuration(1, 18, services=(service,)))

    def route(self, method, target):
        result = self.table.find(method, target.encode("latin-1"))
        if isinstance(result, RouteMatch):
            return result.route.path_prefix
        if isinstance(result, MethodNotAllowed):
            return "method not allowed: " + ",".join(sorted(result.allowed_methods))
        return "refused" if isinstance(result, TargetRefused) else "no route"


def normalise(target):
    """Returns a path as a lenient upstream parses it.

    It decodes twice, drops parameters and collapses separators and dot segments.
    """
    path = unquote(unquote(target, "latin-1"), "latin-1").replace("\\", "/")
    without_parameters = "/".join(part.partition(";")[0] for part in path.split("/"))
    return quote(
        posixpath.normpath("/" + without_parameters.lstrip("/")), encoding="latin-1"
    )


@given('routes "/" open with GET, "/lookup" with GET, "/lookup/archive" with POST')
def step_impl(context):
    context.fixture = RouteTableFixture(
        {"/": ["GET"], "/lookup": ["GET"], "/lookup/archive": ["POST"]}
    )


@given('only the route "/lookup" with GET')
def step_impl(context):
    context.fixture = RouteTableFixture({"/lookup": ["GET"]})


@when('"{method}" "{target}" is routed')
def step_impl(context, method, target):
    context.result = context.fixture.route(method, target)


@when("{count:d} targets of random ambiguous parts are routed with seed {seed:d}")
def step_impl(context, count, seed):
    source = random.Random(seed)
    context.results = []
    for _ in range(count):
        target = "/" + "".join(source.choices(AMBIGUOUS_PARTS, k=source.randint(1, 6)))
        context.results.append((target, context.fixture.route("GET", target)))


@then('the result is "{result}"')
def step_impl(context, result):
    assert context.result == result, context.result


@then("each accepted target has the route of its normalised path")
def step_impl(context):
    accepted = [item for item in context.results if item[1] != "refused"]
    assert len(accepted) > 100, len(accepted)
    for target, result in accepted:
        expected = context.fixture.route("GET", normalise(target))
        assert result == expected, (target, result, expected)
