"""Answers without an id that come a second time, where the next one is due.

Guards against taking a late rejection for the answer to the next request on the
connection, which runs: its client was told that it did not run, or another
endpoint ran it as well.
"""

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import late_answers
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

ENDPOINT = "i-1"


@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
@pytest.mark.parametrize("share", [0.1, 1.0])
async def test_late_second_rejection_answers_no_other_request(
    path: str, share: float
) -> None:
    trial = late_answers.Trial(path=path, share=share, seconds=3.0)
    fleet = late_answers.LateFleet(trial)
    outcome = await fleet.run(builders.relaxed_config_document())
    assert outcome.rejections and outcome.doubled
    assert not outcome.refused_and_ran
    assert not outcome.twice


class NamingReplica(late_answers.LateReplica):
    """A replica whose rejections name their requests."""

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        if status != 503:
            return {}
        return {"Martenjunction-Attempt-Id": request.id}


@pytest.mark.parametrize(
    ("kind", "opened"), [(late_answers.LateReplica, 4), (NamingReplica, 1)]
)
async def test_only_answers_without_an_id_cost_a_connection(
    kind: type[late_answers.LateReplica], opened: int
) -> None:
    fleet = late_answers.LateFleet(
        late_answers.Trial(slots=1, queue=-1, replicas=1)
    )
    one = kind(ENDPOINT, fleet)
    config = builders.relaxed_config_document()
    await fleet.start(config, 1, {builders.PLAIN: [one]})
    try:
        for number in range(4):
            head, _ = await requests.ask(fleet.boxes, "/unsafe/x", f"r{number}")
            assert head.status == 503
        assert fleet.boxes.gateways[0].pool.total_opened == opened
    finally:
        await fleet.stop()


async def test_health_check_shares_no_connection_with_requests(
    fleet: boxes.Boxes,
) -> None:
    # A late answer to a request was taken for that of a health check, and a
    # late answer to a health check for that of the next request.
    made = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    [box] = fleet.gateways
    head, _ = await requests.ask(fleet, "/unsafe/x")
    assert head.status == 200
    [listed] = box.endpoint_list.ready(builders.PLAIN)
    assert await box.prober._ask(listed, "/healthz")
    assert (await requests.ask(fleet, "/unsafe/x", "r2"))[0].status == 200
    assert made.connections == 2
