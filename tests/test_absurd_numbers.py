"""Numbers that are valid and absurd change nothing for other endpoints.

Of five endpoints, one that named 10^18 slots lowered the mean of the service,
by which endpoints are reserved for short prompts: 1 in place of 2. One that
named 10^400 ended each such request with OverflowError, and requests to plain
endpoints got 502.
"""

import random

import pydantic
import pytest

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.endpoints import loads
from martenjunction.platform import documents
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import odd_entries
from tests import routing_builders as builders
from tests import test_entries

SLOTS = [10**18, 10**30, 10**400]


def slots_named(slots: int) -> int:
    """Returns the slots of an endpoint whose entry names some."""
    return documents.decode_endpoint(
        "i-1", test_entries.spec(slots=slots)
    ).slots


def busy_records(slots: int) -> list[endpoint_records.EndpointRecord]:
    """Returns five endpoints, the last with some slots; 40 streams run."""
    records = [builders.record(f"e{n}") for n in range(4)]
    for _ in range(40):
        records[0].loads.add(builders.demand().load_key, 1, 0)
    return [*records, builders.record("e4", slots=slots)]


@pytest.mark.parametrize("slots", SLOTS, ids=["18", "30", "400"])
def test_slots_of_one_endpoint_change_no_reservation(slots: int) -> None:
    demand = builders.demand()
    usual = endpoint_choice.reserved_for_short(busy_records(64), demand, 10.0)
    odd = busy_records(slots_named(slots))
    assert endpoint_choice.reserved_for_short(odd, demand, 10.0) == usual
    rng = random.Random(1)
    assert endpoint_choice.choose(odd, demand, 10.0, rng) is not None


@pytest.mark.parametrize("slots", SLOTS, ids=["18", "30", "400"])
async def test_requests_are_served_beside_absurd_slots(
    fleet: boxes.Boxes, slots: int
) -> None:
    made = await requests.two_plain(fleet)
    [box] = fleet.gateways
    absurd = made[0].id
    kept = fleet.store.find(documents.ENDPOINT_KIND, absurd)
    assert kept is not None
    spec = {**kept.spec, "slots": odd_entries.number(slots)}
    fleet.store.write(documents.ENDPOINT_KIND, absurd, spec)
    await boxes.until(
        lambda: (
            box.endpoint_list.entries[absurd].endpoint.slots
            == documents.MAX_SLOTS
        )
    )
    for number in range(8):
        head, _ = await requests.ask(fleet, "/safe/", f"r{number}")
        assert head.status == 200


@pytest.mark.parametrize(
    "report",
    [
        '{"running":%s}' % 10**18,
        '{"running":-1}',
        '{"running":1,"waiting":%s}' % 10**400,
        '{"running":1,"age_ms":1e300}',
        '{"running":1,"age_ms":NaN}',
        '{"running":1,"age_ms":-1}',
        "[" * 4096,
    ],
    ids=["many", "negative", "400 digits", "old", "NaN", "future", "deep"],
)
def test_load_report_out_of_range_is_refused(report: str) -> None:
    with pytest.raises(pydantic.ValidationError):
        loads._ADAPTER.validate_json(report)
