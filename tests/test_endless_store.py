"""A store that answers without end.

Guards against what a box keeps of such an answer, or of a list whose pages go
on for ever: 200 pages of 7 MB took more memory than any box has.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import json
from typing import Any

import pytest

from martenjunction import errors
from martenjunction.platform import http_calls
from martenjunction.platform import list_extent
from martenjunction.platform import store
from martenjunction_lab import boxes
from tests import endless_endpoints
from tests import routing_builders as builders

MB = 1024 * 1024

# What the kernel may hold of a connection, in bytes.
SOCKET_BYTES = 16 * MB

WATCH_S = 1.0

# Seconds within which a call is over, however long its answer.
ENDED_S = WATCH_S + store.CALL_TIMEOUT_S + http_calls.BODY_TIMEOUT_S

OK = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
CHUNKED = OK + endless_endpoints.CHUNKED + b"\r\n\r\n"
FORMS = {
    **endless_endpoints.FORMS,
    "header-line": endless_endpoints.Form(lambda name: OK + b"X: ", b"x"),
    "one-extension": endless_endpoints.Form(lambda name: CHUNKED + b"1;", b"x"),
    "trailer-line": endless_endpoints.Form(
        lambda name: CHUNKED + b"0\r\nX: ", b"x"
    ),
    "line": endless_endpoints.Form(
        lambda name: CHUNKED + endless_endpoints.chunk(b'{"events": ["'),
        endless_endpoints.chunk(b"x" * 1024),
    ),
}

Call = Callable[[store.StoreClient], Coroutine[Any, Any, Any]]
CALLS: dict[str, Call] = {
    "get": lambda client: client.get("k", "a"),
    "list": lambda client: client.list("k"),
    "watch": lambda client: client.watch("k", builders.rev(1), WATCH_S),
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("call", CALLS)
async def test_call_with_an_endless_answer_is_an_error(
    form: str, call: str
) -> None:
    endpoint = endless_endpoints.EndlessEndpoint(FORMS[form])
    client = store.StoreClient(endpoint.address)
    async with asyncio.timeout(ENDED_S):
        with pytest.raises(
            (errors.PlatformUnavailableError, errors.HistoryLostError)
        ):
            await CALLS[call](client)
        await boxes.until(lambda: endpoint.sending == 0)
    endpoint.stop()
    assert endpoint.most_sent <= http_calls.MAX_BODY_BYTES + SOCKET_BYTES


class PagingStore:
    """Answers each call with a page after which another one follows."""

    def __init__(self, content_bytes: int, names: int) -> None:
        self._content = "x" * content_bytes
        self._names = names
        self.pages = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                body = self._page()
                head = OK + b"Content-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
                await writer.drain()
        writer.close()

    def _page(self) -> bytes:
        name = f"n{self.pages % self._names:05d}"
        self.pages += 1
        entry = {
            "metadata": {"name": name, "revision": 1},
            "spec": self._content,
        }
        page = {"current_rev": 1, "entries": [entry], "has_more": True}
        return json.dumps(page).encode()


@pytest.fixture
async def paging() -> AsyncIterator[Callable[[int, int], Any]]:
    started = []

    async def start(content_bytes: int, names: int) -> PagingStore:
        made = PagingStore(content_bytes, names)
        await made.start()
        started.append(made)
        return made

    yield start
    for made in started:
        await made.stop()


async def test_objects_of_a_list_fit_into_the_memory(
    paging: Callable[[int, int], Any],
) -> None:
    made = await paging(MB, 1000)
    client = store.StoreClient(made.address, 40 * MB)
    with pytest.raises(errors.PlatformRefusedError, match="bytes"):
        await client.list("k")
    # The last page is read and not kept.
    kept = 40 * MB * list_extent.MEMORY_FRACTION
    assert (made.pages - 1) * MB <= kept


@pytest.mark.parametrize(
    ("names", "pages"), [(1, 2), (1000, list_extent.MAX_PAGES)]
)
async def test_list_that_does_not_end_is_refused(
    paging: Callable[[int, int], Any], names: int, pages: int
) -> None:
    made = await paging(1, names)
    client = store.StoreClient(made.address)
    with pytest.raises(errors.PlatformRefusedError, match="list"):
        await client.list("k")
    assert made.pages == pages
