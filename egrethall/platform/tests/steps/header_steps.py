from behave import then, when

from egrethall.platform import PlatformExchangeFormat

TIME_LEFT_SECONDS = 0.75


class HeaderCodec:
    """Encodes and decodes headers in the platform's format."""

    def __init__(self):
        self.format = PlatformExchangeFormat()

    def encode(self, table, organisation):
        caller_headers = tuple(
            (row["name"].encode(), row["value"].encode()) for row in table
        )
        head = self.format.decode_caller_head(caller_headers)
        return self.format.encode_upstream_headers(
            head, organisation, "i-7", TIME_LEFT_SECONDS
        )


@when(
    "a caller's request with these headers goes to upstream i-7"
    " for organisation {organisation}"
)
def step_impl(context, organisation):
    context.upstream_headers = HeaderCodec().encode(context.table, organisation)


@when("a caller's request with these headers goes to upstream i-7 for no organisation")
def step_impl(context):
    context.upstream_headers = HeaderCodec().encode(context.table, None)


@then("the upstream receives these headers")
def step_impl(context):
    expected = [(row["name"].encode(), row["value"].encode()) for row in context.table]
    assert list(context.upstream_headers) == expected, context.upstream_headers


@when("an upstream responds with status {status:d} and header {header}: {value}")
def step_impl(context, status, header, value):
    headers = ((header.encode(), value.encode()),)
    context.head = HeaderCodec().format.decode_upstream_head(status, headers)


@then("the load report is decoded as {reading}")
def step_impl(context, reading):
    assert str(context.head.reading) == reading, context.head.reading


@then("the decoded {field} is {meaning}")
def step_impl(context, field, meaning):
    assert str(getattr(context.head, field)) == meaning, context.head
