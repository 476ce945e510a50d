"""Connections that begin to send at the same time share one iteration.

Each of them had a whole turn in it: twenty held the event loop up for 25 to
37 ms.
"""

import asyncio
import contextlib
import socket

import pytest
from websockets import protocol

from martenjunction import fair_turns
from martenjunction_lab import bench
from martenjunction_lab import boxes
from tests import linked_hubs
from tests import turn_counts

SENDERS = 20

# Whole turns, of 2 ms each, that an iteration of 20 ms can have.
MAX_TURNS = 10

PARTS = 200

# Frames that each peer sends, and how many an iteration may parse.
PINGS = 1_000
MAX_FRAMES = 1_024


@pytest.mark.parametrize("rested", [False, True])
async def test_senders_that_begin_together_share_an_iteration(
    rested: bool,
) -> None:
    async def send(
        budget: fair_turns.TurnBudget, counts: turn_counts.TurnCount
    ) -> None:
        for _ in range(PARTS):
            counts.add()
            budget.spend(fair_turns.PART_COST)
            await budget.pause_if_spent()

    budgets = [fair_turns.TurnBudget() for _ in range(SENDERS)]
    if rested:
        ignored = turn_counts.TurnCount()
        await asyncio.gather(*(send(one, ignored) for one in budgets))
        for budget in budgets:
            budget.renew()
    counts = turn_counts.TurnCount()
    with counts.start():
        await asyncio.gather(*(send(one, counts) for one in budgets))
    assert counts.longest * fair_turns.PART_COST <= (
        MAX_TURNS * fair_turns.TURN_BYTES
    )


# Guards against a short first turn that makes a usual sender count as one that
# never pauses.
async def test_first_turn_alone_is_no_endless_sender() -> None:
    budget = fair_turns.TurnBudget()
    budget.spend(fair_turns.FIRST_TURN_BYTES)
    await budget.pause_if_spent()
    assert not budget.spent_lately
    budget.spend(fair_turns.TURN_BYTES)
    await budget.pause_if_spent()
    assert budget.spent_lately


# The smallest piece that is parsed at once held 341 frames, whatever was left
# of the budget.
async def test_peers_that_begin_together_share_an_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts = turn_counts.TurnCount()
    receive = counts.counting(protocol.Protocol.recv_frame)
    monkeypatch.setattr(protocol.Protocol, "recv_frame", lambda *a: receive(*a))
    address = bench.free_address()
    listening = linked_hubs.new_hub(address)
    await listening.start()
    host, port = address.rsplit(":", 1)
    with contextlib.ExitStack() as stack, counts.start():
        for _ in range(SENDERS):
            sender = socket.create_connection((host, int(port)))
            stack.enter_context(sender)
            sender.sendall(linked_hubs.UPGRADE + linked_hubs.EMPTY_PING * PINGS)
        await boxes.until(lambda: counts.total >= SENDERS * PINGS)
    await listening.stop()
    assert counts.longest <= MAX_FRAMES
