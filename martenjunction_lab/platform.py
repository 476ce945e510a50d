"""A stand-in of the platform's object API, with lags, limits and outages."""

import asyncio
import collections
import dataclasses
import random
import time
from typing import Any

from tornado import web

from martenjunction.platform import protocol
from martenjunction_lab import servers

# Changes that a watch can look back on.
MAX_CHANGES = 10_000


@dataclasses.dataclass
class PlatformFaults:
    """How the platform misbehaves.

    Attributes:
        down: Answers nothing but 503.
        silent: Takes calls and never answers.
        delay_s: Seconds that every call takes.
        lose_replies: Part of writes that take effect and are not answered.
        list_lag_s: Seconds by which the list of boxes lags.
        writes_per_s: Writes that it takes; 0 for no limit.
        reads_per_s: Reads that it takes; 0 for no limit.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.002
    lose_replies: float = 0.0
    list_lag_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class _Bucket:
    """A rate limit over calls of one kind."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at = time.monotonic()

    def take(self, rate: float) -> bool:
        """Takes one call; returns whether it was within the rate."""
        if rate <= 0:
            return True
        now = time.monotonic()
        self._tokens = min(rate, self._tokens + (now - self._at) * rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Platform(servers.StandIn):
    """Objects with versions, and the list of boxes."""

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
        self.writes = _Bucket()
        self.reads = _Bucket()
        self._objects: dict[str, protocol.PlatformObject] = {}
        self._changes: collections.deque[protocol.PlatformObject] = (
            collections.deque(maxlen=MAX_CHANGES)
        )
        self._version = 0
        self._changed = asyncio.Event()
        self._boxes: list[tuple[float, int, protocol.ListedBox]] = []
        self._boxes_version = 0

    def handlers(self) -> list[Any]:
        """Returns paths and handlers."""
        arguments = {"platform": self}
        return [
            (f"{protocol.OBJECTS_PATH}/(.+)", _ObjectHandler, arguments),
            (protocol.OBJECTS_PATH, _ListHandler, arguments),
            (protocol.WATCH_PATH, _WatchHandler, arguments),
            (protocol.BOXES_PATH, _BoxesHandler, arguments),
            ("/lab/faults", _FaultsHandler, arguments),
            ("/lab/boxes", _SetBoxesHandler, arguments),
            ("/lab/calls", _CallsHandler, arguments),
        ]

    @property
    def version(self) -> int:
        """The version of the newest change."""
        return self._version

    def get(self, key: str) -> protocol.PlatformObject | None:
        """Returns an object that was not deleted."""
        item = self._objects.get(key)
        return item if item is not None and item.value is not None else None

    def put(self, key: str, value: Any, version: int) -> tuple[bool, int]:
        """Writes an object that is still at a version.

        Returns:
            Whether it was written, and its version now.
        """
        held = self.get(key)
        current = held.version if held is not None else 0
        if current != version:
            return False, current
        self._version += 1
        item = protocol.PlatformObject(key, self._version, value)
        self._objects[key] = item
        self._changes.append(item)
        self._changed.set()
        self._changed = asyncio.Event()
        return True, self._version

    def restore(self, item: protocol.PlatformObject) -> None:
        """Goes back to an older version of one object, as from a backup."""
        self._objects[item.key] = item
        self._version = item.version
        self._changes.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def list(self, prefix: str) -> protocol.ObjectList:
        """Returns the objects under a prefix."""
        found = [
            item
            for key, item in sorted(self._objects.items())
            if key.startswith(prefix) and item.value is not None
        ]
        return protocol.ObjectList(self._version, found)

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> protocol.ObjectList | None:
        """Waits for changes; None if `after` is too old, or not reached."""
        deadline = time.monotonic() + wait
        while True:
            if after > self._version:
                return None
            if self._changes and after < self._changes[0].version - 1:
                return None
            newer = {
                item.key: item
                for item in self._changes
                if item.version > after and item.key.startswith(prefix)
            }
            left = deadline - time.monotonic()
            if newer or left <= 0:
                return protocol.ObjectList(self._version, [*newer.values()])
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def set_box(self, box: protocol.ListedBox) -> None:
        """Changes what the list will say of a box, after its lag."""
        self._boxes_version += 1
        visible = time.monotonic() + self.faults.list_lag_s
        self._boxes.append((visible, self._boxes_version, box))

    def boxes(self, after: int) -> protocol.BoxList:
        """Returns boxes that changed since a version, as far as visible."""
        now = time.monotonic()
        visible = [row for row in self._boxes if row[0] <= now]
        newest = {row[2].name: row for row in visible}
        version = max((row[1] for row in visible), default=0)
        changed = [row[2] for row in newest.values() if row[1] > after]
        return protocol.BoxList(version, changed)


class _Handler(servers.JsonHandler):
    kind = ""

    def initialize(self, platform: Platform) -> None:
        self._platform = platform

    async def prepare(self) -> None:
        platform = self._platform
        if not self.kind:
            return
        platform.calls[self.kind] += 1
        faults = platform.faults
        if faults.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(faults.delay_s)
        writing = self.request.method == "PUT"
        bucket = platform.writes if writing else platform.reads
        rate = faults.writes_per_s if writing else faults.reads_per_s
        if faults.down:
            raise web.HTTPError(503)
        if not bucket.take(rate):
            raise web.HTTPError(429)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.write({"error": status_code})
        self.finish()


class _ObjectHandler(_Handler):
    kind = "object"

    def get(self, key: str) -> None:
        item = self._platform.get(key)
        if item is None:
            raise web.HTTPError(404)
        self.write(dataclasses.asdict(item))

    def put(self, key: str) -> None:
        platform = self._platform
        version = int(self.request.headers[protocol.VERSION_HEADER])
        written, current = platform.put(key, self.body(), version)
        if platform.rng.random() < platform.faults.lose_replies:
            servers.drop_connection(self)
            return
        if not written:
            self.set_status(409)
        self.write({"version": current})


class _ListHandler(_Handler):
    kind = "list"

    def get(self) -> None:
        listed = self._platform.list(self.get_argument("prefix", ""))
        self.write(dataclasses.asdict(listed))


class _WatchHandler(_Handler):
    kind = "watch"

    async def get(self) -> None:
        changed = await self._platform.watch(
            self.get_argument("prefix", ""),
            int(self.get_argument("after")),
            float(self.get_argument("wait")),
        )
        if self._platform.faults.down:
            raise web.HTTPError(503)
        if changed is None:
            raise web.HTTPError(410)
        self.write(dataclasses.asdict(changed))


class _BoxesHandler(_Handler):
    kind = "boxes"

    def get(self) -> None:
        listed = self._platform.boxes(int(self.get_argument("after", "0")))
        self.write(dataclasses.asdict(listed))


class _FaultsHandler(_Handler):
    def post(self) -> None:
        self._platform.faults = PlatformFaults(**self.body())


class _SetBoxesHandler(_Handler):
    def post(self) -> None:
        for row in self.body()["boxes"]:
            self._platform.set_box(protocol.ListedBox(**row))


class _CallsHandler(_Handler):
    def get(self) -> None:
        self.write({"calls": dict(self._platform.calls)})
