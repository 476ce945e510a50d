"""Framing that outweighs its data is found before it is parsed.

A body of chunks of one byte was parsed in 64 turns of the event loop until its
framing outweighed its data. Beside load, its time limit came first.
"""

from unittest import mock

import h11
import hypothesis
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.http1 import framing
from tests import raw_peers
from tests import test_fair_turns as turns

# Turns of the event loop in which the first bytes arrive and are looked at.
MAX_TURNS = 8

BODY = turns.chunks(1, 100_000)


async def test_answer_of_tiny_chunks_takes_few_turns(
    peer: raw_peers.RawPeer,
) -> None:
    async with turns.asking(peer, turns.ANSWER + b"\r\n" + BODY) as connection:
        await connection.read_head()
        with pytest.raises(errors.ExcessFramingError):
            await turns.read_all(connection)
    assert fair_turns.current_queue().waits <= MAX_TURNS


async def test_request_of_tiny_chunks_takes_few_turns() -> None:
    data = turns.HEAD + b"\r\n" + BODY
    async with turns.serving() as (address, _):
        await turns.answers_to(address, data, lambda a: b"\r\n\r\n" in a)
    assert fair_turns.current_queue().waits <= MAX_TURNS


PIECES = st.tuples(
    st.sampled_from(
        [b"1", b"2", b"3", b"4", b"5", b"04", b"1;a=b", b"a", b"F"]
    ),
    st.sampled_from([b"x", b"\n", b"1\r\nx\r\n", b"0\r\n\r\n"]),
    st.integers(1, 8),
)


def is_excessive(sent: bytes, cuts: list[int], scans: bool) -> bool:
    """Returns whether the framing of a body ever outweighs its data."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(turns.ANSWER + b"\r\n")
    parser.next_event()
    body = framing.ChunkedBody(0)
    cuts = list(cuts)
    while not body.is_excessive(parsed=False):
        unparsed = parser.trailing_data[0]
        if scans:
            body.scan(unparsed)
        assert not body.has_too_many_lines(unparsed)
        event = parser.next_event()
        if isinstance(event, h11.Data):
            body.note_data(len(event.data), event.chunk_end)
        elif isinstance(event, h11.EndOfMessage):
            return False
        else:
            size = cuts.pop() if cuts else len(sent)
            body.note_received(len(sent[:size]))
            parser.receive_data(sent[:size])
            sent = sent[size:]
    return True


# Guards against a scan that ends a body whose parts would have been accepted,
# and against one that finds nothing wherever the reads end.
@hypothesis.given(
    st.lists(PIECES, max_size=8), st.lists(st.integers(1, 40), max_size=40)
)
def test_scan_decides_as_the_parsed_parts_do(
    pieces: list[tuple[bytes, bytes, int]], cuts: list[int]
) -> None:
    sent = b""
    for line, data, count in pieces:
        size = int(line.split(b";")[0], 16)
        sent += b"%b\r\n%b\r\n" % (line, (data * size)[:size]) * count
    sent += turns.LAST_CHUNK
    with mock.patch.object(framing, "MAX_EXCESS_BYTES", 24):
        expected = is_excessive(sent, cuts, scans=False)
        assert is_excessive(sent, cuts, scans=True) is expected
