"""Second attempts and the watch over silence, at their edges.

Judging hundreds of endpoints held up the event loop. A second attempt was sent
after the first response was on its way. An answered request stayed until its
deadline for an attempt that waited for memory. A deadline right after the
response had its connection aborted. A search that found no endpoint was counted
and logged ten times a second. A request that had become suspected ran at two
endpoints at a time.
"""

import asyncio
from collections.abc import AsyncIterator
import time

import pytest

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import response_survival
from martenjunction.http1 import server_connection
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.endpoints import silence_watch
from martenjunction.routing.log import decision_log
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


class Watched:
    """A service of 500 endpoints with two runs each, all of them waiting."""

    ENDPOINTS = 500

    def __init__(self, waited_s: float) -> None:
        self.now = 100.0
        log = decision_log.DecisionLog(lambda: self.now)
        self.watch = silence_watch.SilenceWatch(
            endpoint_ejection.EjectionTracker(log)
        )
        demand = builders.demand(service=builders.PLAIN, is_engine=False)
        self.records = [
            builders.record(f"e{number}", cache_tokens=0)
            for number in range(self.ENDPOINTS)
        ]
        self.tickets = []
        for number in range(response_survival.MAX_SAMPLES + 1000):
            record = self.records[number % self.ENDPOINTS]
            choice = endpoint_choice.evaluate(record, demand, False, 0.0)
            ended = number < response_survival.MAX_SAMPLES
            sent_at = 0.0 if ended else self.now - waited_s - number / 10_000
            ticket = run_ticket.RunTicket(choice, demand, sent_at, sent_at)
            if ended:
                self.watch.note_bytes(ticket, 0.01 + number / 10_000)
            else:
                self.tickets.append(ticket)

    def judge(self) -> float:
        """Judges once; returns the processor time in seconds."""
        began = time.thread_time()
        self.watch.judge(self.tickets, {}, self.now, self.now, lambda _: None)
        return time.thread_time() - began


def test_judging_many_endpoints_leaves_the_event_loop_time() -> None:
    watched = Watched(waited_s=3.0)
    assert min(watched.judge() for _ in range(3)) < TICK_INTERVAL_S / 2


def test_all_quiet_endpoints_are_judged_in_turn() -> None:
    watched = Watched(waited_s=3.0)
    judged: set[str] = set()
    probability = watched.watch._quiet_probability

    def record(endpoint_id: str, *args: object) -> float:
        judged.add(endpoint_id)
        return probability(endpoint_id, *args)  # type: ignore[arg-type]

    watched.watch._quiet_probability = record  # type: ignore[method-assign,assignment]
    for _ in range(5):
        watched.now += TICK_INTERVAL_S
        watched.judge()
    assert len(judged) == watched.ENDPOINTS
