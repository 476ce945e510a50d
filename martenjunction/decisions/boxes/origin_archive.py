"""Origins of streams that are kept outside the box, beyond its end.

Load pattern: up to some hundred streams a second begin at each of many boxes
while endpoints of several versions serve, for minutes around each roll-out; all
boxes may then lose power at once. While one version serves alone, nothing is
written.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from martenjunction import revisions
from martenjunction.decisions import backoff
from martenjunction.decisions.boxes import stream_table

# Writes per second that the store takes from all boxes together, and the part
# of them that all archives may use.
STORE_WRITES_PER_S = 400.0
WRITES_FRACTION = 0.1

# Minimum interval in seconds between two writes of a box, and the part of its
# link that they may use.
MIN_INTERVAL_S = 0.5
LINK_FRACTION = 0.1

# Maximum back-off in seconds after failed writes, or the interval if that is
# longer.
MAX_BACKOFF_S = 5.0

# Maximum size of the object of one box; a quarter of what the store accepts.
MAX_OBJECT_BYTES = 256 * 1024

# Upper bounds of the encoded size in bytes: the frame, a record without its
# tables, a caller, an origin without its names, and a character of a name.
FRAME_BYTES = 256
RECORD_BYTES = 40
CALLER_BYTES = 12
ORIGIN_BYTES = 8
CHARACTER_BYTES = 6

# Interval in seconds between removals of expired records.
EXPIRY_INTERVAL_S = 1.0

MS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class ArchivedRecord:
    """A record as it is written.

    Attributes:
        key: The stream.
        origin: Where it began, or None if two origins were reported.
        left_ms: Milliseconds for which it may be taken up. A reader counts them
            from its reading, as clocks of boxes are not comparable.
    """

    key: stream_table.StreamKey
    origin: stream_table.StreamOrigin | None
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """The box's object is to be written.

    Attributes:
        records: The whole content.
        revision: The expected revision, or None if it is to be created.
    """

    records: tuple[ArchivedRecord, ...]
    revision: revisions.Revision | None


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """The box's object is to be deleted, as all its records have expired."""

    revision: revisions.Revision


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    record: stream_table.StreamRecord
    origin: stream_table.StreamOrigin | None
    service: str | None
    archived: bool


@dataclasses.dataclass(slots=True)
class _Service:
    """Counts of a service's entries."""

    entries: int = 0
    pending: int = 0


