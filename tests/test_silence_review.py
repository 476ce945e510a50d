"""Second attempts at their edges.

A second attempt was sent after the first response was on its way. An answered
request stayed until its deadline for an attempt that waited for memory. A
deadline right after the response had its connection aborted. A search that
found no endpoint was counted and logged ten times a second. A request that had
become suspected ran at two endpoints at a time. An answer for which the box had
no memory counted as a failure of its endpoint.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction import errors
from martenjunction.decisions import endpoint_states
from martenjunction.http1 import server_connection
from martenjunction.routing.limits import answer_admission
from martenjunction.routing.quarantine import permits
from martenjunction.routing.requests import endpoint_run
from martenjunction.routing.requests import endpoint_runs
from martenjunction.routing.requests import exchange
from martenjunction.routing.requests import offers
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import routing_builders as builders
from tests import two_endpoints

# Some turns of the timers, far less than the time that requests have.
SETTLED_S = 0.4

TICK_INTERVAL_S = 0.1


class HeldDelivery:
    """Holds up responses as a client does that reads slowly."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.began = asyncio.Event()
        self.may_end = asyncio.Event()
        deliver = endpoint_runs.EndpointRuns.deliver

        async def held(
            runs: endpoint_runs.EndpointRuns, answer: endpoint_run.Answer
        ) -> None:
            self.began.set()
            await self.may_end.wait()
            await deliver(runs, answer)

        monkeypatch.setattr(endpoint_runs.EndpointRuns, "deliver", held)


def second_attempts(fleet: boxes.Boxes) -> int:
    counters = fleet.gateways[0].metrics.counters()
    return sum(v for name, _, v in counters if name == "second_attempts")


