"""The daemon's watch of the configuration, whose answer is lost."""

import asyncio

import pytest

from martenjunction import timers
from martenjunction.config import store as config_store
from martenjunction.objects import client as object_client
from martenjunction.objects import feed
from martenjunction_lab import boxes
from martenjunction_lab import platform

pytestmark = pytest.mark.simulated_time

KIND, _ = object_client.split_key("config/")

# Seconds within which a change is in force.
CHANGE_S = 3.0


# A daemon waited for the answer for 21 s, while its other calls were answered.
async def test_daemon_follows_the_configuration_though_a_watch_was_lost(
    stand_in: platform.Platform,
) -> None:
    found: list[config_store.ConfigObject] = []
    client = object_client.ObjectClient(f"http://{stand_in.address}")
    stand_in.write(KIND, "class/a", {"values": {"x": "1"}})
    reader = feed.PlatformFeed(
        client, timers.Timers(), lambda: True, found.extend, lambda boxes: None
    )
    reader.start()
    await boxes.until(lambda: len(found) == 1)
    await asyncio.sleep(1.0)
    stand_in.faults = platform.PlatformFaults(lose_watches=1.0)
    stand_in.write(KIND, "class/a", {"values": {"x": "2"}})
    await asyncio.sleep(0.05)
    stand_in.faults = platform.PlatformFaults()
    await asyncio.sleep(CHANGE_S)
    assert [item.values for item in found] == [{"x": "1"}, {"x": "2"}]
    watches = stand_in.calls["watch"]
    await asyncio.sleep(10.0)
    assert stand_in.calls["watch"] == watches
    await reader.stop()
    client.close()
