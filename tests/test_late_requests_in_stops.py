"""Requests that arrive, or are sent to an endpoint, late in a planned stop.

Guards against requests that may not be repeated, are taken late in the grace
period and passed on, and are ended with an unknown outcome when it is over:

- Their endpoints take far longer than the latency target.
- The box was told another grace period by a reload before its stop, and took
  requests by the former one.
- They were taken in time and waited until too late for a connection, a grant or
  a place at an endpoint.
"""

import asyncio
import dataclasses
from typing import Any

import pytest

from martenjunction import gateway
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from tests import stop_requests

pytestmark = pytest.mark.simulated_time

STOP_S = 6.0

# Seconds that an endpoint takes, for a latency target of 0.2 s.
WORK_S = 1.6

# Seconds for which a request waits for its connection.
WAIT_S = 0.8


def check(site: stop_requests.Site, sent: list[stop_requests.Sent]) -> None:
    """Fails unless what was passed on was served, and the rest did not run."""
    for one in sent:
        arrived = site.arrived(one.id)
        assert one.status in ((200,) if arrived else (503, None)), one
        assert arrived <= 1
    refused = [one for one in sent if one.status == 503]
    assert refused
    assert any(one.status == 200 for one in sent)


async def test_what_is_taken_late_at_slow_endpoints_is_served() -> None:
    site = stop_requests.Site(WORK_S, STOP_S)
    await site.start()
    check(site, await site.send_throughout("/unsafe/x"))
    await site.fleet.stop()


@pytest.mark.parametrize(
    ("started_s", "reloaded_s"), [(STOP_S, 3.0), (3.0, STOP_S)]
)
async def test_requests_are_taken_by_the_grace_period_in_force(
    started_s: float, reloaded_s: float
) -> None:
    site = stop_requests.Site(0.4, started_s, goal_ms=300)
    await site.start()
    settings = site.box._settings
    site.box.reload(dataclasses.replace(settings, stop_s=reloaded_s))
    sent = await site.send_throughout("/unsafe/x")
    check(site, sent)
    # What a longer grace period has room for is taken.
    last_s = max(one.since_s for one in sent if one.status == 200)
    needed_s = 2.0
    assert last_s > reloaded_s - gateway.STOP_MARGIN_S - needed_s
    await site.fleet.stop()


async def test_reload_within_a_stop_changes_nothing() -> None:
    site = stop_requests.Site(0.4, STOP_S, goal_ms=300)
    await site.start()
    settings = site.box._settings
    loop = asyncio.get_running_loop()
    for later_s, stop_s in ((0.5, 1.0), (2.0, 60.0)):
        changed = dataclasses.replace(settings, stop_s=stop_s)
        loop.call_later(later_s, site.box.reload, changed)
    check(site, await site.send_throughout("/unsafe/x"))
    await site.fleet.stop()


async def test_request_that_waits_until_too_late_is_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = stop_requests.Site(0.6, STOP_S)
    await site.start()
    acquire = pool.EndpointPool.acquire

    async def acquire_late(
        its: pool.EndpointPool, *arguments: object, **named: object
    ) -> client.ClientConnection:
        await asyncio.sleep(WAIT_S)
        return await acquire(its, *arguments, **named)  # type: ignore[arg-type]

    monkeypatch.setattr(pool.EndpointPool, "acquire", acquire_late)
    check(site, await site.send_throughout("/unsafe/x"))
    await site.fleet.stop()


@pytest.mark.parametrize(
    ("goal_ms", "kind"), [(200, "withdrawn"), (800, "refused")]
)
async def test_log_tells_why_requests_are_taken_and_refused(
    monkeypatch: pytest.MonkeyPatch, goal_ms: int, kind: str
) -> None:
    site = stop_requests.Site(0.4, STOP_S, goal_ms=goal_ms)
    await site.start()
    lines: list[tuple[str, dict[str, Any]]] = []

    def write(kind: str, **fields: Any) -> None:
        lines.append((kind, fields))

    monkeypatch.setattr(site.box.log, "write", write)
    sent = await site.send_throughout("/unsafe/x")
    fields_of = {
        name: {
            str(fields["id"]): fields
            for kind, fields in lines
            if kind == f"stop-request-{name}"
        }
        for name in ("taken", "withdrawn", "refused")
    }
    [last] = [fields for kind, fields in lines if kind == "stopped"]
    taken, withdrawn, refused = map(set, fields_of.values())
    assert withdrawn <= taken
    assert taken - withdrawn == {one.id for one in sent if one.status == 200}
    assert refused | withdrawn == {one.id for one in sent if one.status == 503}
    assert last["taken"] == len(taken)
    assert sum(last["withdrawn"].values()) == len(withdrawn)
    assert sum(last["refused"].values()) == len(refused)
    assert last[kind]["late"] > 0
    assert last["ended"] == {}
    assert last["unanswered"] == 0
    for name in withdrawn | refused:
        fields = fields_of["withdrawn" if name in withdrawn else "refused"][
            name
        ]
        assert fields["needed_ms"] >= fields["left_ms"]
    await site.fleet.stop()
