"""Streams whose connections break while their endpoints go on with the runs."""

import asyncio
import time

import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import run_fates
from martenjunction.http1 import client
from martenjunction.platform import run_report
from martenjunction.routing.limits import rate_grants
from martenjunction.routing.requests import run_copies
from martenjunction.routing.requests import run_reports
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders
from tests import test_gateway_streams as streams

pytestmark = pytest.mark.simulated_time

# Seconds for which the first endpoint may be at work once the run continues.
STILL_AT_WORK_S = 0.4

PATIENT = {"Martenjunction-Deadline-Ms": "9000"}


async def _end_of_work(stand_in: replica.Replica) -> float:
    """Returns when a replica that is at work on runs is at work on none."""
    while stand_in.at_work:
        await asyncio.sleep(0.005)
    return time.monotonic()


async def _arrival(stand_in: replica.Replica) -> float:
    """Returns when a replica gets its first request."""
    while not stand_in.received:
        await asyncio.sleep(0.005)
    return time.monotonic()


# The reset of a connection was taken for the end of the run behind it, and the
# stream ran at two endpoints for 1.8 s.
async def test_stream_continues_only_once_the_run_it_lost_is_over(
    fleet: boxes.Boxes,
) -> None:
    run = await streams.begin_copied_run(fleet)
    run.first.works_on, run.second.break_after = True, None
    await asyncio.sleep(0.1)
    ended, arrived = await asyncio.gather(
        _end_of_work(run.first), _arrival(run.second)
    )
    _, body = await run.task
    assert body == requests.WHOLE_STREAM
    assert ended - arrived <= STILL_AT_WORK_S
    assert arrived - ended <= run_reports.ASK_INTERVAL_S + 0.1


# A stream that may be resumed was sent again while its first run went on.
async def test_resumed_stream_is_sent_again_once_its_first_run_is_over(
    fleet: boxes.Boxes,
) -> None:
    made = await streams.engines_that_keep_copies(fleet)
    for stand_in in made:
        stand_in.break_after, stand_in.works_on = 3, True
        stand_in.event_pause_s = run_copies.MIN_COPY_AGE_S / 2
    task = asyncio.create_task(requests.ask(fleet, "/digest/", **PATIENT))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    [first] = [s for s in made if s.received]
    [second] = [s for s in made if not s.received]
    second.break_after = None
    await asyncio.sleep(0.1)
    ended, arrived = await asyncio.gather(_end_of_work(first), _arrival(second))
    _, body = await task
    assert body == requests.WHOLE_STREAM
    assert second.received[0].headers["last-event-id"] == "3"
    assert ended - arrived <= STILL_AT_WORK_S
    assert arrived - ended <= run_reports.ASK_INTERVAL_S + 0.1


async def test_resumed_stream_is_sent_again_though_nothing_tells_of_its_run(
    fleet: boxes.Boxes,
) -> None:
    made = await streams.engines_that_keep_copies(fleet)
    for stand_in in made:
        stand_in.break_after, stand_in.reports = 3, False
    task = asyncio.create_task(requests.ask(fleet, "/digest/", **PATIENT))
    await boxes.until(lambda: requests.arrivals(made) == 1)
    for stand_in in made:
        if not stand_in.received:
            stand_in.break_after = None
    _, body = await task
    assert body == requests.WHOLE_STREAM


async def test_stream_continues_at_once_where_its_endpoint_has_ended(
    fleet: boxes.Boxes,
) -> None:
    run = await streams.begin_copied_run(fleet)
    run.second.break_after = None
    run.first.break_after = None
    await asyncio.sleep(run_copies.MIN_COPY_AGE_S * 1.2)
    ended = time.monotonic()
    await run.first.stop()
    arrived = await _arrival(run.second)
    _, body = await run.task
    assert body == requests.WHOLE_STREAM
    assert arrived - ended <= 0.1
    assert run.first.asked_reports == 0


# An endpoint that leaves is not checked for a crash; peers were asked to reach
# it before the stream went on.
async def test_stream_continues_at_once_where_a_leaving_endpoint_has_ended(
    fleet: boxes.Boxes,
) -> None:
    await fleet.add_box("box-2")
    run = await streams.begin_copied_run(fleet)
    run.first.break_after = run.second.break_after = None
    await asyncio.sleep(run_copies.MIN_COPY_AGE_S * 1.2)
    fleet.record(run.first, builders.ENGINE, state="draining", slots=64)
    await asyncio.sleep(0.2)
    ended = time.monotonic()
    await run.first.stop()
    arrived = await _arrival(run.second)
    _, body = await run.task
    assert body == requests.WHOLE_STREAM
    assert arrived - ended <= 0.1


