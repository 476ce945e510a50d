"""A head of very many fields is refused before it is parsed.

A head of 64 KB with 13,000 fields, which is refused for their number, was
parsed first: 80 ms in one turn of the event loop.
"""

import asyncio
from collections.abc import Iterator
import contextlib

import h11
import hypothesis
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction.http1 import client
from martenjunction.http1 import framing
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import server_connection
from martenjunction_lab import bench
from tests import raw_peers
from tests import turn_counts

LIMIT_S = 10.0

LONG = b"a:\r\n" * 13_095
REQUEST = b"GET / HTTP/1.1\r\nHost: api.example\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n"

# With and without the empty line that completes the head.
ENDS = pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["open", "complete"])


@pytest.fixture
def fields(monkeypatch: pytest.MonkeyPatch) -> turn_counts.TurnCount:
    """Counts the header fields that h11 returns, and its errors."""
    counts = turn_counts.TurnCount()
    parse = h11.Connection.next_event

    def next_event(connection: h11.Connection) -> object:
        try:
            event = parse(connection)
        except h11.RemoteProtocolError:
            counts.add()
            raise
        counts.add(len(getattr(event, "headers", ())))
        return event

    monkeypatch.setattr(h11.Connection, "next_event", next_event)
    return counts


@contextlib.contextmanager
def serving() -> Iterator[str]:
    async def answer(
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        await connection.answer(200, [], b"")

    limits = messages.ClientLimits(64 * 1024, 1024, 5.0, 5.0)
    listening = server.Server("test", answer, limits=lambda: limits)
    address = bench.free_address()
    listening.listen_on(address)
    try:
        yield address
    finally:
        listening.close_all()


@ENDS
async def test_long_head_of_a_request_is_refused_unparsed(
    end: bytes, fields: turn_counts.TurnCount
) -> None:
    with serving() as address:
        sender = turn_counts.FastSender(address, REQUEST + LONG + end)
        async with asyncio.timeout(LIMIT_S):
            answer = await sender.answer()
        sender.close()
    assert answer.startswith(b"HTTP/1.1 431")
    assert fields.total == 0


# The next head is in the same read as the request before it.
async def test_long_head_after_another_request_is_refused_unparsed(
    fields: turn_counts.TurnCount,
) -> None:
    first = REQUEST + b"\r\n"
    with serving() as address:
        sender = turn_counts.FastSender(address, first + REQUEST + LONG)
        async with asyncio.timeout(LIMIT_S):
            answer = await sender.answer()
        sender.close()
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 431" in answer
    assert fields.total == 1


@ENDS
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
async def test_long_head_of_an_answer_is_an_error_unparsed(
    interim: bytes, end: bytes, fields: turn_counts.TurnCount
) -> None:
    peer = raw_peers.RawPeer()
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    connection.send(b"GET", b"/", [(b"Host", b"api.example")], b"")
    sender = await peer.accept()
    sender.settimeout(5.0)
    sender.sendall(interim + ANSWER + LONG + end)
    async with asyncio.timeout(LIMIT_S):
        with pytest.raises(errors.HttpSyntaxError, match="too many header"):
            await connection.read_head()
    assert fields.total == 0
    connection.abort()
    peer.close()


# What comes before the trailer.
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"


@ENDS
async def test_long_trailer_of_a_request_is_refused_unparsed(
    end: bytes, fields: turn_counts.TurnCount
) -> None:
    with serving() as address:
        head = REQUEST.replace(b"GET", b"POST")
        sender = turn_counts.FastSender(address, head + CHUNKED + LONG + end)
        async with asyncio.timeout(LIMIT_S):
            answer = await sender.answer()
        sender.close()
    assert answer.startswith(b"HTTP/1.1 431")
    # Those of the head alone, and no error of the parser.
    assert fields.total == 2


@ENDS
async def test_long_trailer_of_an_answer_is_an_error_unparsed(
    end: bytes, fields: turn_counts.TurnCount
) -> None:
    peer = raw_peers.RawPeer()
    connection = client.ClientConnection(peer.address)
    await connection.open(5.0)
    connection.send(b"GET", b"/", [(b"Host", b"api.example")], b"")
    sender = await peer.accept()
    sender.settimeout(5.0)
    sender.sendall(ANSWER + CHUNKED + LONG + end)
    async with asyncio.timeout(LIMIT_S):
        await connection.read_head()
        assert await connection.read_body() == b"x"
        with pytest.raises(errors.HttpSyntaxError, match="too many header"):
            await connection.read_body()
    assert fields.total == 1
    connection.abort()
    peer.close()


# Guards against data that is taken for a trailer, and a trailer for data,
# wherever the reads end.
@hypothesis.given(
    st.lists(st.sampled_from([b"0\r\n" + b"\n" * 200, b"x", b"\n0"])),
    st.sampled_from([0, 1, framing.MAX_FIELDS, framing.MAX_FIELDS + 1]),
    st.sampled_from([b"0", b"000;a=\r", b"0 "]),
    st.lists(st.integers(1, 40), max_size=40),
)
def test_trailers_are_told_from_data(
    parts: list[bytes], count: int, last: bytes, cuts: list[int]
) -> None:
    sent = b"".join(b"%X;e\r\n%b\r\n" % (len(p), p) for p in parts)
    sent += last + b"\r\n" + b"a: b\r\n" * count + b"\r\n" + b"\n" * 200
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(ANSWER + b"Transfer-Encoding: chunked\r\n\r\n")
    parser.next_event()
    body = framing.ChunkedBody(0)
    while True:
        refused = body.has_too_many_lines(parser.trailing_data[0])
        if refused:
            break
        event = parser.next_event()
        if isinstance(event, h11.Data):
            body.note_data(len(event.data), event.chunk_end)
        elif isinstance(event, h11.EndOfMessage):
            break
        else:
            size = cuts.pop() if cuts else len(sent)
            parser.receive_data(sent[:size])
            sent = sent[size:]
    assert refused is (count > framing.MAX_FIELDS)


FIELD = st.sampled_from([b"a:", b"ab: c", b"F1: " + b"x" * 200])
LINE_END = st.sampled_from([b"\r\n", b"\n"])
COUNTS = st.integers(framing.MAX_FIELDS - 2, framing.MAX_FIELDS + 2)


# Guards against a limit that differs from the one on parsed fields by a line,
# and against lines of the body, or of the next message, that count.
@hypothesis.given(st.data(), COUNTS, st.sampled_from([0, 1, 300]))
def test_lines_decide_as_the_parsed_fields_do(
    data: st.DataObject, count: int, more: int
) -> None:
    made = data.draw(st.lists(FIELD, min_size=count, max_size=count))
    end = data.draw(LINE_END)
    head = ANSWER + b"".join(field + end for field in made) + end
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=2**20)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(head)
    too_many = framing.has_too_many_fields(parser.next_event())
    assert too_many is (count > framing.MAX_FIELDS)
    received = head + b"line\n\n" * more
    assert framing.begins_with_too_many_lines(received) is too_many
    part = received[: data.draw(st.integers(0, len(head)))]
    assert too_many or not framing.begins_with_too_many_lines(part)
