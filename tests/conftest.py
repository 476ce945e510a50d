"""Fixtures that several test modules use."""

from collections.abc import AsyncIterator

import pytest

from martenjunction.endpoints import client

MAX_TRANSFERS = 16


@pytest.fixture
async def http() -> AsyncIterator[client.EndpointClient]:
    made = client.EndpointClient(MAX_TRANSFERS)
    yield made
    made.close()
