"""Collects the parts of a body in one piece of memory."""

from martenjunction.http1 import messages


class BodyBuffer:
    """A body that is being received."""

    def __init__(self, length: int | None = None) -> None:
        """Initializes an empty buffer.

        Args:
            length: The length of the whole body in bytes, whose memory is
                allocated at once, or None if it is not known.
        """
        self._data = bytearray(length or 0)
        self._size = 0

    @property
    def size(self) -> int:
        """Number of bytes received."""
        return self._size

    def append(self, part: messages.Body) -> None:
        """Adds the next part."""
        end = self._size + len(part)
        if end <= len(self._data):
            self._data[self._size : end] = part
        else:
            self._data[self._size :] = part
        self._size = end

    def take(self) -> messages.Body:
        """Returns the complete body; the buffer must not be used again."""
        return self._data
