"""Our own objects by key, over the platform's one store client.

A key such as `config/class/quote` is an object of the kind named after its
first part; the rest is its name.
"""

from typing import Any

import msgspec

from martenjunction import errors
from martenjunction import revisions
from martenjunction.objects import model
from martenjunction.platform import store

KIND_PREFIX = "martenjunction-"
LISTED_KIND = "martenjunction-listed"


class ObjectClient:
    """Reads, conditionally writes and watches objects."""

    def __init__(self, url: str) -> None:
        """Makes a client.

        Args:
            url: The platform's address, such as `http://127.0.0.1:6000`.
        """
        address = url.removeprefix("http://").rstrip("/")
        self._store = store.StoreClient(address)

    @property
    def calls(self) -> dict[str, int]:
        """Calls made so far, by kind."""
        return self._store.calls

    def close(self) -> None:
        """Ends all kept connections."""
        self._store.close()

    async def get(self, key: str) -> model.PlatformObject | None:
        """Returns an object, or None.

        Raises:
            PlatformError: If there is no answer.
        """
        kind, name = split_key(key)
        found = await self._store.get(kind, name)
        return None if found is None else _object(key, found)

    async def put(self, key: str, value: Any, version: int) -> int:
        """Writes an object if it is still at a version.

        Args:
            key: The object's key.
            value: Anything that JSON can hold.
            version: The version it must have; 0 if it must not exist.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If it has another version.
            PlatformRefusedError: If it was not carried out.
            PlatformUnavailableError: If it may or may not have taken effect.
        """
        kind, name = split_key(key)
        try:
            if version == 0:
                written = await self._store.create(kind, name, value)
            else:
                expected = revisions.Revision(self._store.era, version)
                written = await self._store.replace(kind, name, value, expected)
        except errors.VersionConflictError as error:
            raise errors.VersionConflictError(key, error.current) from error
        return written.revision.number

    async def list_objects(self, prefix: str) -> model.ObjectList:
        """Returns all objects whose keys begin with a prefix.

        Args:
            prefix: The first part of the keys, with its slash.

        Raises:
            PlatformError: If there is no answer.
        """
        kind, _ = split_key(prefix)
        listing = await self._store.list(kind)
        return model.ObjectList(
            listing.revision.number,
            [_object(prefix + found.name, found) for found in listing.objects],
        )

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> model.ObjectList | None:
        """Waits for changes.

        Args:
            prefix: The first part of the keys, with its slash.
            after: The version up to which changes are known.
            wait: Seconds to wait for the first change.

        Returns:
            The objects changed since, deleted ones with no value; or None
            if the version is too old and the objects must be listed anew.

        Raises:
            PlatformError: If there is no answer.
        """
        kind, _ = split_key(prefix)
        try:
            revision = revisions.Revision(self._store.era, after)
            answer = await self._store.watch(kind, revision, wait)
        except errors.HistoryLostError:
            return None
        newest = {change.object.name: change for change in answer.changes}
        return model.ObjectList(
            answer.revision.number,
            [
                model.PlatformObject(
                    prefix + name, change.object.revision.number
                )
                if change.deleted
                else _object(prefix + name, change.object)
                for name, change in newest.items()
            ],
        )

    async def boxes(self, after: int) -> model.BoxList:
        """Returns the boxes that changed since a version of the list.

        Raises:
            PlatformError: If there is no answer.
        """
        listing = await self._store.list(LISTED_KIND)
        try:
            boxes = [
                msgspec.json.decode(found.spec, type=model.ListedBox)
                for found in listing.objects
                if found.revision.number > after
            ]
        except msgspec.MsgspecError as error:
            raise errors.PlatformUnavailableError(
                f"the list cannot be read: {error}"
            ) from error
        newest = max(
            (found.revision.number for found in listing.objects), default=0
        )
        return model.BoxList(newest, boxes)


def split_key(key: str) -> tuple[str, str]:
    """Returns the kind and the name of the object under a key."""
    first, _, rest = key.partition("/")
    return KIND_PREFIX + first, rest


def _object(key: str, found: store.StoredObject) -> model.PlatformObject:
    try:
        value = msgspec.json.decode(found.spec)
    except msgspec.MsgspecError as error:
        raise errors.PlatformUnavailableError(
            f"{key} cannot be read: {error}"
        ) from error
    return model.PlatformObject(key, found.revision.number, value)
