"""A stand-in of a replica on the users' platform, down to its bytes.

It speaks HTTP by hand, since what it is for is to misbehave: to answer twice,
with another request's id, in half, or not at all.
"""

import asyncio
import collections
import dataclasses
import enum
import json

from martenjunction_lab.promises import endpoint_views
from martenjunction_lab.promises import events as trial_events

RunEnd = trial_events.RunEnd


class Behaviour(enum.Enum):
    """What a replica makes of a request."""

    SERVE = "serve"
    REFUSE = "refuse"
    FAIL = "fail"
    MISDIRECTED = "misdirected"
    BARE_503 = "bare-503"
    RESET = "reset"
    HANG = "hang"
    TWICE = "twice"
    FOREIGN_FIRST = "foreign-first"
    HALF = "half"
    UNSEALED = "unsealed"


@dataclasses.dataclass(frozen=True)
class Received:
    """A request as it arrived.

    Attributes:
        method: Its method.
        target: Path and query.
        headers: Names in lower case, values.
        body: Its body.
        attempt: Number of its arrival; 0 for a health check.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    attempt: int = 0

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get("martenjunction-attempt-id", "")


class Replica:
    """One replica of a service."""

    def __init__(self, endpoint_id: str, events: int = 5) -> None:
        """Makes a replica; `start` brings it up.

        Args:
            endpoint_id: The id under which it is listed.
            events: Events in each of its streams.

        `framed` says whether streams come in chunks, rather than end with
        their connection, and `echoes` whether answers hold the body of the
        request; `event_pause_s` is the time between events and
        `queue_s` that for which a request waits before it runs, both in
        seconds. `works_on` says whether a stream that breaks off after
        `break_after` events is reset while its run goes on.
        """
        self.id = endpoint_id
        self.address = ""
        self.event_pause_s = 0.01
        self.queue_s = 0.0
        self.break_after: int | None = None
        self.works_on = False
        self.reports = True
        self.asked_reports = 0
        self.framed = True
        self.echoes = True
        self.silent_after: int | None = None
        self.received: list[Received] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled: list[str] = []
        self.at_work: set[str] = set()
        self.connections = 0
        self.view = endpoint_views.EndpointView(endpoint_id)
        self._events = events
        self._plan: collections.deque[Behaviour] = collections.deque()
        self._default = Behaviour.SERVE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=256
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def start_again(self) -> None:
        """Listens again on the address that it had."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=256
        )

    async def stop(self) -> None:
        """Closes the port and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def plan(self, *behaviours: Behaviour) -> None:
        """Says what the next requests meet; those after are served."""
        self._plan.extend(behaviours)

    def always(self, behaviour: Behaviour) -> None:
        """Says what all requests meet that are not planned for."""
        self._default = behaviour

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                request = await self._read(reader)
                if not self.echoes:
                    request = dataclasses.replace(request, body=b"")
                if request.target == "/report":
                    self._answer_report(writer)
                    continue
                self.received.append(request)
                behaviour = (
                    self._plan.popleft() if self._plan else self._default
                )
                if not await self._answer(request, behaviour, reader, writer):
                    return
        except (asyncio.IncompleteReadError, OSError):
            return  # The caller closed the connection.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> Received:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
        request = Received(method, target, headers, body)
        if request.id:
            asked = endpoint_views.digest(method, target, body)
            attempt = self.view.arrived(request.id, headers, asked)
            request = dataclasses.replace(request, attempt=attempt)
        return request

    async def _answer(
        self,
        request: Received,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        if behaviour is Behaviour.HANG:
            await reader.read()
            self.cancelled.append(request.id)
            return False
        if behaviour in _NOT_RUN:
            status = _NOT_RUN[behaviour]
            mark = {"Martenjunction-Not-Executed": "1"}
            if status == 421:
                mark = {"Martenjunction-Replica-Id": "another"}
            mark.update(self._notices(request, status))
            self.view.turned_away(request.attempt, status)
            writer.write(_whole(status, mark, b""))
            return True
        if self.queue_s and await self._leaves_queue(reader):
            self.cancelled.append(request.id)
            return False
        self.runs[request.id] += 1
        self.view.began(request.attempt)
        if behaviour is Behaviour.RESET:
            self.view.ended(request.attempt, RunEnd.BROKEN_OFF)
            return False
        if behaviour is Behaviour.BARE_503:
            self.view.ended(request.attempt, RunEnd.ANSWERED, 503)
            writer.write(_whole(503, self._notices(request, 503), b""))
            return True
        streamed = request.target.startswith(("/chat/", "/digest/"))
        if streamed and behaviour is Behaviour.SERVE:
            return await self._stream(request, reader, writer)
        answer = self._plain(request, behaviour)
        how = RunEnd.ANSWERED
        if behaviour is Behaviour.HALF:
            how = RunEnd.BROKEN_OFF
        status = 500 if behaviour is Behaviour.FAIL else 200
        self.view.ended(request.attempt, how, status)
        if behaviour is Behaviour.HALF:
            writer.write(answer[:-4])
            await writer.drain()
            return False
        if behaviour is Behaviour.FOREIGN_FIRST:
            foreign = dataclasses.replace(
                request,
                headers={"martenjunction-attempt-id": "foreign"},
                body=b"foreign",
            )
            writer.write(self._plain(foreign, behaviour))
        writer.write(answer)
        if behaviour is Behaviour.TWICE:
            writer.write(answer)
        return True

    def _notices(self, request: Received, status: int) -> dict[str, str]:
        """Returns what the head of an answer says of this replica."""
        return {}

    def _answer_report(self, writer: asyncio.StreamWriter) -> None:
        """Answers with the runs that are under way."""
        self.asked_reports += 1
        if not self.reports:
            writer.write(_whole(404, {}, b""))
            return
        runs = [[request_id, 500, 1, 0] for request_id in sorted(self.at_work)]
        report = {"phase": "prefill_decode", "runs": runs}
        writer.write(_whole(200, {}, json.dumps(report).encode()))

    def _event_text(self, number: int) -> str:
        """Returns the data of an event."""
        return f"t{number}"

    def _breaks_after(self, request: Received, first: int) -> int | None:
        """Returns the last event of a run that breaks off; None for none.

        Args:
            request: The request.
            first: The first event that the run writes.
        """
        return self.break_after

    async def _leaves_queue(self, reader: asyncio.StreamReader) -> bool:
        """Has a request wait; returns whether its caller left meanwhile."""
        left = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([left], timeout=self.queue_s)
        await _end_read(left)
        return bool(done)

    def _plain(self, request: Received, behaviour: Behaviour) -> bytes:
        headers = {"Martenjunction-Attempt-Id": request.id}
        if behaviour is not Behaviour.UNSEALED:
            headers["Martenjunction-Replica-Seal"] = f"seal-{self.id}"
        headers["Martenjunction-Replica-Load"] = "1,0,6"
        status = 500 if behaviour is Behaviour.FAIL else 200
        headers.update(self._notices(request, status))
        return _whole(status, headers, b"answer to " + request.body)

    async def _work_on(
        self, request: Received, number: int, writer: asyncio.StreamWriter
    ) -> None:
        """Resets the connection of a stream and goes on with its run."""
        writer.transport.abort()
        await asyncio.sleep((self._events + 1 - number) * self.event_pause_s)
        self.view.ended(request.attempt, RunEnd.BROKEN_OFF, 200)

    async def _stream(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.at_work.add(request.id)
        try:
            return await self._stream_events(request, reader, writer)
        finally:
            self.at_work.discard(request.id)

    async def _stream_events(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        first = int(request.headers.get("last-event-id", "0")) + 1
        pairs = {
            "Content-Type": "text/event-stream",
            "Martenjunction-Attempt-Id": request.id,
            "Martenjunction-Replica-Seal": f"seal-{self.id}",
            **self._notices(request, 200),
        }
        if self.framed:
            pairs["Transfer-Encoding"] = "chunked"
        part = _chunk if self.framed else bytes
        writer.write(_head(200, pairs))
        left = asyncio.ensure_future(reader.read(1))
        left.add_done_callback(_take_reset)
        break_after = self._breaks_after(request, first)
        for number in range(first, self._events + 1):
            if break_after is not None and number > break_after:
                if self.works_on:
                    await self._work_on(request, number, writer)
                    return False
                self.view.ended(request.attempt, RunEnd.BROKEN_OFF, 200)
                writer.write(part(b"id: 99\nda"))
                await writer.drain()
                if not self.framed:
                    writer.close()
                    await writer.wait_closed()
                return False
            if self.silent_after is not None and number > self.silent_after:
                await left
                self.cancelled.append(request.id)
                self.view.ended(request.attempt, RunEnd.CANCELLED, 200)
                return False
            text = self._event_text(number)
            writer.write(part(f"id: {number}\ndata: {text}\n\n".encode()))
            done, _ = await asyncio.wait([left], timeout=self.event_pause_s)
            if done:
                self.cancelled.append(request.id)
                self.view.ended(request.attempt, RunEnd.CANCELLED, 200)
                return False
        await _end_read(left)
        self.view.ended(request.attempt, RunEnd.ANSWERED, 200)
        if not self.framed:
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            return False
        writer.write(b"0\r\n\r\n")
        return True


_NOT_RUN = {Behaviour.REFUSE: 503, Behaviour.MISDIRECTED: 421}


def _take_reset(pending: asyncio.Future[bytes]) -> None:
    """Takes in that the caller reset the connection, which is no fault."""
    if not pending.cancelled():
        pending.exception()


async def _end_read(pending: asyncio.Future[bytes]) -> None:
    """Ends a read; a reader refuses the next one while it is under way."""
    pending.cancel()
    await asyncio.wait([pending])


def _whole(status: int, headers: dict[str, str], body: bytes) -> bytes:
    return _head(status, {"Content-Length": str(len(body)), **headers}) + body


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