class OriginArchive:
    """Decides what one box writes, and when.

    All records of the box form one object, so that boxes need no conditions
    between each other. Writes are conditional on the revision, so that one that
    is done late does not replace a newer one.
    """

    def __init__(
        self,
        may_be_mixed: Callable[[str], bool],
        phase: float,
        link_bytes_s: float,
        max_bytes: int = MAX_OBJECT_BYTES,
    ) -> None:
        """Initializes an archive, which writes nothing until `restore`.

        Args:
            may_be_mixed: Returns whether streams of a service may have several
                origins.
            phase: Part of an interval by which the first write is delayed;
                spreads the writes of boxes.
            link_bytes_s: Bandwidth of the box's link in bytes per second.
            max_bytes: Maximum size of the object.
        """
        self._may_be_mixed = may_be_mixed
        self._phase = phase
        self._link_bytes_s = link_bytes_s
        self._max_bytes = max_bytes
        self._entries: dict[stream_table.StreamKey, _Entry] = {}
        self._by_caller: dict[bytes, dict[stream_table.StreamKey, None]] = (
            collections.defaultdict(dict)
        )
        self._by_origin: collections.Counter[
            stream_table.StreamOrigin | None
        ] = collections.Counter()
        self._services: dict[str | None, _Service] = {}
        self._bytes = FRAME_BYTES
        self._in_flight: list[_Entry] | None = None
        self._readable = False
        self._revision: revisions.Revision | None = None
        self._called_at = -math.inf
        self._due_at: float | None = None
        self._retry_at = -math.inf
        self._expired_at = -math.inf
        self._failures = 0
        self.dropped = 0

    @property
    def archived(self) -> int:
        """Number of records that the store has."""
        pending = sum(service.pending for service in self._services.values())
        return len(self._entries) - pending

    @property
    def needs_read(self) -> bool:
        """Whether the box's object has to be read before the next write."""
        return self._in_flight is None and not self._readable

    @property
    def failures(self) -> int:
        """Number of failed calls since the last successful one."""
        return self._failures

    @property
    def has_pending(self) -> bool:
        """Whether records wait that have to be written."""
        return any(
            counts.pending and self._is_mixed(service)
            for service, counts in self._services.items()
        )

    def interval_s(self, boxes: int) -> float:
        """Returns the seconds between two writes of a box.

        Args:
            boxes: Number of boxes of the fleet.
        """
        return max(
            MIN_INTERVAL_S,
            boxes / (STORE_WRITES_PER_S * WRITES_FRACTION),
            self._bytes / (self._link_bytes_s * LINK_FRACTION),
        )

    def add(self, record: stream_table.StreamRecord) -> None:
        """Adds a stream that began at this box, or whose record changed."""
        self._put(record, archived=False)

    def restore(
        self,
        records: Iterable[stream_table.StreamRecord],
        revision: revisions.Revision | None,
    ) -> None:
        """Takes in the box's object as the store holds it.

        Args:
            records: Its records.
            revision: Its revision; None if there is no object.
        """
        self._readable = True
        self._revision = revision
        for entry in self._entries.values():
            self._set_archived(entry, False)
        for record in records:
            self._put(record, archived=True)

    def poll(self, boxes: int, now: float) -> Write | Clear | None:
        """Returns the call that is due, if any.

        One of `written`, `cleared`, `failed` and `conflicted` must follow.

        Args:
            boxes: Number of boxes of the fleet.
            now: The current time.
        """
        if self._in_flight is not None or not self._readable:
            return None
        if now < self._retry_at:
            return None
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expire(now)
        if self.has_pending:
            return self._write(self.interval_s(boxes), now)
        self._due_at = None
        if self._revision is not None and not self.archived:
            self._begin([], now)
            return Clear(self._revision)
        return None

    def written(self, revision: revisions.Revision) -> None:
        """Records that the store has acknowledged a write."""
        for entry in self._in_flight or ():
            if self._entries.get(entry.record.key) is entry:
                self._set_archived(entry, True)
        self._end(revision)

    def cleared(self) -> None:
        """Records that the object was deleted or does not exist."""
        self._end(None)
        for entry in self._entries.values():
            self._set_archived(entry, False)

    def failed(self, boxes: int, now: float) -> None:
        """Records that a call was refused, or that its result is unknown."""
        self._in_flight = None
        interval_s = self.interval_s(boxes)
        self._retry_at = now + backoff.pause_s(
            interval_s, self._failures, max(interval_s, MAX_BACKOFF_S)
        )
        self._failures += 1

    def conflicted(self) -> None:
        """Records that the object has another revision than expected.

        Nothing is written until the next `restore`.
        """
        self._in_flight = None
        self._readable = False

    def _write(self, interval_s: float, now: float) -> Write | None:
        if self._due_at is None:
            earliest = self._called_at + interval_s
            self._due_at = max(earliest, now + self._phase * interval_s)
        if now < self._due_at:
            return None
        self._expire(now)
        mixed = {s for s in self._services if self._is_mixed(s)}
        entries = [
            entry
            for entry in self._entries.values()
            if entry.archived or entry.service in mixed
        ]
        self._begin(entries, now)
        records = tuple(
            ArchivedRecord(
                entry.record.key,
                entry.record.origin,
                math.ceil((entry.record.expires_at - now) / MS),
            )
            for entry in entries
        )
        return Write(records, self._revision)

    def _begin(self, entries: list[_Entry], now: float) -> None:
        self._in_flight = entries
        self._called_at = now
        self._due_at = None

    def _end(self, revision: revisions.Revision | None) -> None:
        self._in_flight = None
        self._revision = revision
        self._failures = 0

    def _is_mixed(self, service: str | None) -> bool:
        return service is None or self._may_be_mixed(service)

    def _put(
        self,
        record: stream_table.StreamRecord,
        archived: bool,
    ) -> None:
        known = self._entries.get(record.key)
        service = None if known is None else known.service
        if known is not None:
            self._remove(known)
        if record.origin is not None:
            service = record.origin.service
        entry = _Entry(record, record.origin, service, archived)
        caller = record.key.caller
        if caller not in self._by_caller:
            self._bytes += CALLER_BYTES
        if not self._by_origin[entry.origin]:
            self._bytes += _origin_bytes(entry.origin)
        self._bytes += RECORD_BYTES
        self._entries[record.key] = entry
        self._by_caller[caller][record.key] = None
        self._by_origin[entry.origin] += 1
        counts = self._services.setdefault(service, _Service())
        counts.entries += 1
        counts.pending += not archived
        while self._bytes > self._max_bytes:
            self._evict()

    def _evict(self) -> None:
        most = max(self._by_caller.values(), key=len)
        entry = self._entries[next(iter(most))]
        self.dropped += entry.archived or self._is_mixed(entry.service)
        self._remove(entry)

    def _expire(self, now: float) -> None:
        self._expired_at = now
        for entry in list(self._entries.values()):
            if entry.record.expires_at <= now:
                self._remove(entry)

    def _remove(self, entry: _Entry) -> None:
        key = entry.record.key
        del self._entries[key]
        streams = self._by_caller[key.caller]
        del streams[key]
        self._bytes -= RECORD_BYTES
        if not streams:
            del self._by_caller[key.caller]
            self._bytes -= CALLER_BYTES
        self._by_origin[entry.origin] -= 1
        if not self._by_origin[entry.origin]:
            del self._by_origin[entry.origin]
            self._bytes -= _origin_bytes(entry.origin)
        counts = self._services[entry.service]
        counts.entries -= 1
        counts.pending -= not entry.archived
        if not counts.entries:
            del self._services[entry.service]

    def _set_archived(self, entry: _Entry, archived: bool) -> None:
        self._services[entry.service].pending += entry.archived - archived
        entry.archived = archived


def _origin_bytes(origin: stream_table.StreamOrigin | None) -> int:
    """Returns an upper bound of the encoded size of an origin."""
    if origin is None:
        return 0
    characters = len(origin.service) + len(origin.version)
    return ORIGIN_BYTES + CHARACTER_BYTES * characters
