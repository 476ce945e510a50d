"""Open connections that fall silent for good, while new ones work.

Guards against boxes that go on sending over connections of which nothing
arrives any more, until the time of requests is over.
"""

import asyncio
import random
import time

import pytest

from martenjunction import model
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from martenjunction_lab import replica
from martenjunction_lab import silent_sockets
from martenjunction_lab.promises import judge
from martenjunction_lab.promises import schedule
from martenjunction_lab.promises import silences
from martenjunction_lab.promises import trial
from martenjunction_lab.simulated import loop as simulated_loop
from tests import test_short_silences

# Kinds, and whether requests under way may be lost.
KINDS = (
    ("endpoint-links-go-silent", True),
    ("peer-links-go-silent", False),
    ("store-links-go-silent", False),
)


@pytest.mark.simulated_time
@pytest.mark.parametrize(("kind", "loses"), KINDS)
async def test_silent_links_break_no_promise(kind: str, loses: bool) -> None:
    drawn = schedule.draw_one(1, kind)
    seen = await trial.play_here(trial.Trial(drawn, seconds=6.0))
    assert not judge.broken(seen.history)
    assert seen.history.of(silences.Silence)
    assert loses or seen.served == seen.requests


@pytest.mark.simulated_time
async def test_loop_that_keeps_pace_is_no_faster_than_real_time() -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, simulated_loop.SimulatedLoop)
    loop.keep_pace()
    real, simulated = time.perf_counter(), loop.time()
    await asyncio.sleep(0.3)
    assert time.perf_counter() - real >= loop.time() - simulated - 0.002
    assert loop.time() - simulated >= 0.3


async def test_silent_connection_passes_nothing_and_a_new_one_works() -> None:
    draw = random.Random(1)
    served = replica.Replica("i-1")
    await served.start()
    old, new = (client.ClientConnection(served.address) for _ in range(2))
    try:
        await old.open(1.0)
        assert silent_sockets.silence([served.address], 0.0, draw) == 0
        assert silent_sockets.silence([served.address], 1.0, draw) == 1
        await new.open(1.0)
        for connection in (old, new):
            connection.send(b"GET", b"/healthz", [(b"Host", b"x")], b"")
        assert (await new.read_head()).status == 200
        async with asyncio.timeout(5.0):
            while not old.is_unheard():
                await asyncio.sleep(0.02)
        assert not new.is_unheard()
        assert len(served.received) == 1
    finally:
        old.abort()
        new.abort()
        await served.stop()


async def test_idle_connections_are_closed_once_two_endpoints_are_unheard() -> (
    None
):
    served = [replica.Replica(f"i-{n}") for n in (1, 2, 3)]
    kept = pool.EndpointPool(lambda service: 4)
    for one in served:
        await one.start()
        endpoint = _endpoint(one)
        kept.release(one.id, await kept.acquire(endpoint, True))
    try:
        now = time.monotonic()
        kept.note_unheard("i-1", now)
        assert [kept.open_connections(one.id) for one in served] == [0, 1, 1]
        kept.note_unheard("i-2", now + pool.UNHEARD_WINDOW_S + 1.0)
        assert [kept.open_connections(one.id) for one in served] == [0, 0, 1]
        kept.note_unheard("i-1", now + pool.UNHEARD_WINDOW_S + 1.5)
        assert [kept.open_connections(one.id) for one in served] == [0, 0, 0]
    finally:
        kept.close()
        for one in served:
            await one.stop()


async def test_request_that_was_moved_gets_a_new_connection() -> None:
    served = replica.Replica("i-1")
    await served.start()
    endpoint = _endpoint(served)
    kept = pool.EndpointPool(lambda service: 1)
    try:
        first = await kept.acquire(endpoint, True)
        kept.release("i-1", first)
        assert await kept.acquire(endpoint, True) is first
        kept.release("i-1", first)
        second = await kept.acquire(endpoint, True, fresh=True)
        assert second is not first
        kept.release("i-1", second)
    finally:
        kept.close()
        await served.stop()


def test_unheard_run_is_moved_and_is_no_evidence_against_its_endpoint() -> None:
    box = test_short_silences.answered_box()
    told: list[str] = []
    box.registry.runs.on_unheard(
        lambda endpoint_id, _: told.append(endpoint_id)
    )
    tickets = [box.send() for _ in range(3)]
    for ticket in tickets:
        ticket.is_unheard = lambda: True
    box.wait(1.0)
    assert all(ticket.move_requested for ticket in tickets)
    assert len(told) == len(tickets)
    for ticket in tickets:
        box.registry.runs.end(ticket, box.now, True)
    assert box.failure_part < 0.01
    assert box.registry.health.accepts("stops", box.now)


def _endpoint(one: replica.Replica) -> model.Endpoint:
    return model.Endpoint(
        id=one.id,
        service="plain-service",
        address=one.address,
        zone="zone-a",
        slots=6,
        state=model.EndpointState.READY,
    )
