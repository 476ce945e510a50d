"""Access to objects by key, on top of the client of the platform's store.

The first part of a key such as `config/class/quote` determines the object's
kind; the rest is its name.
"""

from collections.abc import Iterable
import logging
from typing import Any

from martenjunction import decoding
from martenjunction import errors
from martenjunction import revisions
from martenjunction.objects import model
from martenjunction.platform import store

logger = logging.getLogger(__name__)

KIND_PREFIX = "martenjunction-"
LISTED_KIND = "martenjunction-listed"


class ObjectClient:
    """Reads, conditionally writes and watches objects."""

    def __init__(self, url: str) -> None:
        """Initializes the client.

        Args:
            url: The platform's URL, such as `http://127.0.0.1:6000`.
        """
        address = url.removeprefix("http://").rstrip("/")
        self._store = store.StoreClient(address)

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls by operation."""
        return self._store.calls

    def close(self) -> None:
        """Closes all idle connections."""
        self._store.close()

    async def get(self, key: str) -> model.PlatformObject | None:
        """Returns an object, or None if it does not exist.

        Raises:
            PlatformError: If the platform rejects or does not answer the call.
        """
        kind, name = split_key(key)
        stored = await self._store.get(kind, name)
        return None if stored is None else _object(key, stored)

    async def put(self, key: str, value: Any, version: int) -> int:
        """Writes an object if it has the expected version.

        Args:
            key: The object's key.
            value: A value that can be encoded as JSON.
            version: The expected version, or 0 if the object must not exist.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If the object has another version.
            PlatformRefusedError: If the call had no effect.
            PlatformUnavailableError: If it is unknown whether the object was
                written.
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
        """Returns all objects whose keys start with a prefix.

        Objects that cannot be decoded are left out and logged.

        Args:
            prefix: The first part of the keys, including the slash.

        Raises:
            PlatformError: If the platform rejects or does not answer a call.
        """
        kind, _ = split_key(prefix)
        listing = await self._store.list(kind)
        return model.ObjectList(
            listing.revision.number,
            _readable(prefix, listing.objects),
        )

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> model.ObjectList | None:
        """Waits for changes.

        Args:
            prefix: The first part of the keys, including the slash.
            after: The version up to which changes are known.
            wait: Seconds to wait for the first change.

        Returns:
            The objects changed since then, where deleted ones have no value
            and those that cannot be decoded are left out and logged; or None if
            the version is too old and the objects must be listed again.

        Raises:
            PlatformError: If the platform rejects or does not answer the call.
        """
        kind, _ = split_key(prefix)
        try:
            revision = revisions.Revision(self._store.era, after)
            response = await self._store.watch(kind, revision, wait)
        except errors.HistoryLostError:
            return None
        newest = {change.object.name: change for change in response.changes}
        return model.ObjectList(
            response.revision.number,
            [
                model.PlatformObject(
                    prefix + name, change.object.revision.number
                )
                for name, change in newest.items()
                if change.deleted
            ]
            + _readable(
                prefix,
                [c.object for c in newest.values() if not c.deleted],
            ),
        )

    async def boxes(self, after: int) -> model.BoxList:
        """Returns the boxes that changed after a version of the list.

        Boxes that cannot be decoded are left out and logged.

        Raises:
            PlatformError: If the platform rejects or does not answer the call.
        """
        listing = await self._store.list(LISTED_KIND)
        boxes = []
        for stored in listing.objects:
            if stored.revision.number <= after:
                continue
            try:
                boxes.append(decoding.from_json(stored.spec, model.ListedBox))
            except errors.MalformedError as error:
                logger.warning("unreadable box %s: %s", stored.name, error)
        newest = max(
            (stored.revision.number for stored in listing.objects), default=0
        )
        return model.BoxList(newest, boxes, listing.revision.number)


def split_key(key: str) -> tuple[str, str]:
    """Returns the kind and name of the object with a key."""
    first, _, name = key.partition("/")
    return KIND_PREFIX + first, name


def _readable(
    prefix: str, found: Iterable[store.StoredObject]
) -> list[model.PlatformObject]:
    """Returns the objects that can be decoded; logs the others."""
    objects = []
    for stored in found:
        try:
            objects.append(_object(prefix + stored.name, stored))
        except errors.PlatformUnavailableError as error:
            logger.warning("unreadable object: %s", error)
    return objects


def _object(key: str, stored: store.StoredObject) -> model.PlatformObject:
    try:
        value = decoding.value_from_json(stored.spec)
    except errors.MalformedError as error:
        raise errors.PlatformUnavailableError(
            f"malformed value of {key}: {error}"
        ) from error
    return model.PlatformObject(key, stored.revision.number, value)
