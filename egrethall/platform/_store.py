"""The client of the platform's store."""

import base64
import binascii
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import anyio

from egrethall.http1 import (
    ClientConnection,
    HttpConnectionError,
    watch_for_silence,
)
from egrethall.types import (
    HistoryLostError,
    Record,
    RecordBatch,
    RecordSourceError,
)

#: Time that a watch waits at the store. Keep-alive probes find a silent connection
#: sooner; the wait only bounds how long a watch that the store forgot lasts.
WATCH_SECONDS = 20.0

#: Time for an answer beyond the wait: the store answers in milliseconds, and in a
#: few hundred of them when it is slow.
ANSWER_SECONDS = 3.0

CONNECT_SECONDS = 1.0

#: Bound on the pages of one reading, so that a store that repeats itself ends it.
MAX_PAGES = 200

_HISTORY_LOST_STATUS = 410


class StoreClient:
    """The :class:`~egrethall.types.RecordSource` over the platform's store."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: ClientConnection | None = None

    async def read_all(self) -> RecordBatch:
        """Returns all records; raises :class:`RecordSourceError`."""
        records: list[Record] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            page = await self._call(
                f"/kv-range?prefix=&after={quote(after, safe='')}", ANSWER_SECONDS
            )
            # Pages are no snapshot: what changed since the first one is watched.
            revision = _read_revision(page) if revision is None else revision
            items = [_decode_record(item) for item in _read_list(page, "items")]
            records.extend(items)
            if not page.get("truncated") or not items:
                return RecordBatch(revision, tuple(records), whole=True)
            after = items[-1].key
        raise RecordSourceError(f"{self._address}: more than {MAX_PAGES} pages")

    async def wait_for_changes(self, after_revision: int) -> RecordBatch:
        """Returns the changes after a revision, after a wait if there are none."""
        wait_ms = int(WATCH_SECONDS * 1000)
        answer = await self._call(
            f"/kv-watch?prefix=&after={after_revision}&wait_ms={wait_ms}",
            WATCH_SECONDS + ANSWER_SECONDS,
        )
        events = _read_list(answer, "events")
        return RecordBatch(
            _read_revision(answer), tuple(_decode_record(event) for event in events)
        )

    async def close(self) -> None:
        """Ends the connection, so that the next call opens a new one."""
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _call(self, target: str, timeout_seconds: float) -> Mapping[str, Any]:
        try:
            with anyio.fail_after(timeout_seconds):
                status, body = await self._exchange(target)
        except (HttpConnectionError, TimeoutError) as error:
            await self.close()
            raise RecordSourceError(f"{self._address}: {error or 'timeout'}") from error
        except BaseException:
            await self.close()
            raise
        if status == _HISTORY_LOST_STATUS:
            raise HistoryLostError(f"{self._address}: the history is no longer there")
        if status != 200:
            raise RecordSourceError(f"{self._address}: status {status}")
        try:
            answer = json.loads(body)
        except ValueError:
            raise RecordSourceError(f"{self._address}: no JSON answer") from None
        if not isinstance(answer, Mapping):
            raise RecordSourceError(f"{self._address}: no JSON object")
        return answer

    async def _exchange(self, target: str) -> tuple[int, bytes]:
        if self._connection is None or not self._connection.reusable:
            await self.close()
            self._connection = await ClientConnection.open(
                self._address, CONNECT_SECONDS
            )
            watch_for_silence(self._connection.stream)
        headers = ((b"host", self._address.encode("ascii")),)
        await self._connection.send("GET", target.encode("ascii"), headers)
        head = await self._connection.receive_head()
        return head.status, await self._connection.receive_body()


def _read_revision(answer: Mapping[str, Any]) -> int:
    revision = answer.get("store_revision")
    if not isinstance(revision, int):
        raise RecordSourceError("an answer of the store has no revision")
    return revision


def _read_list(answer: Mapping[str, Any], name: str) -> list[Any]:
    value = answer.get(name)
    if not isinstance(value, list):
        raise RecordSourceError(f"an answer of the store has no {name}")
    return value


def _decode_record(item: object) -> Record:
    if not isinstance(item, Mapping):
        raise RecordSourceError("an item of the store is no object")
    key, revision = item.get("key"), item.get("revision")
    if not isinstance(key, str) or not isinstance(revision, int):
        raise RecordSourceError("an item of the store has no key or revision")
    if item.get("removed"):
        return Record(key, revision, None)
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        # An empty value names nothing to use; whoever decodes it logs the key.
        value = b""
    return Record(key, revision, value)
