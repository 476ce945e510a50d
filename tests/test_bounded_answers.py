"""Answers of the store and of health checks that have no end.

Guards against bodies that a box holds, or reads, for as long as their sender
likes.
"""

from collections.abc import AsyncIterator

import msgspec
import pytest

from martenjunction import errors
from martenjunction.platform import http_calls
from martenjunction.platform import store
from martenjunction.routing.limits import prober
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import endless_server
from tests import routing_builders as builders

MB = 1024 * 1024

# Bytes that may lie between a sender and its receiver, in sockets and streams.
BETWEEN_BYTES = 24 * MB


@pytest.fixture
async def endless() -> AsyncIterator[endless_server.EndlessServer]:
    made = endless_server.EndlessServer()
    await made.start()
    yield made
    made.stop()


async def test_store_sends_no_answer_without_an_end(
    endless: endless_server.EndlessServer,
) -> None:
    client = store.StoreClient(endless.address)
    with pytest.raises(errors.PlatformUnavailableError):
        await client.get("k", "a")
    with pytest.raises(errors.PlatformUnavailableError):
        await client.list("k")
    assert endless.sent <= 2 * (http_calls.MAX_BODY_BYTES + BETWEEN_BYTES)


async def test_changes_that_do_not_fit_are_listed_anew(
    endless: endless_server.EndlessServer,
) -> None:
    client = store.StoreClient(endless.address)
    with pytest.raises(errors.HistoryLostError):
        await client.watch("k", builders.rev(1), 1.0)


async def test_large_documents_and_many_entries_are_read() -> None:
    server = platform.Platform(seed=3)
    server.start()
    client = store.StoreClient(server.address)
    # Every byte of the value takes two in JSON.
    server.write("k", "large", '"' * MB)
    entry = {"service": "s", "address": "10.0.0.1:8000", "padding": "x" * 200}
    for number in range(12_000):
        server.write("entries", f"n{number:05d}", entry)
    read = await client.get("k", "large")
    assert read is not None and len(read.spec) > 2 * MB
    assert len((await client.list("entries")).objects) == 12_000
    changes = await client.watch("entries", builders.rev(2001), 1.0)
    assert len(changes.changes) == 10_000
    client.close()
    await server.stop()


async def test_endless_health_check_is_not_read_on(
    endless: endless_server.EndlessServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(prober, "PROBE_TIMEOUT_S", 3.0)
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=1)
    gateway = fleet.gateways[0]
    endpoint = msgspec.structs.replace(
        builders.endpoint("i-1"), address=endless.address
    )
    try:
        assert not await gateway.prober._ask(endpoint, "/healthz")
    finally:
        await fleet.stop()
    assert endless.sent <= prober.MAX_BODY_BYTES + BETWEEN_BYTES
