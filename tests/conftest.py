"""Fixtures that several test modules use."""

from collections.abc import AsyncIterator

import pytest

from martenjunction.endpoints import client
from martenjunction_lab import boxes
from tests import routing_builders as builders

MAX_TRANSFERS = 16


@pytest.fixture
async def http() -> AsyncIterator[client.EndpointClient]:
    made = client.EndpointClient(MAX_TRANSFERS)
    yield made
    made.close()


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document())
    yield made
    await made.stop()
