"""A selector for sockets of the kernel and for those in memory."""

import selectors
from typing import Any

from martenjunction_lab.simulated import sockets

_Ready = list[tuple[selectors.SelectorKey, int]]


class Selector(selectors.DefaultSelector):
    """Also selects sockets in memory, in the order in which they got ready."""

    def __init__(self, network: sockets.Memory | None) -> None:
        """Initializes it; without a network all sockets are the kernel's."""
        super().__init__()
        self._network = network
        self._keys: dict[int, selectors.SelectorKey] = {}

    @property
    def network(self) -> sockets.Memory | None:
        """The network whose sockets are selected as well."""
        return self._network

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Returns the key of what is registered; `KeyError` if it is not."""
        number = _descriptor(fileobj)
        if number >= sockets.FIRST_DESCRIPTOR:
            return self._keys[number]
        return super().get_key(fileobj)

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Registers a socket or another descriptor."""
        number = _descriptor(fileobj)
        if number < sockets.FIRST_DESCRIPTOR:
            return super().register(fileobj, events, data)
        assert self._network is not None
        key = selectors.SelectorKey(fileobj, number, events, data)
        self._keys[number] = key
        self._network.changed.setdefault(self._network.sockets[number])
        return key

    def modify(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Changes the events and data of what is registered."""
        if _descriptor(fileobj) < sockets.FIRST_DESCRIPTOR:
            return super().modify(fileobj, events, data)
        return self.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Ends a registration."""
        number = _descriptor(fileobj)
        if number < sockets.FIRST_DESCRIPTOR:
            return super().unregister(fileobj)
        return self._keys.pop(number)

    def select_memory(self) -> _Ready:
        """Returns the sockets in memory that are ready, each with its events.

        Those that are ready but not registered for it are asked again once they
        are registered or change.
        """
        ready: _Ready = []
        if self._network is None:
            return ready
        changed = self._network.changed
        for sock in list(changed):
            key = self._keys.get(sock.fileno())
            events = 0
            if key is not None:
                if key.events & selectors.EVENT_READ and sock.readable:
                    events |= selectors.EVENT_READ
                if key.events & selectors.EVENT_WRITE and sock.writable:
                    events |= selectors.EVENT_WRITE
            if key is not None and events:
                ready.append((key, events))
            else:
                del changed[sock]
        return ready


def _descriptor(fileobj: Any) -> int:
    number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
    return int(number)
