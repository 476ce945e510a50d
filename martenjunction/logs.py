"""Logs as JSON lines, by eliot."""

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
    """Passes what modules log by the standard library on to eliot."""

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
    """Opens the file for the log lines.

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
            f"the log cannot be opened: {error.strerror}", path
        ) from error


def start(path: str, box: str) -> None:
    """Sends all logs of the process to one place.

    Args:
        path: A file, or `-` for standard error.
        box: Goes with every line.
    """
    eliot.to_file(open_log(path))
    eliot.add_global_fields(box=box)
    root = logging.getLogger()
    root.handlers = [_EliotHandler()]
    root.setLevel(logging.INFO)
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


class BoundedOutput:
    """Writes lines without ever waiting for the reader.

    Lines that do not fit into the pipe at once are kept up to a bound; those
    beyond are dropped and counted.
    """

    # Bytes that may wait for the reader of the log.
    MAX_WAITING_BYTES = 256 * 1024

    def __init__(self, descriptor: int) -> None:
        """Makes an output.

        Args:
            descriptor: Where to write; it is set not to block.
        """
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines that were dropped so far."""
        return self._dropped

    def write(self, message: dict[str, Any]) -> None:
        """Writes a message as one JSON line; called by eliot."""
        for field in ("task_uuid", "task_level"):
            message.pop(field, None)
        line = json.dumps(message, default=str).encode() + b"\n"
        if len(self._waiting) + len(line) > self.MAX_WAITING_BYTES:
            self._dropped += 1
        else:
            self._waiting += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except OSError:
            # The reader does not keep up or is gone: the lines wait.
            return
        del self._waiting[:written]


def start_bounded(box: str) -> BoundedOutput:
    """Sends all logs to standard output, never waiting for its reader.

    Args:
        box: Goes with every line.
    """
    output = BoundedOutput(sys.stdout.fileno())
    eliot.add_destinations(output.write)
    eliot.add_global_fields(box=box)
    root = logging.getLogger()
    root.handlers = [_EliotHandler()]
    root.setLevel(logging.INFO)
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    return output
