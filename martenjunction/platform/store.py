"""Client of the platform's object store that counts its calls."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any
from typing import TypeVar
from urllib import parse

import msgspec

from martenjunction import errors
from martenjunction import revisions
from martenjunction.http1 import messages
from martenjunction.platform import http_calls
from martenjunction.platform import list_extent
from martenjunction.platform import store_answers

# Timeout in seconds for the head of a response, in addition to the wait of a
# watch.
CALL_TIMEOUT_S = 1.0

# Header of all responses; increases when the store is restored from a backup.
_ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 18

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: The name within its kind.
        revision: The revision of its last change.
        spec: The content as JSON.
    """

    name: str
    revision: revisions.Revision
    spec: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind.

    Attributes:
        objects: The objects; those of later pages may have changed after
            `revision`.
        revision: The store's revision from which a watch reports all changes
            that the list may lack.
        unnamed: The number of objects left out for lack of a readable name.
    """

    objects: tuple[StoredObject, ...]
    revision: revisions.Revision
    unnamed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change or deletion of an object."""

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Ordered changes since a revision, and the revision after them."""

    changes: tuple[Change, ...]
    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """A response of the store.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        era: The era of the store that the response belongs to.
    """

    status: int
    body: bytes
    era: int


class StoreClient:
    """Reads, watches and writes objects of the store."""

    def __init__(self, address: str, memory_bytes: int | None = None) -> None:
        """Initializes the client, which connects on first use.

        Args:
            address: IP address and port of the store.
            memory_bytes: Memory of this box, in bytes, if it is limited.
        """
        self._memory_bytes = memory_bytes
        self._http = http_calls.HttpCalls(address)
        self._calls: collections.Counter[str] = collections.Counter()
        self._era = 0
        self._on_era_change: Callable[[int], None] = lambda era: None

    @property
    def era(self) -> int:
        """The highest known era of the store, or 0 if none is known."""
        return self._era

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls by operation."""
        return dict(self._calls)

    def on_era_change(self, callback: Callable[[int], None]) -> None:
        """Sets the callback for new eras; the first one is not reported."""
        self._on_era_change = callback

    def update_era(self, era: int) -> None:
        """Records the store's era, as reported by a response or a peer."""
        if era <= self._era:
            return
        is_change = self._era > 0
        self._era = era
        if is_change:
            self._on_era_change(era)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns the current version of an object, or None.

        Raises:
            PlatformError: If the store rejects or does not answer the call.
        """
        response = await self._call("get", "GET", _path(kind, name))
        if response.status == 404:
            return None
        return await _object_in(response)

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """Returns the current version of all objects of a kind.

        Args:
            kind: The kind.
            allow_stale: Whether the response may be some seconds old, which
                reduces the cost of the call to a tenth.

        Raises:
            PlatformError: If the store rejects or does not answer a call.
        """
        objects: list[StoredObject] = []
        unnamed = 0
        after: str | None = None
        first: revisions.Revision | None = None
        extent = list_extent.ListExtent(self._memory_bytes)
        while True:
            query = {} if after is None else {"since_rev": after}
            if allow_stale:
                query["allow_stale"] = "1"
            response = await self._call("list", "GET", _path(kind, query=query))
            page = await _decode(response, store_answers.decode_page)
            extent.add(page)
            era = response.era
            # Entries of earlier pages may change before the later pages.
            first = first or revisions.Revision(era, page.current_rev)
            if era != first.era:
                raise errors.PlatformRefusedError(
                    f"pages of {kind} are from eras {first.era} and {era}"
                )
            objects.extend(_object(entry, era) for entry in page.entries)
            unnamed += page.unnamed
            if not page.has_more or not page.entries:
                return Listing(tuple(objects), first, unnamed)
            # Despite the parameter's name, the next page starts after a name,
            # not a revision.
            after = page.entries[-1].metadata.name

    async def watch(
        self, kind: str, after: revisions.Revision, wait_s: float
    ) -> Changes:
        """Waits for changes of a kind.

        Args:
            kind: The kind.
            after: The revision up to which changes are known.
            wait_s: Seconds to wait for the first change.

        Raises:
            HistoryLostError: If the store has dropped changes since `after`,
                has been restored from a backup since then, or sends more of
                them than a response may have, or one that cannot be read.
            PlatformError: If the store rejects or does not answer the call.
        """
        wait_ms = str(round(wait_s * 1000))
        query = {"watch": str(after.number), "wait_ms": wait_ms}
        try:
            response = await self._call(
                "watch",
                "GET",
                _path(kind, query=query),
                timeout_s=wait_s + CALL_TIMEOUT_S,
            )
        except errors.PlatformAnswerTooLargeError as error:
            # The same watch would fail again; a list comes in pages.
            raise errors.HistoryLostError(
                f"the changes after {after} do not fit into a response"
            ) from error
        if response.status == 410:
            raise errors.HistoryLostError(
                f"the store has dropped changes after {after}"
            )
        decoded = await _decode(response, store_answers.decode_events)
        if response.era != after.era:
            # The store may already have reused this number, so that changes
            # would be missed.
            raise errors.HistoryLostError(
                f"revision {after} is not from era {response.era}"
            )
        return Changes(
            tuple(
                Change(_object(event.object, response.era), event.deleted)
                for event in decoded.events
            ),
            revisions.Revision(response.era, decoded.current_rev),
        )

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Creates an object.

        Raises:
            VersionConflictError: If an object of that name exists.
            PlatformRefusedError: If the call had no effect.
            PlatformUnavailableError: If it is unknown whether the object was
                created.
        """
        document = {"metadata": {"name": name}, "spec": spec}
        return await self._write("create", "POST", _path(kind), name, document)

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: revisions.Revision | None,
    ) -> StoredObject:
        """Replaces an object's content.

        Args:
            kind: The kind.
            name: The object.
            spec: The new content.
            revision: The expected revision, or None for any.

        Raises:
            VersionConflictError: If the object has another revision.
            ObjectMissingError: If there is no such object.
            PlatformRefusedError: If the call had no effect.
            PlatformUnavailableError: If it is unknown whether the object was
                replaced.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            self._check_era(name, revision)
            metadata["revision"] = revision.number
        document = {"metadata": metadata, "spec": spec}
        path = _path(kind, name)
        return await self._write("replace", "PUT", path, name, document)

    async def delete(
        self, kind: str, name: str, revision: revisions.Revision | None
    ) -> None:
        """Deletes an object, if it exists.

        Raises:
            VersionConflictError: If the object has another revision.
            PlatformError: If the object was not, or may not have been, deleted.
        """
        query = {}
        if revision is not None:
            self._check_era(name, revision)
            query["revision"] = str(revision.number)
        response = await self._call(
            "delete", "DELETE", _path(kind, name, query)
        )
        await _check_conflict(name, response)
        if response.status not in (200, 204, 404):
            _check_status(response)

    def close(self) -> None:
        """Closes all idle connections."""
        self._http.close()

    async def _write(
        self, operation: str, method: str, path: str, name: str, document: Any
    ) -> StoredObject:
        body = msgspec.json.encode(document)
        response = await self._call(operation, method, path, body)
        if response.status == 404:
            raise errors.ObjectMissingError(f"{name} does not exist")
        await _check_conflict(name, response)
        return await _object_in(response)

    def _check_era(self, name: str, revision: revisions.Revision) -> None:
        """Rejects a condition on a revision of an earlier era.

        The store may have reused its number for another change.

        Raises:
            VersionConflictError: If the revision is of an earlier era.
        """
        if revision.era < self.era:
            raise errors.VersionConflictError(name, 0)

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Response:
        """Makes a call and closes the connection if no response is received."""
        self._calls[operation] += 1
        head, content, connection = await self._http.call(
            operation, method, path, body, timeout_s
        )
        era = _era_in(head)
        if era is None:
            era = self.era
        if era < self.era:
            connection.abort()
            raise errors.PlatformUnavailableError(
                f"response to {operation} is from era {era}, before {self.era}"
            )
        self._http.release(connection)
        self.update_era(era)
        return _Response(head.status, content, era)


def _path(
    kind: str, name: str | None = None, query: dict[str, str] | None = None
) -> str:
    path = f"/objects/{parse.quote(kind, safe='')}"
    if name is not None:
        path += f"/{parse.quote(name, safe='')}"
    return f"{path}?{parse.urlencode(query)}" if query else path


def _era_in(head: messages.ResponseHead) -> int | None:
    """Returns the era in the head of a response, or None."""
    value = messages.header(head.headers, _ERA_HEADER)
    if value is None or len(value) > MAX_ERA_DIGITS or not value.isdigit():
        return None
    return int(value)


def _object(wire: store_answers.WireObject, era: int) -> StoredObject:
    revision = revisions.Revision(era, wire.metadata.revision)
    return StoredObject(wire.metadata.name, revision, bytes(wire.spec))


async def _object_in(response: _Response) -> StoredObject:
    wire = await _decode(response, store_answers.decode_object)
    return _object(wire, response.era)


def _check_status(response: _Response) -> None:
    if response.status in (429, 503):
        raise errors.PlatformRefusedError(f"status {response.status}")
    if response.status not in (200, 201):
        raise errors.PlatformUnavailableError(f"status {response.status}")


async def _decode(
    response: _Response, decode: Callable[[bytes], Awaitable[T]]
) -> T:
    _check_status(response)
    try:
        return await decode(response.body)
    except errors.MalformedError as error:
        raise errors.PlatformUnavailableError(
            f"malformed response: {error}"
        ) from error


async def _check_conflict(name: str, response: _Response) -> None:
    """Raises VersionConflictError if a conditional write was rejected."""
    if response.status != 409:
        return
    current = 0
    with contextlib.suppress(errors.MalformedError):
        found = await store_answers.decode_object(response.body)
        current = found.metadata.revision
    raise errors.VersionConflictError(name, current)
