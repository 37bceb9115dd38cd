"""Entry instances and the platform's list of them."""

import enum
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class InstanceId:
    """One run of an entry instance's process."""

    name: str
    #: Random number drawn at each start; tells two runs of one name apart.
    incarnation: int


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedInstance:
    """An entry of the platform's instance list."""

    name: str
    #: IP number and port of the peer protocol.
    peer_address: str
    availability_zone: str
    state: InstanceState


@dataclass(frozen=True)
class InstanceListing:
    """The platform's instance list at one revision."""

    revision: int
    instances: tuple[ListedInstance, ...]
