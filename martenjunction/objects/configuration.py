"""How operators change the configuration that the platform keeps."""

import dataclasses
import time
from typing import Any
import uuid

from martenjunction import errors
from martenjunction.config import fleet
from martenjunction.objects import client as object_client
from martenjunction.objects import model

# Former versions that are kept in an object.
MAX_HISTORY = 10

# Tries of one write whose reply is lost.
MAX_TRIES = 6

# Sections that others refer to are written first.
ORDER = ("class", "service", "endpoint", "workspace", "binding", "policy")


@dataclasses.dataclass(frozen=True)
class Change:
    """One accepted change of one object.

    Attributes:
        key: The object.
        version: Its version since.
        values: Key to text, or None where it was deleted.
        change_id: Unique; finds a write again whose reply was lost.
        operator: Who made it.
        at: Wall-clock time, in seconds since 1970.
    """

    key: str
    version: int
    values: dict[str, str] | None
    change_id: str
    operator: str
    at: float


class ConflictError(errors.MartenjunctionError):
    """Another operator changed an object first.

    Attributes:
        theirs: The change that stands.
    """

    def __init__(self, theirs: Change, ours: dict[str, str] | None) -> None:
        self.theirs = theirs
        difference = "; ".join(diff_values(theirs.values, ours)) or "the same"
        super().__init__(
            f"{theirs.key} was changed by {theirs.operator or 'somebody'} to"
            f" version {theirs.version}; theirs against yours: {difference}"
        )


def values_of(item: model.PlatformObject) -> dict[str, str] | None:
    """Returns the values in a configuration object, or None if deleted."""
    if not isinstance(item.value, dict):
        return None
    values = item.value.get("values")
    return values if isinstance(values, dict) else None


def diff_values(
    old: dict[str, str] | None, new: dict[str, str] | None
) -> list[str]:
    """Returns the keys that differ, one line each."""
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
        """Makes the service.

        Args:
            platform: Where the objects are.
            operator: Who changes them.
        """
        self._platform = platform
        self._operator = operator

    async def current(self) -> dict[str, Change]:
        """Returns every object as it stands.

        Raises:
            PlatformError: If the platform does not answer.
        """
        listed = await self._platform.list_objects(fleet.KEY_PREFIX)
        return {item.key: _to_change(item) for item in listed.objects}

    async def history(self, key: str) -> list[Change]:
        """Returns an object's versions, the newest first.

        Raises:
            PlatformError: If the platform does not answer.
        """
        item = await self._platform.get(key)
        if item is None:
            return []
        return [_to_change(item), *_former(item)]

    async def apply(self, documents: list[fleet.Document]) -> list[Change]:
        """Writes what differs from what stands.

        Each object is one conditional update. Where one of them meets a
        conflict, those before it stand.

        Args:
            documents: Checked documents.

        Returns:
            The accepted changes.

        Raises:
            ConflictError: If another operator was first.
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
        """Writes an object's former values as a new version.

        Raises:
            MartenjunctionError: If the object never had that version.
            ConflictError: If another operator was first.
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
        """Writes one object if it is still at a version.

        A lost reply is resolved by reading the object back and looking for
        the id of this change.

        Raises:
            ConflictError: If another operator was first.
            PlatformError: If the platform does not answer.
        """
        held = await self._platform.get(key)
        self._check(held, key, version, values)
        value = envelope(values, self._operator, held)
        change_id = value["change_id"]
        for _ in range(MAX_TRIES):
            try:
                written = await self._platform.put(key, value, version)
            except errors.PlatformUnavailableError:
                found = await self._find(key, change_id)
                if found is not None:
                    return found
            except errors.VersionConflictError:
                found = await self._find(key, change_id)
                if found is not None:
                    return found
                held = await self._platform.get(key)
                self._check(held, key, version, values)
            else:
                return _to_change(model.PlatformObject(key, written, value))
        raise errors.PlatformUnavailableError(
            f"it is not known whether {key} was written; run apply again"
        )

    async def _find(self, key: str, change_id: str) -> Change | None:
        for change in await self.history(key):
            if change.change_id == change_id:
                return change
        return None

    def _check(
        self,
        held: model.PlatformObject | None,
        key: str,
        version: int,
        values: dict[str, str] | None,
    ) -> None:
        current = held.version if held is not None else 0
        if current == version:
            return
        theirs = (
            _to_change(held)
            if held is not None
            else Change(key, 0, None, "", "", 0.0)
        )
        raise ConflictError(theirs, values)


def _order_of(document: fleet.Document) -> tuple[int, str]:
    return ORDER.index(document.kind), document.name


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


def _former(item: model.PlatformObject) -> list[Change]:
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
    held: model.PlatformObject | None,
) -> dict[str, Any]:
    """Returns what the platform is to keep of a change.

    Args:
        values: Key to text, or None to delete the object.
        operator: Who makes the change.
        held: The object as it stands, whose history goes on.
    """
    return {
        "values": values,
        "change_id": uuid.uuid4().hex,
        "operator": operator,
        "at": time.time(),
        "history": _history_with(held),
    }


def _history_with(
    held: model.PlatformObject | None,
) -> list[dict[str, Any]]:
    if held is None:
        return []
    changes = [_to_change(held), *_former(held)]
    rows = [dataclasses.asdict(change) for change in changes[:MAX_HISTORY]]
    for row in rows:
        del row["key"]
    return rows
