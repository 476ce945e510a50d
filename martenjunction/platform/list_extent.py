"""Bounds the lists of the store, which come in pages."""

from martenjunction import errors
from martenjunction.platform import store_answers

# Maximum number of pages of a list.
MAX_PAGES = 200

# Part of a box's memory for the objects of a list, and their maximum size in
# bytes where its memory is not limited. The archived streams of a large fleet
# have to fit in.
MEMORY_FRACTION = 0.5
MAX_BYTES = 64 * 1024 * 1024

# Bytes that an object takes beside its name and its content.
OBJECT_BYTES = 512


class ListExtent:
    """Counts what is held of a list, until its last page."""

    def __init__(self, memory_bytes: int | None) -> None:
        """Initializes the extent of a list without pages.

        Args:
            memory_bytes: Memory of this box, in bytes, if it is limited.
        """
        self._max_bytes = (
            MAX_BYTES
            if memory_bytes is None
            else int(memory_bytes * MEMORY_FRACTION)
        )
        self._bytes = 0
        self._pages = 0
        self._last_name: str | None = None

    def add(self, page: store_answers.Page) -> None:
        """Counts a page.

        Raises:
            PlatformRefusedError: If the list is too long, or goes round.
        """
        self._pages += 1
        self._bytes += sum(
            OBJECT_BYTES + len(entry.metadata.name) + len(entry.spec)
            for entry in page.entries
        )
        if self._bytes > self._max_bytes:
            raise errors.PlatformRefusedError(
                f"a list of more than {self._max_bytes} bytes"
            )
        if not page.has_more or not page.entries:
            return
        last_name = page.entries[-1].metadata.name
        if last_name == self._last_name:
            raise errors.PlatformRefusedError("a list that does not go on")
        self._last_name = last_name
        if self._pages == MAX_PAGES:
            raise errors.PlatformRefusedError("a list of too many pages")
