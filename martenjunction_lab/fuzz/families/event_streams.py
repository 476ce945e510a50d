"""Server-sent events of endpoints, in any pieces."""

import random

from martenjunction import errors
from martenjunction.endpoints import event_stream
from martenjunction_lab.fuzz import pieces
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets

_PARTS = (
    b"id: 1\n",
    b"id:2\r\n",
    b"id\n",
    b"id: \xff\0\n",
    b"data: {}\n",
    b"data: x\r\n",
    b": comment\n",
    b"event: end\n",
    b"\n",
    b"\r\n",
    b"\r",
    b"\n\n",
    b"\n\r\n",
    b"\r\n\r\n",
    b"data: " + b"x" * 300,
)


@targets.registered.register("event-streams")
class EventStreams(targets.Target):
    """Streams of events."""

    declared = (errors.EndpointBrokenError,)

    def generate(self, rng: random.Random) -> bytes:
        """Returns a stream."""
        data = b"".join(rng.choices(_PARTS, k=rng.randint(1, 12)))
        return spans.damage(rng, data) if rng.random() < 0.2 else data

    def check(self, data: bytes) -> None:
        """Splits a stream; pieces change nothing, and nothing is lost."""
        whole = _split([data])
        for cut in pieces.ways(data):
            if _split(cut) != whole:
                raise targets.OracleError("pieces change the events")
        events, left = whole
        size = sum(len(event.data) for event in events)
        if b"".join(event.data for event in events) != data[:size]:
            raise targets.OracleError("events are not what was received")
        if size + left != len(data):
            raise targets.OracleError("bytes of events are lost")


def _split(
    cut: list[bytes],
) -> tuple[list[event_stream.StreamEvent], int]:
    splitter = event_stream.EventSplitter()
    events = []
    for piece in cut:
        fed = splitter.feed(piece, max_events=1)
        while fed:
            events += fed
            fed = splitter.feed(b"", max_events=1)
    return events, splitter.buffered
