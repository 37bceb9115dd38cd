"""Fakes of the platform's two interfaces that return scripted responses."""

from egrethall.discovery import PlatformUnavailableError, PublishedText
from egrethall.types import InstanceListing


class ScriptEndedError(Exception):
    """Ends a watch after its last scripted response."""


class Script:
    """A list of ``(seconds, response)`` pairs, returned one by one.

    A response is a revision, None if there is no newer one, or ``"error"``. The clock
    advances by ``seconds`` before it is returned.
    """

    def __init__(self, clock, responses):
        self.clock = clock
        self.responses = list(responses)
        self.after_revisions = []

    def respond(self, after_revision, build):
        if not self.responses:
            raise ScriptEndedError
        self.after_revisions.append(after_revision)
        seconds, response = self.responses.pop(0)
        self.clock.advance(seconds)
        if response == "error":
            raise PlatformUnavailableError("scripted")
        return None if response is None else build(response)


class FakeConfigurationService:
    """A ``ConfigurationService`` that returns scripted responses."""

    def __init__(self, script):
        self.script = script

    async def read(self):
        return await self.watch(0, 0.0)

    async def watch(self, after_revision, wait_seconds):
        return self.script.respond(after_revision, lambda r: PublishedText(r, b"{}"))


class FakeInstanceList:
    """An ``InstanceList`` that returns scripted responses."""

    def __init__(self, script):
        self.script = script

    async def read(self):
        return await self.watch(0, 0.0)

    async def watch(self, after_revision, wait_seconds):
        return self.script.respond(after_revision, lambda r: InstanceListing(r, ()))
