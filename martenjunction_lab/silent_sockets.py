"""Makes connections of this process silent for good, without a reset.

A socket filter has the kernel drop all that arrives at a socket (socket(7)):
data, acknowledgements, and the end or reset of the other side. What was sent
is sent again and again, as over a link that loses everything.
"""

from collections.abc import Collection
from collections.abc import Iterator
import contextlib
import ctypes
import os
import random
import socket
import struct

from martenjunction import addresses

# Option that attaches a filter (asm-generic/socket.h), and the filter: one
# instruction, which returns that 0 bytes are kept.
_SO_ATTACH_FILTER = 26
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)

_Address = tuple[str, int]


def silence(targets: Collection[str], share: float, draw: random.Random) -> int:
    """Makes open connections silent; those that begin later work.

    Args:
        targets: Listening addresses; connections to them are meant.
        share: The part of the connections that falls silent.
        draw: Decides which these are.

    Returns:
        How many connections fell silent.
    """
    ends = {addresses.split_address(target) for target in targets}
    drawn: dict[frozenset[_Address], bool] = {}
    for sock, own, other in _connected():
        if own in ends or other in ends:
            link = frozenset((own, other))
            if link not in drawn:
                drawn[link] = draw.random() < share
            if drawn[link]:
                _drop_all(sock)
    return sum(drawn.values())


def _connected() -> Iterator[tuple[socket.socket, _Address, _Address]]:
    """Yields the connected sockets of this process, in a fixed order."""
    for name in sorted(os.listdir("/proc/self/fd"), key=int):
        with contextlib.suppress(OSError):
            sock = socket.socket(fileno=os.dup(int(name)))
            with sock:
                if sock.family == socket.AF_INET:
                    yield sock, sock.getsockname(), sock.getpeername()


def _drop_all(sock: socket.socket) -> None:
    instructions = ctypes.create_string_buffer(_DROP_ALL)
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(instructions))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
