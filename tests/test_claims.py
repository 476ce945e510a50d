"""Tests of claims with crashes, lost replies and concurrent owners."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from martenjunction.claims import messages
from martenjunction.claims import shards
from martenjunction.claims import table
from martenjunction.objects import client as object_client
from martenjunction_lab import platform


def claim(key: str, request_id: str) -> messages.Claim:
    return messages.Claim(0, key, request_id)


def settle(key: str, request_id: str, ran: bool) -> messages.Settle:
    return messages.Settle(0, key, request_id, ran)


def test_a_key_is_claimed_once() -> None:
    claims = table.ClaimTable()
    assert claims.claim(claim("k", "r1"), 0.0) == "claimed"
    assert claims.claim(claim("k", "r1"), 1.0) == "claimed"
    assert claims.claim(claim("k", "r2"), 1.0) == "in-progress"
    assert claims.settle(settle("k", "r1", ran=True), 2.0)
    assert claims.claim(claim("k", "r2"), 3.0) == "ran"


def test_a_request_that_did_not_run_releases_its_key() -> None:
    claims = table.ClaimTable()
    claims.claim(claim("k", "r1"), 0.0)
    assert not claims.settle(settle("k", "r2", ran=False), 1.0)
    assert claims.settle(settle("k", "r1", ran=False), 1.0)
    assert claims.claim(claim("k", "r2"), 2.0) == "claimed"


def test_claims_expire() -> None:
    claims = table.ClaimTable()
    claims.claim(claim("k", "r1"), 0.0)
    assert claims.claim(claim("k", "r2"), table.CLAIM_TTL_S + 1) == "claimed"


def test_a_full_shard_rejects_new_claims() -> None:
    claims = table.ClaimTable()
    for number in range(table.MAX_CLAIMS):
        claims.claim(claim(f"k{number}", "r"), 0.0)
    assert claims.claim(claim("more", "r"), 0.0) == "unavailable"
    assert claims.claim(claim("k0", "r"), 0.0) == "claimed"


@pytest.fixture
async def stand_in() -> AsyncIterator[platform.Platform]:
    made = platform.Platform(seed=3)
    made.start()
    yield made
    await made.stop()


def owner(stand_in: platform.Platform) -> shards.ClaimShard:
    api = object_client.ObjectClient(f"http://{stand_in.address}")
    made = shards.ClaimShard(0, api, lambda: 1000.0)
    made.start()
    return made


async def ask(
    shard: shards.ClaimShard, change: messages.Claim
) -> messages.ClaimState:
    answered: asyncio.Future[messages.ClaimState] = asyncio.Future()
    shard.put(change, lambda answer: answered.set_result(answer.state))
    async with asyncio.timeout(20.0):
        return await answered


async def test_two_owners_never_both_claim_a_key(
    stand_in: platform.Platform,
) -> None:
    stand_in.faults = platform.PlatformFaults(lose_replies=0.3)
    owners = [owner(stand_in), owner(stand_in)]
    for number in range(12):
        states = await asyncio.gather(
            ask(owners[0], claim(f"k{number}", f"a{number}")),
            ask(owners[1], claim(f"k{number}", f"b{number}")),
        )
        assert states.count(messages.ClaimState.CLAIMED) <= 1, states
    for shard in owners:
        await shard.stop()


async def test_many_claims_are_written_in_few_batches(
    stand_in: platform.Platform,
) -> None:
    shard = owner(stand_in)
    states = await asyncio.gather(
        *(ask(shard, claim(f"k{n}", f"r{n}")) for n in range(200))
    )
    assert set(states) == {messages.ClaimState.CLAIMED}
    assert shard.writes <= 3
    await shard.stop()


async def test_nothing_is_claimed_while_the_platform_is_down(
    stand_in: platform.Platform,
) -> None:
    stand_in.faults = platform.PlatformFaults(down=True)
    shard = owner(stand_in)
    assert await ask(shard, claim("k", "r")) == "unavailable"
    await shard.stop()
