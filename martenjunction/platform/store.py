"""Calls to the platform's store of objects; every call is counted."""

import asyncio
import collections
import dataclasses
from typing import Any
from urllib import parse

import msgspec

from martenjunction import errors
from martenjunction.http1 import client

# Seconds for a connection, for the head of an answer beyond a watch's own wait
# and for each further part of it, and for all its parts. A document of 370 kB
# takes 0.6 s over a link of 5 Mbit/s, and more beside other traffic.
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
BODY_TIMEOUT_S = 4.0

# Connections that are kept for later calls.
KEPT_CONNECTIONS = 3

# Pages that one list may have.
MAX_PAGES = 200

_JSON = (b"Content-Type", b"application/json")


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0
    deletion_pending: bool = False


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct):
    current_rev: int
    entries: list[_Object] = []
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    current_rev: int
    events: list[_Event] = []


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object.

    Attributes:
        name: Its name within its kind.
        revision: The revision of its last change.
        spec: Its content as JSON.
    """

    name: str
    revision: int
    spec: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, and the store's revision then."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of an object, or its end."""

    object: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes since a revision, in order, and the revision after them."""

    changes: tuple[Change, ...]
    revision: int


class StoreClient:
    """Reads, watches and writes objects of the store."""

    def __init__(self, address: str) -> None:
        """Makes a client; it connects when it is first used.

        Args:
            address: IP address and port of the store.
        """
        self._address = address
        self._kept: list[client.ClientConnection] = []
        self._calls: collections.Counter[str] = collections.Counter()

    @property
    def calls(self) -> dict[str, int]:
        """Calls made so far, by what they did."""
        return dict(self._calls)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object as it stands now, or None.

        Raises:
            PlatformError: If there is no answer.
        """
        status, body = await self._call("get", "GET", _path(kind, name))
        if status == 404:
            return None
        return _object(_decode(status, body, _Object))

    async def list(self, kind: str, may_be_old: bool = False) -> Listing:
        """Returns all objects of a kind as they stand now.

        Args:
            kind: The kind.
            may_be_old: Whether the answer may be some seconds old; such a
                call costs a tenth.

        Raises:
            PlatformError: If there is no answer.
        """
        objects: list[StoredObject] = []
        after: str | None = None
        for _ in range(MAX_PAGES):
            query = {} if after is None else {"since_rev": after}
            if may_be_old:
                query["allow_stale"] = "1"
            path = _path(kind, query=query)
            status, body = await self._call("list", "GET", path)
            page = _decode(status, body, _Listing)
            objects.extend(_object(entry) for entry in page.entries)
            if not page.has_more or not page.entries:
                return Listing(tuple(objects), page.current_rev)
            # Pages go on after a name, although the field speaks of a
            # revision.
            after = page.entries[-1].metadata.name
        raise errors.PlatformRefusedError(f"{kind} has too many pages")

    async def watch(self, kind: str, after: int, wait_s: float) -> Changes:
        """Waits for changes of a kind.

        Args:
            kind: The kind.
            after: The revision up to which changes are known.
            wait_s: Seconds to wait for the first change.

        Raises:
            HistoryLostError: If the store dropped changes since `after`.
            PlatformError: If there is no answer.
        """
        query = {"watch": str(after), "wait_ms": str(round(wait_s * 1000))}
        status, body = await self._call(
            "watch",
            "GET",
            _path(kind, query=query),
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        if status == 410:
            raise errors.HistoryLostError(f"changes after {after} are gone")
        answer = _decode(status, body, _Events)
        return Changes(
            tuple(
                Change(_object(event.object), event.deleted)
                for event in answer.events
            ),
            answer.current_rev,
        )

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Makes an object.

        Raises:
            VersionConflictError: If there is one of that name.
            PlatformRefusedError: If nothing was done.
            PlatformUnavailableError: If it may or may not have been made.
        """
        document = {"metadata": {"name": name}, "spec": spec}
        return await self._write("create", "POST", _path(kind), name, document)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int | None
    ) -> StoredObject:
        """Replaces an object's content.

        Args:
            kind: The kind.
            name: The object.
            spec: The new content.
            revision: The revision that it must have; None for any.

        Raises:
            VersionConflictError: If it has another revision.
            PlatformRefusedError: If nothing was done.
            PlatformUnavailableError: If it may or may not have been done.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision
        document = {"metadata": metadata, "spec": spec}
        path = _path(kind, name)
        return await self._write("replace", "PUT", path, name, document)

    async def delete(self, kind: str, name: str, revision: int | None) -> None:
        """Removes an object; one that is not there is no error.

        Raises:
            VersionConflictError: If it has another revision.
            PlatformError: If it was not, or may not have been, removed.
        """
        query = {} if revision is None else {"revision": str(revision)}
        status, body = await self._call(
            "delete", "DELETE", _path(kind, name, query)
        )
        if status == 409:
            raise errors.VersionConflictError(name, _revision_in(body))
        if status not in (200, 204, 404):
            _decode(status, body, _Object)

    def close(self) -> None:
        """Ends all kept connections."""
        for connection in self._kept:
            connection.abort()
        self._kept.clear()

    async def _write(
        self, what: str, method: str, path: str, name: str, document: Any
    ) -> StoredObject:
        body = msgspec.json.encode(document)
        status, answer = await self._call(what, method, path, body)
        if status == 409:
            raise errors.VersionConflictError(name, _revision_in(answer))
        return _object(_decode(status, answer, _Object))

    async def _call(
        self,
        what: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Makes one call; a connection without an answer is not used again."""
        self._calls[what] += 1
        connection = await self._connect()
        headers = [(b"Host", self._address.encode())]
        if body:
            headers += [_JSON, (b"Content-Length", str(len(body)).encode())]
        try:
            async with connection.answer_within(timeout_s):
                connection.send(method.encode(), path.encode(), headers, body)
                head = await connection.read_head()
            async with connection.answer_within(BODY_TIMEOUT_S):
                answer = await _body(connection)
        except (errors.TransportError, TimeoutError) as error:
            connection.abort()
            raise errors.PlatformUnavailableError(
                f"no answer to {what}: {error or 'time-out'}"
            ) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.finish():
            self._keep(connection)
        return head.status, answer

    async def _connect(self) -> client.ClientConnection:
        while self._kept:
            connection = self._kept.pop()
            if connection.is_quiet():
                return connection
            connection.abort()
        connection = client.ClientConnection(self._address)
        try:
            await connection.open(CONNECT_TIMEOUT_S)
        except errors.ConnectError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        return connection

    def _keep(self, connection: client.ClientConnection) -> None:
        if len(self._kept) < KEPT_CONNECTIONS:
            self._kept.append(connection)
        else:
            connection.abort()


async def _body(connection: client.ClientConnection) -> bytes:
    parts: list[bytes] = []
    while True:
        async with connection.answer_within(CALL_TIMEOUT_S):
            part = await connection.read_body()
        if not part:
            return b"".join(parts)
        parts.append(part)


def _path(
    kind: str, name: str | None = None, query: dict[str, str] | None = None
) -> str:
    path = f"/objects/{parse.quote(kind, safe='')}"
    if name is not None:
        path += f"/{parse.quote(name, safe='')}"
    return f"{path}?{parse.urlencode(query)}" if query else path


def _object(wire: _Object) -> StoredObject:
    return StoredObject(
        wire.metadata.name, wire.metadata.revision, bytes(wire.spec)
    )


def _decode(status: int, body: bytes, wanted: Any) -> Any:
    if status in (429, 503):
        raise errors.PlatformRefusedError(f"status {status}")
    if status not in (200, 201):
        raise errors.PlatformUnavailableError(f"status {status}")
    try:
        return msgspec.json.decode(body, type=wanted)
    except msgspec.MsgspecError as error:
        raise errors.PlatformUnavailableError(
            f"the answer cannot be read: {error}"
        ) from error


def _revision_in(body: bytes) -> int:
    """Returns the revision in a refusal of a conditional write, or 0."""
    try:
        return msgspec.json.decode(body, type=_Object).metadata.revision
    except msgspec.MsgspecError:
        return 0
