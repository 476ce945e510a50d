"""One request with two attempts, what happens beside them, and its judge."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket

import pytest

from martenjunction import model
from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import troubled_judge
from tests import gateway_requests as requests
from tests import routing_builders as builders
from tests import two_endpoints

# Seconds after which all that was sent has been taken in.
TAKEN_S = 0.05

# Seconds for which an endpoint pauses, and within which a request ends that
# nobody answers.
PAUSE_S = 1.2
END_S = 12.0

_ONCE = frozenset({"/unsafe/", "/chat/"})
_STREAMS = frozenset({"/chat/", "/digest/"})

# Statuses that do not say that a request has not run.
_MAY_HAVE_RUN = frozenset({b"200", b"502", b"504"})

# Events under which it matters that no endpoint answers.
_UNANSWERED = ("nothing", "first-resets", "box-stops", "time-gets-short")

Event = Callable[["TroubledRequest"], Awaitable[None]]
EVENTS: dict[str, Event] = {}


class TroubledRequest:
    """A request that has an endpoint, and is to get another one."""

    def __init__(
        self,
        fleet: boxes.Boxes,
        two: two_endpoints.TwoEndpoints,
        path: str,
    ) -> None:
        self.fleet = fleet
        self.box = fleet.gateways[0]
        self.two = two
        self.path = path
        self.client = socket.socket()
        self.sent = 1
        self.left = False
        self.stopping: asyncio.Task[None] | None = None
        self.lost: set[socket.socket] = set()
        self.runs: list[socket.socket] = []
        self.selects = False
        self._may_connect = asyncio.Event()
        self._may_connect.set()
        self._received = b""

    async def begin(
        self, monkeypatch: pytest.MonkeyPatch, selecting: bool
    ) -> None:
        """Sends it, and has its first run be late.

        Args:
            monkeypatch: Holds up connections to endpoints.
            selecting: Whether the second attempt stays without a connection.
        """
        loop = asyncio.get_running_loop()
        self.client.setblocking(False)
        host, _, port = self.box.members.own.callers.rpartition(":")
        await loop.sock_connect(self.client, (host, int(port)))
        await self.send("r1")
        self.two.first = await self.two.next_run()
        self.runs = [self.two.first]
        acquire = self.box.pool.acquire

        async def acquire_late(
            endpoint: model.Endpoint, repeatable: bool, fresh: bool = False
        ) -> client.ClientConnection:
            self.selects = True
            await self._may_connect.wait()
            return await acquire(endpoint, repeatable, fresh)

        monkeypatch.setattr(self.box.pool, "acquire", acquire_late)
        if selecting:
            self._may_connect.clear()
        running = self.two.exchange
        ticket = running.ticket
        assert ticket is not None
        ticket.move_requested = True
        ticket.keeps_running = self.path not in _STREAMS
        if running.should_move:
            running.move()
        await asyncio.sleep(TAKEN_S)
        assert self.selects is (self.path not in _ONCE)
        if not selecting and self.path not in _ONCE:
            self.two.second = await self.two.next_run()
            self.runs.append(self.two.second)

    async def send(self, name: str) -> None:
        """Sends a request over the client's connection."""
        loop = asyncio.get_running_loop()
        data = requests.raw_request(name, self.path)
        await loop.sock_sendall(self.client, data)

    async def end(self, answers: bool) -> None:
        """Has the endpoints answer, or not, and waits for the end."""
        self._may_connect.set()
        await asyncio.sleep(TAKEN_S)
        delivered = False
        for run in self.runs:
            if answers and run not in self.lost:
                delivered |= await self._answer(run)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(END_S):
                while not self.left and not self._is_whole():
                    data = await loop.sock_recv(self.client, 64 * 1024)
                    self._received += data
                    if not data:
                        break
        await asyncio.sleep(TAKEN_S)
        self._judge(delivered)
        self.client.close()
        async with asyncio.timeout(END_S):
            await boxes.until(lambda: not len(self.box.held))
        await asyncio.sleep(1.0)
        assert not list(troubled_judge.held(self.box, []))

    async def _answer(self, run: socket.socket) -> bool:
        """Answers; returns whether the box still waited for it."""
        loop = asyncio.get_running_loop()
        try:
            if run.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
                return False
        except BlockingIOError:
            pass
        except OSError:
            return False
        await loop.sock_sendall(run, _answer_of(self.path))
        await asyncio.sleep(TAKEN_S)
        return True

    def _is_whole(self) -> bool:
        """Returns whether the first response is whole."""
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end:
            return False
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
        )
        if b"content-length" in fields:
            return len(body) >= int(fields[b"content-length"])
        return b"0\r\n\r\n" in body

    def _judge(self, delivered: bool) -> None:
        if self.path in _ONCE:
            assert len(self.runs) == 1
        if self.left:
            return
        heads = self._received.count(b"HTTP/1.1 ")
        status = self._received[9:12]
        assert 1 <= heads <= self.sent, self._received
        assert status in _MAY_HAVE_RUN, self._received
        if delivered:
            assert status == b"200", self._received
        head = self._received.partition(b"\r\n\r\n")[0].lower()
        if self._is_whole() and b"connection: close" not in head:
            # Neither a further response nor an end follows.
            with pytest.raises(BlockingIOError):
                self.client.recv(1)


