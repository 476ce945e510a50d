"""Events of endpoints that cannot be read.

An event of an engine that is nested too deep, or no object, was not taken for a
broken response: the request ended with an error of the daemon itself.
"""

import pytest

from martenjunction import errors
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import event_stream
from tests import odd_entries

ODD_EVENTS = {
    **{odd: odd_entries.CONTENT[odd] for odd in ["deep alone", "deep objects"]},
    "a list": b"[1]",
    "a number": b"1e400",
}


@pytest.mark.parametrize("odd", ODD_EVENTS)
def test_event_of_an_engine_that_cannot_be_read_breaks_its_response(
    odd: str,
) -> None:
    delivered = engine_protocol.Delivered()
    delivered.feed(b"data: %s\n\n" % ODD_EVENTS[odd])
    with pytest.raises(errors.EndpointBrokenError):
        engine_protocol.assemble(delivered)


@pytest.mark.parametrize(
    "choices", [b"5", b"[]", b"[5]", b'[{"delta":7}]', b'{"delta":7}']
)
def test_chunk_with_odd_choices_has_no_text(choices: bytes) -> None:
    delivered = engine_protocol.Delivered()
    delivered.feed(b'data: {"choices":%s}\n\n' % choices)
    answer = engine_protocol.assemble(delivered)
    assert answer["choices"][0]["message"]["content"] == ""


@pytest.mark.parametrize("piece", [1000, 64 * 1024])
def test_event_without_an_end_breaks_its_stream(piece: int) -> None:
    splitter = event_stream.EventSplitter()
    for _ in range(event_stream.MAX_EVENT_BYTES // piece):
        assert splitter.feed(b"x" * piece) == []
    with pytest.raises(errors.EndpointBrokenError):
        splitter.feed(b"x" * piece)
