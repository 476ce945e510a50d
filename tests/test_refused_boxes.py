"""Tests what boxes say that cannot connect as their settings differ.

Guards against boxes that never connect, as they are given the store under
different addresses, and an operator who finds no reason in any log.
"""

import asyncio
from collections.abc import AsyncIterator
import logging

import pytest

from martenjunction import errors
from martenjunction import gateway
from martenjunction.peers import codec
from martenjunction.peers import handshake
from martenjunction.peers import refusals
from martenjunction_lab import bench
from martenjunction_lab import boxes
from martenjunction_lab import proxies
from tests import routing_builders as builders

# Seconds in which boxes call each other several times.
SEVERAL_CALLS_S = 6.0

NAMES = ("box-1", "box-2")


def told(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Returns the lines on boxes that cannot connect."""
    return [
        record.getMessage()
        for record in caplog.records
        if record.name == refusals.__name__
    ]


@pytest.fixture
async def made(caplog: pytest.LogCaptureFixture) -> AsyncIterator[boxes.Boxes]:
    caplog.set_level(logging.WARNING, refusals.__name__)
    started = boxes.Boxes()
    await started.start(builders.config_document(), boxes=0)
    yield started
    await started.stop()


async def test_boxes_with_other_store_addresses_say_so_once(
    made: boxes.Boxes, caplog: pytest.LogCaptureFixture
) -> None:
    addresses = made.store.address, bench.free_address()
    other = proxies.Link(addresses[1], addresses[0])
    await other.start()
    try:
        for name, address in zip(NAMES, addresses, strict=True):
            box = gateway.Gateway(
                boxes.settings(name, address), resident_bytes=lambda: 0
            )
            await box.start()
            made.gateways.append(box)
        await boxes.until(lambda: len(told(caplog)) >= len(NAMES))
        await asyncio.sleep(SEVERAL_CALLS_S)
    finally:
        await other.stop()
    assert not any(box.peers.boxes() for box in made.gateways)
    assert all(box.peers.refused > 2 for box in made.gateways)
    lines = sorted(told(caplog), key=lambda line: "box-1 is" in line)
    assert len(lines) == len(NAMES)
    for line, peer, address in zip(
        lines, reversed(NAMES), addresses, strict=True
    ):
        assert f"no connection to box {peer} is possible" in line
        assert f"the same address of the store ({address} here)" in line


@pytest.mark.parametrize("side", ["hello", "challenge"])
async def test_boxes_with_other_protocol_versions_say_so_once(
    made: boxes.Boxes,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    side: str,
) -> None:
    kind = {
        "hello": handshake.messages.Hello,
        "challenge": handshake.messages.Challenge,
    }[side]

    def of_next_version(protocol: int, *fields: object) -> object:
        return kind(protocol + 1, *fields)

    # Either side may be the first to see the version of the other one.
    real = handshake._receive_message

    async def receive(connection: object, wanted: object) -> object:
        return await real(connection, kind if wanted is made_kind else wanted)  # type: ignore[arg-type]

    made_kind = of_next_version
    monkeypatch.setattr(handshake.messages, kind.__name__, made_kind)
    monkeypatch.setattr(handshake, "_receive_message", receive)
    for name in NAMES:
        await made.add_box(name)
    await boxes.until(lambda: len(told(caplog)) >= len(NAMES))
    await asyncio.sleep(SEVERAL_CALLS_S)
    assert not any(box.peers.boxes() for box in made.gateways)
    lines = sorted(told(caplog))
    assert len(lines) == len(NAMES)
    for line, peer in zip(lines, NAMES, strict=True):
        assert f"no connection to box {peer} is possible" in line
        assert f"this one uses {codec.PROTOCOL}" in line


def test_refused_boxes_are_told_again_after_a_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING, refusals.__name__)
    told_of = refusals.Refusals("the same key")
    error = errors.PeerMismatchError("box-2", handshake.Mismatch.KEY)
    told_of.note(error)
    told_of.note(error)
    assert len(told(caplog)) == 1
    told_of.forget("box-2")
    told_of.note(error)
    assert len(told(caplog)) == 2


def test_lines_of_unauthenticated_boxes_are_bounded(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING, refusals.__name__)
    told_of = refusals.Refusals("the same key")
    for number in range(2 * refusals.MAX_BOXES):
        name = f"{number:04}" * 1000
        told_of.note(
            errors.PeerMismatchError(name, handshake.Mismatch.PROTOCOL)
        )
    assert len(told(caplog)) == refusals.MAX_BOXES
    assert max(map(len, told(caplog))) < 400
