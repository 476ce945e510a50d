"""Objects in the platform's store, and entries of the list of boxes."""

import dataclasses
import enum
from typing import Any


@dataclasses.dataclass(frozen=True)
class PlatformObject:
    """An object of the store; `value` is None if it was deleted."""

    key: str
    version: int
    value: Any = None


@dataclasses.dataclass(frozen=True)
class ObjectList:
    """Objects, and the platform's version at which they were read."""

    version: int
    objects: list[PlatformObject]


class BoxRole(enum.StrEnum):
    """The type of process on a listed box."""

    DAEMON = "daemon"
    ENDPOINT = "endpoint"


class BoxState(enum.StrEnum):
    """The state of a listed box."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class ListedBox:
    """An entry of the platform's list of boxes, which may be outdated.

    Attributes:
        name: The box's name, or the endpoint's name in the configuration.
        role: The type of process on the box.
        state: The state of the box.
        zone: The box's availability zone.
        callers: The daemon's address for callers.
        operators: The daemon's address for operators.
        peers: The daemon's address for other daemons.
    """

    name: str
    role: BoxRole
    state: BoxState
    zone: str = ""
    callers: str = ""
    operators: str = ""
    peers: str = ""


@dataclasses.dataclass(frozen=True)
class BoxList:
    """Boxes that changed after a version, and the current version.

    Attributes:
        version: The version of the box that changed last.
        boxes: The boxes.
        platform_version: The version of the last change of any object.
    """

    version: int
    boxes: list[ListedBox]
    platform_version: int