async def ask_on_kept_connection(
    fleet: boxes.Boxes, two: two_endpoints.TwoEndpoints
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request; the client keeps its connection after the response."""
    host, port = fleet.addresses[0].rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(requests.raw_request("r1", "/safe/"))
    two.first = await two.next_run()
    return reader, writer


async def until_none_is_held(fleet: boxes.Boxes) -> None:
    async with asyncio.timeout(SETTLED_S):
        while len(fleet.gateways[0].held):
            await asyncio.sleep(0.01)


@pytest.fixture
async def two(
    fleet: boxes.Boxes,
) -> AsyncIterator[two_endpoints.TwoEndpoints]:
    async with two_endpoints.listed_at(fleet) as made:
        yield made


@pytest.mark.parametrize("status", ["200 OK", "404 Not Found"])
async def test_nothing_is_sent_beside_a_response_on_its_way(
    fleet: boxes.Boxes,
    two: two_endpoints.TwoEndpoints,
    monkeypatch: pytest.MonkeyPatch,
    status: str,
) -> None:
    delivery = HeldDelivery(monkeypatch)
    acquire = fleet.gateways[0].pool.acquire
    asked = await two.ask()

    async def slow_acquire(*args: object, **more: object) -> object:
        connection = await acquire(*args, **more)  # type: ignore[arg-type]
        await delivery.began.wait()
        return connection

    monkeypatch.setattr(fleet.gateways[0].pool, "acquire", slow_acquire)
    two.search_second()
    two.first.send(two_endpoints.response(b"first", status))
    assert not await two.second_is_sent(SETTLED_S)
    delivery.may_end.set()
    head, got = await asked
    assert (head.status, got) == (int(status[:3]), b"first")


async def test_response_on_its_way_is_not_moved(
    two: two_endpoints.TwoEndpoints, monkeypatch: pytest.MonkeyPatch
) -> None:
    delivery = HeldDelivery(monkeypatch)
    asked = await two.ask()
    two.first.send(two_endpoints.response(b"first"))
    await delivery.began.wait()
    two.search_second()
    assert not await two.second_is_sent(SETTLED_S)
    delivery.may_end.set()
    assert (await asked)[1] == b"first"


async def test_attempt_that_waits_for_memory_ends_with_the_request(
    fleet: boxes.Boxes,
    two: two_endpoints.TwoEndpoints,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = fleet.gateways[0].answers
    reader, writer = await ask_on_kept_connection(fleet, two)
    await two.try_second()
    monkeypatch.setattr(answers, "reserve", lambda _, length: length < 100)
    two.first.send(two_endpoints.response(b"x" * 1000))
    await asyncio.sleep(0.05)
    two.second.send(two_endpoints.response(b"second"))
    assert await reader.readuntil(b"second")
    await until_none_is_held(fleet)
    assert not answers._grants and not answers._discards
    writer.close()


async def test_deadline_right_after_the_response_aborts_nothing(
    fleet: boxes.Boxes,
    two: two_endpoints.TwoEndpoints,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    aborted: list[object] = []
    monkeypatch.setattr(
        server_connection.ServerConnection,
        "abort",
        lambda _, reason: aborted.append(reason),
    )
    deliver = endpoint_runs.EndpointRuns.deliver
    reader, writer = await ask_on_kept_connection(fleet, two)
    await two.try_second()
    running = two.exchange

    async def then_ends(
        runs: endpoint_runs.EndpointRuns, answer: endpoint_run.Answer
    ) -> None:
        await deliver(runs, answer)
        running._end(exchange.Ending.TIMED_OUT)

    monkeypatch.setattr(endpoint_runs.EndpointRuns, "deliver", then_ends)
    two.second.send(two_endpoints.response(b"second"))
    assert await reader.readuntil(b"second")
    await until_none_is_held(fleet)
    assert not aborted
    writer.close()


async def test_search_without_a_result_is_no_second_attempt(
    fleet: boxes.Boxes,
    two: two_endpoints.TwoEndpoints,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    searches = 0

    async def find_none(_: offers.Offers) -> None:
        nonlocal searches
        searches += 1

    asked = await two.ask()
    monkeypatch.setattr(offers.Offers, "next", find_none)
    two.search_second()
    await asyncio.sleep(8 * TICK_INTERVAL_S)
    assert second_attempts(fleet) == 0
    assert 1 <= searches <= 4
    two.first.send(two_endpoints.response(b"first"))
    assert (await asked)[1] == b"first"


async def test_request_that_became_suspected_runs_at_one_endpoint(
    two: two_endpoints.TwoEndpoints, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked = await two.ask()
    monkeypatch.setattr(permits.Permit, "isolated", property(lambda _: True))
    two.search_second()
    assert not await two.second_is_sent(SETTLED_S)
    two.first.send(two_endpoints.response(b"first"))
    assert (await asked)[1] == b"first"


async def test_client_that_leaves_ends_both_attempts(
    fleet: boxes.Boxes, two: two_endpoints.TwoEndpoints
) -> None:
    asked = await two.ask()
    await two.try_second()
    asked.cancel()
    assert await two_endpoints.is_closed(two.first)
    assert await two_endpoints.is_closed(two.second)
    await until_none_is_held(fleet)
    assert fleet.gateways[0].registry.runs.running == 0


async def test_superseded_attempt_leaves_nothing_behind(
    fleet: boxes.Boxes, two: two_endpoints.TwoEndpoints
) -> None:
    box = fleet.gateways[0]
    asked = await two.ask()
    await two.try_second()
    two.first.send(two_endpoints.response(b"f", "500 Internal Server Error"))
    await asyncio.sleep(0.05)
    two.second.send(two_endpoints.response(b"second"))
    assert (await asked)[1] == b"second"
    await until_none_is_held(fleet)
    assert box.registry.runs.running == 0
    assert not box.answers._discards
    assert all(
        each.loads.own_running == 0
        for each in box.registry.table.records.values()
    )


async def test_answer_without_memory_is_no_failure_of_its_endpoint(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    box = fleet.gateways[0]
    made = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()

    def give_up(*_: object) -> None:
        raise errors.AnswerGivenUpError("no memory for the response")

    monkeypatch.setattr(answer_admission.AnswerHolder, "resize", give_up)
    for number in range(endpoint_states.MAX_FAULTS):
        head, _ = await requests.ask(fleet, "/unsafe/", f"r{number}")
        assert head.status == 502
    record = box.registry.table.records[made.id]
    assert not record.is_ejected
    assert record.failures.value < 0.5
