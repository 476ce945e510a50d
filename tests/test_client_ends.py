"""How a client ended its side of a connection with a request under way.

Guards against a lost request whose cause no line tells: one whose client sent a
FIN, reset the connection, or could not be reached any more.
"""

import asyncio
from collections.abc import Callable
import errno
import socket
import struct
from typing import Any

import pytest

from martenjunction import metrics
from martenjunction.http1 import peer_ends
from martenjunction.routing.log import closing_log
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests
from tests import raw_peers
from tests import recording_handlers
from tests import request_changes
from tests import whole_answers

PeerEnd = peer_ends.PeerEnd

# Option value with which a close resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)

# A request that is sent before the one before it is answered.
NEXT_REQUEST = b"GET /safe/b HTTP/1.1\r\nHost: any\r\n\r\n"

# Milliseconds after which the kernel gives up on a client that does not read,
# and the size of a body whose answer it holds as a whole.
GIVE_UP_MS = 300
UNREAD_BYTES = 200_000

# Seconds within which the run of a client that left is cancelled.
CANCELLED_S = 0.5


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def full_close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    sock.close()


ENDS = [(half_close, "fin"), (full_close, "fin"), (reset, "reset")]
End = Callable[[socket.socket], None]


async def hanging_request(
    fleet: boxes.Boxes, kind: str = "safe"
) -> tuple[whole_answers.Client, recording_handlers.Lines]:
    """Has a request hang at an endpoint; returns its client and the lines."""
    [endpoint, _] = await gateway_requests.two_plain(fleet)
    for stand_in in fleet.replicas:
        stand_in.always(replica.Behaviour.HANG)
    box, log = fleet.gateways[0], recording_handlers.Lines()
    box._callers._on_closed = closing_log.ClosingLog(log, metrics.Metrics())
    client = whole_answers.Client(fleet.addresses[0])
    await client.open()
    await client.send("r1", f"/{kind}/a", b"hello")
    await boxes.until(lambda: gateway_requests.arrivals(fleet.replicas) == 1)
    return client, log


async def closed_line(log: recording_handlers.Lines) -> dict[str, Any]:
    await boxes.until(lambda: bool(log.of("connection-closed")))
    [line] = log.of("connection-closed")
    return line


@pytest.mark.parametrize(("end", "told"), ENDS)
async def test_end_of_the_client_is_told(
    fleet: boxes.Boxes, end: End, told: str
) -> None:
    client, log = await hanging_request(fleet)
    end(client.socket)
    line = await closed_line(log)
    assert (line["why"], line["under_way"]) == ("client", True)
    assert (line["request"], line["client_end"]) == ("r1", told)
    assert bool(line["error"]) == (told == "reset")
    client.close()


@pytest.mark.parametrize(("end", "told"), ENDS)
async def test_end_behind_unread_requests_is_told(
    fleet: boxes.Boxes, end: End, told: str
) -> None:
    client, log = await hanging_request(fleet)
    [connection] = fleet.gateways[0]._callers._connections
    for _ in range(2):
        # The box reads each piece apart; the last one stays in its socket.
        client.socket.send(NEXT_REQUEST)
        await asyncio.sleep(0.02)
    assert connection._source.bytes_waiting
    end(client.socket)
    async with asyncio.timeout(CANCELLED_S):
        while not any(made.cancelled for made in fleet.replicas):
            await asyncio.sleep(0.01)
    line = await closed_line(log)
    assert (line["under_way"], line["client_end"]) == (True, told)
    assert (line["request"], line["end"]) == ("r1", "client-gone")
    assert gateway_requests.arrivals(fleet.replicas) == 1
    client.close()


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_client_that_ends_its_sending_side_has_left(
    fleet: boxes.Boxes, kind: str
) -> None:
    # A FIN alone does not tell whether the client still reads; its run is
    # cancelled in time for the case that it does not, and it is told for the
    # case that it does.
    client, log = await hanging_request(fleet, kind)
    half_close(client.socket)
    async with asyncio.timeout(CANCELLED_S):
        while not any(made.cancelled for made in fleet.replicas):
            await asyncio.sleep(0.01)
    answer = await client.receive()
    assert (answer.status, answer.body, answer.whole) == (502, b"", True)
    line = await closed_line(log)
    assert (line["client_end"], line["end"]) == ("fin", "client-gone")
    assert gateway_requests.arrivals(fleet.replicas) == 1
    client.close()


@pytest.mark.parametrize(("end", "told"), ENDS)
async def test_end_that_only_a_peek_saw_is_told(
    fleet: boxes.Boxes, end: End, told: str
) -> None:
    # The box closes the connection itself, before the event loop sees the end;
    # the kernel reports an error to the peek alone.
    client, log = await hanging_request(fleet)
    box = fleet.gateways[0]
    [connection] = box._callers._connections
    end(client.socket)
    raw_peers.block_event_loop()
    assert not connection._source.bytes_waiting
    box._callers.close_all()
    line = await closed_line(log)
    assert (line["why"], line["client_end"]) == ("stop", told)
    assert bool(line["error"]) == (told == "reset")
    client.close()


async def test_client_that_had_not_ended_its_side_is_told(
    fleet: boxes.Boxes,
) -> None:
    client, log = await hanging_request(fleet)
    fleet.gateways[0]._callers.close_all()
    line = await closed_line(log)
    assert (line["why"], line["client_end"]) == ("stop", "open")
    assert (line["request"], line["error"]) == ("r1", "")
    client.close()


@pytest.mark.parametrize(
    ("number", "told"),
    [
        (errno.ETIMEDOUT, PeerEnd.TIMED_OUT),
        (errno.EHOSTUNREACH, PeerEnd.FAILED),
        (errno.ECONNRESET, PeerEnd.RESET),
        (errno.EPIPE, PeerEnd.RESET),
    ],
)
async def test_error_of_the_socket_is_told(
    fleet: boxes.Boxes, number: int, told: PeerEnd
) -> None:
    # The kernel gives up after seconds without an acknowledgement.
    client, log = await hanging_request(fleet)
    [connection] = fleet.gateways[0]._callers._connections
    connection._stream.close(exc_info=OSError(number, "of the socket"))
    line = await closed_line(log)
    assert (line["why"], line["under_way"]) == ("client", True)
    assert (line["request"], line["client_end"]) == ("r1", told.value)
    assert "of the socket" in line["error"]
    client.close()


async def test_client_that_the_kernel_gave_up_on_is_told() -> None:
    # Its answer is held by the kernel, so that no request is under way.
    site = request_changes.Site()
    await site.start()
    log = recording_handlers.Lines()
    site.box._callers._on_closed = closing_log.ClosingLog(
        log, metrics.Metrics()
    )
    client = whole_answers.Client(site.fleet.addresses[0])
    await client.open()
    await client.send("r0", "/safe/a", b"hello")
    assert (await client.receive()).whole
    [connection] = site.box._callers._connections
    await client.send("r1", "/safe/a", b"x" * UNREAD_BYTES)
    await boxes.until(lambda: connection._record.response_count == 2)
    connection._stream.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, GIVE_UP_MS
    )
    line = await closed_line(log)
    assert (line["why"], line["under_way"]) == ("client", False)
    assert (line["answered"], line["client_end"]) == (2, "timed-out")
    client.close()
    await site.stop()


def test_error_of_the_library_is_no_end_of_the_client() -> None:
    assert peer_ends.classify(ValueError("buffer full")) is PeerEnd.FAILED
