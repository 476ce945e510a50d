"""Clients that fall silent, as a host without power does.

Guards against runs that go on for them: with a request that waits for its
answer, and within a stream, whose events nobody acknowledges.
"""

import asyncio
import ctypes
import socket
import struct
import time
from typing import Any

import pytest

from martenjunction import metrics
from martenjunction.routing.log import closing_log
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import recording_handlers
from tests import request_changes
from tests import test_client_ends
from tests import whole_answers

# Seconds after which the run of a client that fell silent is cancelled.
WAITING_S = 5.5
STREAM_S = 5.0

EVENT_PAUSE_S = 0.2

PATIENT = {"Martenjunction-Deadline-Ms": "25000"}

# Option and instruction of a filter that drops all that arrives: BPF_RET of 0.
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def fall_silent(sock: socket.socket) -> None:
    """Has a socket take in nothing any more, and so acknowledge nothing."""
    code = ctypes.create_string_buffer(DROP_ALL)
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def hold_requests(stand_in: replica.Replica) -> None:
    """Has a replica answer health checks alone."""
    answer = stand_in._answer

    async def holding(
        request: replica.Received, behaviour: replica.Behaviour, *rest: Any
    ) -> bool:
        if request.method == "POST":
            behaviour = replica.Behaviour.HANG
        return await answer(request, behaviour, *rest)

    stand_in._answer = holding  # type: ignore[method-assign, assignment]


def _is_received(site: request_changes.Site) -> bool:
    return any(
        request.id == "r1"
        for stand_in in site.replicas
        for request in stand_in.received
    )


@pytest.mark.parametrize(
    ("path", "bound_s"),
    [("/unsafe/a", WAITING_S), ("/chat/a", STREAM_S), ("/digest/a", STREAM_S)],
)
async def test_run_of_a_client_that_fell_silent_ends(
    path: str, bound_s: float
) -> None:
    site = request_changes.Site(timeout_ms=30_000, goal_ms=10_000)
    await site.start()
    for stand_in in site.replicas:
        stand_in._events = 200
        stand_in.event_pause_s = EVENT_PAUSE_S
        if path == "/unsafe/a":
            hold_requests(stand_in)
    log = recording_handlers.Lines()
    site.box._callers._on_closed = closing_log.ClosingLog(
        log, metrics.Metrics()
    )
    client = whole_answers.Client(site.fleet.addresses[0])
    await client.open()
    await client.send("r1", path, b"hello", headers=PATIENT)
    await boxes.until(lambda: _is_received(site))
    await asyncio.sleep(EVENT_PAUSE_S)
    fall_silent(client.socket)
    silent_at = time.monotonic()
    await boxes.until(lambda: any(made.cancelled for made in site.replicas))
    silent_s = time.monotonic() - silent_at
    assert silent_s < bound_s
    line = await test_client_ends.closed_line(log)
    assert (line["request"], line["client_end"]) == ("r1", "timed-out")
    client.close()
    await site.stop()
