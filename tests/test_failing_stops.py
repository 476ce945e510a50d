"""Unexpected errors within a planned stop.

Guards against requests that end without an answer as the platform kills a box
whose stop has failed: nothing ends the requests that are under way, the process
goes on, and its log has no line of the error.
"""

import contextlib
import operator
from typing import NoReturn

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import keep_alive_connections
from tests import routing_builders as builders

STOP_S = 1.4

REQUEST = requests.raw_request("r1", "/unsafe/x")


@pytest.mark.parametrize("step", ["sync.announce_leaving", "usage.write"])
async def test_requests_get_a_final_answer_though_a_step_of_a_stop_fails(
    monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=0)
    box = await fleet.add_box("box-1", stop_s=STOP_S)
    made = await requests.two_plain(fleet)
    for stand_in in made:
        stand_in.always(replica.Behaviour.HANG)
    connection = keep_alive_connections.KeptConnection()
    await connection.connect(fleet.addresses[0])
    connection.send(REQUEST)
    await boxes.until(lambda: requests.arrivals(made) == 1)

    def fail() -> NoReturn:
        raise RuntimeError("injected")

    part, _, method = step.rpartition(".")
    with monkeypatch.context() as patch:
        patch.setattr(operator.attrgetter(part)(box), method, fail)
        with contextlib.suppress(RuntimeError):
            await box.leave()
    under_way = len(box.held)
    await fleet.stop()
    answer = await connection.answer()
    connection.close()
    assert under_way == 0
    assert answer[9:12] == b"504"
