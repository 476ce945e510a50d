"""Disconnecting callers, and connections closed before a request is admitted.

Guards against a request on a kept-alive connection that is admitted and sent
to an endpoint although its connection is closed without a response. This
happens if the event loop is blocked, and a single iteration then receives a
request and closes its connection, by the box or because the caller
disconnects, while closing connections and admitting requests share no state.
`test_callers_times` has measured figures.
"""

import asyncio
import time
from typing import Any

import pytest

from martenjunction import mailbox
from martenjunction.cells import broker
from martenjunction.cells import messages
from martenjunction.decisions import outcomes
from martenjunction_lab import bench
from martenjunction_lab import plain
from tests import caller_builders as builders

pytestmark = builders.ON_EACH_LOOP
event_loop_policy = builders.event_loop_policy
fleet = builders.fleet

# Seconds within which a run is cancelled whose caller left.
END_NOTICED_S = 0.5


@pytest.mark.parametrize("passes", range(1, 9))
async def test_request_on_a_closed_connection_is_not_run(
    fleet: bench.Bench, passes: int
) -> None:
    callers = await builders.connect_callers(fleet)
    for caller in callers:
        caller.send(
            builders.request(
                builders.CHAT, builders.chat(builders.UNENDING_TOKENS)
            )
        )
    time.sleep(builders.BLOCK_S)
    for _ in range(passes):
        await asyncio.sleep(0)
    held = len(fleet.daemons[0].callers.relays)
    await fleet.daemons[0].stop()
    fleet.daemons.clear()
    await asyncio.sleep(builders.BLOCK_S)
    assert builders.started_runs(fleet) <= held


async def test_request_of_a_disconnected_caller_is_not_run(
    fleet: bench.Bench,
) -> None:
    callers = await builders.connect_callers(fleet)
    for caller in callers:
        caller.send(
            builders.request(
                builders.CHAT, builders.chat(builders.UNENDING_TOKENS)
            )
        )
        caller.disconnect()
    time.sleep(builders.BLOCK_S)
    await asyncio.sleep(builders.BLOCK_S)
    assert builders.started_runs(fleet) == 0
    assert not fleet.daemons[0].callers.relays


async def test_queued_call_of_a_disconnected_caller_is_not_sent(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=builders.SHORT_TIMEOUT_S)
    running_call, waiting_call = await builders.connect_callers(fleet, 2)
    for caller, booking in ((running_call, "first"), (waiting_call, "second")):
        caller.send(
            builders.request(
                builders.PLAIN_CALL, b"lot", {plain.BOOKING_HEADER: booking}
            )
        )
        await asyncio.sleep(builders.LEAD_S)
    await builders.wait_until_in_flight(fleet, 2)
    waiting_call.disconnect()
    assert (await running_call.read_head()).startswith("HTTP/1.1 200")
    await builders.wait_until_in_flight(fleet, 0)
    assert service.runs == {"first": 1}


async def test_running_call_of_a_disconnected_caller_continues(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=builders.SHORT_TIMEOUT_S)
    (caller,) = await builders.connect_callers(fleet, 1)
    caller.send(
        builders.request(
            builders.PLAIN_CALL, b"lot", {plain.BOOKING_HEADER: "first"}
        )
    )
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        while not service.running:
            await asyncio.sleep(0.01)
    caller.disconnect()
    await asyncio.sleep(builders.LEAD_S)
    assert len(fleet.daemons[0].callers.relays) == 1
    await builders.wait_until_in_flight(fleet, 0)
    assert service.runs == {"first": 1}


async def test_caller_that_ends_its_sending_side_is_told(
    fleet: bench.Bench,
) -> None:
    (service,) = fleet.outside.plains.values()
    service.faults = plain.PlainFaults(delay_s=builders.SHORT_TIMEOUT_S)
    (caller,) = await builders.connect_callers(fleet, 1)
    caller.send(builders.request(builders.PLAIN_CALL, b"lot"))
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        while not service.running:
            await asyncio.sleep(0.01)
    caller.end_sending()
    head = await caller.read_head()
    assert head.startswith("HTTP/1.1 502 ")
    assert f": {outcomes.Outcome.UNKNOWN}" in head


async def test_request_disconnected_when_its_slot_is_granted_is_not_run(
    fleet: bench.Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    relays = fleet.daemons[0].callers.relays
    granted: list[str] = []
    put = mailbox.Mailbox.put

    def put_and_disconnect(box: mailbox.Mailbox[Any], item: Any) -> None:
        put(box, item)
        if isinstance(item, messages.SlotGranted):
            granted.append(item.request_id)
            relays[item.request_id].stop(broker.StopReason.CALLER_LEFT)

    monkeypatch.setattr(mailbox.Mailbox, "put", put_and_disconnect)
    callers = await builders.connect_callers(fleet)
    for caller in callers:
        caller.send(
            builders.request(
                builders.CHAT, builders.chat(builders.UNENDING_TOKENS)
            )
        )
    async with asyncio.timeout(builders.WAIT_TIMEOUT_S):
        while len(granted) < builders.CALLERS:
            await asyncio.sleep(0.01)
    await builders.wait_until_in_flight(fleet, 0)
    await asyncio.sleep(builders.BLOCK_S)
    assert builders.started_runs(fleet) == 0


async def test_handler_ends_when_its_caller_disconnects_within_a_body(
    fleet: bench.Bench,
) -> None:
    callers = await builders.connect_callers(fleet)
    for caller in callers:
        caller.send(builders.request(builders.CHAT, builders.chat(5))[:-10])
    await asyncio.sleep(builders.LEAD_S)
    assert len(builders.running_handlers()) == builders.CALLERS
    for caller in callers:
        caller.disconnect()
    await asyncio.sleep(builders.LEAD_S)
    assert not builders.running_handlers()


@pytest.mark.parametrize("together", [False, True])
async def test_reset_behind_unread_requests_cancels_the_run(
    fleet: bench.Bench, together: bool
) -> None:
    (caller,) = await builders.connect_callers(fleet, 1)
    chat = builders.chat(builders.UNENDING_TOKENS, stream=False)
    sent = builders.request(builders.CHAT, chat)
    ahead = builders.request(builders.MODELS)
    caller.send(sent + ahead if together else sent)
    await builders.wait_until_in_flight(fleet, 1)
    for _ in range(2):
        caller.send(ahead)
        await asyncio.sleep(0.05)
    caller.reset()
    async with asyncio.timeout(END_NOTICED_S):
        await builders.wait_until_in_flight(fleet, 0)
