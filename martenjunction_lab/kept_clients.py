"""Clients that keep their connections and use them until they end.

What became of each request is told apart by what its client saw; beside what
the replicas saw (`kept_tallies.py`), that shows which requests were taken and
not answered.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import itertools
import random
import re
import time

import h11

from martenjunction import addresses

# Seconds after which a request without any end fails the trial.
ANSWER_LIMIT_S = 60.0

# Seconds before a client tries again to connect to an address that refused.
CONNECT_PAUSE_S = 0.02

# Requests at once while connections are made ready.
AT_ONCE = 16

# Bytes taken from a socket at once.
CHUNK_BYTES = 64 * 1024

# Bytes that are kept of the body of an answer.
KEPT_BYTES = 64 * 1024

# The time in seconds in a `Keep-Alive` header.
_KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout=(\d+)")


class Fate(enum.StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request that is to be sent.

    Attributes:
        id: Its id, by which replicas are asked for it.
        target: Path and query.
        headers: Its headers less those of framing.
        body: Its body.
    """

    id: str
    target: str
    headers: dict[str, str]
    body: bytes = b"hello"


@dataclasses.dataclass(frozen=True)
class Record:
    """A request that has ended.

    Attributes:
        ask: The request.
        fate: How it ended.
        status: The status of its answer, or None if there was none.
        headers: Those of its answer, with names in lower case.
        body: What came of the answer's body, `KEPT_BYTES` at most.
        connection: Name of its connection.
        kept: Whether the connection had carried a request before.
        sent_at: When it was sent, in seconds on the monotonic clock.
        ended_at: When it ended, on the same clock.
    """

    ask: Ask
    fate: Fate
    status: int | None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    connection: str = ""
    kept: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0


