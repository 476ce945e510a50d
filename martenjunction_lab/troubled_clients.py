"""Clients of boxes that have trouble, on connections that they keep."""

import asyncio
import contextlib
import enum
import itertools
import random
import socket
import time

from martenjunction import addresses
from martenjunction_lab import boxes
from martenjunction_lab import trial_fleet
from martenjunction_lab import troubled_judge

ROUTES = ("safe", "unsafe", "chat", "digest")

# Seconds that a client gives its request, beyond which it waits for a response,
# and between a response and the next request.
DEADLINE_S = 3.0
PATIENCE_S = 3.0
REST_S = 0.2

# Seconds after which a client that leaves does so, and the largest body.
LEAVES_S = (0.005, 1.2)
MAX_BODY_BYTES = 60_000

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Habit(enum.StrEnum):
    """What a client does while it waits."""

    STAY = "stay"
    SEND_NEXT = "send-next"
    HALF_CLOSE = "half-close"
    RESET = "reset"


WEIGHTS = {
    Habit.STAY: 6,
    Habit.SEND_NEXT: 2,
    Habit.HALF_CLOSE: 1,
    Habit.RESET: 1,
}


class Clients:
    """Clients of all boxes."""

    def __init__(
        self,
        draw: random.Random,
        seen: troubled_judge.Seen,
        fleet: boxes.Boxes,
    ) -> None:
        """Makes clients that are not connected.

        Args:
            draw: Decides what they leave to chance.
            seen: Takes what they see.
            fleet: The boxes.
        """
        self._draw = draw
        self._seen = seen
        self._fleet = fleet
        self._numbers = itertools.count(1)

    async def run(self, until: float) -> None:
        """Has a client send one request after the other."""
        streams: _Streams | None = None
        while time.monotonic() < until:
            if streams is None:
                streams = await self._connect()
            if streams is not None and not await self._use(*streams):
                streams[1].close()
                streams = None
            await asyncio.sleep(self._draw.uniform(0.0, REST_S))
        if streams is not None:
            streams[1].close()

    async def _connect(self) -> _Streams | None:
        address = self._draw.choice(self._fleet.addresses)
        try:
            return await asyncio.open_connection(
                *addresses.split_address(address)
            )
        except OSError:
            return None

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a request or two; returns whether the connection goes on."""
        address = "{}:{}".format(*writer.get_extra_info("peername"))
        if reader.at_eof():
            self._seen.closed.append((time.monotonic(), address))
            return False
        draw = self._draw
        habit = draw.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        asked = [self._send(writer, address)]
        if habit in (Habit.HALF_CLOSE, Habit.RESET):
            asked[0].left = True
            await asyncio.sleep(draw.uniform(*LEAVES_S))
            _leave(writer, habit)
            with contextlib.suppress(OSError):
                async with asyncio.timeout(PATIENCE_S):
                    await reader.read(1)
            return False
        if habit is Habit.SEND_NEXT:
            await asyncio.sleep(draw.uniform(0.0, 0.5))
            asked.append(self._send(writer, address))
        for one in asked:
            goes_on = await _receive(reader, one)
            one.ended_at = time.monotonic()
            if not goes_on:
                # What follows may not have been read.
                for other in asked[asked.index(one) + 1 :]:
                    other.left = True
                return False
        return True

    def _send(
        self, writer: asyncio.StreamWriter, address: str
    ) -> troubled_judge.Asked:
        draw = self._draw
        route = draw.choice(ROUTES)
        name = f"{route}-{next(self._numbers)}"
        size = draw.choice((5, 5, MAX_BODY_BYTES))
        body = name.encode().ljust(size, b".")
        headers = trial_fleet.plain_headers(name, int(DEADLINE_S * 1000))
        headers["Martenjunction-Token-Counts"] = "500,80"
        headers["Martenjunction-Prefix-Hash"] = f"aa:100,{name}:400"
        headers["Host"] = "api.example"
        headers["Content-Length"] = str(len(body))
        lines = [f"{key}: {value}" for key, value in headers.items()]
        head = "\r\n".join([f"POST /{route}/x HTTP/1.1", *lines])
        writer.write(head.encode() + b"\r\n\r\n" + body)
        one = troubled_judge.Asked(name, route, address, time.monotonic(), body)
        self._seen.asked.append(one)
        return one


def _leave(writer: asyncio.StreamWriter, habit: Habit) -> None:
    """Ends the sending side of a connection, or resets it."""
    if writer.transport.is_closing():
        return
    if habit is Habit.HALF_CLOSE:
        with contextlib.suppress(OSError):
            writer.write_eof()
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


async def _receive(
    reader: asyncio.StreamReader, one: troubled_judge.Asked
) -> bool:
    """Reads a response; returns whether the connection goes on."""
    try:
        async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.lower().split("\r\n")
            one.status = int(lines[0].split(" ")[1])
            fields = dict(
                line.split(": ", 1) for line in lines[1:] if ": " in line
            )
            one.body = await _read_body(reader, fields)
            one.whole = True
    except asyncio.IncompleteReadError:
        return False
    except OSError:
        return False
    except TimeoutError:
        one.hung = True
        return False
    return "close" not in fields.get("connection", "")


async def _read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    parts: list[bytes] = []
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])
