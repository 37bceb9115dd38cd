"""HTTP client of the platform's key-value store."""

import base64
import binascii
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import anyio

from egrethall.http1 import ClientConnection, HttpConnectionError
from egrethall.platform._documents import UPSTREAM_PREFIX
from egrethall.types import (
    Headers,
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSourceError,
    make_revision,
    split_revision,
)

#: Time for a new connection; the store accepts one within milliseconds.
CONNECT_TIMEOUT_SECONDS = 1.0

#: Limit on one response: a page of 500 items or 1 MB, or the changes of an outage.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

#: Largest value of an upstream's entry, which has some hundred bytes. Instances keep
#: all values and pass them on, in messages of 8 MiB at most.
MAX_UPSTREAM_ENTRY_BYTES = 64 * 1024

#: Limit on the pages of one full read, so that it ends even if the store keeps
#: repeating pages.
MAX_PAGES = 200

_HISTORY_LOST_STATUS = 410

_ERA_HEADER = b"store-era"

#: Highest era that is accepted, so that revisions fit into 64 bits.
MAX_ERA = 32767


class StoreClient:
    """Implements :class:`~egrethall.types.RecordSource` with the platform's store."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: ClientConnection | None = None

    async def read_all(self, response_timeout_seconds: float) -> RecordBatch:
        """Reads all records, page by page; raises :class:`RecordSourceError`."""
        records: list[Record] = []
        revision: int | None = None
        after = ""
        era: int | None = None
        for _ in range(MAX_PAGES):
            page, page_era = await self._request_json(
                f"/kv-range?prefix=&after={quote(after, safe='')}",
                response_timeout_seconds,
            )
            if era not in (None, page_era):
                raise RecordSourceError(
                    f"{self._address}: the store was restored while it was read"
                )
            era = page_era
            # The pages are not one snapshot. With the revision of the first page, the
            # next watch reports what changed while the others were read.
            revision = _read_revision(page, era) if revision is None else revision
            items = [_decode_record(item, era) for item in _read_list(page, "items")]
            records.extend(items)
            if not page.get("truncated") or not items:
                return RecordBatch(revision, tuple(records), whole=True)
            after = items[-1].key
        raise RecordSourceError(f"{self._address}: more than {MAX_PAGES} pages")

    async def wait_for_changes(
        self,
        after_revision: int,
        wait_seconds: float,
        response_timeout_seconds: float,
    ) -> RecordBatch:
        """Returns the changes after a revision; waits if there are none."""
        wait_ms = int(wait_seconds * 1000)
        known_era, number = split_revision(after_revision)
        response, era = await self._request_json(
            f"/kv-watch?prefix=&after={number}&wait_ms={wait_ms}",
            wait_seconds + response_timeout_seconds,
        )
        if era != known_era:
            raise HistoryLostError(
                f"{self._address}: the store was restored, era {known_era} to {era}"
            )
        events = _read_list(response, "events")
        return RecordBatch(
            _read_revision(response, era),
            tuple(_decode_record(event, era) for event in events),
        )

    async def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _request_json(
        self, target: str, timeout_seconds: float
    ) -> tuple[Mapping[str, Any], int]:
        """Returns the body of a successful response and the era of the store."""
        try:
            with anyio.fail_after(timeout_seconds):
                status, headers, body = await self._send_request(target)
        except HttpConnectionError as error:
            await self.close()
            raise RecordSourceError(f"{self._address}: {error}") from error
        except TimeoutError as error:
            await self.close()
            raise RecordSourceError(
                f"{self._address}: no response within {timeout_seconds:g} s"
            ) from error
        except BaseException:
            await self.close()
            raise
        if status == _HISTORY_LOST_STATUS:
            raise HistoryLostError(
                f"{self._address}: the store has dropped the requested history"
            )
        if status != 200:
            raise RecordSourceError(f"{self._address}: status {status}")
        try:
            response = json.loads(body)
        except (ValueError, RecursionError):
            raise RecordSourceError(
                f"{self._address}: the response is not valid JSON"
            ) from None
        if not isinstance(response, Mapping):
            raise RecordSourceError(
                f"{self._address}: the response is not a JSON object"
            )
        return response, _parse_era(headers)

    async def _send_request(self, target: str) -> tuple[int, Headers, bytes]:
        if self._connection is None or not self._connection.reusable:
            await self.close()
            self._connection = await ClientConnection.open(
                self._address, CONNECT_TIMEOUT_SECONDS
            )
        headers = ((b"host", self._address.encode("ascii")),)
        await self._connection.send("GET", target.encode("ascii"), headers)
        head = await self._connection.receive_head()
        body = await self._connection.receive_body(MAX_RESPONSE_BYTES)
        return head.status, head.headers, body


def _read_revision(response: Mapping[str, Any], era: int) -> int:
    revision = response.get("store_revision")
    if not isinstance(revision, int):
        raise RecordSourceError("a response of the store has no integer store_revision")
    return make_revision(era, revision)


def _parse_era(headers: Headers) -> int:
    """Returns the era that a response states; 0 if it states none."""
    for name, value in headers:
        if name != _ERA_HEADER:
            continue
        if not value.isdigit() or int(value) > MAX_ERA:
            raise RecordSourceError(
                f"a response of the store has Store-Era {value[:20]!r},"
                f" expected 0 to {MAX_ERA}"
            )
        return int(value)
    return 0


def _read_list(response: Mapping[str, Any], name: str) -> list[Any]:
    value = response.get(name)
    if not isinstance(value, list):
        raise RecordSourceError(f"a response of the store has no list {name}")
    return value


def _decode_record(item: object, era: int) -> Record:
    if not isinstance(item, Mapping):
        raise RecordSourceError("an item of the store is not a JSON object")
    key, revision = item.get("key"), item.get("revision")
    if not isinstance(key, str) or not isinstance(revision, int):
        raise RecordSourceError("an item of the store has no valid key or revision")
    revision = make_revision(era, revision)
    if item.get("removed"):
        return Record(key, revision, None)
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        # An empty value is not a valid document: the caller that decodes it logs the
        # key.
        value = b""
    if key.startswith(UPSTREAM_PREFIX) and len(value) > MAX_UPSTREAM_ENTRY_BYTES:
        value = b""
    return Record(key, revision, value)
