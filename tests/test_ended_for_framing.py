"""Connections that are ended for their framing are logged and counted.

Those of a daemon's own servers and of its peers were ended without a trace.
"""

from typing import Any

import pytest
from websockets import exceptions as ws_exceptions
from websockets.asyncio import client as ws_client

from martenjunction.peers import codec
from martenjunction.peers import handshake
from martenjunction_lab import bench
from martenjunction_lab import boxes
from tests import caller_builders
from tests import linked_hubs

fleet = caller_builders.fleet
log_lines = caller_builders.log_lines

BODY = b"1\r\nx\r\n" * 8_000

# A frame with an opcode that does not exist, a text that is not UTF-8, and the
# head of a message that is too large.
FRAMES = {
    "opcode": b"\x83\x80\x00\x00\x00\x00",
    "text": b"\x81\x81\x00\x00\x00\x00\xff",
    "size": b"\x82\xff" + (codec.MAX_MESSAGE + 1).to_bytes(8, "big") + bytes(4),
}


async def test_body_at_a_daemon_is_logged_and_counted(
    fleet: bench.Bench, log_lines: list[dict[str, Any]]
) -> None:
    caller = caller_builders.Caller(fleet.addresses[0])
    await caller.connect()
    head = caller_builders.request(
        "/v1/chat/completions", headers={"Transfer-Encoding": "chunked"}
    )
    caller.send(head.replace(b"GET", b"POST", 1))
    caller.send(BODY)
    assert (await caller.read_head()).startswith("HTTP/1.1 400 ")
    caller.disconnect()
    reasons = [
        line["why"]
        for line in log_lines
        if line.get("message_type") == "connection-closed"
    ]
    assert reasons == ["excess-framing"]
    text = fleet.daemons[0].metrics_text().decode()
    assert 'martenjunction_excess_framing_total{side="client"} 1.0' in text


@pytest.mark.parametrize("frame", FRAMES.values(), ids=FRAMES.keys())
async def test_frame_of_a_peer_is_logged_and_counted(
    frame: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    address = bench.free_address()
    hub = linked_hubs.new_hub(address)
    await hub.start()
    async with ws_client.connect(
        f"ws://{address}/", compression=None, proxy=None
    ) as connection:
        await handshake.perform_client_handshake(
            connection, linked_hubs.member("box-2"), linked_hubs.KEY
        )
        await boxes.until(lambda: hub.is_connected("box-2"))
        connection.transport.write(frame)
        with pytest.raises(ws_exceptions.ConnectionClosed):
            while True:
                await connection.recv()
    await boxes.until(lambda: hub.refused == 1)
    assert "closing the connection to box-2" in caplog.text
    await hub.stop()


# A close that the peer asks for is no fault of its framing.
async def test_orderly_end_of_a_peer_is_not_counted() -> None:
    address = bench.free_address()
    hub = linked_hubs.new_hub(address)
    await hub.start()
    async with ws_client.connect(
        f"ws://{address}/", compression=None, proxy=None
    ) as connection:
        await handshake.perform_client_handshake(
            connection, linked_hubs.member("box-2"), linked_hubs.KEY
        )
        await boxes.until(lambda: hub.is_connected("box-2"))
        await connection.close(1002)
    await boxes.until(lambda: not hub.is_connected("box-2"))
    assert hub.refused == 0
    await hub.stop()
