"""Open connections to the store that fall silent while new ones work."""

import asyncio
from collections.abc import AsyncIterator
import time

import pytest

from martenjunction import errors
from martenjunction.platform import http_calls
from martenjunction.platform import store

pytestmark = pytest.mark.simulated_time

BODY = b'{"current_rev": 1, "entries": []}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


class SilentStore:
    """Answers lists, but over connections that have fallen silent."""

    def __init__(self) -> None:
        self.address = ""
        self._open = 0
        self._silent_to = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    def fall_silent(self) -> None:
        """Has all connections opened so far say nothing more."""
        self._silent_to = self._open

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open += 1
        number = self._open
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.05)
                if number > self._silent_to:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # Its client left, or the test ended.
        finally:
            writer.transport.abort()


@pytest.fixture
async def silent_store() -> AsyncIterator[SilentStore]:
    made = SilentStore()
    await made.start()
    yield made
    made.stop()


# Each kept connection cost a call its timeout, one after the other, so that the
# store passed for lost for longer than the box may be out of touch.
async def test_one_call_is_lost_to_connections_that_fell_silent_together(
    silent_store: SilentStore,
) -> None:
    client = store.StoreClient(silent_store.address)
    kept = http_calls.MAX_IDLE_CONNECTIONS
    await asyncio.gather(*(client.list("k") for _ in range(kept)))
    silent_store.fall_silent()
    began = time.monotonic()
    with pytest.raises(errors.PlatformUnavailableError):
        await client.list("k")
    await client.list("k")
    assert time.monotonic() - began <= store.CALL_TIMEOUT_S + 0.2
    client.close()


async def test_connection_that_answered_meanwhile_is_kept(
    silent_store: SilentStore,
) -> None:
    client = store.StoreClient(silent_store.address)
    await client.list("k")
    silent_store.fall_silent()
    failing = asyncio.create_task(client.list("k"))
    await asyncio.sleep(0.1)
    await client.list("k")
    with pytest.raises(errors.PlatformUnavailableError):
        await failing
    assert len(client._http._idle) == 1
    client.close()
