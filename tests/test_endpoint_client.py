"""Deliveries and reported errors of the endpoint client."""

import asyncio
from collections.abc import AsyncIterator
import time

import pytest

from martenjunction import errors
from martenjunction.endpoints import client


class Server:
    """Responds to calls; closes without a response on body `die`."""

    def __init__(self) -> None:
        self.calls: list[bytes] = []
        self.close_port = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def url(self) -> str:
        assert self._server is not None
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}/"

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1][:1])
                body = await reader.readexactly(length)
                self.calls.append(body)
                if body == b"die":
                    if self.close_port:
                        self.stop()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    made = Server()
    await made.start()
    yield made
    made.stop()


async def call(
    http: client.EndpointClient, url: str, body: bytes, once: bool
) -> bytes:
    request = client.EndpointRequest("POST", url, [], body, once)
    stream = http.open(request)
    await stream.head()
    return await stream.read()


async def test_closed_idle_connection_does_not_duplicate_call(
    server: Server, http: client.EndpointClient
) -> None:
    assert await call(http, server.url, b"a", once=False) == b"ok"
    with pytest.raises(errors.EndpointBrokenError):
        await call(http, server.url, b"die", once=True)
    assert server.calls.count(b"die") == 1


async def test_received_call_is_never_reported_not_reached(
    server: Server, http: client.EndpointClient
) -> None:
    server.close_port = True
    url = server.url
    assert await call(http, url, b"a", once=False) == b"ok"
    with pytest.raises(errors.EndpointBrokenError):
        await call(http, url, b"die", once=False)


async def test_refused_connection_raises_error(
    http: client.EndpointClient,
) -> None:
    with pytest.raises(errors.EndpointNotReachedError):
        await call(http, "http://127.0.0.1:1/", b"a", once=True)


async def test_cancelled_call_fails_immediately(
    http: client.EndpointClient,
) -> None:
    silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = silent.sockets[0].getsockname()[1]
    request = client.EndpointRequest(
        "POST", f"http://127.0.0.1:{port}/", [], b"a"
    )
    stream = http.open(request)
    await asyncio.sleep(0.05)
    http.cancel(stream)
    with pytest.raises(errors.EndpointBrokenError):
        await stream.head()
    silent.close()


async def test_call_cancelled_in_queue_is_not_sent(
    server: Server,
) -> None:
    http = client.EndpointClient(1)
    first = client.EndpointRequest("POST", server.url, [], b"a")
    http.open(first)
    queued = http.open(client.EndpointRequest("POST", server.url, [], b"b"))
    http.cancel(queued)
    with pytest.raises(errors.EndpointNotReachedError):
        await queued.head()
    assert b"b" not in server.calls
    http.close()


async def test_connect_timeout_during_blocked_loop_is_not_reached(
    server: Server, http: client.EndpointClient
) -> None:
    """The connect timeout expires after the connection was established.

    A call may be reported as not reached only if no byte of it was sent, never
    if the server received it.
    """
    streams = [
        http.open(client.EndpointRequest("POST", server.url, [], b"x"))
        for _ in range(4)
    ]
    await asyncio.sleep(0)
    time.sleep(client.CONNECT_TIMEOUT * 1.2)
    not_reached = 0
    for stream in streams:
        try:
            assert (await stream.head()).status == 200
        except errors.EndpointNotReachedError:
            not_reached += 1
    assert len(server.calls) == len(streams) - not_reached
