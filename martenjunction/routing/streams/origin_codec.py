"""Encodes and decodes where streams began, as boxes tell each other."""

from collections.abc import Iterable
from collections.abc import Iterator

from martenjunction.decisions.boxes import stream_table
from martenjunction.routing.streams import messages

# Maximum length of a service or version name accepted from a peer, and maximum
# lifetime of a record in seconds.
MAX_NAME = 256
MAX_LIFETIME_S = 600.0

# Sizes of the digests of a caller and of a request id, in bytes.
CALLER_BYTES = 8
STREAM_BYTES = 16

MS = 0.001

DecodedRow = tuple[stream_table.StreamKey, stream_table.StreamOrigin, float]


def encode(
    records: Iterable[stream_table.StreamRecord], now: float
) -> messages.StreamOrigins:
    """Returns a message about all of some streams that have an origin.

    Args:
        records: The streams.
        now: The current time.
    """
    known = [
        (record.key, record.origin, int((record.expires_at - now) / MS))
        for record in records
        if record.origin is not None
    ]
    return messages.StreamOrigins(
        tuple(key.caller for key, _, _ in known),
        tuple(key.stream for key, _, _ in known),
        tuple(origin.service for _, origin, _ in known),
        tuple(origin.version for _, origin, _ in known),
        tuple(left_ms for _, _, left_ms in known),
    )


def decode(message: messages.StreamOrigins) -> Iterator[DecodedRow]:
    """Yields each stream with its origin and the seconds that it may last.

    Streams whose digests or names have another size are left out.
    """
    rows = zip(
        message.callers,
        message.streams,
        message.services,
        message.versions,
        message.lifetimes_ms,
        strict=False,
    )
    for caller, stream, service, version, lifetime_ms in rows:
        if len(caller) != CALLER_BYTES or len(stream) != STREAM_BYTES:
            continue
        if max(len(service), len(version)) > MAX_NAME:
            continue
        yield (
            stream_table.StreamKey(caller, stream),
            stream_table.StreamOrigin(service, version),
            min(max(0, lifetime_ms) * MS, MAX_LIFETIME_S),
        )
