"""Tests that error responses of endpoints reach the client.

Guards against closing the client connection without a response when an endpoint
answers with a status from 300 to 499: such a response ends the attempts, but it
was only stored as a fallback and never sent.
"""

import asyncio

import pytest

from martenjunction_lab import bench
from martenjunction_lab import boxes
from tests import gateway_requests
from tests import keep_alive_connections
from tests import routing_builders as builders


class Endpoint:
    """Answers every request with a fixed status, its id and a seal."""

    def __init__(self, status: int) -> None:
        self._status = status
        self.id = "i-status"
        self.address = bench.free_address()
        self.runs = 0

    async def start(self) -> None:
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(await self._answer(head, reader))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, head: bytes, reader: asyncio.StreamReader) -> bytes:
        pairs = dict(
            line.lower().split(b": ", 1) for line in head.splitlines()[1:-1]
        )
        await reader.readexactly(int(pairs.get(b"content-length", b"0")))
        self.runs += 1
        return b"\r\n".join(
            [
                b"HTTP/1.1 %d X" % self._status,
                b"Martenjunction-Attempt-Id: "
                + pairs.get(b"martenjunction-attempt-id", b""),
                b"Martenjunction-Replica-Seal: 3e1b",
                b"Content-Length: 0\r\n\r\n",
            ]
        )


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
@pytest.mark.parametrize("status", [301, 304, 400, 404, 409, 422])
async def test_failure_of_an_endpoint_reaches_its_client(
    fleet: boxes.Boxes, status: int, path: str
) -> None:
    endpoint = Endpoint(status)
    await endpoint.start()
    fleet.store.write(
        "servers",
        endpoint.id,
        {
            "service": builders.PLAIN,
            "address": endpoint.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        },
    )
    box = fleet.gateways[0]
    await boxes.until(lambda: endpoint.id in box.endpoint_list.entries)
    await boxes.until(lambda: bool(box.dump()["ready"]))
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(fleet.addresses[0])
    connection.send(gateway_requests.raw_request("r1", path))
    answer = await connection.answer()
    assert endpoint.runs >= 1
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    connection.close()
    endpoint.stop()
