"""Requests whose time is over before an endpoint is chosen are told apart."""

from typing import Any

import pytest

from martenjunction.routing.requests import continuations
from martenjunction_lab import boxes
from tests import gateway_requests as requests

pytestmark = pytest.mark.simulated_time


async def refusal(fleet: boxes.Boxes, deadline_ms: str) -> dict[str, Any]:
    """Returns the line that the log has on a refused request."""
    lines: list[dict[str, Any]] = []
    log = fleet.gateways[0].log
    write = log.write

    def keep(kind: str, **fields: Any) -> None:
        if kind == "request-failed":
            lines.append(fields)
        write(kind, **fields)

    log.write = keep  # type: ignore[method-assign]
    changes = {"Martenjunction-Deadline-Ms": deadline_ms}
    head, body = await requests.ask(fleet, "/safe/", **changes)
    assert (head.status, body) == (503, b"not-run")
    await boxes.until(lambda: bool(lines))
    [line] = lines
    return line


async def test_request_without_time_is_not_one_without_an_endpoint(
    fleet: boxes.Boxes,
) -> None:
    # Guards against looking for endpoints that were lost: a request that a
    # stall of its box held up for its whole time was logged like one.
    await requests.two_plain(fleet)
    too_short_ms = int(continuations.MIN_TIME_LEFT_S * 1000) - 2
    line = await refusal(fleet, str(too_short_ms))
    assert (line["why"], line["endpoints"]) == ("no time left", [])


async def test_request_without_an_endpoint_is_logged_as_such(
    fleet: boxes.Boxes,
) -> None:
    admitter = fleet.gateways[0].admitter
    await boxes.until(lambda: admitter.config is not None)
    line = await refusal(fleet, "1500")
    assert line["why"] == "no endpoint available"
