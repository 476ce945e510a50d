"""Keeps origins of streams in the platform's store, beyond the end of boxes."""

import asyncio
from collections.abc import Callable
from collections.abc import Set
import math
import random
from typing import Any
from typing import Protocol

import xxhash

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions import backoff
from martenjunction.decisions import bounded
from martenjunction.decisions.boxes import abandoned_objects
from martenjunction.decisions.boxes import origin_archive
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_table
from martenjunction.platform import store
from martenjunction.platform import stream_documents
from martenjunction.routing.log import decision_log
from martenjunction.routing.streams import settled_record

KIND = stream_documents.STREAM_KIND

# Interval in seconds of checks whether a call is due.
TICK_S = 0.1

# Interval in seconds at which the first box looks for objects of ended boxes.
SWEEP_INTERVAL_S = 300.0

# Back-off in seconds after a failed list: the first and the longest one.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

# Maximum number of malformed objects remembered, so that each is logged once.
MAX_UNREADABLE = 256

MS = 0.001


class Origins(Protocol):
    """What the archive needs of the records of a box.

    Attributes:
        recorder: Called with each record of a stream that begins at this box,
            and again if it changes.
    """

    recorder: Callable[[stream_table.StreamRecord], None] | None

    def may_be_mixed(self, service: str) -> bool:
        """Returns whether streams of a service may have several origins."""

    def restore(
        self, record: origin_archive.ArchivedRecord
    ) -> stream_table.StreamRecord:
        """Merges a record into those of the box; returns the result."""

    def settled(self) -> settled_services.Settled:
        """Returns the services of which one version has living streams.

        Restored services are among them as long as they hold.
        """

    def restore_settled(
        self, settled: settled_services.Settled, asked_at: float
    ) -> None:
        """Takes in what the store held of settled services at some time."""


