"""Two ways to carry requests from box to box, compared.

    python -m martenjunction_lab.hops

Both carry the same requests to a box beside an endpoint: tunnels, a connection
each, and frames on the link over which boxes exchange configuration. The link
between the boxes is thin, and a small urgent message is sent over it each 50 ms
while requests with large bodies pass.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import statistics
import time
from typing import Any

from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from martenjunction import addresses
from martenjunction import timers
from martenjunction.http1 import streams
from martenjunction.peers import codec
from martenjunction.peers import links
from martenjunction.peers import membership
from martenjunction.tunnels import framing

# Bandwidth between the boxes, in bytes a second: the thinnest of a deployment.
THIN_BYTES_S = 5_000_000 / 8
PACKET_BYTES = 1460
SMALL_INTERVAL_S = 0.05

# Bytes of a request or response in one message between boxes.
PIECE_BYTES = 16 * 1024

LARGE_BODY = b"x" * 60_000
SMALL_BODY = b"x" * 1_000

# Events of a stream and their size, for the cost of a response.
EVENTS = 20
EVENT = b"x" * 200
EVENT_PAUSE_S = 0.002


@codec.message("hop-data")
@dataclasses.dataclass(frozen=True, slots=True)
class HopData:
    """A piece of a request or response."""

    number: int
    data: bytes
    last: bool


@codec.message("hop-urgent", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class HopUrgent:
    """A small message that must not wait."""

    sent_at: float


class _Pace:
    """When a link has sent all that was given to it.

    Attributes:
        turn: Held by the connection that sends; connections take turns.
        free_at: Steady-clock time at which the link is idle.
    """

    def __init__(self) -> None:
        self.turn = asyncio.Lock()
        self.free_at = 0.0


class _ThinLink:
    """Relays connections that share one bandwidth."""

    def __init__(self, target: str, bytes_s: float) -> None:
        self._target = target
        self._bytes_s = bytes_s
        self._pace = _Pace()
        self._tasks: list[asyncio.Task[None]] = []
        self.address = ""

    def share(self, other: "_ThinLink") -> None:
        """Uses the bandwidth of another link's relay."""
        self._pace = other._pace

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = _address_of(server.sockets[0])

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.append(asyncio.ensure_future(self._relay(reader, writer)))

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = addresses.split_address(self._target)
        other_reader, other = await asyncio.open_connection(host, port)
        copies = [
            asyncio.ensure_future(self._copy(reader, other)),
            asyncio.ensure_future(self._copy(other_reader, writer)),
        ]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for one in (writer, other):
            one.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(PACKET_BYTES):
            if self._bytes_s:
                async with self._pace.turn:
                    now = time.monotonic()
                    self._pace.free_at = max(self._pace.free_at, now)
                    self._pace.free_at += len(data) / self._bytes_s
                    await asyncio.sleep(self._pace.free_at - now)
            writer.write(data)
            await writer.drain()


class _Way:
    """One way to carry requests, between two boxes over one link."""

    def __init__(self, bytes_s: float) -> None:
        self._bytes_s = bytes_s
        self._clock = timers.Timers()
        self.delays: list[float] = []
        self._links: list[links.Link] = []
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        """Connects the boxes."""
        server = await ws_server.serve(
            self._serve_link,
            "127.0.0.1",
            0,
            compression=None,
            ping_interval=None,
            write_limit=links.WRITE_LIMIT,
        )
        [sock] = server.sockets
        self._thin = _ThinLink(_address_of(sock), self._bytes_s)
        await self._thin.start()
        connection = await ws_client.connect(
            f"ws://{self._thin.address}/",
            compression=None,
            ping_interval=None,
            write_limit=links.WRITE_LIMIT,
            proxy=None,
        )
        self.link = self._make_link(connection, True)
        self._tasks.append(
            asyncio.ensure_future(self.link.run(self._on_answer))
        )

    async def send_small(self) -> None:
        """Sends small urgent messages all the time."""
        while True:
            self.link.send(HopUrgent(time.monotonic()))
            await asyncio.sleep(SMALL_INTERVAL_S)

    async def request(self, number: int, body: bytes, events: int) -> None:
        """Carries a request and waits for its response."""
        raise NotImplementedError

    def _make_link(self, connection: Any, dialed: bool) -> links.Link:
        member = membership.Member("box", "zone", "", "", "")
        return links.Link(
            connection, member, self._clock, links.NoStamps(), dialed
        )

    async def _serve_link(self, connection: Any) -> None:
        link = self._make_link(connection, False)
        self._links.append(link)
        await link.run(self._on_request)

    def _on_request(self, message: Any) -> None:
        if isinstance(message, HopUrgent):
            self.delays.append(time.monotonic() - message.sent_at)

    def _on_answer(self, message: Any) -> None:
        pass


