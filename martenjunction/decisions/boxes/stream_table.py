"""Software versions that began the streams of the last seconds.

Load pattern: streams of a second or a minute, some of which break off and are
taken up at a box that never saw them, while endpoints of several versions
serve.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

# Maximum number of remembered streams. Beyond it, the oldest of the caller with
# the most streams is forgotten.
MAX_STREAMS = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class StreamKey:
    """Identifies a stream by its caller and the request that began it.

    Attributes:
        caller: The digest of the caller's key.
        stream: The digest of the id of the request that brought its first
            event.
    """

    caller: bytes
    stream: bytes

    def __str__(self) -> str:
        return f"{self.caller.hex()}-{self.stream.hex()}"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: The service.
        version: Software version of the endpoint that wrote the first event.
    """

    service: str
    version: str


class Basis(enum.StrEnum):
    """What a finding rests on."""

    RECORD = "record"
    SINGLE = "single"
    SEEN = "seen"
    SEVERAL = "several"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Where a stream began, as far as one or more boxes know.

    Attributes:
        origin: The origin, or None if it is not known.
        basis: What that rests on. `RECORD`: it was recorded; without an origin,
            several were. `SINGLE`: it could begin nowhere else. `SEEN`: it
            could begin there, and maybe elsewhere, where this box did not
            watch. `SEVERAL`: it could begin at several origins.
    """

    origin: StreamOrigin | None
    basis: Basis = Basis.NOTHING

    @property
    def recorded(self) -> bool:
        """Whether the origin was recorded."""
        return self.basis is Basis.RECORD


UNKNOWN = Finding(None)
AMBIGUOUS = Finding(None, Basis.SEVERAL)


def combine(findings: Iterable[Finding]) -> Finding:
    """Returns what follows from the findings of several boxes.

    Records go before conclusions, and records that contradict each other tell
    nothing. A conclusion holds only if no box knows of another origin.
    """
    found = list(findings)
    recorded = {f.origin for f in found if f.recorded}
    if recorded:
        only = recorded.pop() if len(recorded) == 1 else None
        return Finding(only, Basis.RECORD)
    possible = {f.origin for f in found if f.origin is not None}
    bases = {f.basis for f in found}
    if len(possible) > 1 or Basis.SEVERAL in bases:
        return AMBIGUOUS
    if not possible:
        return UNKNOWN
    is_certain = Basis.SINGLE in bases
    return Finding(possible.pop(), Basis.SINGLE if is_certain else Basis.SEEN)


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """What a box knows of one stream.

    Attributes:
        key: The stream.
        origin: Where it began, or None if two origins were reported, which an
            id that is used twice causes.
        expires_at: Time at which the record is forgotten.
    """

    key: StreamKey
    origin: StreamOrigin | None
    expires_at: float


class StreamTable:
    """The streams whose origin a box knows; bounded in size and time."""

    def __init__(self) -> None:
        self._records: dict[StreamKey, StreamRecord] = {}
        self._by_caller: dict[bytes, dict[StreamKey, None]] = (
            collections.defaultdict(dict)
        )

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[StreamRecord]:
        return iter(self._records.values())

    def find(self, key: StreamKey, now: float) -> StreamRecord | None:
        """Returns what is known of a stream, or None."""
        record = self._records.get(key)
        return None if record is None or record.expires_at <= now else record

    def record(
        self, key: StreamKey, origin: StreamOrigin | None, expires_at: float
    ) -> StreamRecord:
        """Records where a stream began and returns the result.

        Args:
            key: The stream.
            origin: Where it began, or None if two origins were reported.
            expires_at: Time until which it may be taken up.
        """
        known = self._records.pop(key, None)
        if known is not None:
            if known.origin != origin:
                known.origin = None
            known.expires_at = max(known.expires_at, expires_at)
            self._records[key] = known
            return known
        if len(self._records) >= MAX_STREAMS:
            self._evict()
        record = self._records[key] = StreamRecord(key, origin, expires_at)
        self._by_caller[key.caller][key] = None
        return record

    def expire(self, now: float) -> None:
        """Forgets the streams that can no longer be taken up."""
        for record in list(self._records.values()):
            if record.expires_at <= now:
                self._remove(record.key)

    def _evict(self) -> None:
        most = max(self._by_caller.values(), key=len)
        self._remove(next(iter(most)))

    def _remove(self, key: StreamKey) -> None:
        del self._records[key]
        streams = self._by_caller[key.caller]
        del streams[key]
        if not streams:
            del self._by_caller[key.caller]
