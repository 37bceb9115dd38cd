"""Orders the requests that wait for an upstream of one service."""

import bisect
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio


@dataclass(order=True)
class WaitingRequest:
    """A request's place in the line."""

    #: Rank of the request; 0 is the most urgent.
    priority: int
    #: Monotonic clock reading until which it waits.
    give_up_at_seconds: float
    #: Tells requests apart that are otherwise equal.
    number: int
    turn: anyio.Event = field(compare=False, default_factory=anyio.Event)


class WaitingLine:
    """Lets the most urgent waiting request look for an upstream, one at a time.

    Answers overload: what becomes free goes to the most urgent request and, among
    equals, to the one that gives up first, instead of to the one that happens to probe
    at that moment. A request that arrives while others wait cannot overtake them.
    """

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._numbers = itertools.count()
        #: Monotonic clock reading before which no upstream is looked for, since none
        #: was found shortly before.
        self.next_attempt_at_seconds = float("-inf")
        #: Whether any upstream responded when one was last looked for.
        self.upstreams_respond = True

    @property
    def occupied(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    @contextmanager
    def join(
        self, priority: int, give_up_at_seconds: float
    ) -> Iterator[WaitingRequest]:
        """Adds a request to the line for as long as the context lasts."""
        place = WaitingRequest(priority, give_up_at_seconds, next(self._numbers))
        bisect.insort(self._waiting, place)
        self._waiting[0].turn.set()
        try:
            yield place
        finally:
            self._waiting.remove(place)
            if self._waiting:
                self._waiting[0].turn.set()

    async def wait_for_turn(self, place: WaitingRequest) -> None:
        """Waits until no more urgent request is in the line."""
        while self._waiting[0] is not place:
            place.turn = anyio.Event()
            await place.turn.wait()