async def test_stream_continues_at_once_where_its_endpoint_is_not_reached(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = await streams.begin_copied_run(fleet)
    run.first.works_on, run.second.break_after = True, None
    connect = client.ClientConnection.open

    async def reach_second(
        self: client.ClientConnection, timeout_s: float
    ) -> None:
        if self.address == run.first.address:
            await asyncio.sleep(timeout_s)
            raise errors.ConnectError("no answer")
        await connect(self, timeout_s)

    await asyncio.sleep(0.1)
    monkeypatch.setattr(client.ClientConnection, "open", reach_second)
    ended, arrived = await asyncio.gather(
        _end_of_work(run.first), _arrival(run.second)
    )
    # The first endpoint makes two more events after the reset.
    broke = ended - 2 * run.first.event_pause_s
    assert arrived - broke <= 0.25
    _, body = await run.task
    assert body == requests.WHOLE_STREAM


async def test_stream_does_not_continue_while_its_endpoint_tells_nothing(
    fleet: boxes.Boxes,
) -> None:
    run = await streams.begin_copied_run(fleet)
    run.first.works_on, run.second.break_after = True, None
    run.first.reports = False
    with pytest.raises(errors.TransportError):
        await run.task
    assert not run.second.received


# Questions to an endpoint count towards its rate limit.
async def test_endpoint_without_a_grant_left_is_not_asked(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = await streams.begin_copied_run(fleet)
    run.first.works_on, run.second.break_after = True, None
    grants = fleet.gateways[0].grants
    acquire = grants.acquire

    async def deny_first(endpoint_id: str) -> rate_grants.RateGrant | None:
        if endpoint_id == run.first.id:
            return None
        return await acquire(endpoint_id)

    monkeypatch.setattr(grants, "acquire", deny_first)
    with pytest.raises(errors.TransportError):
        await run.task
    assert run.first.asked_reports == 0
    assert not run.second.received


async def test_request_line_tells_why_a_stream_did_not_continue(
    fleet: boxes.Boxes,
) -> None:
    lines = []
    box = fleet.gateways[0]
    write = box.log.write

    def note(line: str, **fields: object) -> None:
        lines.append((line, fields))
        write(line, **fields)

    box.log.write = note  # type: ignore[method-assign]
    run = await streams.begin_copied_run(fleet)
    box.budget.try_acquire = lambda service, now: False  # type: ignore[method-assign]
    with pytest.raises(errors.TransportError):
        await run.task
    [fields] = [f for line, f in lines if line == "request-failed"]
    assert fields["continuation"] == "no retry left in the budget"


async def test_many_broken_streams_share_the_reports_of_their_endpoint(
    fleet: boxes.Boxes,
) -> None:
    made = await streams.engines_that_keep_copies(fleet)
    for stand_in in made:
        stand_in.break_after, stand_in.works_on = 3, True
        stand_in.event_pause_s = run_copies.MIN_COPY_AGE_S / 2
    asked = [
        asyncio.create_task(
            requests.ask(fleet, "/chat/", f"r{number}", **PATIENT)
        )
        for number in range(40)
    ]
    await boxes.until(lambda: requests.arrivals(made) == 40)
    began = time.monotonic()
    # The stand-ins reset the second runs as well.
    await asyncio.gather(*asked, return_exceptions=True)
    took_s = time.monotonic() - began
    most = took_s / run_reports.ASK_INTERVAL_S + 2
    assert max(stand_in.asked_reports for stand_in in made) > 0
    assert all(stand_in.asked_reports <= most for stand_in in made)


@pytest.mark.parametrize(
    ("standing", "runs", "asked_at", "expected"),
    [
        (run_fates.Standing.REPORTS, {"r1", "r2"}, 9.0, "at-work"),
        (run_fates.Standing.REPORTS, {"r2"}, 9.0, "over"),
        # A report from before the run would not name it either.
        (run_fates.Standing.REPORTS, {"r2"}, 5.9, "unknown"),
        (run_fates.Standing.ENDED, set(), 5.1, "over"),
        (run_fates.Standing.UNREACHED, set(), 9.0, "unreached"),
        (run_fates.Standing.SILENT, set(), 9.0, "unknown"),
    ],
)
def test_run_is_over_only_if_its_endpoint_shows_it(
    standing: run_fates.Standing,
    runs: set[str],
    asked_at: float,
    expected: str,
) -> None:
    report = run_fates.Report(asked_at, standing, frozenset(runs))
    found = run_fates.fate(report, "r1", begun_at=5.0)
    assert found.value == expected
    assert found.may_continue is (expected in ("over", "unreached"))


def test_report_that_does_not_tell_the_runs_is_malformed() -> None:
    assert run_report.decode_run_ids(b'{"runs": [["a", 1], []]}') == {"a"}
    for body in (b"", b"{}", b'{"runs": 3}', b'{"runs": [[3]]}', b"\xff"):
        with pytest.raises(errors.MalformedError):
            run_report.decode_run_ids(body)
