"""Requests that a daemon takes in its drain although they cannot end in it.

Guards against a drain in which each request is taken: those that queue were
ended at its limit, and those that ran were cut off with an unknown outcome.
"""

import asyncio

import pytest

from martenjunction import http_headers
from martenjunction_lab import bench
from martenjunction_lab import plain
from tests import caller_builders as builders

LIMIT_S = 3.0
INTERVAL_S = 0.005
CALL = builders.request(builders.PLAIN_CALL, b"lot")
CHAT = builders.request(builders.CHAT, builders.chat(2, stream=False))

# Status, outcome and whether a time to come back is told.
SERVED = (200, "", False)
REFUSED = (503, "not-run", True)

Answer = tuple[int, str, bool]


async def ask(fleet: bench.Bench, request: bytes) -> Answer:
    caller = builders.Caller(fleet.addresses[0])
    await caller.connect()
    caller.send(request)
    head = await caller.read_head()
    caller.disconnect()
    return (
        int(head.split()[1]),
        builders.header_value(head, http_headers.OUTCOME),
        bool(builders.header_value(head, http_headers.RETRY_AFTER)),
    )


def set_delay(fleet: bench.Bench, seconds: float) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=seconds)


@pytest.mark.parametrize("request_bytes", [CALL, CHAT], ids=["plain", "chat"])
async def test_no_request_that_comes_throughout_a_drain_is_cut(
    request_bytes: bytes,
) -> None:
    async with builders.running(builders.spec(LIMIT_S)) as fleet:
        set_delay(fleet, 0.1)
        asked: list[asyncio.Task[Answer]] = []

        async def send() -> None:
            while True:
                coroutine = ask(fleet, request_bytes)
                asked.append(asyncio.create_task(coroutine))
                await asyncio.sleep(INTERVAL_S)

        sending = asyncio.create_task(send())
        await asyncio.sleep(0.5)
        async with asyncio.timeout(LIMIT_S + builders.WAIT_TIMEOUT_S):
            await fleet.daemons[0].drain()
        sending.cancel()
        answers = await asyncio.gather(*asked, return_exceptions=True)
        # A connection that its daemon no longer accepted was not read.
        read = {a for a in answers if not isinstance(a, OSError)}
        assert read == {SERVED, REFUSED}


async def test_request_that_waits_is_refused_within_a_drain() -> None:
    async with builders.running(builders.spec(LIMIT_S)) as fleet:
        set_delay(fleet, LIMIT_S - 1.0)
        first = asyncio.create_task(ask(fleet, CALL))
        await builders.wait_until_in_flight(fleet, 1)
        waiting = [asyncio.create_task(ask(fleet, CALL)) for _ in range(3)]
        await builders.wait_until_in_flight(fleet, 4)
        await fleet.daemons[0].drain()
        assert await first == SERVED
        assert await asyncio.gather(*waiting) == [REFUSED] * 3
