"""Splits a stream of server-sent events into whole events."""

import dataclasses
import re

from martenjunction import errors

# Largest event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes:
        data: Its bytes, the blank line at its end included.
        id: Its id, or None.
    """

    data: bytes
    id: str | None


class EventSplitter:
    """Gathers bytes until an event is whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Whether bytes of an event came that is not whole."""
        return bool(self._rest.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes in; returns the events that are whole now.

        Raises:
            EndpointBrokenError: If an event has no end.
        """
        rest = self._rest + data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(rest):
            piece = rest[start : match.end()]
            start = match.end()
            found = _ID.search(piece)
            name = found.group(1).decode("latin-1") if found else None
            events.append(StreamEvent(piece, name))
        self._rest = rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.EndpointBrokenError("an event without an end")
        return events
