"""Streams that are taken up in a fleet where boxes are connected to a few."""

import asyncio
import random

import pytest

from martenjunction import metrics
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.decisions.boxes import stream_table
from martenjunction.routing.streams import origins
from martenjunction.routing.streams import queries
from martenjunction_lab.spread import fleet
from tests import routing_builders as builders

ORIGIN = stream_table.StreamOrigin(builders.ENGINE, "v1")
STEP_S = 0.001

# Connections of a box, over each of which it passes a question on once.
MAX_LINKS = 12


async def no_list() -> None:
    """Reads nothing, as a store that is away."""


class OriginFleet:
    """Simulated boxes that tell and ask each other where streams began."""

    def __init__(self, count: int) -> None:
        self.made = fleet.Fleet(fleet.Site(boxes=count, zones=5, versions=0))
        self.made.start()
        self.made.simulation.run(4.0)
        self.origins: dict[str, origins.StreamOrigins] = {}
        for name, box in self.made.boxes.items():
            self.origins[name] = origins.StreamOrigins(
                box.listed,
                box.peers,
                box.members,
                box.clock,
                box.known._log,
                metrics.Metrics(),
                lambda: None,
                no_list,
            )
            self.origins[name].start()

    async def advance(self, seconds: float) -> None:
        until = self.made.simulation.now + seconds
        while self.made.simulation.now < until:
            self.made.simulation.run(self.made.simulation.now + STEP_S)
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def asked(self) -> int:
        return sum(
            box.peers.traffic().by_kind["ask-stream-origin"]
            for box in self.made.boxes.values()
        )

    async def take_up(
        self, at: str, key: stream_table.StreamKey
    ) -> tuple[stream_table.StreamOrigin | None, float]:
        """Returns what a box finds out, and the seconds that it takes."""
        began = self.made.simulation.now
        finding = asyncio.ensure_future(
            self.origins[at].find(key, builders.HOST, "/digest/")
        )
        while not finding.done():
            await self.advance(STEP_S)
        return finding.result().origin, self.made.simulation.now - began


@pytest.mark.parametrize("count", [87, 195])
async def test_stream_of_a_lost_box_is_found_across_a_large_fleet(
    count: int,
) -> None:
    simulated = OriginFleet(count)
    names = sorted(simulated.origins)
    draw = random.Random(count)
    for number in range(6):
        began, taken_up = draw.sample(names, 2)
        key = stream_table.StreamKey(b"c" * 8, number.to_bytes(16, "big"))
        simulated.origins[began].record(key, ORIGIN, 5.0)
        await simulated.advance(0.02)
        simulated.origins[began]._table = stream_table.StreamTable()
        before = simulated.asked()
        origin, seconds = await simulated.take_up(taken_up, key)
        await simulated.advance(0.3)
        assert simulated.asked() - before <= MAX_LINKS * count
        assert origin == ORIGIN
        assert seconds < queries.ANSWER_TIMEOUT_S


@pytest.mark.parametrize("count", [36, 87, 195])
async def test_question_hears_each_box_of_a_large_fleet_once(
    count: int,
) -> None:
    simulated = OriginFleet(count)
    draw = random.Random(count)
    for number in range(4):
        at = draw.choice(sorted(simulated.origins))
        key = stream_table.StreamKey(b"c" * 8, number.to_bytes(16, "big"))
        asking = asyncio.ensure_future(
            simulated.origins[at]._queries.ask(
                key, builders.HOST, "/digest/", stream_table.UNKNOWN
            )
        )
        while not asking.done():
            await simulated.advance(STEP_S)
        assert asking.result().heard == fleet_evidence.Heard(count)
