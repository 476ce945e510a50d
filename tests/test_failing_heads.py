"""Unexpected errors as the head of a response is sent.

Guards against a request that was passed on and gets no answer, although no byte
of one was sent: a response counts as begun before its head is written, and is
then not replaced by another one.
"""

from typing import Any

import pytest

from martenjunction.http1 import response_writer
from martenjunction.http1 import streams
from martenjunction_lab import boxes
from tests import gateway_requests
from tests import whole_answers

PLACES = [
    (streams, "limit_unread"),
    (response_writer.ResponseWriter, "write_event"),
]


@pytest.mark.parametrize(
    ("part", "function"), PLACES, ids=[name for _, name in PLACES]
)
async def test_request_is_answered_though_its_first_head_fails(
    fleet: boxes.Boxes,
    monkeypatch: pytest.MonkeyPatch,
    part: object,
    function: str,
) -> None:
    made = await gateway_requests.two_plain(fleet)
    client = whole_answers.Client(fleet.addresses[0])
    await client.open()
    call = getattr(part, function)
    injected = [OSError("injected")]

    def fail_once(*arguments: Any) -> Any:
        if injected:
            raise injected.pop()
        return call(*arguments)

    monkeypatch.setattr(part, function, fail_once)
    await client.send("r1", "/unsafe/a", b"hello")
    answer = await client.receive()
    client.close()
    assert not injected
    assert gateway_requests.arrivals(made) == 1
    assert (answer.status, answer.whole) == (502, True)
