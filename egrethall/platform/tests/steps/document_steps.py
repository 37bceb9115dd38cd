import copy
import json

from behave import then, when

from egrethall.platform import DocumentError, decode_configuration, decode_record
from egrethall.platform.tests.examples import CONFIGURATION, UPSTREAM
from egrethall.types import Record, RequestKind, ServiceShare


class DocumentDecoder:
    """Decodes a document, optionally with one field changed."""

    def __init__(self, key, document):
        self.key = key
        self.document = copy.deepcopy(document)
        self.result = None
        self.error = None

    def change(self, path, value):
        *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
        container = self.document
        for parent in parents:
            container = container[parent]
        container[last] = json.loads(value)

    def decode(self, value=None):
        data = json.dumps(self.document).encode() if value is None else value
        try:
            self.result = decode_record(Record(self.key, 7, data))
        except DocumentError as error:
            self.error = error


@when("the configuration of the store is decoded")
def step_impl(context):
    context.configuration = decode_configuration(json.dumps(CONFIGURATION).encode())


@when("the configuration is decoded with {field} set to {value}")
def step_impl(context, field, value):
    context.decoder = DocumentDecoder("op/config", CONFIGURATION)
    context.decoder.change(field, value)
    context.decoder.decode()


@when("the document of upstream i-1 is decoded")
def step_impl(context):
    context.decoder = DocumentDecoder("servers/i-1", UPSTREAM)
    context.decoder.decode()


@when("the document of upstream i-1 is decoded with {field} set to {value}")
def step_impl(context, field, value):
    context.decoder = DocumentDecoder("servers/i-1", UPSTREAM)
    context.decoder.change(field, value)
    context.decoder.decode()


@when(
    "the document of upstream {name} is decoded with {article} {field}"
    " of {count:d} digits"
)
def step_impl(context, name, article, field, count):
    decode_with(context, name, field, "9" * count)


@when(
    "the document of upstream {name} is decoded with {article} {field}"
    " nested {depth:d} deep"
)
def step_impl(context, name, article, field, depth):
    decode_with(context, name, field, "[" * depth + "]" * depth)


def decode_with(context, name, field, literal):
    context.decoder = DocumentDecoder(f"servers/{name}", UPSTREAM)
    context.decoder.document[field] = "MARK"
    text = json.dumps(context.decoder.document).replace('"MARK"', literal)
    context.decoder.decode(text.encode())


@when("the bytes {text} are decoded as the document of upstream i-1")
def step_impl(context, text):
    context.decoder = DocumentDecoder("servers/i-1", UPSTREAM)
    context.decoder.decode(bytes.fromhex(text))


@when("the record {key} is decoded while its key is {state}")
def step_impl(context, key, state):
    context.change = decode_record(Record(key, 7, b"{}" if state == "there" else None))


@then("its version is {version:d} and its limits are {size:d} bytes and {seconds:f} s")
def step_impl(context, version, size, seconds):
    assert context.configuration.version == version
    assert context.configuration.limits.max_header_bytes == size
    assert context.configuration.limits.header_timeout_seconds == seconds


@then(
    "route read leads to catalogue with weight {first:d}"
    " and archive with weight {second:d}"
)
def step_impl(context, first, second):
    route = context.configuration.routes[0]
    assert route.shares == (
        ServiceShare("catalogue", first),
        ServiceShare("archive", second),
    )
    assert (route.host, route.path_prefix) == ("club.example", "/read/")


@then(
    "route trade is non-idempotent with a timeout of {timeout:f} s"
    " and an objective of {objective:f} s"
)
def step_impl(context, timeout, objective):
    route = context.configuration.routes[1]
    assert route.kind is RequestKind.NON_IDEMPOTENT
    assert (route.timeout_seconds, route.objective_seconds) == (timeout, objective)


@then(
    "organisation cuka has {keys:d} keys, priority {priority:d},"
    " rate {rate:d} and burst {burst:d}"
)
def step_impl(context, keys, priority, rate, burst):
    (organisation,) = context.configuration.organisations
    assert (organisation.name, len(organisation.keys), organisation.priority) == (
        "cuka",
        keys,
        priority,
    )
    assert (organisation.rate_per_second, organisation.burst) == (rate, burst)


@then("service catalogue takes {rate:d} requests a second while it is cold")
def step_impl(context, rate):
    assert context.configuration.services[0].cold_rate_per_second == rate


@then("it is rejected with an error that names {place}")
def step_impl(context, place):
    assert context.decoder.result is None
    assert place in str(context.decoder.error), context.decoder.error


@then("the error withdraws upstream {name}")
def step_impl(context, name):
    assert context.decoder.error.upstream == name


@then(
    "it is an upstream of catalogue at {address} with {slots:d} slots,"
    " cold for {seconds:f} s"
)
def step_impl(context, address, slots, seconds):
    entry = context.decoder.result.entry
    assert (entry.name, entry.service, entry.address) == ("i-1", "catalogue", address)
    assert (entry.slots, entry.cold_seconds, entry.draining) == (slots, seconds, False)


@then("the change is {change}")
def step_impl(context, change):
    assert str(context.change) == change, context.change