class Frames(_Way):
    """Requests in messages on the link between the boxes."""

    def __init__(self, bytes_s: float) -> None:
        """Initializes the way; `start` connects the boxes."""
        super().__init__(bytes_s)
        self._answers: dict[int, asyncio.Event] = {}
        self._sizes: collections.Counter[int] = collections.Counter()

    async def request(self, number: int, body: bytes, events: int) -> None:
        """Carries a request and waits for its response."""
        answered = self._answers[number] = asyncio.Event()
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            last = start + PIECE_BYTES >= len(body)
            self.link.send(HopData(number * 100 + events, piece, last))
            # One piece at a time, so that urgent messages can go between.
            while len(self.link._outbox):
                await asyncio.sleep(0.001)
        await answered.wait()

    def _on_request(self, message: Any) -> None:
        super()._on_request(message)
        if isinstance(message, HopData) and message.last:
            number, events = divmod(message.number, 100)
            answering = self._answer(number, events)
            self._tasks.append(asyncio.ensure_future(answering))

    async def _answer(self, number: int, events: int) -> None:
        for event in range(events):
            last = event + 1 == events
            self._links[0].send(HopData(number, EVENT, last))
            await asyncio.sleep(EVENT_PAUSE_S)

    def _on_answer(self, message: Any) -> None:
        if message.last:
            self._answers.pop(message.number).set()


class Tunnels(_Way):
    """Requests on connections of their own, which are kept."""

    def __init__(self, bytes_s: float) -> None:
        """Initializes the way; `start` connects the boxes."""
        super().__init__(bytes_s)
        self._idle: list[tuple[Any, framing.FramedSource]] = []

    async def start(self) -> None:
        """Connects the boxes."""
        await super().start()
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self._shared = _ThinLink(_address_of(server.sockets[0]), self._bytes_s)
        # Both relays stand for one link.
        self._shared.share(self._thin)
        await self._shared.start()

    async def request(self, number: int, body: bytes, events: int) -> None:
        """Carries a request and waits for its response."""
        if self._idle:
            stream, source = self._idle.pop()
        else:
            stream = streams.new_stream()
            await streams.connect(stream, self._shared.address, 1.0)
            source = framing.FramedSource(stream)
        await stream.write(len(body).to_bytes(4) + bytes([events]) + body)
        received = 0
        while received < events * len(EVENT):
            received += len(await source.read())
        self._idle.append((stream, source))

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.append(asyncio.ensure_future(self._serve(reader, writer)))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            size = int.from_bytes(await reader.readexactly(4))
            [events] = await reader.readexactly(1)
            await reader.readexactly(size)
            for _ in range(events):
                writer.write(framing.encode(EVENT))
                await asyncio.sleep(EVENT_PAUSE_S)


async def _delays(way: _Way, seconds: float) -> tuple[float, float, int]:
    """Returns median and worst delay of small messages, and requests."""
    await way.start()
    small = asyncio.ensure_future(way.send_small())
    until = time.monotonic() + seconds
    done = 0

    async def send_large(first: int) -> None:
        nonlocal done
        number = first
        while time.monotonic() < until:
            number += 10
            await way.request(number, LARGE_BODY, 1)
            done += 1

    await asyncio.gather(*(send_large(n) for n in range(4)))
    small.cancel()
    return statistics.median(way.delays), max(way.delays), done


async def _cost(way: _Way, count: int) -> tuple[float, float]:
    """Returns processor time and time of a request, in seconds."""
    await way.start()
    await way.request(0, SMALL_BODY, EVENTS)
    spent, began = time.process_time(), time.monotonic()
    for number in range(1, count + 1):
        await way.request(number, SMALL_BODY, EVENTS)
    return (
        (time.process_time() - spent) / count,
        (time.monotonic() - began) / count,
    )


def _address_of(sock: Any) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


async def _compare(make: Callable[[float], _Way]) -> str:
    typical_s, worst_s, done = await _delays(make(THIN_BYTES_S), 8.0)
    spent_s, took_s = await _cost(make(0.0), 500)
    return (
        f"small messages {typical_s * 1000:.0f} ms, at worst"
        f" {worst_s * 1000:.0f} ms, beside {done} large requests in 8 s;"
        f" {spent_s * 1e6:.0f} us of processor time and {took_s * 1000:.2f} ms"
        f" a request of {EVENTS} events"
    )


def main() -> None:
    """Prints a line for each way."""
    for make in (Frames, Tunnels):
        print(f"{make.__name__}: {asyncio.run(_compare(make))}", flush=True)


if __name__ == "__main__":
    main()
