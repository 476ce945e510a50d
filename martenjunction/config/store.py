"""The configuration in force on one daemon: versions only ever rise."""

import dataclasses
import logging
from typing import Any

import xxhash

from martenjunction import errors
from martenjunction.config import fleet

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigObject:
    """One configuration object at one version.

    Attributes:
        key: Its key in the platform.
        version: The platform's version; rises with every change of any
            object.
        values: Key to text, or None where the object was deleted.
    """

    key: str
    version: int
    values: dict[str, str] | None


class ConfigStore:
    """Holds the newest version seen of every object.

    Attributes:
        config: What is in force; replaced as a whole on every change.
    """

    def __init__(self) -> None:
        self._objects: dict[str, ConfigObject] = {}
        self._rejected: dict[str, str] = {}
        self._digest = 0
        self._revision = 0
        self.config = fleet.FleetConfig()

    @property
    def revision(self) -> int:
        """The highest version applied."""
        return self._revision

    @property
    def digest(self) -> int:
        """A 64-bit sum over all keys and versions."""
        return self._digest

    @property
    def rejected(self) -> dict[str, str]:
        """Objects whose newest version is not valid, with the reason."""
        return dict(self._rejected)

    def __len__(self) -> int:
        return len(self._objects)

    def version_of(self, key: str) -> int:
        """Returns the version held of an object; 0 for none."""
        held = self._objects.get(key)
        return held.version if held is not None else 0

    def after(self, version: int) -> list[ConfigObject]:
        """Returns the objects above a version, in the order of versions."""
        newer = [o for o in self._objects.values() if o.version > version]
        return sorted(newer, key=lambda o: o.version)

    def apply(self, objects: list[ConfigObject]) -> list[ConfigObject]:
        """Puts in force what is newer than what is held.

        Args:
            objects: In any order, from any source.

        Returns:
            Those that were newer.
        """
        newer = []
        values: dict[str, Any] = {}
        for item in objects:
            if item.version > self.version_of(item.key):
                self._take(item, values)
                newer.append(item)
        if values:
            self.config = fleet.replace(self.config, values)
        return newer

    def _take(self, item: ConfigObject, values: dict[str, Any]) -> None:
        held = self._objects.get(item.key)
        if held is not None:
            self._digest ^= _hash(held)
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
            # It was accepted all the same, by a daemon of another version
            # perhaps: the last valid value stays in force, and it shows.
            self._rejected[item.key] = str(error)
            logger.error("%s is not valid: %s", item.key, error)


def parse_object(item: ConfigObject) -> Any:
    """Returns the checked value of an object.

    Raises:
        SettingsError: If it is not valid.
    """
    path = item.key.removeprefix(fleet.KEY_PREFIX)
    kind, _, name = path.partition("/")
    return fleet.parse_document(fleet.Document(kind, name, item.values or {}))


def _hash(item: ConfigObject) -> int:
    return xxhash.xxh3_64_intdigest(f"{item.key}\x00{item.version}".encode())
