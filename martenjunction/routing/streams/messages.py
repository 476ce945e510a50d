"""Messages about the software versions that began streams."""

import dataclasses

from martenjunction.decisions.boxes import stream_table
from martenjunction.peers import codec


@codec.message(
    "stream-origins",
    urgent=True,
    rows=(("callers", "streams", "services", "versions", "lifetimes_ms"),),
)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigins:
    """Streams that began; the fields have an item for each.

    Attributes:
        callers: Digests of the callers.
        streams: Digests of the ids of the requests that began them.
        services: The services.
        versions: Software versions of the endpoints that began them.
        lifetimes_ms: Milliseconds for which they may still be taken up.
    """

    callers: tuple[bytes, ...]
    streams: tuple[bytes, ...]
    services: tuple[str, ...]
    versions: tuple[str, ...]
    lifetimes_ms: tuple[int, ...]


@codec.message("ask-stream-origin", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AskStreamOrigin:
    """Asks where a stream began.

    Attributes:
        box: The box that wants to know.
        number: Correlates the answer with this message; unique for `box`.
        caller: Digest of the caller.
        stream: Digest of the id of the request that began it.
        host: The host of its requests.
        path: The path of its requests.
        hops: Number of boxes that forwarded this message.
    """

    box: str
    number: int
    caller: bytes
    stream: bytes
    host: str
    path: str
    hops: int


@codec.message("stream-origin-answer", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamOriginAnswer:
    """Tells where a stream began.

    Attributes:
        box: The box that wants to know.
        number: The number of the `AskStreamOrigin` message.
        basis: What the finding rests on.
        found: Whether there is an origin.
        service: The service, if there is an origin.
        version: The software version, if there is an origin.
        heard: Number of boxes that the answer speaks for; 0 if those were
            counted elsewhere.
        has_gap: Whether a box that was asked did not answer in time.
    """

    box: str
    number: int
    basis: stream_table.Basis
    found: bool
    service: str
    version: str
    heard: int
    has_gap: bool
