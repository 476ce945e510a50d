"""A stand-in of the platform's store, as the users' page describes it."""

import asyncio
from collections.abc import Callable
import json
import time
from typing import Any
from urllib import parse

from review.kit_2 import record
from review.kit_2 import wire

LATENCY_S = 0.004
HISTORY_S = 20.0
PAGE = 500


class Store:
    """Objects by kind and name, under one counter of revisions.

    Attributes:
        address: Where it listens.
        loses: Asked with the kind of a call (get, list, watch, write) and its
            path, once the call is carried out; True has its answer lost.
        idle_s: Seconds after which an idle connection is closed, or None.
    """

    def __init__(self, notes: record.Record) -> None:
        """Makes an empty store."""
        self.address = ""
        self.loses: Callable[[str, str], bool] = lambda call, path: False
        self.idle_s: float | None = None
        self._silent: set[asyncio.StreamWriter] = set()
        self._notes = notes
        self._revision = 0
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[float, int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._stopped = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=256
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Closes the port and every connection."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def fall_silent(self) -> int:
        """Has all open connections say nothing more; new ones work.

        Returns:
            How many they are.
        """
        self._silent = set(self._writers)
        return len(self._silent)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, as the operator and replicas do."""
        held = self._objects.get((kind, name))
        if held is not None and held["spec"] == spec:
            return
        self._revision += 1
        created = (
            self._revision if held is None else held["metadata"]["created"]
        )
        made = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[(kind, name)] = made
        self._add_event(kind, made, False)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object, if it is there."""
        held = self._objects.pop((kind, name), None)
        if held is None:
            return
        self._revision += 1
        metadata = {**held["metadata"], "revision": self._revision}
        self._add_event(kind, {**held, "metadata": metadata}, True)

    def _add_event(self, kind: str, made: dict[str, Any], gone: bool) -> None:
        now = time.monotonic()
        self._history.append((now, self._revision, kind, made, gone))
        while self._history[0][0] < now - HISTORY_S:
            self._history.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not self._stopped:
                async with asyncio.timeout(self.idle_s):
                    message = await wire.read_head(reader)
                message.body = await wire.read_body(reader, message)
                await asyncio.sleep(LATENCY_S)
                call, path, status, document = await self._handle(message)
                if writer in self._silent or self.loses(call, path):
                    self._notes.note(f"store: answer to {call} {path} is lost")
                    # The connection says nothing more.
                    await reader.read()
                    return
                body = json.dumps(document).encode()
                pairs = {"Content-Type": "application/json"}
                writer.write(wire.answer(status, pairs, body))
                await writer.drain()
        except (EOFError, OSError, TimeoutError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            # Only the end of the script cancels it.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, message: wire.Message) -> tuple[str, str, int, Any]:
        """Carries a call out.

        Returns:
            Its kind, its path, and the status and document of its answer.
        """
        method, target = message.first[0], parse.urlsplit(message.first[1])
        query = dict(parse.parse_qsl(target.query))
        parts = [parse.unquote(p) for p in target.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        path = target.path
        if method == "GET" and name:
            held = self._objects.get((kind, name))
            found = (404, {}) if held is None else (200, held)
            return "get", path, *found
        if method == "GET" and "watch" in query:
            since, wait_s = int(query["watch"]), int(query["wait_ms"]) / 1000
            return "watch", path, *await self._watch(kind, since, wait_s)
        if method == "GET":
            return "list", path, *self._list(kind, query.get("since_rev", ""))
        return "write", path, *self._write(method, kind, name, query, message)

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        return 200, {
            "entries": [self._objects[(kind, n)] for n in names[:PAGE]],
            "has_more": len(names) > PAGE,
            "current_rev": self._revision,
        }

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, Any]:
        until = time.monotonic() + wait_s
        while True:
            first = self._history[0][1] if self._history else 1
            if since < first - 1:
                return 410, {}
            events = [
                {"object": made, "deleted": gone}
                for _, revision, k, made, gone in self._history
                if k == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        query: dict[str, str],
        message: wire.Message,
    ) -> tuple[int, Any]:
        document = json.loads(message.body) if message.body else {}
        metadata = document.get("metadata", {})
        name = name or metadata["name"]
        held = self._objects.get((kind, name))
        asked = query.get("revision", metadata.get("revision"))
        if method == "POST" and held is not None:
            return 409, held
        if method != "POST" and held is None:
            return 404, {}
        known = None if held is None else held["metadata"]["revision"]
        if asked is not None and known is not None and int(asked) != known:
            return 409, held
        if method == "DELETE":
            self.delete(kind, name)
            return 200, held
        self.put(kind, name, document.get("spec"))
        return 200, self._objects[(kind, name)]
