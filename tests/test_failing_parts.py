"""Unexpected errors in the parts that all requests of a box share.

Guards against requests that end without an answer because of an error in a part
that another request, or a change, has broken.
"""

import asyncio
import operator
from typing import Any

import pytest

from martenjunction import errors
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests
from tests import whole_answers

Behaviour = replica.Behaviour

# Parts of a box and their methods, called before a request is sent, with its
# answer, and after an endpoint broke off.
BEFORE = (
    ("admitter", "admit"),
    ("admitter", "still_allowed"),
    ("answers", "holder"),
    ("budget", "record_request"),
    ("connector", "open"),
    ("grants", "acquire"),
    ("pool", "acquire"),
    ("quarantine", "is_valid"),
    ("quarantine", "permit"),
    ("registry.runs", "begin"),
    ("registry.selector", "choose"),
)
WITH_ANSWER = (
    ("answers", "begin"),
    ("answers", "end"),
    ("answers", "resize"),
    ("bodies", "release"),
    ("duties", "record_run"),
    ("grants", "release"),
    ("metrics", "count"),
    ("pool", "release"),
    ("quarantine", "record_answer"),
    ("registry.runs", "end"),
    ("registry.runs", "note_response"),
)
AFTER_BREAK = (
    ("liveness", "check"),
    ("quarantine", "note_unconfirmed_end"),
    ("registry.health", "note_broken_response"),
)
CASES = [
    *((Behaviour.SERVE, case) for case in (*BEFORE, *WITH_ANSWER)),
    *((Behaviour.RESET, case) for case in AFTER_BREAK),
]


# Further statuses of requests whose part was cancelled: not run, and unknown.
CANCELLED = {asyncio.CancelledError: (503, 504)}


@pytest.mark.parametrize(
    "error",
    [
        RuntimeError("injected"),
        errors.ConnectionLostError("injected"),
        asyncio.CancelledError("injected"),
    ],
    ids=["unexpected", "connection-lost", "cancelled"],
)
@pytest.mark.parametrize("kind", ["unsafe", "chat"])
@pytest.mark.parametrize(("behaviour", "case"), CASES)
async def test_request_is_answered_though_a_part_fails(
    fleet: boxes.Boxes,
    monkeypatch: pytest.MonkeyPatch,
    behaviour: Behaviour,
    case: tuple[str, str],
    kind: str,
    error: BaseException,
) -> None:
    made = await gateway_requests.two_plain(fleet)
    made += await gateway_requests.engines(fleet)
    for stand_in in made:
        stand_in.always(behaviour)
    client = whole_answers.Client(fleet.addresses[0])
    await client.open()
    part, method = case
    calls = 0

    def fail(*_: Any, **__: Any) -> Any:
        nonlocal calls
        calls += 1
        raise error

    with monkeypatch.context() as patch:
        patch.setattr(
            type(operator.attrgetter(part)(fleet.gateways[0])), method, fail
        )
        await client.send("r1", f"/{kind}/a", b"hello")
        answer = await client.receive()
        await boxes.until(lambda: not fleet.gateways[0].held.exchanges)
    client.close()
    assert calls
    assert answer.status in (200, 502, *CANCELLED.get(type(error), ()))
    if answer.status == 503:
        assert gateway_requests.arrivals(made) == 0
    # A stream that was begun can only break off.
    assert answer.whole or (kind, answer.status) == ("chat", 200)
    if answer.status == 200 and answer.whole:
        assert gateway_requests.arrivals(made) == 1
