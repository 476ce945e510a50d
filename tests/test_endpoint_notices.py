"""Tests the decoding of notices in the responses of endpoints."""

import pytest

from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import routing_builders as builders


def notice(
    status: int, endpoint: str = "e1", **fields: str
) -> notices.EndpointNotice:
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in fields.items()
    ]
    return notices.notice_of(messages.ResponseHead(status, pairs), endpoint)


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_any_response_may_report_leaving(status: int) -> None:
    assert notice(status, Server_Leaving="1").is_leaving


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize(
    ("value", "rest_s"),
    [("3", 3.0), ("0.25", 0.25), (" 2 ", 2.0), ("3600", 3600.0), ("0", 0.0)],
)
def test_backoff_is_a_number_of_seconds(
    status: int, value: str, rest_s: float
) -> None:
    decoded = notice(status, Retry_After=value)
    assert decoded == notices.EndpointNotice(backoff_s=rest_s)


@pytest.mark.parametrize(
    "value",
    ["-1", "nan", "inf", "1e9", "soon", "1_0", "0x3", "3,5"]
    + ["Wed, 21 Oct 2026 07:28:00 GMT", "9" * 40],
)
def test_malformed_backoff_is_reported(value: str) -> None:
    decoded = notice(503, Retry_After=value)
    assert (decoded.backoff_s, decoded.unreadable) == (0.0, value[:64])


def test_backoff_applies_only_to_rejections() -> None:
    assert notice(200, Retry_After="3") == notices.NO_NOTICE
    assert notice(500, Retry_After="3") == notices.NO_NOTICE


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
@pytest.mark.parametrize(
    ("value", "per_s"), [("2.1", 2.1), (" 1 ", 1.0), ("0", 0.0), ("0.25", 0.25)]
)
def test_any_response_may_set_a_rate_limit(
    status: int, value: str, per_s: float
) -> None:
    assert notice(status, Server_Limit=value).limit_per_s == per_s


@pytest.mark.parametrize(
    "value", ["-1", "+2", "nan", "inf", "1e9", "two", "", "2, 1", "9" * 40]
)
def test_malformed_limit_is_reported(value: str) -> None:
    decoded = notice(200, Server_Limit=value)
    assert decoded.limit_per_s is None
    assert decoded.unreadable == value[:64]


def test_lowest_of_several_limits_applies() -> None:
    pairs = [(b"Server-Limit", v) for v in (b"3", b"1.5", b"many")]
    decoded = notices.notice_of(messages.ResponseHead(200, pairs), "e1")
    assert decoded == notices.EndpointNotice(limit_per_s=1.5, unreadable="many")


@pytest.mark.parametrize("value", ["0", "", "yes"])
def test_other_values_do_not_report_leaving(value: str) -> None:
    assert not notice(200, Server_Leaving=value).is_leaving


def test_response_of_another_endpoint_has_no_notices() -> None:
    fields = {"Server_Leaving": "1", "Retry_After": "3"}
    assert notice(421, **fields) == notices.NO_NOTICE
    other = {"Martenjunction_Replica_Id": "e2", **fields}
    assert notice(503, **other) == notices.NO_NOTICE
    own = {"Martenjunction_Replica_Id": "e1", **fields}
    assert notice(503, **own) == notices.EndpointNotice(True, 3.0)


class ReplicaWithId(replica.Replica):
    """A replica that sends an id with all its responses."""

    replica_id = "i-1"

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {"Martenjunction-Replica-Id": self.replica_id}


async def test_health_check_rejects_another_endpoint_at_the_address(
    fleet: boxes.Boxes,
) -> None:
    # Guards against reinstating an ejected endpoint because an endpoint of
    # another service, which has taken over its address, is healthy.
    server = ReplicaWithId("i-1")
    await server.start()
    fleet.replicas.append(server)
    fleet.record(server, builders.PLAIN)
    await fleet.until_listed()
    box = fleet.gateways[0]
    endpoint = box.endpoint_list.entries["i-1"].endpoint
    assert await box.prober._ask(endpoint, "/healthz")
    server.replica_id = "i-2"
    assert not await box.prober._ask(endpoint, "/healthz")