def cases() -> Iterator[tuple[str, bool, str, bool]]:
    """Yields the path, whether a second attempt selects, event and answers.

    What may run once has no second attempt.
    """
    for path in ("/safe/", "/digest/", "/unsafe/", "/chat/"):
        for selecting in (False,) if path in _ONCE else (False, True):
            for event in EVENTS:
                yield path, selecting, event, True
            for event in _UNANSWERED:
                yield path, selecting, event, False


@contextlib.asynccontextmanager
async def asked_at_two(path: str) -> AsyncIterator[TroubledRequest]:
    """Starts a box before two endpoints; `begin` sends the request."""
    config = builders.relaxed_config_document()
    for route in config["routes"]:
        route["max_attempts"] = 3
        route["timeout_ms"] = 9000
    fleet = boxes.Boxes()
    await fleet.start(config)
    try:
        async with two_endpoints.listed_at(fleet, _service(path)) as two:
            yield TroubledRequest(fleet, two, path)
    finally:
        await fleet.stop()


def _answer_of(path: str) -> bytes:
    if path not in _STREAMS:
        return two_endpoints.response(b"answer")
    event = b"id: 1\ndata: t1\n\n"
    return two_endpoints.STREAM_HEAD + b"%x\r\n%b\r\n0\r\n\r\n" % (
        len(event),
        event,
    )


def _event(name: str) -> Callable[[Event], Event]:
    def register(event: Event) -> Event:
        EVENTS[name] = event
        return event

    return register


@_event("nothing")
async def _do_nothing(asked: TroubledRequest) -> None:
    await asyncio.sleep(TAKEN_S)


@_event("second-answers-first")
async def _reverse(asked: TroubledRequest) -> None:
    asked.runs.reverse()


@_event("pause")
async def _pause(asked: TroubledRequest) -> None:
    await asyncio.sleep(PAUSE_S)


def _reset(name: str, first: bool, second: bool) -> None:
    @_event(name)
    async def reset(asked: TroubledRequest) -> None:
        chosen = [first, second]
        for run, ends in zip(asked.runs, chosen, strict=False):
            if ends:
                asked.lost.add(run)
                run.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b"\x01\0\0\0\0\0\0\0",
                )
                run.close()
        await asyncio.sleep(TAKEN_S)


_reset("first-resets", True, False)
_reset("second-resets", False, True)
_reset("both-reset", True, True)


@_event("endpoints-leave")
async def _leave(asked: TroubledRequest) -> None:
    for made in asked.fleet.replicas:
        asked.fleet.record(made, _service(asked.path), state="draining")
    await asyncio.sleep(1.0)


@_event("endpoints-start-again")
async def _start_again(asked: TroubledRequest) -> None:
    for made in asked.fleet.replicas:
        asked.fleet.record(made, _service(asked.path), born=2)
    asked.lost.update(asked.runs)
    await asyncio.sleep(1.0)


@_event("answers-shed")
async def _shed(asked: TroubledRequest) -> None:
    """Has the largest of answers without a length be given up."""
    loop = asyncio.get_running_loop()
    begin, event = two_endpoints.STREAM_HEAD, b"id: 1\ndata: t1"
    for run in asked.runs:
        asked.lost.add(run)
        await _try_send(loop, run, begin + b"e\r\n%b\r\n" % event)
    await asyncio.sleep(TAKEN_S)
    asked.box.answers.shed()
    await asyncio.sleep(TAKEN_S)
    for run in asked.runs:
        await _try_send(loop, run, b"2\r\n\n\n\r\n0\r\n\r\n")


async def _try_send(
    loop: asyncio.AbstractEventLoop, run: socket.socket, data: bytes
) -> None:
    with contextlib.suppress(OSError):
        await loop.sock_sendall(run, data)


@_event("next-request")
async def _send_next(asked: TroubledRequest) -> None:
    asked.sent += 1
    await asked.send("r2")
    await asyncio.sleep(TAKEN_S)


@_event("client-half-closes")
async def _half_close(asked: TroubledRequest) -> None:
    asked.left = True
    asked.client.shutdown(socket.SHUT_WR)
    await asyncio.sleep(TAKEN_S)


@_event("client-resets")
async def _leave_client(asked: TroubledRequest) -> None:
    asked.left = True
    asked.client.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
    )
    asked.client.close()
    await asyncio.sleep(TAKEN_S)


@_event("box-stops")
async def _stop(asked: TroubledRequest) -> None:
    asked.fleet.gateways.remove(asked.box)
    asked.stopping = asyncio.create_task(asked.box.leave())
    await asyncio.sleep(0.5)


def _change(name: str, **changes: object) -> None:
    @_event(name)
    async def change(asked: TroubledRequest) -> None:
        config = builders.config_document(9)
        if "timeout_ms" in changes:
            for route in config["routes"]:
                route.update(changes)
        else:
            config.update(changes)
        asked.fleet.configure(config)
        await boxes.until(lambda: asked.box.store_cache.version == 9)


_change("routes-go", routes=[])
_change("keys-go", tenants=[])
_change("time-gets-short", timeout_ms=200)


def _service(path: str) -> str:
    return builders.ENGINE if path in _STREAMS else builders.PLAIN