class StreamArchive:
    """Writes the records of this box, and reads those of all boxes once.

    They are read when they are needed: for a stream of unknown origin, before
    the first write, and by the box that acts for the fleet.

    Attributes:
        restored: Whether the records were read since the start.
    """

    def __init__(
        self,
        client: store.StoreClient,
        origins: Origins,
        box: str,
        live_boxes: Callable[[], Set[str] | None],
        is_first: Callable[[], bool],
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        rng: random.Random,
        link_bytes_s: float,
    ) -> None:
        """Initializes the archive; `start` begins to read.

        Args:
            client: The store's client.
            origins: The records of this box.
            box: The name of this box.
            live_boxes: Returns the boxes that are alive, or None as long as
                they are not listed.
            is_first: Returns whether this box acts for the fleet.
            clock: The clock and timers.
            log: Gets a line for each restore and each streak of failures.
            rng: Draws the phase of the writes.
            link_bytes_s: Bandwidth of this box's link in bytes per second.
        """
        self.restored = False
        self._is_requested = False
        self._client = client
        self._origins = origins
        self._box = box
        self._live_boxes = live_boxes
        self._is_first = is_first
        self._timers = clock
        self._log = log
        self._archive = origin_archive.OriginArchive(
            origins.may_be_mixed, rng.random(), link_bytes_s
        )
        self._abandoned = abandoned_objects.AbandonedObjects()
        self._settled = settled_record.SettledRecord(client, clock, log)
        self._task: asyncio.Task[None] | None = None
        self._read_era: int | None = None
        self._list_at = -math.inf
        self._list_failures = 0
        self._swept_at = clock.now()
        self._written_at: float | None = None
        self._failing_since: float | None = None
        self._restored_records = 0
        self._unreadable: dict[str, bytes] = {}
        self._unreadable_count = 0
        self._calls = 0

    def request(self) -> None:
        """Has the records read, if they were not yet."""
        if not self.restored and not self._is_requested:
            self._is_requested = True
            self._tick()

    def start(self) -> None:
        """Subscribes to timers."""
        self._origins.recorder = self._record
        self._timers.subscribe("stream-archive", TICK_S, self._tick)
        self._tick()

    async def stop(self) -> None:
        """Cancels the calls."""
        tasks = [t for t in (self._task, self._settled.task) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def gauges(self) -> dict[str, float]:
        """Returns the values for `/metrics`; an age of -1 means never."""
        return {
            "streams_archived": float(self._archive.archived),
            "streams_archive_dropped": float(self._archive.dropped),
            "streams_archive_calls": float(self._calls + self._settled.calls),
            "streams_archive_failures": float(self._archive.failures),
            "streams_archive_write_age_s": -1.0
            if self._written_at is None
            else self._timers.now() - self._written_at,
            "streams_restored": float(self._restored_records),
            "streams_archive_unreadable": float(self._unreadable_count),
        }

    def dump(self) -> dict[str, Any]:
        """Returns the state for the operators' dump."""
        return {
            "restored": self.restored,
            "era": self._read_era,
            **{name: round(v, 3) for name, v in self.gauges().items()},
            "settled": self._settled.dump(),
        }

    def _record(self, record: stream_table.StreamRecord) -> None:
        self._archive.add(record)

    def _tick(self) -> None:
        now = self._timers.now()
        live = self._live_boxes()
        is_first = live is not None and self._is_first()
        if self.restored:
            self._settled.tick(
                is_first,
                self._origins.settled()
                if is_first
                else settled_services.NOTHING,
            )
        if self._task is not None and not self._task.done():
            return
        self._task = None
        if self._client.era != self._read_era:
            if now >= self._list_at and self._is_needed(is_first):
                self._begin(self._restore())
        elif live is None:
            return
        elif self._archive.needs_read:
            if now >= self._list_at:
                self._begin(self._read_own())
        elif call := self._archive.poll(len(live), now):
            self._begin(self._write(call, len(live)))
        elif is_first and now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self._begin(self._sweep(live))

    def _is_needed(self, is_first: bool) -> bool:
        """Returns whether the records have to be read now."""
        return (
            self.restored
            or self._is_requested
            or is_first
            or self._archive.has_pending
        )

    def _begin(self, call: Any) -> None:
        self._calls += 1
        self._task = asyncio.get_running_loop().create_task(call)

    async def _restore(self) -> None:
        """Reads the records of all boxes and merges them."""
        began_at = self._timers.now()
        try:
            listing = await self._client.list(KIND)
        except errors.PlatformError as error:
            self._list_failed(error)
            return
        settled = settled_services.NOTHING
        own: list[stream_table.StreamRecord] = []
        revision = None
        records = 0
        # The own records come last, as the table drops the oldest ones.
        objects = sorted(listing.objects, key=lambda o: o.name == self._box)
        for found in objects:
            if found.name == stream_documents.SETTLED_NAME:
                settled = self._settled.decode(found)
                continue
            merged = self._merge(found)
            records += len(merged)
            if found.name == self._box:
                own, revision = merged, found.revision
            # Decoding takes some milliseconds per object.
            await asyncio.sleep(0)
        self._archive.restore(own, revision)
        if not self.restored:
            self._origins.restore_settled(settled, began_at)
        self._settled.forget()
        self._restored_records = records
        self._list_failures = 0
        self._read_era = listing.revision.era
        self.restored = True
        self._log.write(
            "streams-restored",
            boxes=len(objects),
            records=records,
            settled=len(settled.versions),
            era=self._read_era,
            ms=round((self._timers.now() - began_at) / MS, 1),
        )

    async def _read_own(self) -> None:
        """Reads the own object, which changed without this box."""
        try:
            found = await self._client.get(KIND, self._box)
        except errors.PlatformError as error:
            self._list_failed(error)
            return
        own = [] if found is None else self._merge(found)
        revision = None if found is None else found.revision
        self._list_failures = 0
        self._archive.restore(own, revision)

    def _merge(
        self, found: store.StoredObject
    ) -> list[stream_table.StreamRecord]:
        """Merges an object's records; one that is malformed has none."""
        try:
            records = stream_documents.decode_records(found.spec)
        except errors.PlatformError as error:
            self._log_unreadable(found, error)
            return []
        self._unreadable.pop(found.name, None)
        return [self._origins.restore(record) for record in records]

    def _log_unreadable(
        self, found: store.StoredObject, error: errors.PlatformError
    ) -> None:
        """Logs and counts a malformed object once per change."""
        digest = xxhash.xxh3_128_digest(found.spec)
        if self._unreadable.get(found.name) == digest:
            return
        bounded.put(self._unreadable, found.name, digest, MAX_UNREADABLE)
        self._unreadable_count += 1
        self._log.write("entry-unreadable", entry=found.name, why=str(error))

    def _list_failed(self, error: errors.PlatformError) -> None:
        if not self._list_failures:
            self._log.write("streams-not-restored", why=str(error))
        self._list_at = self._timers.now() + backoff.pause_s(
            INITIAL_BACKOFF_S, self._list_failures, MAX_BACKOFF_S
        )
        self._list_failures += 1

    async def _write(
        self,
        call: origin_archive.Write | origin_archive.Clear,
        boxes: int,
    ) -> None:
        try:
            if isinstance(call, origin_archive.Clear):
                await self._client.delete(KIND, self._box, call.revision)
                self._archive.cleared()
            else:
                self._archive.written(await self._put(call))
        except (errors.VersionConflictError, errors.ObjectMissingError):
            self._archive.conflicted()
            return
        except errors.PlatformError as error:
            if self._failing_since is None:
                self._failing_since = self._timers.now()
                self._log.write("streams-not-archived", why=str(error))
            self._archive.failed(boxes, self._timers.now())
            return
        now = self._timers.now()
        self._written_at = now
        if self._failing_since is not None:
            seconds = round(now - self._failing_since, 3)
            self._log.write("streams-archived-again", failed_for_s=seconds)
            self._failing_since = None

    async def _put(self, call: origin_archive.Write) -> revisions.Revision:
        spec = stream_documents.encode_records(call.records)
        if call.revision is None:
            made = await self._client.create(KIND, self._box, spec)
        else:
            made = await self._client.replace(
                KIND, self._box, spec, call.revision
            )
        return made.revision

    async def _sweep(self, live: Set[str]) -> None:
        """Removes objects of ended boxes whose records have all expired."""
        try:
            listing = await self._client.list(KIND, allow_stale=True)
            objects = {
                found.name: (found.revision, longest_left_s(found))
                for found in listing.objects
                if found.name != stream_documents.SETTLED_NAME
            }
            due = self._abandoned.look(objects, live, self._timers.now())
            for name, revision in due.items():
                self._calls += 1
                await self._client.delete(KIND, name, revision)
                self._log.write("streams-of-ended-box-removed", box=name)
        except errors.PlatformError:
            # The next look finds the same objects.
            return


def longest_left_s(found: store.StoredObject) -> float:
    """Returns seconds for which the records of an object last.

    A malformed object, which may be of a newer format, lasts forever.
    """
    try:
        records = stream_documents.decode_records(found.spec)
    except errors.PlatformError:
        return math.inf
    return max((record.left_ms for record in records), default=0) * MS
