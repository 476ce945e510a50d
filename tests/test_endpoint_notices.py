"""Tests the decoding of notices in the responses of endpoints."""

import pytest

from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import routing_builders as builders


def notice(
    status: int, endpoint: str = "e1", **named: str
) -> notices.EndpointNotice:
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in named.items()
    ]
    return notices.notice_of(messages.ResponseHead(status, pairs), endpoint)


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_any_answer_tells_that_its_endpoint_leaves(status: int) -> None:
    assert notice(status, Server_Leaving="1").leaves


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize(
    ("value", "rest_s"),
    [("3", 3.0), ("0.25", 0.25), (" 2 ", 2.0), ("3600", 3600.0), ("0", 0.0)],
)
def test_rest_is_a_number_of_seconds(
    status: int, value: str, rest_s: float
) -> None:
    told = notice(status, Retry_After=value)
    assert told == notices.EndpointNotice(rest_s=rest_s)


@pytest.mark.parametrize(
    "value",
    ["-1", "nan", "inf", "1e9", "soon", "1_0", "0x3", "3,5"]
    + ["Wed, 21 Oct 2026 07:28:00 GMT", "9" * 40],
)
def test_rest_that_is_no_number_is_told_as_unreadable(value: str) -> None:
    told = notice(503, Retry_After=value)
    assert (told.rest_s, told.unreadable) == (0.0, value[:64])


def test_answers_that_turn_nothing_away_ask_for_no_rest() -> None:
    assert notice(200, Retry_After="3") == notices.NOTHING
    assert notice(500, Retry_After="3") == notices.NOTHING


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
@pytest.mark.parametrize(
    ("value", "per_s"), [("2.1", 2.1), (" 1 ", 1.0), ("0", 0.0), ("0.25", 0.25)]
)
def test_any_answer_names_a_limit_in_requests_a_second(
    status: int, value: str, per_s: float
) -> None:
    assert notice(status, Server_Limit=value).limit_per_s == per_s


@pytest.mark.parametrize(
    "value", ["-1", "+2", "nan", "inf", "1e9", "two", "", "2, 1", "9" * 40]
)
def test_limit_that_is_no_number_is_told_as_unreadable(value: str) -> None:
    told = notice(200, Server_Limit=value)
    assert told.limit_per_s is None
    assert told.unreadable == value[:64]


def test_of_several_limits_the_least_one_holds() -> None:
    pairs = [(b"Server-Limit", v) for v in (b"3", b"1.5", b"many")]
    told = notices.notice_of(messages.ResponseHead(200, pairs), "e1")
    assert told == notices.EndpointNotice(limit_per_s=1.5, unreadable="many")


@pytest.mark.parametrize("value", ["0", "", "yes"])
def test_other_values_do_not_say_that_it_leaves(value: str) -> None:
    assert not notice(200, Server_Leaving=value).leaves


def test_answer_of_another_endpoint_says_nothing_of_this_one() -> None:
    named = {"Server_Leaving": "1", "Retry_After": "3"}
    assert notice(421, **named) == notices.NOTHING
    other = {"Martenjunction_Replica_Id": "e2", **named}
    assert notice(503, **other) == notices.NOTHING
    own = {"Martenjunction_Replica_Id": "e1", **named}
    assert notice(503, **own) == notices.EndpointNotice(True, 3.0)


class Named(replica.Replica):
    """A replica that sends an id with all its responses."""

    named = "i-1"

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {"Martenjunction-Replica-Id": self.named}


async def test_health_of_another_endpoint_at_its_address_is_not_its_own(
    fleet: boxes.Boxes,
) -> None:
    # Guards against reinstating an ejected endpoint because an endpoint of
    # another service, which has taken over its address, is healthy.
    made = Named("i-1")
    await made.start()
    fleet.replicas.append(made)
    fleet.record(made, builders.PLAIN)
    await fleet.until_listed()
    box = fleet.gateways[0]
    endpoint = box.listed.entries["i-1"].endpoint
    assert await box.prober._ask(endpoint, "/healthz")
    made.named = "i-2"
    assert not await box.prober._ask(endpoint, "/healthz")
