"""A stand-in of the platform's store, with lags, limits and outages."""

import asyncio
import collections
import dataclasses
import json
import random
import time
from typing import Any

import msgspec
from tornado import web

from martenjunction.objects import client as object_client
from martenjunction.objects import model
from martenjunction_lab import duty_log
from martenjunction_lab import platform_objects
from martenjunction_lab import servers

# Objects in one page of a list.
PAGE = 500

# Header of all answers: how often the store went back to a copy, from 1 on.
ERA = "Store-Era"


@dataclasses.dataclass
class PlatformFaults:
    """How the platform misbehaves.

    Attributes:
        down: Answers nothing but 503.
        old_lists_empty: Lists that may be old are from before any object.
        silent: Takes calls and never answers.
        resets: Closes the connection of every call.
        deaf: Watches hear of no change.
        lose_watches: Part of the answers to watches that are lost; their
            connections say nothing more.
        lose_reads: The same of gets and lists.
        delay_s: Seconds that every call takes.
        lose_replies: Part of writes that take effect and are not answered.
        list_lag_s: Seconds by which the list of boxes lags.
        writes_per_s: Writes that it takes; 0 for no limit.
        reads_per_s: Reads that it takes; 0 for no limit.
    """

    down: bool = False
    old_lists_empty: bool = False
    silent: bool = False
    resets: bool = False
    deaf: bool = False
    lose_watches: float = 0.0
    lose_reads: float = 0.0
    delay_s: float = 0.002
    lose_replies: float = 0.0
    list_lag_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class Platform(servers.StandIn):
    """Objects by kind and name, under one counter of revisions."""

    def __init__(self, address: str = "127.0.0.1:0", seed: int = 0) -> None:
        """Makes a platform; `start` brings it up.

        Args:
            address: IP number and port.
            seed: Decides which replies are lost.
        """
        super().__init__(address)
        self.faults = PlatformFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.rng = random.Random(seed)
        self.writes = platform_objects.Bucket()
        self.reads = platform_objects.Bucket()
        self.duties = duty_log.DutyLog()
        self._objects = platform_objects.Objects()

    def handlers(self) -> list[Any]:
        """Returns paths and handlers."""
        arguments = {"platform": self}
        return [
            ("/objects/([^/]+)/([^/]+)", _ObjectHandler, arguments),
            ("/objects/([^/]+)", _KindHandler, arguments),
            ("/(usage|scale)", _DutyHandler, arguments),
            ("/lab/faults", _FaultsHandler, arguments),
            ("/lab/boxes", _SetBoxesHandler, arguments),
            ("/lab/calls", _CallsHandler, arguments),
        ]

    # The store.

    @property
    def version(self) -> int:
        """The revision of the newest change."""
        return self._objects.version

    def find(self, kind: str, name: str) -> platform_objects.Kept | None:
        """Returns an object that was not deleted."""
        return self._objects.find(kind, name)

    @property
    def era(self) -> int:
        """How often the store went back to a copy, from 1 on."""
        return self._objects.era

    def copy(self) -> platform_objects.Copy:
        """Returns a copy of all objects, as a backup takes it."""
        return self._objects.copy()

    def go_back(self, copy: platform_objects.Copy) -> None:
        """Goes back to a copy: what was acknowledged since is gone."""
        self._objects.go_back(copy)

    def write(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> platform_objects.Kept:
        """Writes an object, as `platform_objects.Objects.write` does.

        Raises:
            ConflictError: If it has another revision than it must have.
        """
        return self._objects.write(kind, name, spec, revision)

    def entries(self, kind: str, after: str) -> list[platform_objects.Kept]:
        """Returns the objects of a kind with names after one, in order."""
        return self._objects.entries(kind, after)

    async def watch(
        self, kind: str, after: int, wait: float
    ) -> list[platform_objects.Kept] | None:
        """Waits for changes of a kind; None if the history is gone."""
        deadline = time.monotonic() + wait
        while True:
            changes = self._objects.changes(kind, after)
            if changes is None:
                return None
            left = deadline - time.monotonic()
            if left <= 0 or (changes and not self.faults.deaf):
                return [] if self.faults.deaf else changes
            changed = self._objects.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def forget_history(self) -> None:
        """Drops all changes: watches from before are answered with 410."""
        self._objects.forget_history()

    # What the product keeps there, by its own keys.

    def get(self, key: str) -> model.PlatformObject | None:
        """Returns an object of the product that was not deleted."""
        held = self.find(*object_client.split_key(key))
        if held is None:
            return None
        return model.PlatformObject(key, held.revision, held.spec)

    def put(self, key: str, value: Any, version: int) -> tuple[bool, int]:
        """Writes an object of the product that is still at a version.

        Returns:
            Whether it was written, and its version now.
        """
        kind, name = object_client.split_key(key)
        try:
            return True, self.write(kind, name, value, version).revision
        except platform_objects.ConflictError as error:
            return False, error.held.revision

    def restore(self, item: model.PlatformObject) -> None:
        """Goes back to an older version of one object, as from a backup."""
        kind, name = object_client.split_key(item.key)
        kept = platform_objects.Kept(kind, name, item.version, item.value)
        self._objects.restore(kept)

    def set_box(self, box: model.ListedBox) -> None:
        """Changes what the list will say of a box, after its lag."""

        def appear() -> None:
            spec = dataclasses.asdict(box)
            self.write(object_client.LISTED_KIND, box.name, spec)

        if self.faults.list_lag_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.list_lag_s, appear)
        else:
            appear()


