"""Connections of two boxes that call each other at the same moment."""

import asyncio
import logging
import os

import pytest

from martenjunction_lab import boxes
from tests import routing_builders as builders

# Seconds from the start of a box after which connections without frames are
# closed, with a margin.
SETTLED_S = 3.0

SEEDS = range(int(os.environ.get("LINK_SEEDS", "1")))


def closed_silent(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [
        record.getMessage()
        for record in caplog.records
        if "no frame within the timeout" in record.getMessage()
    ]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("at_once", [False, True])
async def test_second_link_of_a_pair_is_not_closed_for_silence(
    caplog: pytest.LogCaptureFixture, at_once: bool, seed: int
) -> None:
    caplog.set_level(logging.WARNING, "martenjunction.peers.hub")
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), 0)
    lost: list[str] = []
    try:
        names = [f"box-{number}" for number in range(1, 6)]
        if at_once:
            await asyncio.gather(*(fleet.add_box(name) for name in names))
        else:
            for name in names:
                await fleet.add_box(name)
        others = len(names) - 1
        await boxes.until(
            lambda: all(len(g.peers.boxes()) == others for g in fleet.gateways)
        )
        for made in fleet.gateways:
            made.events.connect("peer-lost", lost.append)
        await asyncio.sleep(SETTLED_S)
        lost_before_stop = list(lost)
        linked = [
            len(open_links)
            for made in fleet.gateways
            for open_links in made.peers._links.values()
        ]
    finally:
        await fleet.stop()
    assert closed_silent(caplog) == []
    assert lost_before_stop == []
    assert linked == [1] * len(names) * others
