"""Invalid requests, slow readers, disconnects and the caller interface."""

import asyncio
from collections.abc import AsyncIterator
import json
import socket
from typing import Any

import pytest

from martenjunction import errors
from martenjunction import http_headers
from martenjunction import listeners
from martenjunction.endpoints import client
from martenjunction.endpoints import streams
from martenjunction_lab import answers
from martenjunction_lab import bench
from martenjunction_lab import engine
from martenjunction_lab import fleets
from martenjunction_lab import standins

CHAT = "/v1/chat/completions"

# Bytes of the socket buffers between the daemon and a caller.
SOCKET_BYTES = 32 * 1024

# The largest chunk of a body that libcurl delivers at once.
CURL_CHUNK_BYTES = 16 * 1024


@pytest.fixture
async def fleet() -> AsyncIterator[bench.Bench]:
    outside = standins.Outside(
        [fleets.CELLARLINE_FILE],
        [standins.EngineGroup("vintage-lm", "perth-a", 2, fleets.NEW)],
        [standins.PlainGroup("weighbridge-app", "perth-a", 1)],
    )
    made = bench.Bench(bench.BenchSpec(outside, ["perth-a"]))
    await made.start()
    yield made
    await made.stop()


def question(tokens: int = 20, stream: bool = True) -> dict[str, Any]:
    return {
        "model": "vintage-lm",
        "stream": stream,
        "messages": [{"role": "user", "content": f"ripe? {tokens}"}],
        "answer_tokens": tokens,
    }


async def send(
    http: client.EndpointClient,
    fleet: bench.Bench,
    method: str = "POST",
    path: str = CHAT,
    body: bytes | None = b"{}",
    key: str | None = fleets.FIELD_KEY,
) -> tuple[streams.ResponseHead, bytes]:
    headers = [("Authorization", f"Bearer {key}")] if key else []
    url = f"http://{fleet.addresses[0]}{path}"
    stream = http.open(client.EndpointRequest(method, url, headers, body))
    parts = []
    async with asyncio.timeout(30.0):
        head = await stream.head()
        while part := await stream.read():
            parts.append(part)
    return head, b"".join(parts)


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"key": None}, 401, "no-key"),
        ({"key": "guess"}, 401, "wrong-key"),
        ({"body": b"{"}, 400, "bad-request"),
        ({"body": b"[" * 100_000}, 400, "bad-request"),
        ({"body": b'{"model": 7, "messages": []}'}, 400, "bad-request"),
        (
            {"body": b'{"model": "other", "messages": []}'},
            404,
            "unknown-model",
        ),
        ({"path": "/v1/services/none/x"}, 404, "unknown-service"),
        ({"path": "/v2/none"}, 404, "not-found"),
        ({"method": "GET", "body": None}, 405, "method-not-allowed"),
    ],
)
async def test_invalid_requests_are_rejected_and_not_run(
    fleet: bench.Bench,
    http: client.EndpointClient,
    changes: dict[str, Any],
    status: int,
    code: str,
) -> None:
    head, body = await send(http, fleet, **changes)
    error = json.loads(body)["error"]
    assert (head.status, error["code"]) == (status, code)
    assert error["outcome"] == "not-run"
    assert head.get(http_headers.OUTCOME) == "not-run"


async def test_body_over_the_limit_is_refused_before_it_is_read(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    limit = fleet.daemons[0].settings.body_limit
    body = b"x" * (limit + 1)
    try:
        head, _ = await send(http, fleet, body=body)
    except errors.EndpointBrokenError:
        return  # The daemon closed while the caller was still sending.
    assert head.status == 413


async def test_oversized_headers_are_rejected(fleet: bench.Bench) -> None:
    host, _, port = fleet.addresses[0].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"POST /v1/chat/completions HTTP/1.1\r\n")
    try:
        for number in range(20_000):
            writer.write(b"X-Header-%d: aaaaaaaaaaaaaaaa\r\n" % number)
            await writer.drain()
        data = await reader.read(100)
    except ConnectionError:
        data = b""
    assert not data.startswith(b"HTTP/1.1 200")
    writer.close()


