"""Endpoints that answer without end.

Whatever they send, as fast as the socket takes it: the client has its answer
within its deadline, and the endpoint gets no further work for a while.

Guards against reading a response to another request without a bound, and
against keeping a connection for reuse on which an event is too large.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import time
from typing import Any

import pytest

from martenjunction import errors
from martenjunction.decisions import endpoint_states
from martenjunction.endpoints import attempt
from martenjunction.http1 import client
from martenjunction_lab import boxes
from tests import endless_endpoints
from tests import gateway_requests as requests
from tests import routing_builders as builders

MB = 1024 * 1024

# What the kernel may hold of a connection, in bytes.
SOCKET_BYTES = 16 * MB

# Seconds within which a broken connection is closed.
CLOSE_S = 1.0

# Requests sent while an endpoint is ejected, and how many of them may try it.
LATER_REQUESTS = 10
MAX_TRIALS = 1

# Milliseconds that clients give a request. A body of 8 MB is read within.
DEADLINE_MS = 4000

FORMS = list(endless_endpoints.FORMS)

# Path, service and form.
ANSWERS = [
    *(("/unsafe/", builders.PLAIN, form) for form in FORMS),
    *(
        ("/chat/", builders.ENGINE, form)
        for form in endless_endpoints.STREAM_FORMS
    ),
]

Start = Callable[
    [endless_endpoints.Form, str], endless_endpoints.EndlessEndpoint
]


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    document = builders.relaxed_config_document()
    for route in document["routes"]:
        route["timeout_ms"] = 2 * DEADLINE_MS
    made = boxes.Boxes()
    await made.start(document)
    yield made
    await made.stop()


@pytest.fixture
async def start(fleet: boxes.Boxes) -> AsyncIterator[Start]:
    started = []

    def begin(
        form: endless_endpoints.Form, service: str
    ) -> endless_endpoints.EndlessEndpoint:
        made = endless_endpoints.EndlessEndpoint(form)
        started.append(made)
        made.record(fleet, service)
        return made

    yield begin
    for made in started:
        made.stop()


async def until_known(
    fleet: boxes.Boxes, endpoint: endless_endpoints.EndlessEndpoint
) -> None:
    box = fleet.gateways[0]
    await boxes.until(lambda: endpoint.id in box.endpoint_list.entries)
    await boxes.until(lambda: bool(box.dump()["ready"]))


async def ask(fleet: boxes.Boxes, path: str, name: str) -> tuple[int, float]:
    """Returns the status, and the seconds that it took."""
    began_at = time.monotonic()
    head, _ = await requests.ask(
        fleet, path, name, **{"Martenjunction-Deadline-Ms": str(DEADLINE_MS)}
    )
    return head.status, time.monotonic() - began_at


@pytest.mark.parametrize(("path", "service", "form"), ANSWERS)
async def test_request_that_may_not_be_repeated_gets_502_in_time(
    fleet: boxes.Boxes, start: Start, path: str, service: str, form: str
) -> None:
    forms = {**endless_endpoints.FORMS, **endless_endpoints.STREAM_FORMS}
    endpoint = start(forms[form], service)
    await until_known(fleet, endpoint)
    status, took_s = await ask(fleet, path, "r1")
    assert endpoint.requests == 1
    assert status == 502
    assert took_s < DEADLINE_MS / 1000 / 2
    # The connection is closed, and what was read from it is bounded.
    async with asyncio.timeout(CLOSE_S):
        await boxes.until(lambda: endpoint.sending == 0)
    most = attempt.MAX_BUFFERED_BODY_BYTES + SOCKET_BYTES
    assert endpoint.most_sent <= most


@pytest.mark.parametrize("form", FORMS)
async def test_request_that_may_be_repeated_goes_on_elsewhere(
    fleet: boxes.Boxes, start: Start, form: str
) -> None:
    endpoint = start(endless_endpoints.FORMS[form], builders.PLAIN)
    await until_known(fleet, endpoint)
    endpoint.release.clear()
    asking = asyncio.create_task(ask(fleet, "/safe/", "r1"))
    await boxes.until(lambda: endpoint.requests == 1)
    # Only now is there another endpoint.
    other = await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    endpoint.release.set()
    status, _ = await asking
    assert status == 200
    assert endpoint.requests == other.runs["r1"] == 1


@pytest.mark.parametrize("form", FORMS)
async def test_endless_endpoint_gets_no_further_work(
    fleet: boxes.Boxes, start: Start, form: str
) -> None:
    endpoint = start(endless_endpoints.FORMS[form], builders.PLAIN)
    await until_known(fleet, endpoint)
    for number in range(endpoint_states.MAX_FAULTS):
        status, _ = await ask(fleet, "/unsafe/", f"r{number}")
        assert status == 502
    assert fleet.gateways[0].registry.health.ejected_count() == 1
    await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    before = endpoint.requests
    for number in range(LATER_REQUESTS):
        status, _ = await ask(fleet, "/safe/", f"later{number}")
        assert status == 200
    assert endpoint.requests - before <= MAX_TRIALS


# Form, reason in the log, and the fewest bytes of bodies received.
REASONS = [
    ("tiny-chunks", "outweighs its data", 1024),
    ("interim", "too many interim responses", 0),
    ("chunks", "response body too large", attempt.MAX_BUFFERED_BODY_BYTES),
    ("other-length", "another request", attempt.MAX_BUFFERED_BODY_BYTES),
]


@pytest.mark.parametrize(("form", "why", "received"), REASONS)
async def test_log_tells_which_endpoint_answered_so(
    fleet: boxes.Boxes,
    start: Start,
    monkeypatch: pytest.MonkeyPatch,
    form: str,
    why: str,
    received: int,
) -> None:
    endpoint = start(endless_endpoints.FORMS[form], builders.PLAIN)
    await until_known(fleet, endpoint)
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        fleet.gateways[0].log,
        "write",
        lambda kind, **fields: lines.append({"kind": kind, **fields}),
    )
    await ask(fleet, "/unsafe/", "r1")
    [line] = [line for line in lines if line["kind"] == "answer-invalid"]
    assert line["id"] == "r1"
    assert line["endpoint"] == endpoint.id
    assert line["address"] == endpoint.address
    assert why in line["why"]
    assert received <= line["received"] <= received + MB


async def test_endpoint_with_excessive_framing_is_counted(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def refuse(_: client.ClientConnection) -> bytes:
        raise errors.ExcessFramingError("the framing outweighs its data")

    await requests.two_plain(fleet)
    box = fleet.gateways[0]
    await boxes.until(lambda: bool(box.dump()["ready"]))
    monkeypatch.setattr(attempt.Attempt, "body", _body_by(refuse))
    status, _ = await ask(fleet, "/unsafe/", "r1")
    assert status == 502
    wanted = 'martenjunction_excess_framing_total{side="endpoint"} 1.0'
    assert wanted in box._metrics_text().decode()


def _body_by(read: Callable[..., Any]) -> Callable[..., Any]:
    """Returns `Attempt.body` with another read of its connection."""
    body = attempt.Attempt.body

    async def reading(
        run: attempt.Attempt, on_part: Callable[[int], None]
    ) -> object:
        run.connection.read_body = lambda: read(run.connection)  # type: ignore[method-assign]
        return await body(run, on_part)

    return reading
