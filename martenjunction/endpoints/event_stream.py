"""Splits a byte stream into server-sent events."""

import dataclasses
import re

from martenjunction import errors

# Maximum size of an event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event.

    Attributes:
        data: Bytes of the event, including the blank line at its end.
        id: Event id, or None.
    """

    data: bytes
    id: str | None


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds received bytes; returns the events that are now complete.

        Raises:
            EndpointBrokenError: If an event exceeds the maximum size.
        """
        rest = self._buffer + data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(rest):
            piece = rest[start : match.end()]
            start = match.end()
            found = _ID.search(piece)
            name = found.group(1).decode("latin-1") if found else None
            events.append(StreamEvent(piece, name))
        self._buffer = rest[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.EndpointBrokenError("event too large")
        return events
