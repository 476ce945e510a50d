"""Structured logging as JSON lines, using eliot."""

import json
import logging
import os
import select
import sys
import time
from typing import Any
from typing import TextIO

import eliot

from martenjunction import errors

STANDARD_ERROR = "-"

# Fields of every line.
_COMMON = ("timestamp", "box")


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
    lines are dropped. Once lines fit again, one says how many were dropped.
    """

    # Maximum number of buffered bytes.
    MAX_BUFFERED_BYTES = 256 * 1024

    # Seconds to wait for the reader at the end of the process.
    FINISH_TIMEOUT_S = 0.2

    def __init__(self, descriptor: int) -> None:
        """Initializes the output.

        Args:
            descriptor: The file descriptor, which is set to non-blocking.
        """
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._unreported = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """The number of dropped lines."""
        return self._dropped

    def write(self, message: dict[str, Any]) -> None:
        """Writes a message as one JSON line; called by eliot."""
        for field in ("task_uuid", "task_level"):
            message.pop(field, None)
        self._flush()
        line = _encode(message)
        if self._unreported:
            line = self._report(message) + line
        if len(self._buffer) + len(line) > self.MAX_BUFFERED_BYTES:
            self._dropped += 1
            self._unreported += 1
        else:
            self._unreported = 0
            self._buffer += line
        self._flush()

    def finish(self) -> None:
        """Waits a moment for the reader of lines that are buffered."""
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        ends_at = time.monotonic() + self.FINISH_TIMEOUT_S
        while self._buffer:
            left_s = ends_at - time.monotonic()
            if left_s <= 0.0 or not self._is_writable(poller, left_s):
                return
            self._flush()

    def _report(self, message: dict[str, Any]) -> bytes:
        """Returns a line on dropped lines, with the time of a message."""
        report = {key: message[key] for key in _COMMON if key in message}
        report["message_type"] = "log-lines-dropped"
        report["count"] = self._unreported
        return _encode(report)

    @staticmethod
    def _is_writable(poller: select.poll, timeout_s: float) -> bool:
        events = poller.poll(timeout_s * 1000)
        return bool(events) and not events[0][1] & select.POLLERR

    def _flush(self) -> None:
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            # The reader is too slow or gone; the lines stay in the buffer.
            return
        del self._buffer[:written]


def _encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message, default=str).encode() + b"\n"


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
