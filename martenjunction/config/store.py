"""The active configuration of a daemon; versions never decrease."""

import dataclasses
import logging
from typing import Any

import xxhash

from martenjunction import errors
from martenjunction.config import fleet

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigObject:
    """A configuration object at one version.

    Attributes:
        key: Its key in the platform.
        version: Version assigned by the platform; increases with every
            change of any object.
        values: Text by key, or None if the object was deleted.
    """

    key: str
    version: int
    values: dict[str, str] | None


class ConfigStore:
    """Holds the newest known version of every object.

    Attributes:
        config: The active configuration; replaced, not modified, on every
            change.
    """

    def __init__(self) -> None:
        self._objects: dict[str, ConfigObject] = {}
        self._rejected: dict[str, str] = {}
        self._digest = 0
        self._revision = 0
        self.config = fleet.FleetConfig()

    @property
    def revision(self) -> int:
        """The highest applied version."""
        return self._revision

    @property
    def digest(self) -> int:
        """A 64-bit checksum of all keys and versions."""
        return self._digest

    @property
    def rejected(self) -> dict[str, str]:
        """Reasons by key for objects whose newest version is invalid."""
        return dict(self._rejected)

    def __len__(self) -> int:
        return len(self._objects)

    def version_of(self, key: str) -> int:
        """Returns the current version of an object, or 0 if unknown."""
        current = self._objects.get(key)
        return current.version if current is not None else 0

    def objects_after(self, version: int) -> list[ConfigObject]:
        """Returns the objects newer than a version, ordered by version."""
        newer = [o for o in self._objects.values() if o.version > version]
        return sorted(newer, key=lambda o: o.version)

    def apply(self, objects: list[ConfigObject]) -> list[ConfigObject]:
        """Applies the objects that are newer than the current ones.

        Args:
            objects: Objects in any order, from the platform or from peers.

        Returns:
            The objects that were applied.
        """
        newer = []
        values: dict[str, Any] = {}
        for item in objects:
            if item.version > self.version_of(item.key):
                self._apply_object(item, values)
                newer.append(item)
        if values:
            self.config = fleet.replace(self.config, values)
        return newer

    def _apply_object(self, item: ConfigObject, values: dict[str, Any]) -> None:
        current = self._objects.get(item.key)
        if current is not None:
            self._digest ^= _hash(current)
        self._digest ^= _hash(item)
        self._objects[item.key] = item
        self._revision = max(self._revision, item.version)
        self._rejected.pop(item.key, None)
        if item.values is None:
            values[item.key] = None
            return
        try:
            values[item.key] = parse_object(item)
        except errors.SettingsError as error:
            # The platform accepted the object, perhaps from a daemon of
            # another version: the last valid value stays active, and
            # `rejected` and the log report the error.
            self._rejected[item.key] = str(error)
            logger.error(
                "configuration object %s is not valid: %s", item.key, error
            )


def parse_object(item: ConfigObject) -> Any:
    """Returns the validated value of an object.

    Raises:
        SettingsError: If it is not valid.
    """
    path = item.key.removeprefix(fleet.KEY_PREFIX)
    kind, _, name = path.partition("/")
    return fleet.parse_document(fleet.Document(kind, name, item.values or {}))


def _hash(item: ConfigObject) -> int:
    return xxhash.xxh3_64_intdigest(f"{item.key}\x00{item.version}".encode())
