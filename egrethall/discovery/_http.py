"""HTTP clients of the platform's configuration service and instance list."""

import json
from types import TracebackType
from typing import Self

import anyio
import httpx

from egrethall.discovery._errors import (
    PlatformResponseError,
    PlatformUnavailableError,
)
from egrethall.discovery._interfaces import (
    ConfigurationService,
    InstanceList,
    PublishedText,
)
from egrethall.discovery._listing import parse_listing
from egrethall.types import InstanceListing

#: The platform limits values to 1 MB; the excess (1 MiB plus 64 KiB in all) allows
#: for a limit counted in MiB.
MAXIMUM_BODY_BYTES = 1_114_112
#: Time limit for opening a connection.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Time that a response may take beyond the requested wait. The limit detects dead
#: connections, on which nothing arrives, not even an error.
RESPONSE_MARGIN_SECONDS = 3.0
MAXIMUM_REVISION = 2**63 - 1


class PlatformClient:
    """Reads published values over HTTP.

    An instance uses one client for the configuration and the instance list. Proxy
    variables of the environment, redirects, cookies and compression are not used: a
    redirect or a compressed body is an error.
    """

    def __init__(
        self, base_url: str, response_margin_seconds: float = RESPONSE_MARGIN_SECONDS
    ) -> None:
        """Creates a client; no connection is opened yet.

        :param base_url: URL of the service, for example ``http://10.0.0.2:8500``.
        :param response_margin_seconds: Time that a response may take beyond the
            requested wait.
        """
        self._response_margin_seconds = response_margin_seconds
        self._base_url = base_url.rstrip("/")
        self._client = httpx.AsyncClient(
            trust_env=False,
            follow_redirects=False,
            headers={"accept-encoding": "identity"},
            limits=httpx.Limits(max_connections=8, max_keepalive_connections=2),
        )

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def fetch_value(
        self, name: str, after_revision: int, wait_seconds: float
    ) -> httpx.Response | None:
        """Returns the response with its body, or None if there is no newer value.

        :raises PlatformError: there was no response in time, or it is invalid.
        """
        url = f"{self._base_url}/v1/values/{name}"
        timeout_seconds = wait_seconds + self._response_margin_seconds
        try:
            with anyio.fail_after(timeout_seconds):
                return await self._fetch(
                    url,
                    {
                        "after": str(after_revision),
                        "wait_seconds": f"{wait_seconds:g}",
                    },
                    timeout_seconds,
                )
        except (TimeoutError, httpx.TimeoutException) as error:
            raise PlatformUnavailableError(
                f"{url}: no complete response within {timeout_seconds:g} s"
            ) from error
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            raise PlatformUnavailableError(
                f"{url}: {type(error).__name__} {error}".strip()
            ) from error

    async def _fetch(
        self, url: str, parameters: dict[str, str], timeout_seconds: float
    ) -> httpx.Response | None:
        timeout = httpx.Timeout(timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS)
        async with self._client.stream(
            "GET", url, params=parameters, timeout=timeout
        ) as response:
            if response.status_code == httpx.codes.NOT_MODIFIED:
                return None
            if response.status_code != httpx.codes.OK:
                raise PlatformResponseError(
                    f"{url}: status {response.status_code}, expected 200 or 304"
                )
            if response.headers.get("content-encoding", "identity") != "identity":
                raise PlatformResponseError(f"{url}: the response is compressed")
            body = await _read_body(url, response)
            return httpx.Response(200, headers=response.headers, content=body)


class HttpConfigurationService(ConfigurationService):
    """Implements :class:`ConfigurationService` over the platform's HTTP interface."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self) -> PublishedText | None:
        """Returns the published configuration, or None if there is none."""
        return await self.watch(after_revision=0, wait_seconds=0.0)

    async def watch(
        self, after_revision: int, wait_seconds: float
    ) -> PublishedText | None:
        """Waits for a revision above ``after_revision``; returns None on timeout."""
        response = await self._client.fetch_value(
            "configuration", after_revision, wait_seconds
        )
        if response is None:
            return None
        return PublishedText(_parse_revision(response), response.content)


class HttpInstanceList(InstanceList):
    """Implements :class:`InstanceList` over the platform's HTTP interface."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self) -> InstanceListing | None:
        """Returns the list, or None if there is none yet."""
        return await self.watch(after_revision=0, wait_seconds=0.0)

    async def watch(
        self, after_revision: int, wait_seconds: float
    ) -> InstanceListing | None:
        """Waits for a revision above ``after_revision``; returns None on timeout."""
        response = await self._client.fetch_value(
            "instances", after_revision, wait_seconds
        )
        if response is None:
            return None
        try:
            parsed = json.loads(response.content)
        # Deeply nested JSON exceeds the parser's recursion limit.
        except (ValueError, RecursionError) as error:
            raise PlatformResponseError(
                f"instances: not JSON ({type(error).__name__})"
            ) from error
        return parse_listing(parsed)


async def _read_body(url: str, response: httpx.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > MAXIMUM_BODY_BYTES:
            raise PlatformResponseError(
                f"{url}: body over {MAXIMUM_BODY_BYTES} bytes, the limit"
            )
    return bytes(body)


def _parse_revision(response: httpx.Response) -> int:
    text = response.headers.get("x-revision", "")
    if not (text.isascii() and text.isdigit() and len(text) <= 19):
        raise PlatformResponseError(
            f"configuration: header x-revision is {text[:40]!r}, expected a number"
        )
    revision = int(text)
    if not 1 <= revision <= MAXIMUM_REVISION:
        raise PlatformResponseError(
            f"configuration: x-revision is {revision}, expected 1 to {MAXIMUM_REVISION}"
        )
    return revision