class KeptConnection:
    """A connection that carries one request after the other."""

    _names = itertools.count(1)

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Takes over an open connection."""
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)
        self._name = f"c{next(self._names)}"
        self._ask: Ask | None = None
        self._sent = 0
        self._begin_answer()
        self._told_to_close = False
        self._told_rest_s: int | None = None

    @property
    def told_rest_s(self) -> int | None:
        """Seconds for which the last answer says that it may rest."""
        return self._told_rest_s

    @property
    def told_to_close(self) -> bool:
        """Whether an answer said that the connection ends after it."""
        return self._told_to_close

    @property
    def ended(self) -> bool:
        """Whether the other side is known to have ended it."""
        return self._reader.at_eof() or self._writer.is_closing()

    @classmethod
    async def open(cls, address: str) -> "KeptConnection":
        """Connects.

        Raises:
            OSError: If nobody listens.
        """
        host, port = addresses.split_address(address)
        return cls(*await asyncio.open_connection(host, port))

    def send(self, ask: Ask) -> None:
        """Hands a request to the socket, whatever answers said before."""
        self._ask = ask
        self._sent += 1
        self._begin_answer()
        # A parser of its own for each request: that of an answer that ends
        # the connection takes no other one.
        self._parser = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method="POST",
            target=ask.target,
            headers=[
                ("Host", "api.example"),
                *ask.headers.items(),
                ("Content-Length", str(len(ask.body))),
            ],
        )
        data = self._parser.send(head) or b""
        data += self._parser.send(h11.Data(data=ask.body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._writer.write(data)

    async def receive(self) -> Record:
        """Waits until the request that was sent has ended.

        Raises:
            TimeoutError: If neither an answer nor an end comes.
        """
        assert self._ask is not None
        async with asyncio.timeout(ANSWER_LIMIT_S):
            whole = await self._receive_answer()
        record = Record(
            self._ask,
            self._fate(whole),
            self._status,
            self._headers,
            bytes(self._body),
            self._name,
            self._sent > 1,
            self._sent_at,
            time.monotonic(),
        )
        self._ask = None
        if not whole:
            self.close()
        return record

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def _begin_answer(self) -> None:
        """Forgets the answer before."""
        self._sent_at = time.monotonic()
        self._status: int | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._heard = False

    def _fate(self, whole: bool) -> Fate:
        if not whole:
            return Fate.BROKEN if self._heard else Fate.CLOSED
        assert self._status is not None
        success = 200 <= self._status < 300
        return Fate.ANSWERED if success else Fate.REFUSED

    async def _receive_answer(self) -> bool:
        """Reads an answer; returns whether it is whole."""
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return False
            if isinstance(event, h11.EndOfMessage):
                return True
            if isinstance(event, h11.ConnectionClosed):
                return False
            if isinstance(event, h11.Response):
                self._note_head(event)
            if isinstance(event, h11.Data):
                self._body += event.data[: KEPT_BYTES - len(self._body)]
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._receive_bytes())

    def _note_head(self, head: h11.Response) -> None:
        self._status = head.status_code
        headers = dict(head.headers)
        self._headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }
        connection = headers.get(b"connection", b"")
        self._told_to_close = b"close" in connection.lower()
        told = _KEEP_ALIVE_TIMEOUT.search(headers.get(b"keep-alive", b""))
        self._told_rest_s = None if told is None else int(told[1])

    async def _receive_bytes(self) -> bytes:
        try:
            data = await self._reader.read(CHUNK_BYTES)
        except OSError:
            return b""  # A reset ends an answer as a regular end does.
        self._heard = self._heard or bool(data)
        return data


class KeptClients:
    """Clients of one box, each with a connection that it keeps."""

    def __init__(
        self,
        address: str,
        seed: int,
        make_ask: Callable[[str], Ask],
        obey_close: bool = True,
    ) -> None:
        """Makes clients that are not connected yet.

        Args:
            address: The box's address for callers.
            seed: Decides the pauses and which connections are used.
            make_ask: Makes a request with an id.
            obey_close: Whether a connection that an answer told to close is
                given up.
        """
        self.records: list[Record] = []
        self._address = address
        self._rng = random.Random(seed)
        self._make_ask = make_ask
        self._obey_close = obey_close
        self._ids = itertools.count(1)
        self._seed = seed
        self._connections: list[KeptConnection] = []
        self._halted = False

    async def open(self, count: int) -> None:
        """Has connections opened until there are enough that can be used.

        Fewer are left where nobody listens any more.

        Args:
            count: How many are wanted.
        """
        self._drop_ended()
        while len(self._connections) < count:
            try:
                made = await KeptConnection.open(self._address)
            except OSError:
                return  # The box is gone or will be back later.
            self._connections.append(made)

    async def warm_up(self) -> None:
        """Has each connection carry a request, some at once."""
        for first in range(0, len(self._connections), AT_ONCE):
            connections = self._connections[first : first + AT_ONCE]
            for connection in connections:
                connection.send(self._next_ask())
            await self.receive(connections)

    def send(self, count: int) -> list[KeptConnection]:
        """Sends a request on some of the connections that can be used.

        Returns:
            The connections; `receive` waits for their answers.
        """
        self._drop_ended()
        count = min(count, len(self._connections))
        chosen = self._rng.sample(self._connections, count)
        for connection in chosen:
            connection.send(self._next_ask())
        return chosen

    async def receive(self, sent: list[KeptConnection]) -> None:
        """Waits for the ends of requests and records them."""
        self.records += await asyncio.gather(
            *(connection.receive() for connection in sent)
        )

    async def run(self, clients: int, rest_s: float) -> None:
        """Has clients send one request after the other until `halt`.

        Args:
            clients: Clients at once.
            rest_s: Longest time between an answer and the next request.
        """
        await asyncio.gather(*(self._run_one(rest_s) for _ in range(clients)))

    def halt(self) -> None:
        """Ends the traffic after the requests under way."""
        self._halted = True

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections:
            connection.close()

    async def _run_one(self, rest_s: float) -> None:
        connection: KeptConnection | None = None
        while not self._halted:
            if connection is None or not self._is_usable(connection):
                connection = await self._open_one()
            if connection is not None:
                connection.send(self._next_ask())
                self.records.append(await connection.receive())
            await asyncio.sleep(self._rng.uniform(0.0, rest_s))
        if connection is not None:
            connection.close()

    async def _open_one(self) -> KeptConnection | None:
        try:
            return await KeptConnection.open(self._address)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
            return None

    def _next_ask(self) -> Ask:
        return self._make_ask(f"{self._seed}-{next(self._ids)}")

    def _is_usable(self, connection: KeptConnection) -> bool:
        if connection.ended:
            return False
        return not (self._obey_close and connection.told_to_close)

    def _drop_ended(self) -> None:
        kept = []
        for connection in self._connections:
            if self._is_usable(connection):
                kept.append(connection)
            else:
                connection.close()
        self._connections = kept
