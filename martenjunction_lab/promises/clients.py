"""Clients of trials that record what they send and what becomes of it."""

import asyncio
import dataclasses
import random
import time

from martenjunction import errors
from martenjunction.endpoints import event_stream
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction_lab import boxes
from martenjunction_lab.promises import configuration
from martenjunction_lab.promises import endpoint_views
from martenjunction_lab.promises import endpoints
from martenjunction_lab.promises import events

# Seconds that a client gives each of its requests, and that it waits on for an
# answer after them.
DEADLINE_S = 1.5
PATIENCE_S = 1.0

# Seconds that a new connection is given, and boxes that a client tries.
CONNECT_LIMIT_S = 0.5
MAX_CONNECTS = 3

# Seconds for which a broken stream waits until it is taken up, and how often
# it is taken up.
TAKE_UP_PAUSE_S = 0.05
MAX_TAKE_UPS = 2

# Shortest and longest time in seconds after which an impatient client leaves.
LEAVES_AFTER_S = (0.005, 0.15)

# Seconds before the end of the time for which a kept connection may rest from
# which on it is not used.
REST_MARGIN_S = 0.1

# The part of the requests that carries each of the keys.
KEY_SHARES = {"key-of-one": 0.8, "key-of-two": 0.1, "key-of-three": 0.1}

# Parts of prompts that requests share. Engines get requests for the parts that
# they have, so that a single one would leave most engines without any.
PREFIXES = tuple(f"p{number}" for number in range(12))

_PIECES = frozenset({events.RouteKind.STREAM, events.RouteKind.RESUMABLE})

# Keys that requests of public routes carry.
_KEYLESS = {"open": ""}

# How the body of an answer in one piece begins.
_ANSWER = b"answer to "


@dataclasses.dataclass
class Habits:
    """How clients behave.

    Attributes:
        leaving: Part of the requests whose client leaves early.
        repeating: Part of the failures after which the client sends again at
            once.
        repeats: How often it does so.
        keeping: Part of the requests that use a kept connection.
    """

    leaving: float = 0.0
    repeating: float = 0.0
    repeats: int = 0
    keeping: float = 0.0


@dataclasses.dataclass
class _Stream:
    """What a client has of a stream.

    Attributes:
        prefix: The part of its prompt that others share.
        first: Its first request; empty before.
        last: Its last event; 0 before the first.
    """

    prefix: str
    first: str = ""
    last: int = 0


@dataclasses.dataclass
class _Used:
    """A connection, its name, and the requests that it has carried."""

    name: str
    connection: client.ClientConnection
    carried: int = 0

    @property
    def rests(self) -> bool:
        """Whether it may carry one more request."""
        told_s = self.connection.keep_alive_timeout()
        if told_s is None or not self.connection.is_quiet():
            return False
        until = self.connection.idle_since + told_s - REST_MARGIN_S
        return time.monotonic() < until