class _Handler(servers.JsonHandler):
    def initialize(self, platform: Platform) -> None:
        self._platform = platform

    @property
    def may_be_old(self) -> bool:
        """Whether the caller bears an answer that is some seconds old."""
        return self.get_argument("allow_stale", "") == "1"

    async def prepare(self) -> None:
        platform = self._platform
        self.set_header(ERA, str(platform.era))
        if not self.request.path.startswith("/objects/"):
            return
        writing = self.request.method != "GET"
        watching = bool(self.get_argument("watch", ""))
        kind = "write" if writing else "watch" if watching else "read"
        if self.may_be_old:
            kind = "old-read"
        platform.calls[kind] += 1
        faults = platform.faults
        await self.meet_outage()
        await asyncio.sleep(faults.delay_s)
        bucket = platform.writes if writing else platform.reads
        rate = faults.writes_per_s if writing else faults.reads_per_s
        if faults.down:
            raise web.HTTPError(503)
        if not bucket.take(rate):
            raise web.HTTPError(429)
        if kind == "read":
            await self.lose(faults.lose_reads)

    def write(self, chunk: Any) -> None:
        """Writes text, or a document that may hold JSON as it is to be sent.

        Args:
            chunk: Text, or a document whose parts may be `msgspec.Raw`.
        """
        if isinstance(chunk, dict):
            self.set_header("Content-Type", "application/json")
            chunk = msgspec.json.encode(chunk)
        super().write(chunk)

    async def lose(self, part: float) -> None:
        """Leaves a part of the calls that were carried out unanswered."""
        if self._platform.rng.random() < part:
            await asyncio.sleep(3600)

    async def meet_outage(self) -> None:
        """Leaves a call without an answer while the store is away."""
        if self._platform.faults.silent:
            await asyncio.sleep(3600)
        if self._platform.faults.resets:
            servers.drop_connection(self)
            await asyncio.sleep(3600)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.set_header(ERA, str(self._platform.era))
        self.write({"error": status_code})
        self.finish()

    def change(
        self, kind: str, name: str, spec: Any, revision: int | None
    ) -> None:
        """Carries a write out and answers it, or loses the answer."""
        platform = self._platform
        try:
            kept = platform.write(kind, name, spec, revision)
        except platform_objects.ConflictError as error:
            self.set_status(409)
            kept = error.held
        if platform.rng.random() < platform.faults.lose_replies:
            servers.drop_connection(self)
            return
        self.write(kept.as_json())


class _ObjectHandler(_Handler):
    def get(self, kind: str, name: str) -> None:
        kept = self._platform.find(kind, name)
        if kept is None:
            raise web.HTTPError(404)
        self.write(kept.as_json())

    def put(self, kind: str, name: str) -> None:
        if self._platform.find(kind, name) is None:
            raise web.HTTPError(404)
        document = self.body()
        revision = document["metadata"].get("revision")
        self.change(kind, name, document["spec"], revision)

    def delete(self, kind: str, name: str) -> None:
        if self._platform.find(kind, name) is None:
            raise web.HTTPError(404)
        revision = self.get_argument("revision", "")
        self.change(kind, name, None, int(revision) if revision else None)


class _KindHandler(_Handler):
    async def get(self, kind: str) -> None:
        if self.get_argument("watch", ""):
            await self._watch(kind)
            return
        after = self.get_argument("since_rev", "")
        entries = self._platform.entries(kind, after)
        if self.may_be_old and self._platform.faults.old_lists_empty:
            entries = []
        self.write(
            {
                "entries": [kept.as_json() for kept in entries[:PAGE]],
                "has_more": len(entries) > PAGE,
                "current_rev": self._platform.version,
            }
        )

    def post(self, kind: str) -> None:
        document = self.body()
        name = document["metadata"]["name"]
        self.change(kind, name, document["spec"], 0)

    async def _watch(self, kind: str) -> None:
        changes = await self._platform.watch(
            kind,
            int(self.get_argument("watch")),
            float(self.get_argument("wait_ms", "0")) / 1000,
        )
        await self.meet_outage()
        await self.lose(self._platform.faults.lose_watches)
        if self._platform.faults.down:
            raise web.HTTPError(503)
        if changes is None:
            raise web.HTTPError(410)
        self.write(
            {
                "events": [
                    {"object": kept.as_json(), "deleted": kept.spec is None}
                    for kept in changes
                ],
                "current_rev": self._platform.version,
            }
        )


class _DutyHandler(_Handler):
    def post(self, path: str) -> None:
        headers = self.request.headers
        call = duty_log.DutyCall(
            path,
            headers["Martenjunction-Duty-Holder"],
            int(headers["Martenjunction-Fencing-Token"]),
            self.body(),
        )
        self.set_status(self._platform.duties.take(call))
        self.write({})


class _FaultsHandler(_Handler):
    def post(self) -> None:
        self._platform.faults = PlatformFaults(**self.body())


class _SetBoxesHandler(_Handler):
    def post(self) -> None:
        for row in self.body()["boxes"]:
            self._platform.set_box(model.ListedBox(**row))


class _CallsHandler(_Handler):
    def get(self) -> None:
        self.write(json.dumps({"calls": dict(self._platform.calls)}))
