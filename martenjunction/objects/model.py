"""Objects that the platform keeps for us, and the list of boxes."""

import dataclasses
import enum
from typing import Any


@dataclasses.dataclass(frozen=True)
class PlatformObject:
    """One object; `value` is None where it was deleted."""

    key: str
    version: int
    value: Any = None


@dataclasses.dataclass(frozen=True)
class ObjectList:
    """Objects, and the platform's version when they were read."""

    version: int
    objects: list[PlatformObject]


class BoxRole(enum.StrEnum):
    """What a listed box runs."""

    DAEMON = "daemon"
    ENDPOINT = "endpoint"


class BoxState(enum.StrEnum):
    """What the list says of a box."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class ListedBox:
    """One box of the lagging list.

    Attributes:
        name: The box, or the endpoint's name in the configuration.
        role: What it runs.
        state: What the list says of it.
        zone: Its availability zone.
        callers: A daemon's address for callers.
        operators: A daemon's address for operators.
        peers: A daemon's address for other daemons.
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
    """Boxes that changed since a version, and the version now."""

    version: int
    boxes: list[ListedBox]
