"""Endpoints and callers that send to a daemon without end.

Guards against what a daemon keeps of an event that never ends, or of a response
that does not, and against transfers that stay open behind their requests until
there are none left.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import time
from unittest import mock

import pytest

from martenjunction import errors
from martenjunction.cells import broker
from martenjunction.config import fleet as fleet_config
from martenjunction.decisions.cells import dispatch_types
from martenjunction.endpoints import client
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import event_stream
from martenjunction.endpoints import loads
from martenjunction.relay import relay
from martenjunction.relay import results
from martenjunction_lab import bench
from martenjunction_lab import fleets
from tests import caller_builders
from tests import endless_endpoints

fleet = caller_builders.fleet

MB = 1024 * 1024

# What the kernel and the client library may hold of a connection, in bytes.
SOCKET_BYTES = 16 * MB

# Seconds within which a request is over that is not sent or answered in full,
# and within which the requests of others are.
ENDED_S = 10.0
OTHERS_S = 1.0

# Bytes of an event that are received at once.
PART_BYTES = 64 * 1024

POST = (
    f"POST {caller_builders.CHAT} HTTP/1.1\r\nHost: x\r\n"
    f"Authorization: Bearer {fleets.FIELD_KEY}\r\n"
).encode()
CHUNKED = POST + endless_endpoints.CHUNKED + b"\r\n\r\n"

# What a caller sends first, and then again and again.
CALLERS = {
    "noise": (b"", b"\x00\xff"),
    "request-line": (b"GET /", b"x"),
    "header-line": (POST + b"X: ", b"x"),
    "headers": (POST, b"X: y\r\n"),
    "blank-lines": (b"", b"\r\n"),
    "one-extension": (CHUNKED + b"1;", b"x"),
    "extensions": (CHUNKED, b"1;" + b"e" * 40 + b"\r\nx\r\n"),
    "chunk-size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n"),
    "trailer-line": (CHUNKED + b"0\r\nX: ", b"x"),
    "chunks": (CHUNKED, endless_endpoints.LARGE_CHUNK),
    "length": (POST + b"Content-Length: 10000000000\r\n\r\n", bytes(1024)),
}

EVENT = endless_endpoints.chunk(b": x\n\n" * 100)


def refusal(status: bytes) -> endless_endpoints.Form:
    head = b"HTTP/1.1 " + status + b"\r\n" + endless_endpoints.CHUNKED
    return endless_endpoints.Form(
        lambda name: head + b"\r\n\r\n", endless_endpoints.LARGE_CHUNK
    )


# What an engine sends, and whether the caller asks for a stream.
ENGINES = {
    **{
        name: (endless_endpoints.FORMS[name], True)
        for name in ("status-line", "head", "interim", "noise", "trailers")
    },
    "one event": (endless_endpoints.STREAM_FORMS["line"], True),
    "no events": (endless_endpoints.FORMS["until-close"], True),
    "other": (endless_endpoints.FORMS["other-chunks"], True),
    "refusal": (refusal(b"503 Service Unavailable"), True),
    "error": (refusal(b"400 Bad Request"), False),
    "events, assembled": (
        endless_endpoints.Form(
            lambda name: endless_endpoints.sealed_head(
                name, endless_endpoints.CHUNKED
            ),
            EVENT,
        ),
        False,
    ),
}

Redirect = Callable[
    [endless_endpoints.Form, str], endless_endpoints.EndlessEndpoint
]


@pytest.fixture
def redirect(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Redirect]:
    """Sends the requests of a path to an endless endpoint."""
    started = []
    opened = client.EndpointClient.open

    def start(
        form: endless_endpoints.Form, path: str
    ) -> endless_endpoints.EndlessEndpoint:
        endpoint = endless_endpoints.EndlessEndpoint(form)
        started.append(endpoint)

        def open_there(
            http: client.EndpointClient, request: client.EndpointRequest
        ) -> object:
            if path in request.url:
                url = f"http://{endpoint.address}{path}"
                request = dataclasses.replace(request, url=url)
            return opened(http, request)

        monkeypatch.setattr(client.EndpointClient, "open", open_there)
        return endpoint

    yield start
    for endpoint in started:
        endpoint.stop()


async def until_closed(endpoint: endless_endpoints.EndlessEndpoint) -> None:
    async with asyncio.timeout(ENDED_S):
        while endpoint.sending:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("form", ENGINES)
async def test_endless_answer_of_an_engine_is_ended(
    fleet: bench.Bench, redirect: Redirect, form: str
) -> None:
    sent, stream = ENGINES[form]
    endpoint = redirect(sent, engine_protocol.CHAT_PATH)
    caller = caller_builders.Caller(fleet.addresses[0])
    await caller.connect()
    body = caller_builders.chat(8, stream=stream)
    caller.send(
        caller_builders.request(
            caller_builders.CHAT, body, {"Connection": "close"}
        )
    )
    async with asyncio.timeout(ENDED_S):
        while not endpoint.requests:
            await asyncio.sleep(0.01)
        [other] = await caller_builders.connect_callers(fleet, 1)
        began_at = time.monotonic()
        other.send(caller_builders.request(caller_builders.PLAIN_CALL))
        assert " 200 " in await other.read_head()
        assert time.monotonic() - began_at < OTHERS_S
        answer = await caller.read_remaining()
    assert b" 502 " in answer or b"event: error" in answer, answer[:300]
    await until_closed(endpoint)


@pytest.mark.parametrize("form", CALLERS)
async def test_endless_request_of_a_caller_is_ended(
    fleet: bench.Bench, form: str
) -> None:
    caller = endless_endpoints.EndlessCaller(fleet.addresses[0], *CALLERS[form])
    [other] = await caller_builders.connect_callers(fleet, 1)
    async with asyncio.timeout(OTHERS_S):
        other.send(caller_builders.request(caller_builders.PLAIN_CALL))
        assert " 200 " in await other.read_head()
    async with asyncio.timeout(ENDED_S):
        while not caller.ended.is_set():
            await asyncio.sleep(0.01)
    caller.stop()
    limit = fleet.daemons[0].settings.body_limit
    assert caller.sent <= limit + SOCKET_BYTES


async def test_transfers_whose_responses_nobody_reads_are_closed(
    redirect: Redirect,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client, "NOTICE_TIMEOUT_S", 0.2)
    endpoint = redirect(endless_endpoints.FORMS["chunks"], "/notice")
    http = client.EndpointClient(1)
    http.notify(client.EndpointRequest("DELETE", "http://a/notice", []))
    await asyncio.sleep(0.1)
    assert endpoint.sending == 1
    await until_closed(endpoint)
    http.close()


# The second report has no end before its body.
@pytest.mark.parametrize("form", ["chunks", "one-extension"])
async def test_endless_report_of_a_load_is_given_up(
    redirect: Redirect,
    monkeypatch: pytest.MonkeyPatch,
    form: str,
) -> None:
    monkeypatch.setattr(loads, "POLL_TIMEOUT_S", 0.2)
    forms = {
        **endless_endpoints.FORMS,
        "one-extension": endless_endpoints.Form(
            lambda name: (
                endless_endpoints.sealed_head(name, endless_endpoints.CHUNKED)
                + b"1;"
            ),
            b"x",
        ),
    }
    endpoint = redirect(forms[form], engine_protocol.LOAD_PATH)
    http = client.EndpointClient(1)
    poller = loads.LoadPoller(
        http, None, list, lambda name, load: None, lambda name: None
    )
    named = type("Named", (), {"name": "e", "address": "a"})
    await poller._poll(named)
    await until_closed(endpoint)
    assert endpoint.requests == 1
    http.close()


def test_event_without_end_is_an_error() -> None:
    delivered = engine_protocol.Delivered()
    parts = event_stream.MAX_EVENT_BYTES // PART_BYTES
    for _ in range(parts):
        assert not delivered.feed(bytes(PART_BYTES))
    with pytest.raises(errors.EndpointBrokenError):
        delivered.feed(bytes(PART_BYTES))


def test_response_is_passed_on_although_it_is_too_long_to_be_kept() -> None:
    delivered = engine_protocol.Delivered()
    number = 0
    while delivered.is_kept:
        number += 1
        event = b"id: %d\ndata: %b\n\n" % (number, bytes(MB // 2))
        assert delivered.feed(event) == event
        assert number <= 2 * engine_protocol.MAX_KEPT_BYTES // MB
    assert delivered.tokens == number
    assert not delivered.text()


@pytest.mark.parametrize(
    ("kept_bytes", "code"),
    [(100, None), (10, results.FailureCode.ENDPOINT_FAILED)],
)
def test_preempted_run_goes_on_elsewhere_if_its_response_is_kept(
    monkeypatch: pytest.MonkeyPatch,
    kept_bytes: int,
    code: results.FailureCode | None,
) -> None:
    monkeypatch.setattr(engine_protocol, "MAX_KEPT_BYTES", kept_bytes)
    request = mock.Mock(chat={}, arrived=0.0)
    request.service.kind = fleet_config.ServiceKind.ENGINE
    context = mock.Mock()
    context.clock.now.return_value = 1.0
    made = relay.Relay(request, mock.Mock(), context)
    made.conversation.delivered.feed(b"id: 1\ndata: x\n\n")
    made.stop(broker.StopReason.PREEMPTED)
    result = made._evaluate_run(dispatch_types.Ending.PREEMPTED)
    assert (None if result is None else result.code) is code
