"""Structured logging as JSON lines, using eliot."""

import json
import logging
import os
import sys
from typing import Any
from typing import TextIO

import eliot

from martenjunction import errors

STANDARD_ERROR = "-"


class _EliotHandler(logging.Handler):
    """Forwards records of the standard `logging` module to eliot."""

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {
            "level": record.levelname.lower(),
            "logger": record.name,
            "text": record.getMessage(),
        }
        if record.exc_info is not None and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        eliot.log_message("log", **fields)


def open_log(path: str) -> TextIO:
    """Opens the log file.

    Args:
        path: A file, or `-` for standard error.

    Raises:
        SettingsError: If the file cannot be opened.
    """
    if path == STANDARD_ERROR:
        return sys.stderr
    try:
        return open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115
    except OSError as error:
        raise errors.SettingsError(
            f"cannot open the log file: {error.strerror}", path
        ) from error


def start(path: str, box: str) -> None:
    """Writes all logs of the process to one file.

    Args:
        path: A file, or `-` for standard error.
        box: Name of the box, added to every line.
    """
    eliot.to_file(open_log(path))
    eliot.add_global_fields(box=box)
    root = logging.getLogger()
    root.handlers = [_EliotHandler()]
    root.setLevel(logging.INFO)
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


class BoundedOutput:
    """Writes lines without blocking on the reader.

    Lines that do not fit into the pipe are buffered up to a limit; further
    lines are dropped and counted.
    """

    # Maximum number of buffered bytes.
    MAX_BUFFERED_BYTES = 256 * 1024

    def __init__(self, descriptor: int) -> None:
        """Initializes the output.

        Args:
            descriptor: The file descriptor, which is set to non-blocking.
        """
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """The number of dropped lines."""
        return self._dropped

    def write(self, message: dict[str, Any]) -> None:
        """Writes a message as one JSON line; called by eliot."""
        for field in ("task_uuid", "task_level"):
            message.pop(field, None)
        line = json.dumps(message, default=str).encode() + b"\n"
        if len(self._buffer) + len(line) > self.MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            # The reader is too slow or gone; the lines stay in the buffer.
            return
        del self._buffer[:written]


def start_bounded(box: str) -> BoundedOutput:
    """Writes all logs to standard output without blocking on its reader.

    Args:
        box: Name of the box, added to every line.
    """
    output = BoundedOutput(sys.stdout.fileno())
    eliot.add_destinations(output.write)
    eliot.add_global_fields(box=box)
    root = logging.getLogger()
    root.handlers = [_EliotHandler()]
    root.setLevel(logging.INFO)
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    return output
