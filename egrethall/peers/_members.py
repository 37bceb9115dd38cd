"""State of individual peers."""

from dataclasses import dataclass

from egrethall.types import InstanceId


@dataclass(frozen=True)
class MemberView:
    """A snapshot of what is known about one peer."""

    instance: InstanceId
    availability_zone: str
    is_reachable: bool
    is_leaving: bool
    is_out_of_service: bool
    revision: int
    #: Shards that its last heartbeat claims, one bit each.
    held_shards: int
    #: Time since its last message.
    heard_age_seconds: float


@dataclass
class Member:
    """The latest state that one peer reported."""

    instance: InstanceId
    availability_zone: str
    last_heard_seconds: float
    is_leaving: bool = False
    revision: int = 0
    held_shards: int = 0
    #: Value of the membership's claim counter after its last heartbeat.
    claims_version: int = -1
