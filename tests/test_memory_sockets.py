"""Sockets in memory against those of the kernel over loopback.

Guards against plays in memory that end otherwise than those over loopback, and
so hide a request without an end or show one that there is not.
"""

from collections.abc import Callable
import errno
import random
import select
import socket
import struct
from typing import Any

import pytest

from martenjunction_lab.explore import events
from martenjunction_lab.explore import plays
from martenjunction_lab.simulated import sockets

_NO_LINGER = struct.pack("ii", 1, 0)
_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
_DROP = socket.MSG_TRUNC | socket.MSG_DONTWAIT

# Operations on one end of a connection, by name.
_OPERATIONS: dict[str, Callable[[Any], Any]] = {
    "send": lambda sock: sock.send(b"abc"),
    "recv": lambda sock: sock.recv(2),
    "peek": lambda sock: sock.recv(1, _PEEK),
    "drop": lambda sock: sock.recv_into(bytearray(2), 2, _DROP),
    "end": lambda sock: sock.shutdown(socket.SHUT_WR),
    "error": lambda sock: sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
    "close": lambda sock: sock.close(),
    "reset": lambda sock: (
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER),
        sock.close(),
    ),
}
_CLOSING = ("close", "reset")

# Rows of operations that are drawn, and the operations of each.
_ROWS = 400
_LENGTH = 12


def pair(network: sockets.Network) -> tuple[Any, Any]:
    """Returns both ends of a connection."""
    listening = network.listen(0, 8)
    ends = network.connect(listening.getsockname()), listening.accept()[0]
    for one in ends:
        one.setblocking(False)
    listening.close()
    return ends


def outcome(sock: Any, name: str) -> Any:
    """Returns what an operation gives, or the number of its error."""
    try:
        return _OPERATIONS[name](sock)
    except OSError as error:
        return errno.errorcode[error.errno]


def is_ready(poll: Any, sock: Any, event: int) -> bool:
    asked = poll()
    asked.register(sock, event)
    return bool(asked.poll(0))


def outcomes(
    network: sockets.Network, poll: Any, steps: list[tuple[int, str]]
) -> list[Any]:
    """Returns what each operation gave, and what both ends were ready for."""
    ends = pair(network)
    found = []
    for which, name in steps:
        found.append((name, outcome(ends[which], name)))
        for one in ends:
            if one.fileno() >= 0:
                found.append(("ended", is_ready(poll, one, select.POLLRDHUP)))
                found.append(("writable", is_ready(poll, one, select.POLLOUT)))
    for one in ends:
        one.close()
    return found


def test_sockets_in_memory_give_what_those_of_the_kernel_give() -> None:
    for row in range(_ROWS):
        drawn = random.Random(row)
        names = [name for name in _OPERATIONS if name not in _CLOSING]
        steps = [
            (drawn.randrange(2), drawn.choice(names)) for _ in range(_LENGTH)
        ]
        steps[drawn.randrange(_LENGTH)] = 0, drawn.choice(_CLOSING)
        expected = outcomes(sockets.Loopback(), select.poll, steps)
        assert outcomes(sockets.Memory(), sockets.Poll, steps) == expected, (
            row,
            steps,
        )


@pytest.mark.parametrize("network", [sockets.Loopback(), sockets.Memory()])
def test_connection_to_a_closed_port_is_refused(
    network: sockets.Network,
) -> None:
    listening = network.listen(0, 8)
    address = listening.getsockname()
    listening.close()
    connecting = network.new()
    connecting.setblocking(False)
    with pytest.raises(BlockingIOError):
        connecting.connect(address)
    found = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    assert found == errno.ECONNREFUSED
    connecting.close()


@pytest.mark.parametrize("network", [sockets.Loopback(), sockets.Memory()])
def test_listener_that_closes_resets_what_it_has_not_accepted(
    network: sockets.Network,
) -> None:
    listening = network.listen(0, 8)
    connected = network.connect(listening.getsockname())
    listening.close()
    with pytest.raises(ConnectionResetError):
        connected.recv(1)
    connected.close()


def test_plays_in_memory_and_over_loopback_show_the_same() -> None:
    for row in range(40):
        drawn = random.Random(row)
        order = tuple(drawn.choices(events.ALL_STEPS, k=60))
        shown = [
            plays.play(order, most=8, traced=True, in_memory=in_memory)
            for in_memory in (False, True)
        ]
        assert shown[0] == shown[1]
