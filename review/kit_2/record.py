"""What was sent, answered and run, in the order in which it was seen."""

import pathlib
import time


class Record:
    """Lines with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begins an empty record in a file."""
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()
