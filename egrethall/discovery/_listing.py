"""Parses the platform's instance list."""

from typing import Any

from egrethall.discovery._errors import PlatformResponseError
from egrethall.types import InstanceListing, InstanceState, ListedInstance

#: Maximum number of instances in a list; more than ten times the size of the largest
#: expected fleet.
MAXIMUM_LISTED_INSTANCES = 1024

#: Maximum length of a string in a list.
MAXIMUM_STRING_CHARACTERS = 255


def parse_listing(decoded: object) -> InstanceListing:
    """Returns the instance list from decoded JSON; unknown fields are ignored.

    :raises PlatformResponseError: a field is missing or out of range, or a name
        occurs twice.
    """
    fields = _check_object(decoded, "instances")
    revision = fields.get("revision")
    if type(revision) is not int or revision < 1:
        raise PlatformResponseError(
            f"instances.revision: {revision!r:.40} is not an integer of 1 or more"
        )
    items = fields.get("instances")
    if not isinstance(items, list) or len(items) > MAXIMUM_LISTED_INSTANCES:
        raise PlatformResponseError(
            "instances.instances: expected a list of at most"
            f" {MAXIMUM_LISTED_INSTANCES} items"
        )
    instances = tuple(
        _parse_instance(item, f"instances.instances[{index}]")
        for index, item in enumerate(items)
    )
    names = [item.name for item in instances]
    if len(set(names)) != len(names):
        raise PlatformResponseError("instances.instances: a name occurs twice")
    return InstanceListing(revision, instances)


def _parse_instance(item: object, path: str) -> ListedInstance:
    fields = _check_object(item, path)
    state = _read_string(fields, "state", path)
    try:
        parsed_state = InstanceState(state)
    except ValueError:
        raise PlatformResponseError(
            f"{path}.state: {state!r} is not 'live' or 'leaving'"
        ) from None
    return ListedInstance(
        name=_read_string(fields, "name", path),
        peer_address=_read_string(fields, "peer_address", path),
        availability_zone=_read_string(fields, "availability_zone", path),
        state=parsed_state,
    )


def _check_object(value: object, path: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise PlatformResponseError(f"{path}: expected an object")
    return value


def _read_string(fields: dict[str, Any], key: str, path: str) -> str:
    value = fields.get(key)
    if not isinstance(value, str) or not 1 <= len(value) <= MAXIMUM_STRING_CHARACTERS:
        raise PlatformResponseError(
            f"{path}.{key}: expected a string of 1 to"
            f" {MAXIMUM_STRING_CHARACTERS} characters"
        )
    return value