class Clients:
    """Clients of all boxes.

    Attributes:
        habits: How they behave from now on.
        known: Addresses of boxes that they were given.
        unconnected: Requests that could not be sent to any box.
    """

    def __init__(
        self,
        history: events.History,
        operator: configuration.Operator,
        draw: random.Random,
    ) -> None:
        """Makes clients that know no box yet.

        Args:
            history: Where they record what they see.
            operator: Knows which service a route has.
            draw: Decides what they leave to chance.
        """
        self.habits = Habits()
        self.known: list[str] = []
        self.unconnected = 0
        self._history = history
        self._operator = operator
        self._draw = draw
        self._numbers = 0
        self._connections = 0
        self._names: dict[str, str] = {}
        self._kept: list[_Used] = []

    def learn(self, box: str, address: str) -> None:
        """Notes the address that a box has from now on."""
        self._names[address] = box

    def stop(self) -> None:
        """Closes the connections that are kept."""
        for used in self._kept:
            used.connection.abort()

    async def send(self) -> None:
        """Sends a drawn request, and what follows from its answer."""
        route = self._draw.choice(list(configuration.KINDS))
        key = self._draw.choices(list(KEY_SHARES), list(KEY_SHARES.values()))[0]
        kind = configuration.KINDS[route]
        stream = _Stream(self._draw.choice(PREFIXES))
        repeats = take_ups = 0
        while True:
            ended = await self._try(route, key, stream)
            if ended is None or (ended.status == 200 and ended.whole):
                return
            if stream.last and kind is events.RouteKind.RESUMABLE:
                take_ups += 1
                if take_ups > MAX_TAKE_UPS:
                    return
                await asyncio.sleep(TAKE_UP_PAUSE_S)
                continue
            repeats += 1
            habits = self.habits
            if (
                repeats > habits.repeats
                or self._draw.random() >= habits.repeating
            ):
                return

    async def _try(
        self, route: str, key: str, stream: _Stream
    ) -> events.Ended | None:
        """Makes one request; returns None if it has no end to go on from."""
        self._numbers += 1
        request = f"{route}-{self._numbers}"
        used = await self._connection()
        if used is None:
            self.unconnected += 1
            return None
        if not stream.last:
            stream.first = request
        sent = self._sent(request, route, key, stream, used)
        body = stream.first.encode()
        fields = _fields(sent, _KEYLESS.get(route, key), stream.prefix)
        try:
            used.connection.send(
                b"POST",
                _target(sent.route, sent.box).encode(),
                boxes.header_pairs(fields, body),
                body,
            )
        except errors.ConnectError:
            used.connection.abort()
            return None
        used.carried += 1
        self._history.add(sent)
        work = asyncio.ensure_future(self._read(used.connection, sent, stream))
        if self._draw.random() < self.habits.leaving:
            wait_s = self._draw.uniform(*LEAVES_AFTER_S)
            done, _ = await asyncio.wait([work], timeout=wait_s)
            if not done:
                work.cancel()
                used.connection.abort()
                self._history.add(events.Left(time.monotonic(), request))
                return None
        ended = await work
        self._history.add(ended)
        keeps = self._draw.random() < self.habits.keeping
        if ended.whole and used.connection.finish() and keeps:
            self._kept.append(used)
        else:
            used.connection.abort()
        return ended

    async def _connection(self) -> _Used | None:
        """Returns a kept connection or a new one; None if no box has any."""
        if self._draw.random() < self.habits.keeping:
            while self._kept:
                used = self._kept.pop(0)
                if used.rests and used.connection.address in self.known:
                    return used
                used.connection.abort()
        for _ in range(MAX_CONNECTS):
            if not self.known:
                return None
            address = self._draw.choice(self.known)
            connection = client.ClientConnection(address)
            try:
                await connection.open(CONNECT_LIMIT_S)
            except errors.ConnectError:
                continue
            self._connections += 1
            return _Used(f"c-{self._connections}", connection)
        return None

    def _sent(
        self, request: str, route: str, key: str, stream: _Stream, used: _Used
    ) -> events.Sent:
        now = time.monotonic()
        box = self._names[used.connection.address]
        return events.Sent(
            now,
            request,
            box,
            used.name,
            used.carried > 0,
            route,
            configuration.KINDS[route],
            self._operator.services[route],
            now + DEADLINE_S,
            now + configuration.TIMEOUT_S,
            endpoint_views.digest(
                "POST", _target(route, box), stream.first.encode()
            ),
            "" if route in _KEYLESS else configuration.TENANTS[key],
            "" if route in _KEYLESS else key,
            stream.first if stream.last else "",
            stream.last,
        )

    async def _read(
        self,
        connection: client.ClientConnection,
        sent: events.Sent,
        stream: _Stream,
    ) -> events.Ended:
        """Reads an answer; records the events of a stream."""
        ended = events.Ended(0.0, sent.request, 0, whole=False)
        body = b""
        try:
            async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
                head = await connection.read_head()
                ended = _ended(head, sent.request)
                splitter = event_stream.EventSplitter()
                is_stream = sent.kind in _PIECES and head.status == 200
                while part := await connection.read_body():
                    if not is_stream:
                        body += part
                        continue
                    for event in splitter.feed(part):
                        said = self._take(sent, stream, event)
                        ended = dataclasses.replace(ended, answers=said)
            ended = dataclasses.replace(ended, whole=True)
        except (errors.TransportError, TimeoutError):
            pass
        if body.startswith(_ANSWER):
            said = body.removeprefix(_ANSWER).decode("latin-1")
            ended = dataclasses.replace(ended, answers=said)
        return dataclasses.replace(ended, at=time.monotonic())

    def _take(
        self,
        sent: events.Sent,
        stream: _Stream,
        event: event_stream.StreamEvent,
    ) -> str:
        """Records an event; returns the request that it says it is of."""
        words = event.data.split(b"data: ")[1].decode("latin-1").split()
        version, first, _ = words
        stream.last = int(event.id or 0)
        self._history.add(
            events.Piece(
                time.monotonic(),
                sent.request,
                stream.last,
                endpoints.STREAM_EVENTS,
                version,
            )
        )
        return sent.request if first == stream.first else first


def _target(route: str, box: str) -> str:
    return f"/{route}/{box}"


def _fields(sent: events.Sent, key: str, prefix: str) -> dict[str, str]:
    """Returns the headers of a request.

    Args:
        sent: The request.
        key: The key that it carries; empty for none.
        prefix: The part of its prompt that others share.
    """
    fields = {
        "Martenjunction-Attempt-Id": sent.request,
        "Martenjunction-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Martenjunction-Token-Counts": "500,80",
        "Martenjunction-Prefix-Hash": f"{prefix}:100,{sent.request}:400",
    }
    if key:
        fields["Authorization"] = f"Bearer {key}"
    if sent.after_event:
        fields["Last-Event-Id"] = str(sent.after_event)
        fields["Resumes"] = sent.resumes
    return fields


def _ended(head: messages.ResponseHead, request: str) -> events.Ended:
    """Returns the end of a request, as far as the head of its answer says."""
    seal = head.get(b"martenjunction-replica-seal")
    name = head.get(endpoints.NAME_HEADER.lower().encode())
    after = head.get(b"retry-after")
    return events.Ended(
        0.0,
        request,
        head.status,
        False,
        events.Source.BOX if seal is None else events.Source.ENDPOINT,
        "",
        "" if name is None else name.decode("latin-1"),
        None if after is None else float(after),
    )
