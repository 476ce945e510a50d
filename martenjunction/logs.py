"""Logs as JSON lines, by eliot."""

import logging
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
