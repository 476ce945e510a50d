"""Operators' changes to the configuration in the platform's store."""

import dataclasses
import time
from typing import Any
import uuid

from martenjunction import errors
from martenjunction.config import fleet
from martenjunction.objects import client as object_client
from martenjunction.objects import model

# Maximum number of previous versions that are stored in an object.
MAX_HISTORY = 10

# Maximum number of attempts of a write whose response is lost.
MAX_ATTEMPTS = 6

# Order of writes: sections that others refer to come first.
WRITE_ORDER = ("class", "service", "endpoint", "workspace", "binding", "policy")


@dataclasses.dataclass(frozen=True)
class Change:
    """An accepted change of an object.

    Attributes:
        key: The object's key.
        version: The object's version after the change.
        values: Settings of the object, or None if it was deleted.
        change_id: Unique id by which a write can be found whose response was
            lost.
        operator: Name of the operator who made the change.
        at: Time of the change in Unix seconds.
    """

    key: str
    version: int
    values: dict[str, str] | None
    change_id: str
    operator: str
    at: float


class ConflictError(errors.MartenjunctionError):
    """Another operator has changed the object concurrently.

    Attributes:
        theirs: The change that was accepted.
    """

    def __init__(self, theirs: Change, ours: dict[str, str] | None) -> None:
        self.theirs = theirs
        difference = "; ".join(diff_values(theirs.values, ours)) or "the same"
        super().__init__(
            f"{theirs.key} was changed by {theirs.operator or 'somebody'} to"
            f" version {theirs.version}; differences to your change:"
            f" {difference}"
        )


def values_of(item: model.PlatformObject) -> dict[str, str] | None:
    """Returns the values of a configuration object, or None if deleted."""
    if not isinstance(item.value, dict):
        return None
    values = item.value.get("values")
    return values if isinstance(values, dict) else None


def is_readable(item: model.PlatformObject) -> bool:
    """Returns whether an object was deleted, or holds text by key."""
    value = item.value
    if value is None:
        return True
    if not isinstance(value, dict):
        return False
    values = value.get("values")
    return values is None or (
        isinstance(values, dict)
        and all(isinstance(text, str) for text in values.values())
    )


def diff_values(
    old: dict[str, str] | None, new: dict[str, str] | None
) -> list[str]:
    """Returns a line for each key whose value differs."""
    before = old or {}
    after = new or {}
    lines = []
    for key in sorted(set(before) | set(after)):
        if before.get(key) != after.get(key):
            lines.append(
                f"{key}: {before.get(key, '(none)')} ->"
                f" {after.get(key, '(none)')}"
            )
    return lines


