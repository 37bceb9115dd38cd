"""The tasks that follow the platform's configuration and instance list."""

from collections.abc import Awaitable, Callable

import anyio

from egrethall.configuration import ConfigurationStore
from egrethall.discovery import (
    HttpConfigurationService,
    HttpInstanceList,
    PlatformClient,
    PublishedText,
    WatchStatus,
    watch_configuration,
    watch_instances,
)
from egrethall.types import Clock, InstanceListing, RandomSource

#: Time that a watch waits at the configuration service. A watch whose connection has
#: gone silent is found after this time and a margin, which must leave a change the
#: rest of its 8 s.
WATCH_WAIT_SECONDS = 3.0

#: Interval at which the store learns that its revision is still the current one.
CONFIRMATION_SECONDS = 1.0


class PlatformWatches:
    """Brings what the platform publishes to the store and to a receiver of lists."""

    def __init__(
        self,
        base_url: str,
        store: ConfigurationStore,
        receive_listing: Callable[[InstanceListing], Awaitable[None]],
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._client = PlatformClient(base_url)
        self._store = store
        self._receive_listing = receive_listing
        self._clock = clock
        self._random = random
        self._status = WatchStatus()

    async def run(self) -> None:
        """Follows both values until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_configuration)
            tasks.start_soon(self._confirm_revisions)
            tasks.start_soon(self._watch_instances)

    async def _watch_configuration(self) -> None:
        await watch_configuration(
            HttpConfigurationService(self._client),
            self._receive_text,
            lambda: self._store.revision,
            self._clock,
            self._random,
            self._status,
            WATCH_WAIT_SECONDS,
        )

    async def _watch_instances(self) -> None:
        await watch_instances(
            HttpInstanceList(self._client),
            self._receive_listing,
            self._clock,
            self._random,
            WatchStatus(),
            WATCH_WAIT_SECONDS,
        )

    async def _receive_text(self, published: PublishedText) -> None:
        await self._store.receive_text(
            published.text, "configuration service", published.revision
        )

    async def _confirm_revisions(self) -> None:
        while True:
            revision = self._store.revision
            now_seconds = self._clock.monotonic_seconds()
            age_seconds = self._status.confirmed_age_seconds(revision, now_seconds)
            self._store.confirm_revision(revision, age_seconds)
            await anyio.sleep(CONFIRMATION_SECONDS)
