"""Memory that bodies take in a box.

Guards against copies of a body: parts that were kept in the event loop's queue
while more could be read, the parts and the joined body, the body beside the
message that was sent, and a request that was held until the next one came. A
box with a limit of 150 MB was killed by 19 clients with bodies of 4 MB.
"""

import asyncio
from collections.abc import Callable
import pathlib
import threading
import tracemalloc

from tornado import iostream

from martenjunction.http1 import client
from martenjunction.http1 import streams
from martenjunction_lab import boxes
from tests import box_processes
from tests import raw_peers
from tests import routing_builders as builders

MB = 1_000_000
BODY_BYTES = 4 * MB
CLIENTS = 16
ROUNDS = 3

# Resident bytes of a box for each byte of a body that it holds.
MAX_BYTES_PER_BYTE = 1.1


def resident_bytes(pid: int) -> int:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * 4096


async def peak_while(pid: int, work: Callable[[], object]) -> int:
    """Returns the most resident memory of a process while work is done."""
    peak = 0
    done = asyncio.Event()

    async def watch() -> None:
        nonlocal peak
        while not done.is_set():
            peak = max(peak, resident_bytes(pid))
            await asyncio.sleep(0.005)

    watching = asyncio.create_task(watch())
    await work()  # type: ignore[misc]
    done.set()
    await watching
    return peak


async def send_bodies(address: str, number: int, body: bytes) -> None:
    connection = client.ClientConnection(address)
    await connection.open(5.0)
    for attempt in range(ROUNDS):
        pairs = [
            (b"Host", b"api.example"),
            (b"Martenjunction-Attempt-Id", b"r%d-%d" % (number, attempt)),
            (b"Martenjunction-Deadline-Ms", b"20000"),
            (b"Authorization", f"Bearer {builders.KEY}".encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        connection.send(b"POST", b"/unsafe/x", pairs, body)
        assert (await connection.read_head()).status == 200
        while await connection.read_body():
            pass
        connection.finish()
    connection.abort()


async def test_box_holds_a_body_once(tmp_path: pathlib.Path) -> None:
    fleet = boxes.Boxes()
    document = builders.relaxed_config_document()
    document["limits"]["max_body_bytes"] = BODY_BYTES
    await fleet.start(document, boxes=0)
    for _ in range(3):
        made = await fleet.add_replica(builders.PLAIN, slots=CLIENTS)
        made.echoes = False
    box = await box_processes.start(
        tmp_path,
        box_processes.settings_of(fleet, "box-1", memory_bytes=300 * 2**20),
    )
    try:
        await box.until_ready()
        await asyncio.sleep(1.0)
        base = resident_bytes(box.process.pid)
        body = bytes(BODY_BYTES)

        async def send_all() -> None:
            await asyncio.gather(
                *(
                    send_bodies(box.settings.callers, number, body)
                    for number in range(CLIENTS)
                )
            )

        peak = await peak_while(box.process.pid, send_all)
        assert peak - base <= MAX_BYTES_PER_BYTE * CLIENTS * BODY_BYTES
    finally:
        await box.discard()
        await fleet.stop()


async def test_parts_that_were_read_are_not_kept(
    peer: raw_peers.RawPeer,
) -> None:
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    sender = await peer.accept()
    sender.setblocking(True)
    data = bytes(2 * BODY_BYTES)
    sending = threading.Thread(target=sender.sendall, args=(data,))
    source = connection._source
    assert source is not None
    sending.start()
    tracemalloc.start()
    try:
        left = len(data)
        while left:
            left -= len(await source.read())
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    sending.join()
    connection.abort()
    assert peak < MB


class Recorder:
    """Records what is written."""

    def __init__(self) -> None:
        self.written: list[memoryview] = []

    def write(self, data: memoryview) -> "asyncio.Future[None]":
        self.written.append(data)
        done = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done


async def test_large_body_is_written_without_a_copy() -> None:
    body = bytearray(BODY_BYTES)
    stream: iostream.IOStream = Recorder()  # type: ignore[assignment]
    await streams.write(stream, [b"head", body, b""])
    assert [view.obj for view in stream.written][1] is body  # type: ignore[attr-defined]


async def test_small_message_is_written_at_once() -> None:
    stream: iostream.IOStream = Recorder()  # type: ignore[assignment]
    await streams.write(stream, [b"head", b"body"])
    assert [bytes(v) for v in stream.written] == [b"headbody"]  # type: ignore[attr-defined]
