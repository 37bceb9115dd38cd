"""The open links of an instance, at most one per peer."""

from collections import deque

from egrethall.peers._errors import PeerHandshakeError
from egrethall.peers._link import PeerLink
from egrethall.types import InstanceId

#: Limit on open links: twice the size of a large fleet.
MAXIMUM_LINKS = 256
#: Replaced runs that are remembered, to reject one that resumes after a long pause.
MAXIMUM_RETIRED_RUNS = 1024


class LinkRegistry:
    """Keeps the newest link of each peer.

    Incarnations are random numbers, so the run that authenticated last counts as the
    newest. A replaced run is remembered and rejected from then on, because a process
    that resumes after a long pause must not replace its successor.
    """

    def __init__(self) -> None:
        self._links: dict[str, PeerLink] = {}
        self._retired: deque[InstanceId] = deque(maxlen=MAXIMUM_RETIRED_RUNS)

    def install_link(self, link: PeerLink) -> PeerLink | None:
        """Adds ``link``; closes and returns the link that it replaces, if any.

        :raises PeerHandshakeError: this run of the peer has been replaced already, or
            there are too many links.
        """
        peer = link.peer.instance
        if peer in self._retired:
            raise PeerHandshakeError(
                "retired-incarnation",
                f"run {peer.incarnation:x} of {peer.name!r} was replaced by another",
            )
        replaced = self._links.get(peer.name)
        if replaced is None and len(self._links) >= MAXIMUM_LINKS:
            raise PeerHandshakeError(
                "too-many-peers", f"{MAXIMUM_LINKS} peers are connected"
            )
        if replaced is not None:
            if replaced.peer.instance != peer:
                self._retired.append(replaced.peer.instance)
            replaced.close("replaced")
        self._links[peer.name] = link
        return replaced

    def remove_link(self, link: PeerLink) -> bool:
        """Removes ``link``; returns False if another one has replaced it."""
        name = link.peer.instance.name
        if self._links.get(name) is not link:
            return False
        del self._links[name]
        return True

    def find_link(self, peer: InstanceId) -> PeerLink | None:
        """Returns the link to this run of ``peer``."""
        link = self._links.get(peer.name)
        return link if link is not None and link.peer.instance == peer else None

    def find_link_by_name(self, name: str) -> PeerLink | None:
        """Returns the link to any run of the instance ``name``."""
        return self._links.get(name)

    def list_links(self) -> tuple[PeerLink, ...]:
        """Returns all links."""
        return tuple(self._links.values())