class Configuration:
    """Reads and changes configuration objects."""

    def __init__(
        self, platform: object_client.ObjectClient, operator: str
    ) -> None:
        """Initializes the service.

        Args:
            platform: Client of the platform's store.
            operator: Name of the operator who makes changes.
        """
        self._platform = platform
        self._operator = operator

    async def current(self) -> dict[str, Change]:
        """Returns the current version of every object by key.

        Raises:
            PlatformError: If the platform does not answer.
        """
        listed = await self._platform.list_objects(fleet.KEY_PREFIX)
        return {item.key: _to_change(item) for item in listed.objects}

    async def history(self, key: str) -> list[Change]:
        """Returns the versions of an object, newest first.

        Raises:
            PlatformError: If the platform does not answer.
        """
        item = await self._platform.get(key)
        if item is None:
            return []
        return [_to_change(item), *_previous_versions(item)]

    async def apply(self, documents: list[fleet.Document]) -> list[Change]:
        """Writes the documents that differ from the current objects.

        Each object is written by its own conditional update. After a conflict,
        the updates before it remain in effect.

        Args:
            documents: The validated documents.

        Returns:
            The accepted changes.

        Raises:
            ConflictError: If another operator has changed an object.
            PlatformError: If the platform does not answer.
        """
        current = await self.current()
        accepted = []
        for document in sorted(documents, key=_order_of):
            known = current.get(document.key)
            if known is not None and known.values == document.values:
                continue
            version = known.version if known is not None else 0
            accepted.append(
                await self.write(document.key, document.values, version)
            )
        return accepted

    async def rollback(self, key: str, version: int) -> Change:
        """Writes the values of a previous version as a new version.

        Raises:
            MartenjunctionError: If the version is not in the object's history.
            ConflictError: If another operator has changed the object.
            PlatformError: If the platform does not answer.
        """
        versions = await self.history(key)
        for change in versions:
            if change.version == version:
                return await self.write(key, change.values, versions[0].version)
        raise errors.MartenjunctionError(f"{key} has no version {version}")

    async def write(
        self, key: str, values: dict[str, str] | None, version: int
    ) -> Change:
        """Writes an object if it has the expected version.

        If the response is lost, the object's history is searched for the id of
        this change.

        Raises:
            ConflictError: If another operator has changed the object.
            PlatformError: If the platform does not answer, or if it is unknown
                whether the object was written.
        """
        existing = await self._platform.get(key)
        self._check(existing, key, version, values)
        value = envelope(values, self._operator, existing)
        change_id = value["change_id"]
        for _ in range(MAX_ATTEMPTS):
            try:
                written = await self._platform.put(key, value, version)
            except errors.PlatformUnavailableError:
                found = await self._find_change(key, change_id)
                if found is not None:
                    return found
            except errors.VersionConflictError:
                found = await self._find_change(key, change_id)
                if found is not None:
                    return found
                existing = await self._platform.get(key)
                self._check(existing, key, version, values)
            else:
                return _to_change(model.PlatformObject(key, written, value))
        raise errors.PlatformUnavailableError(
            f"it is unknown whether {key} was written; run apply again"
        )

    async def _find_change(self, key: str, change_id: str) -> Change | None:
        for change in await self.history(key):
            if change.change_id == change_id:
                return change
        return None

    def _check(
        self,
        existing: model.PlatformObject | None,
        key: str,
        version: int,
        values: dict[str, str] | None,
    ) -> None:
        current = existing.version if existing is not None else 0
        if current == version:
            return
        theirs = (
            _to_change(existing)
            if existing is not None
            else Change(key, 0, None, "", "", 0.0)
        )
        raise ConflictError(theirs, values)


def _order_of(document: fleet.Document) -> tuple[int, str]:
    return WRITE_ORDER.index(document.kind), document.name


def _to_change(item: model.PlatformObject) -> Change:
    value: dict[str, Any] = item.value if isinstance(item.value, dict) else {}
    return Change(
        item.key,
        item.version,
        values_of(item),
        str(value.get("change_id", "")),
        str(value.get("operator", "")),
        float(value.get("at", 0.0)),
    )


def _previous_versions(item: model.PlatformObject) -> list[Change]:
    rows = item.value.get("history", []) if isinstance(item.value, dict) else []
    return [
        Change(
            item.key,
            int(row["version"]),
            row["values"],
            str(row["change_id"]),
            str(row["operator"]),
            float(row["at"]),
        )
        for row in rows
    ]


def envelope(
    values: dict[str, str] | None,
    operator: str,
    existing: model.PlatformObject | None,
) -> dict[str, Any]:
    """Returns the value to store for a change, including the history.

    Args:
        values: Settings of the object, or None to delete it.
        operator: Name of the operator who makes the change.
        existing: The current object, whose history is continued, or None.
    """
    return {
        "values": values,
        "change_id": uuid.uuid4().hex,
        "operator": operator,
        "at": time.time(),
        "history": _extended_history(existing),
    }


def _extended_history(
    existing: model.PlatformObject | None,
) -> list[dict[str, Any]]:
    if existing is None:
        return []
    changes = [_to_change(existing), *_previous_versions(existing)]
    rows = [dataclasses.asdict(change) for change in changes[:MAX_HISTORY]]
    for row in rows:
        del row["key"]
    return rows
