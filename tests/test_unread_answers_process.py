"""Large answers at a box process beside a workspace that reads none of its own.

Guards against one workspace whose unread answers keep those of all others
waiting.
"""

import asyncio
import contextlib
import pathlib
import random
import socket
import time

import psutil

from martenjunction import addresses
from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import replica
from martenjunction_lab.fast_senders import processes
from tests import endless_endpoints

LIMIT_BYTES = 150 * 2**20
MAX_FRACTION = 0.8

UNREAD = 8
UNREAD_BYTES = 8 * 2**20
OTHERS = 6
OTHER_BYTES = (100_000, 1_000_000)

ALONE_S = 1.5
BESIDE_S = 3.0
DEADLINE_MS = 8000

# Largest share of others' requests without an answer, and how much longer the
# longest may take, in seconds.
MAX_FAILED = 0.01
MAX_LONGER_S = 0.25

# The id of a request begins with the length of its answer.
FORM = endless_endpoints.Form(
    lambda name: endless_endpoints.sealed_head(
        name, b"Content-Length: " + name.partition(b"-")[0]
    ),
    bytes(1024),
)


def config_document() -> dict[str, object]:
    document = processes.config_document()
    for route in document["routes"]:
        route["timeout_ms"] = DEADLINE_MS
    document["tenants"] += [
        {"name": f"other-{n}", "api_keys": [f"key-{n}"], "priority": 1}
        for n in range(OTHERS)
    ]
    return document


def fields(request_id: str, key: str) -> dict[str, str]:
    return {
        "Martenjunction-Attempt-Id": request_id,
        "Martenjunction-Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Bearer {key}",
    }


async def ask_unread(box: str, number: int) -> socket.socket:
    """Asks for a large answer on a connection that is not read."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, addresses.split_address(box))
    asked = fields(f"{UNREAD_BYTES}-u{number}", "key-of-one")
    lines = [f"{name}: {value}" for name, value in asked.items()]
    head = ["GET /sender/x HTTP/1.1", "Host: api.example", *lines, "", ""]
    await loop.sock_sendall(sock, "\r\n".join(head).encode())
    return sock


class Others:
    """Clients of other workspaces, each with one request after the other."""

    def __init__(self, box: str) -> None:
        self._box = box
        self._sent = 0
        self.waits: list[float] = []
        self.failed = 0

    async def run(self, seconds: float) -> None:
        self.waits.clear()
        until = time.monotonic() + seconds
        await asyncio.gather(*(self._ask_all(n, until) for n in range(OTHERS)))

    async def _ask_all(self, number: int, until: float) -> None:
        draw = random.Random(number)
        while time.monotonic() < until:
            self._sent += 1
            length = draw.randint(*OTHER_BYTES)
            asked = fields(f"{length}-o{self._sent}", f"key-{number}")
            began_at = time.monotonic()
            kept = client.ClientConnection(self._box)
            try:
                await kept.open(1.0)
                async with asyncio.timeout(until + 1.0 - time.monotonic()):
                    head, body = await boxes.call_on(
                        kept, "GET", "/sender/x", asked
                    )
                self.failed += (head.status, len(body)) != (200, length)
            except TimeoutError:
                self.failed += 1
            finally:
                kept.abort()
            self.waits.append(time.monotonic() - began_at)
            await asyncio.sleep(0.05)


async def test_unread_answers_of_one_workspace_keep_no_other_waiting(
    tmp_path: pathlib.Path,
) -> None:
    fleet = boxes.Boxes()
    await fleet.start(config_document(), boxes=0)
    endpoint = endless_endpoints.EndlessEndpoint(FORM)
    stand_in = replica.Replica("sized")
    stand_in.address = endpoint.address
    fleet.record(stand_in, processes.SENDER, slots=32)
    settings = processes.own_settings(fleet, memory_bytes=LIMIT_BYTES)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(fleet.stop)
        stack.callback(endpoint.stop)
        pid = await stack.enter_async_context(
            processes.box(settings, pathlib.Path(), tmp_path)
        )
        await asyncio.sleep(0.5)
        others = Others(settings.callers)
        await others.run(ALONE_S)
        alone_s = max(others.waits)
        for number in range(UNREAD):
            sock = await ask_unread(settings.callers, number)
            stack.callback(sock.close)
        await boxes.until(lambda: endpoint.sending >= 1)
        await others.run(BESIDE_S)
        memory = psutil.Process(pid).memory_info().rss
    assert others.failed <= MAX_FAILED * len(others.waits)
    assert max(others.waits) <= alone_s + MAX_LONGER_S
    assert memory <= MAX_FRACTION * LIMIT_BYTES
