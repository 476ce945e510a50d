"""Odd values in fields of requests, which spoil no request.

Guards against values that no client is expected to send: they are ignored, and
a request that has one is served.
"""

import asyncio

import pytest

from martenjunction.http1 import messages
from martenjunction.platform import headers
from martenjunction_lab import boxes
from tests import gateway_requests as requests
from tests import routing_builders as builders

TOKENS = "Martenjunction-Token-Counts"
PARTS = "Martenjunction-Prefix-Hash"
DIGITS = "9" * 400
# Python converts no more than 4,300 digits.
MANY_DIGITS = "9" * 5000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (TOKENS, DIGITS),
        (TOKENS, "500,-80"),
        (TOKENS, "1_000,80"),
        (PARTS, f"aa:{DIGITS}"),
        (PARTS, f"aa:{MANY_DIGITS}"),
    ],
)
async def test_request_with_odd_counts_is_served(
    fleet: boxes.Boxes, name: str, value: str
) -> None:
    for service in (builders.ENGINE, builders.PLAIN):
        await fleet.add_replica(service)
    await fleet.until_listed()
    for path in ("/chat/", "/safe/"):
        head, _ = await requests.ask(fleet, path, **{name: value})
        assert head.status == 200, path


def test_part_whose_length_is_no_ascii_number_is_ignored() -> None:
    fields = [(PARTS.encode(), b"aa:\xb2,bb:4")]
    parts = headers.decode_request(fields).parts
    assert [part.id for part in parts] == ["bb"]


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "1e400", "1_000"])
def test_deadline_that_is_no_plain_number_is_ignored(value: str) -> None:
    fields = [(b"Martenjunction-Deadline-Ms", value.encode())]
    assert headers.decode_request(fields).deadline_s is None


@pytest.mark.parametrize("value", ["-3,4,8", f"3,4,{DIGITS}", "3,4,\xb2"])
def test_odd_load_of_an_endpoint_is_ignored(value: str) -> None:
    fields = [(b"martenjunction-replica-load", value.encode("latin-1"))]
    assert headers.load_of(messages.ResponseHead(200, fields)) is None


@pytest.mark.parametrize(
    "named", ["close, Host", "martenjunction-attempt-id", "host, x-own"]
)
async def test_connection_header_takes_no_field_that_endpoints_need(
    fleet: boxes.Boxes, named: str
) -> None:
    made = await requests.two_plain(fleet)
    head, _ = await requests.ask(
        fleet, "/safe/", **{"Connection": named, "X-Own": "1"}
    )
    assert head.status == 200
    [got] = [r for stand_in in made for r in stand_in.received]
    assert got.headers.get("martenjunction-attempt-id") == "r1"
    assert got.headers.get("host")
    assert ("x-own" in got.headers) == ("x-own" not in named)


async def test_connect_is_refused(fleet: boxes.Boxes) -> None:
    made = await requests.two_plain(fleet)
    fields = requests.request_headers("r1").items()
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    host, _, port = fleet.addresses[0].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"CONNECT /safe/ HTTP/1.1\r\nHost: {builders.HOST}\r\n{lines}\r\n"
        "GET /safe/ HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    )
    async with asyncio.timeout(10.0):
        answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 501 ")
    assert b"connection: close" in answer.lower()
    assert answer.count(b"HTTP/1.1 ") == 1
    assert not [r for stand_in in made for r in stand_in.received]
