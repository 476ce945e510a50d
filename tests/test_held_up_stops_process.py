"""Box processes that are suspended as their planned stop ends.

Guards against requests whose connections are closed without a response, all in
one turn of the event loop: parts of their responses had arrived, and the time
limit of the final responses passed while the process was suspended.
"""

import asyncio
import collections
import pathlib
import signal

import pytest

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import box_processes
from tests import gateway_requests
from tests import keep_alive_connections
from tests import routing_builders as builders

CLIENTS = 40

# Seconds until a box is killed, and those that its requests may take.
STOP_S = 2.4
DEADLINE_S = 30

# Bytes of a part of a response, of all of it, and seconds between two parts.
PART = b"x" * 50
RESPONSE_BYTES = 400_000
PART_INTERVAL_S = 0.002

# Seconds in which all requests that are sent reach their endpoints.
SETTLE_S = 0.3


class TricklingReplica(replica.Replica):
    """A replica whose responses take longer than any stop."""

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.runs[request.id] += 1
        headers = {
            "Martenjunction-Attempt-Id": request.id,
            "Martenjunction-Replica-Seal": f"seal-{self.id}",
            "Content-Length": str(RESPONSE_BYTES),
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        writer.write(head.encode())
        while not writer.is_closing():
            writer.write(PART)
            await writer.drain()
            await asyncio.sleep(PART_INTERVAL_S)
        return False


async def start_box(
    fleet: boxes.Boxes, folder: pathlib.Path
) -> box_processes.Box:
    """Starts a box before two replicas."""
    document = builders.config_document()
    for route in document["routes"]:
        route["timeout_ms"] = DEADLINE_S * 1000
    await fleet.start(document, boxes=0)
    for number in range(2):
        made = TricklingReplica(f"i-{number}")
        await made.start()
        fleet.replicas.append(made)
        fleet.record(made, builders.PLAIN, slots=2 * CLIENTS)
    settings = box_processes.settings_of(fleet, "box-1", stop_s=STOP_S)
    box = await box_processes.start(folder, settings)
    await box.until_ready()
    return box


@pytest.mark.parametrize(
    ("later_s", "hold_up_s"), [(0.02, 0.25), (0.05, 0.25), (0.08, 0.15)]
)
async def test_requests_get_final_answers_though_the_end_of_a_stop_is_held_up(
    tmp_path: pathlib.Path, later_s: float, hold_up_s: float
) -> None:
    fleet = boxes.Boxes()
    box = await start_box(fleet, tmp_path)
    connections = []
    for number in range(CLIENTS):
        connection = keep_alive_connections.KeptConnection()
        await connection.connect(box.settings.callers)
        connection.send(
            gateway_requests.raw_request(
                f"r{number}", "/unsafe/x", DEADLINE_S * 1000
            )
        )
        connections.append(connection)
    await asyncio.sleep(SETTLE_S)
    box.signal(signal.SIGTERM)
    await asyncio.sleep(STOP_S - gateway.STOP_MARGIN_S + later_s)
    with box.suspended():
        await asyncio.sleep(hold_up_s)
    statuses = collections.Counter(
        [(await connection.answer())[9:12] for connection in connections]
    )
    for connection in connections:
        connection.close()
    assert await box.until_ended() == 0
    assert not await box.unanswered()
    await box.discard()
    await fleet.stop()
    ran = sum(made.runs.total() for made in fleet.replicas)
    assert ran > CLIENTS // 2
    # Those that ran may have had an effect; the others were refused in time.
    assert set(statuses) <= {b"502", b"504", b"503"}, statuses
    assert statuses[b"503"] <= CLIENTS - ran
