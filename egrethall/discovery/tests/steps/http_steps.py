import os

import anyio
from behave import then, when

from egrethall.discovery import (
    HttpConfigurationService,
    HttpInstanceList,
    PlatformClient,
    PlatformError,
)

INSTANCE = (
    '{"name":"a","peer_address":"127.0.0.1:7400",'
    '"availability_zone":"a","state":"live"}'
)
#: Replaces ``RESPONSE_MARGIN_SECONDS`` in these scenarios.
RESPONSE_MARGIN_SECONDS = 0.5


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", *headers, f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def build_response(description):
    if description.startswith("200, x-revision"):
        _, revision, body = description.split(", ")
        header = "x-revision: " + revision.removeprefix("x-revision ")
        return encode_response(200, [header], body.removeprefix("body ").encode())
    complete = encode_response(200, ["x-revision: 7"], bytes(1000))
    chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
    return {
        "304": encode_response(304, [], b""),
        "500": encode_response(500, [], b"no"),
        "302 to another server": encode_response(302, ["location: http://[::1]/"], b""),
        "200 without x-revision": encode_response(200, [], b"{}"),
        "200, compressed": encode_response(200, ["content-encoding: gzip"], b"x"),
        "200 with an endless body": b"HTTP/1.1 200 OK\r\nx-revision: 7\r\n"
        b"transfer-encoding: chunked\r\n\r\n" + chunk * 40,
        "200 with half of its body": complete[:-500],
        "something that is not HTTP": b"\x00\x01\x02\r\n\r\n",
        "nothing": None,
        "nothing and closes": b"",
    }[description]


class HttpFixture:
    """A server that sends one response, and a client that reads from it."""

    def __init__(self, response):
        self.response = response
        self.request = b""
        self.result = None

    async def serve(self, stream):
        async with stream:
            self.request = await stream.receive()
            if self.response is None:
                await anyio.sleep(10.0)
                return
            try:
                await stream.send(self.response)
            except anyio.BrokenResourceError:
                return

    async def read(self, service_class, after=0, wait_seconds=0.0):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        url = f"http://127.0.0.1:{port}"
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.serve)
            with anyio.fail_after(5.0):
                async with PlatformClient(url, RESPONSE_MARGIN_SECONDS) as client:
                    try:
                        self.result = await service_class(client).watch(
                            after, wait_seconds
                        )
                    except PlatformError as error:
                        self.result = error
            tasks.cancel_scope.cancel()


@when("the configuration is read from a server that sends {response}")
def step_impl(context, response):
    context.http = HttpFixture(build_response(response))
    anyio.run(context.http.read, HttpConfigurationService)


@when("the instance list is read from a body {body}")
def step_impl(context, body):
    text = "[" * 100_000 if body == "DEEP" else body.replace("I", INSTANCE)
    context.http = HttpFixture(encode_response(200, [], text.encode()))
    anyio.run(context.http.read, HttpInstanceList)


@when("the configuration is watched after revision {after:d} for {seconds:f} s")
def step_impl(context, after, seconds):
    context.http = HttpFixture(encode_response(304, [], b""))
    os.environ["HTTP_PROXY"] = "http://127.0.0.1:9"
    try:
        anyio.run(context.http.read, HttpConfigurationService, after, seconds)
    finally:
        del os.environ["HTTP_PROXY"]


@then("the result is {expected}")
def step_impl(context, expected):
    result = context.http.result
    if expected == "nothing":
        assert result is None, result
        return
    if expected.startswith("revision"):
        _, revision, _, _, _, text = expected.split()
        assert (result.revision, result.text) == (int(revision), text.encode())
        return
    if expected.startswith("listing"):
        _, revision, _, *names = expected.split()
        assert result.revision == int(revision)
        assert [item.name for item in result.instances] == names
        return
    kind, _, words = expected.partition(" ")
    assert type(result).__name__ == kind and words in str(result), repr(result)


@then('the request was "{line}"')
def step_impl(context, line):
    assert context.http.request.startswith(line.encode() + b" HTTP/1.1\r\n")


@then("proxy variables of the environment were not used")
def step_impl(context):
    assert context.http.result is None
