"""Callers that keep their connections, behind a balancer that follows readiness."""

import http.client
import itertools
import threading
import time
from dataclasses import dataclass

from soak._judge import Call
from standins.entry_fleet import HOST
from tools.rolling_upgrade._fleet import UpgradeFleet

#: Deadline of each request.
DEADLINE_MS = 1500

#: Time after which a request counts as unanswered, well beyond its deadline.
ANSWER_TIMEOUT_SECONDS = 5.0

#: Interval of the balancer's readiness checks.
READINESS_INTERVAL_SECONDS = 0.1

KINDS = ("read", "trade")


@dataclass(frozen=True)
class Exchange:
    """One request and what its caller got."""

    call: Call
    entry: str
    #: Part of the run in which it was sent.
    phase: str
    #: Whether the connection had carried a response before.
    kept: bool


class Callers:
    """A caller of each kind for each instance, each with one connection."""

    def __init__(self, fleet: UpgradeFleet, rate_per_second: float) -> None:
        self.exchanges: list[Exchange] = []
        self.phase = "before"
        #: Connections that were refused or reset before a request was sent.
        self.refused_connections = 0
        self._fleet = fleet
        self._ready = set(fleet.entry_names)
        self._ended = threading.Event()
        self._numbers = itertools.count(1)
        homes = list(itertools.product(fleet.entry_names, KINDS))
        self._interval_seconds = len(homes) / rate_per_second
        self._threads = [threading.Thread(target=self._follow_readiness)]
        self._threads += [threading.Thread(target=self._run, args=h) for h in homes]

    def start(self) -> None:
        """Starts to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the requests and waits for the last answers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _follow_readiness(self) -> None:
        while not self._ended.wait(READINESS_INTERVAL_SECONDS):
            for name in self._fleet.entry_names:
                if self._fleet.answers_ready(name):
                    self._ready.add(name)
                else:
                    self._ready.discard(name)

    def _run(self, home: str, kind: str) -> None:
        connection: http.client.HTTPConnection | None = None
        entry, kept = home, False
        while not self._ended.wait(self._interval_seconds):
            if connection is not None and entry != home and home in self._ready:
                connection.close()
                connection = None
            if connection is None:
                entry, kept = self._choose(home), False
                connection = self._connect(entry)
                if connection is None:
                    continue
            call, closed = self._exchange(connection, kind)
            self.exchanges.append(Exchange(call, entry, self.phase, kept))
            kept = True
            if closed:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _choose(self, home: str) -> str:
        names = self._fleet.entry_names
        start = names.index(home)
        others = (*names[start:], *names[:start])
        return next((name for name in others if name in self._ready), home)

    def _connect(self, entry: str) -> http.client.HTTPConnection | None:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._fleet.ports[entry], timeout=ANSWER_TIMEOUT_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            self.refused_connections += 1
            return None
        return connection

    def _exchange(
        self, connection: http.client.HTTPConnection, kind: str
    ) -> tuple[Call, bool]:
        """Returns the call and whether its connection ended."""
        attempt = f"{next(self._numbers):016x}"
        path = f"/{kind}/{time.time_ns():x}-{attempt}"
        headers = {
            "host": HOST,
            "x-attempt-id": attempt,
            "x-deadline-ms": str(DEADLINE_MS),
            "x-api-key": "cuka-key",
        }
        method = "POST" if kind == "trade" else "GET"
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            body = response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            return Call(attempt, path, 0, repr(error)), True
        return Call(attempt, path, response.status, body), response.will_close
