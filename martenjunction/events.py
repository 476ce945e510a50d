"""Named events to which components and extensions connect."""

from collections.abc import Callable
import logging
from typing import Any

from martenjunction import errors

logger = logging.getLogger(__name__)

CONFIG_CHANGED = "config-changed"
MEMBERS_CHANGED = "members-changed"
PEER_CONNECTED = "peer-connected"
PEER_LOST = "peer-lost"
REQUEST_ENDED = "request-ended"
LEAVING = "leaving"

CORE_EVENTS = frozenset(
    {
        CONFIG_CHANGED,
        MEMBERS_CHANGED,
        PEER_CONNECTED,
        PEER_LOST,
        REQUEST_ENDED,
        LEAVING,
    }
)

Listener = Callable[..., Any]


class Events:
    """Dispatches events to their listeners in the order of connection."""

    def __init__(self) -> None:
        self._listeners: dict[str, list[Listener]] = {
            name: [] for name in CORE_EVENTS
        }

    def add(self, name: str) -> None:
        """Declares an event of an extension.

        Raises:
            MartenjunctionError: If the event already exists.
        """
        if name in self._listeners:
            raise errors.MartenjunctionError(f"event {name!r} already exists")
        self._listeners[name] = []

    def connect(self, name: str, listener: Listener) -> None:
        """Calls `listener` whenever the event is emitted.

        Raises:
            MartenjunctionError: If the event is not declared.
        """
        if name not in self._listeners:
            raise errors.MartenjunctionError(f"unknown event {name!r}")
        self._listeners[name].append(listener)

    def emit(self, name: str, *args: Any) -> None:
        """Calls all listeners, also after one of them fails."""
        for listener in list(self._listeners[name]):
            try:
                listener(*args)
            except Exception:
                logger.exception("listener of %s failed", name)
