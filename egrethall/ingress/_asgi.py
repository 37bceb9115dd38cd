"""The part of the ASGI interface that the caller side uses."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

#: Connection scope: facts about one request.
Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
