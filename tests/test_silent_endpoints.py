"""Endpoints that fall silent for about a second and go on."""

import asyncio
import time

import pytest

from martenjunction_lab import replica
from martenjunction_lab import trial_fleet
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

SILENT_S = 1.2
SENT_S = 7.0


class SilentReplica(replica.Replica):
    """A replica that does nothing for a while."""

    def __init__(self, endpoint_id: str) -> None:
        super().__init__(endpoint_id)
        self.goes_on = asyncio.Event()
        self.goes_on.set()
        self.answered_at: list[float] = []

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self.goes_on.wait()
        stays = await super()._answer(request, behaviour, reader, writer)
        await self.goes_on.wait()
        self.answered_at.append(time.monotonic())
        return stays


async def test_second_of_silence_loses_nothing_and_work_comes_again() -> None:
    fleet = trial_fleet.TrialFleet[SilentReplica](1)
    services = trial_fleet.in_services(SilentReplica, 3, 0)
    statuses: list[int] = []
    resumed_at = 0.0

    async def send_one() -> None:
        number = len(statuses)
        statuses.append(0)
        route = fleet.draw.choice(("safe", "unsafe"))
        head, _ = await trial_fleet.send(
            fleet.draw.choice(fleet.boxes.addresses),
            f"/{route}/x",
            f"r{number}",
            f"aa:100,r{number}:400",
            str(number).encode(),
        )
        statuses[number] = head.status

    async def fall_silent() -> None:
        nonlocal resumed_at
        await asyncio.sleep(2.0)
        fleet.made[0].goes_on.clear()
        await asyncio.sleep(SILENT_S)
        fleet.made[0].goes_on.set()
        resumed_at = time.monotonic()

    await fleet.start(builders.relaxed_config_document(), 6, services)
    try:
        fleet.spawn(fall_silent())
        until = time.monotonic() + SENT_S
        await fleet.send_steadily(60.0, until, send_one)
        await fleet.settle()
    finally:
        await fleet.stop()
    assert set(statuses) == {200}
    second = resumed_at + 0.3, resumed_at + 1.3
    answers = fleet.made[0].answered_at
    assert sum(second[0] <= at < second[1] for at in answers) >= 5