async def test_buffered_response(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    body = question(stream=False)
    head, data = await send(http, fleet, body=json.dumps(body).encode())
    answer = json.loads(data)
    assert head.status == 200
    text = answer["choices"][0]["message"]["content"]
    assert answers.check(text, body).whole
    assert answer["usage"] == {"completion_tokens": 20}


async def test_disconnect_cancels_the_run(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    url = f"http://{fleet.addresses[0]}{CHAT}"
    headers = [("Authorization", f"Bearer {fleets.FIELD_KEY}")]
    body = json.dumps(question(2000)).encode()
    stream = http.open(client.EndpointRequest("POST", url, headers, body))
    await stream.head()
    http.cancel(stream)
    async with asyncio.timeout(3.0):
        while any(e.load[0] for e in fleet.outside.engines.values()):
            await asyncio.sleep(0.02)
    assert not fleet.daemons[0].callers.relays


async def test_buffer_for_a_caller_that_never_reads_is_bounded(
    fleet: bench.Bench,
) -> None:
    for stand_in in fleet.outside.engines.values():
        stand_in.speed = engine.EngineSpeed(step_s=0.0001)
    # The kernel may grow socket buffers to many megabytes: fix their size.
    for listening in fleet.daemons[0].listening_sockets():
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
    host, _, port = fleet.addresses[0].partition(":")
    own = socket.socket()
    own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    own.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(own, (host, int(port)))
    body = json.dumps(question(60_000)).encode()
    await loop.sock_sendall(
        own,
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        + f"Authorization: Bearer {fleets.FIELD_KEY}\r\n".encode()
        + f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body,
    )
    relays = fleet.daemons[0].callers.relays
    async with asyncio.timeout(30.0):
        seen = [0]
        # The daemon has stopped reading once 40 samples in a row, between
        # which the event loop runs, have the same count.
        while seen[-1] == 0 or len(seen) < 40 or len(set(seen[-40:])) > 1:
            await asyncio.sleep(0.05)
            held = list(relays.values())
            seen.append(held[0].conversation.tokens if held else 0)
    assert len(relays) == 1
    assert 0 < seen[-1] < 60_000
    held_bytes = next(iter(relays.values())).buffered
    assert held_bytes <= streams.MAX_BUFFERED_BYTES + CURL_CHUNK_BYTES
    own.close()


async def test_hop_by_hop_headers_are_not_forwarded(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    head, data = await send(
        http,
        fleet,
        path="/v1/services/weighbridge-app/tags?lot=7",
        body=b"lot 7",
    )
    answer = json.loads(data)
    assert head.status == 200
    assert answer["path"] == "/tags"
    assert answer["body"] == "lot 7"
    # The daemon's own, for the caller's connection.
    told = [value for name, value in head.headers if name == "Keep-Alive"]
    assert told == [f"timeout={int(listeners.IDLE_CONNECTION) - 1}"]


async def test_entry_names_this_box(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    _, data = await send(http, fleet, "GET", "/v1/entry", None)
    answer = json.loads(data)
    named = [row["address"] for row in answer["addresses"]]
    assert named == fleet.addresses
    assert answer["ttl_s"] > 0


async def test_models_are_listed(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    _, data = await send(http, fleet, "GET", "/v1/models", None)
    assert [row["id"] for row in json.loads(data)["data"]] == ["vintage-lm"]


async def test_dump_requires_the_key_and_contains_no_secret(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    address = fleet.daemons[0].settings.operators
    url = f"http://{address}/operator/dump"
    stream = http.open(client.EndpointRequest("GET", url, []))
    assert (await stream.head()).status == 401
    text = json.dumps(fleet.daemons[0].dump(), default=str)
    for secret in (bench.OPERATOR_KEY, bench.PEER_KEY, fleets.FIELD_KEY):
        assert secret not in text


async def test_metrics_are_in_the_prometheus_format(
    fleet: bench.Bench, http: client.EndpointClient
) -> None:
    await send(http, fleet, body=json.dumps(question()).encode())
    text = fleet.daemons[0].metrics_text().decode()
    assert (
        'martenjunction_requests_total{outcome="done",'
        'service_class="field-question"} 1.0'
    ) in text
    assert "martenjunction_first_token_count" in text
