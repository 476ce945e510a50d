"""Splits a byte stream into server-sent events."""

import dataclasses
import re
import sys

from martenjunction import errors

# Maximum size of an event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024

# Maximum number of bytes that `_BLANK_LINE` matches.
_SEPARATOR_BYTES = 3

# A blank line and the end of the line before it.
_BLANK_LINE = re.compile(rb"\n\r?\n")
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
        self._buffer = bytearray()
        # Position up to which the buffer holds no blank line.
        self._searched = 0
        self._discarded = False

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def buffered(self) -> int:
        """Bytes of an event that is not complete yet."""
        return len(self._buffer)

    def discard(self) -> None:
        """Frees what is buffered; nothing more is returned."""
        self._buffer.clear()
        self._discarded = True

    def feed(
        self, data: bytes, max_events: int = sys.maxsize
    ) -> list[StreamEvent]:
        """Adds received bytes; returns the events that are now complete.

        Args:
            data: The bytes; may be empty.
            max_events: Maximum number of events to return. If it returns so
                many, more may be complete; feed it empty bytes to get them.

        Raises:
            EndpointBrokenError: If an event exceeds the maximum size.
            AnswerGivenUpError: If it was discarded.
        """
        if self._discarded:
            raise errors.AnswerGivenUpError("no memory for an event")
        self._buffer += data
        events: list[StreamEvent] = []
        start = 0
        while len(events) < max_events:
            match = _BLANK_LINE.search(self._buffer, max(start, self._searched))
            if match is None:
                break
            events.append(_event(bytes(self._buffer[start : match.end()])))
            start = match.end()
            self._searched = start
        del self._buffer[:start]
        self._searched = 0
        if len(events) < max_events:
            self._searched = max(0, len(self._buffer) - _SEPARATOR_BYTES + 1)
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise errors.EndpointBrokenError("event too large")
        return events


def _event(data: bytes) -> StreamEvent:
    found = _ID.search(data)
    name = found.group(1).decode("latin-1") if found else None
    return StreamEvent(data, name)
