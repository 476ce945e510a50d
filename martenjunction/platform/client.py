"""Calls to the platform's object API; every call is counted."""

import collections
import json
from typing import Any
from typing import TypeVar
from urllib import parse

import pydantic

from martenjunction import errors
from martenjunction.endpoints import client
from martenjunction.endpoints import streams
from martenjunction.platform import protocol

T = TypeVar("T")

# Seconds that a call may take, beyond the time a watch is asked to wait.
CALL_TIMEOUT = 3.0
MAX_ANSWER = 64 * 1024 * 1024


class PlatformClient:
    """Reads, conditionally writes and watches objects."""

    def __init__(self, url: str, http: client.EndpointClient) -> None:
        """Makes a client.

        Args:
            url: The platform's address, such as `http://127.0.0.1:6000`.
            http: The HTTP client to use.
        """
        self._url = url.rstrip("/")
        self._http = http
        self._calls: collections.Counter[str] = collections.Counter()

    @property
    def calls(self) -> dict[str, int]:
        """Calls made so far, by kind."""
        return dict(self._calls)

    async def get(self, key: str) -> protocol.PlatformObject | None:
        """Returns an object, or None.

        Raises:
            PlatformError: If there is no answer.
        """
        status, body = await self._call("get", "GET", self._object_path(key))
        if status == 404:
            return None
        return self._parse(protocol.OBJECT, status, body)

    async def put(self, key: str, value: Any, version: int) -> int:
        """Writes an object if it is still at a version.

        Args:
            key: The object's key.
            value: Anything that JSON can hold; None deletes the object.
            version: The version it must have; 0 if it must not exist.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If it has another version.
            PlatformRefusedError: If it was not carried out.
            PlatformUnavailableError: If it may or may not have taken effect.
        """
        status, body = await self._call(
            "put",
            "PUT",
            self._object_path(key),
            [(protocol.VERSION_HEADER, str(version))],
            json.dumps(value).encode(),
        )
        if status == 409:
            current = self._parse(protocol.WRITTEN, 200, body).version
            raise errors.VersionConflictError(key, current)
        return self._parse(protocol.WRITTEN, status, body).version

    async def list_objects(self, prefix: str) -> protocol.ObjectList:
        """Returns all objects whose keys begin with a prefix.

        Raises:
            PlatformError: If there is no answer.
        """
        path = f"{protocol.OBJECTS_PATH}?prefix={parse.quote(prefix)}"
        status, body = await self._call("list", "GET", path)
        return self._parse(protocol.OBJECT_LIST, status, body)

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> protocol.ObjectList | None:
        """Waits for changes.

        Args:
            prefix: Which objects.
            after: The version up to which changes are known.
            wait: Seconds to wait for the first change.

        Returns:
            The objects changed since, deleted ones with no value; or None
            if the version is too old and the objects must be listed anew.

        Raises:
            PlatformError: If there is no answer.
        """
        query = parse.urlencode(
            {"prefix": prefix, "after": after, "wait": wait}
        )
        status, body = await self._call(
            "watch", "GET", f"{protocol.WATCH_PATH}?{query}", wait=wait
        )
        if status == 410:
            return None
        return self._parse(protocol.OBJECT_LIST, status, body)

    async def boxes(self, after: int) -> protocol.BoxList:
        """Returns the boxes that changed since a version of the list.

        Raises:
            PlatformError: If there is no answer.
        """
        path = f"{protocol.BOXES_PATH}?after={after}"
        status, body = await self._call("boxes", "GET", path)
        return self._parse(protocol.BOX_LIST, status, body)

    def _object_path(self, key: str) -> str:
        return f"{protocol.OBJECTS_PATH}/{parse.quote(key)}"

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes | None = None,
        wait: float = 0.0,
    ) -> tuple[int, bytes]:
        self._calls[kind] += 1
        request = client.EndpointRequest(
            method,
            f"{self._url}{path}",
            headers or [],
            body,
            once=body is not None,
        )
        stream = self._http.open(request)
        timer = self._http.io_loop.call_later(
            CALL_TIMEOUT + wait, self._http.cancel, stream
        )
        try:
            return await self._read(stream)
        except errors.EndpointNotReachedError as error:
            raise errors.PlatformRefusedError(str(error)) from error
        except errors.EndpointError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        finally:
            self._http.io_loop.remove_timeout(timer)

    async def _read(self, stream: streams.EndpointStream) -> tuple[int, bytes]:
        head = await stream.head()
        parts = []
        size = 0
        while part := await stream.read():
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER:
                self._http.cancel(stream)
                raise errors.PlatformRefusedError("the answer is too large")
        return head.status, b"".join(parts)

    def _parse(
        self, adapter: pydantic.TypeAdapter[T], status: int, body: bytes
    ) -> T:
        if status in (429, 503):
            raise errors.PlatformRefusedError(f"status {status}")
        if status != 200:
            raise errors.PlatformUnavailableError(f"status {status}")
        try:
            return adapter.validate_json(body)
        except pydantic.ValidationError as error:
            raise errors.PlatformUnavailableError(
                "the answer cannot be read"
            ) from error
