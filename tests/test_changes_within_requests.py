"""Changes of the configuration while a request is under way.

Guards against a request that gets neither an answer nor a refusal because what
it began under was changed or taken away: its tenant, its limits, its route or
its service. SIGHUP and a planned stop count as changes.
"""

import random
import time

import pytest

from martenjunction.http1 import close_reports
from tests import gateway_requests
from tests import request_changes
from tests import whole_answers

pytestmark = pytest.mark.simulated_time

Moment = request_changes.Moment

# Statuses that promise that a request did not run.
NOT_RUN = frozenset({408, 421, 429, 503})

# Statuses of an answer that promises nothing, and of refusals by the
# configuration in force, before a request is passed on.
UNKNOWN = frozenset({502, 504})
BY_CONFIG = frozenset({401, 404, 413})

MAX_RUNS = {"safe": 2, "digest": 2, "unsafe": 1, "chat": 1}

# Every change in every moment, each with one of the kinds that the moment has,
# in turn.
PAIRS = [
    (moment, kinds[(row + column) % len(kinds)], change)
    for row, moment in enumerate(Moment)
    for column, change in enumerate(request_changes.CHANGES)
    for kinds in [request_changes.KINDS[moment]]
]

# Drawn combinations for each seed, and the longest time in seconds between two
# changes.
DRAWN = 60
MAX_PAUSE_S = 0.3

# Seconds by which a timer fires early: below the resolution of the clock.
EARLY_S = 1e-9


def allowed_statuses(moment: Moment) -> frozenset[int]:
    if moment in request_changes.RUNNING:
        return frozenset({200})
    if moment in request_changes.UNCHECKED:
        return NOT_RUN | UNKNOWN | BY_CONFIG | {200}
    return NOT_RUN | UNKNOWN | {200}


def check(moment: Moment, kind: str, result: request_changes.Result) -> None:
    answer = result.answer
    assert result.changed
    assert result.runs <= MAX_RUNS[kind]
    broken = moment is Moment.BROKEN_STREAM
    if broken and answer.status == 200 and not answer.whole:
        # Its endpoint broke off, and no other one may go on with it.
        assert gateway_requests.WHOLE_STREAM.startswith(answer.body)
        return
    assert answer.whole
    assert answer.status in allowed_statuses(moment)
    if answer.status in NOT_RUN | BY_CONFIG:
        assert result.runs == 0
    if answer.status == 200:
        assert answer.body == whole_body(moment, kind)


def whole_body(moment: Moment, kind: str) -> bytes:
    if kind in ("chat", "digest"):
        return gateway_requests.WHOLE_STREAM[first_byte(moment) :]
    return b"answer to " + request_changes.body_of(moment)


def first_byte(moment: Moment) -> int:
    """Returns where the response begins within the whole stream."""
    if moment is not Moment.TAKE_UP:
        return 0
    next_event = request_changes.TAKEN_UP_AFTER + 1
    return gateway_requests.WHOLE_STREAM.index(b"id: %d" % next_event)


@pytest.mark.parametrize(("moment", "kind", "change"), PAIRS)
async def test_request_is_answered_beside_a_change(
    moment: Moment, kind: str, change: str
) -> None:
    result = await request_changes.play(moment, kind, (change,))
    check(moment, kind, result)


async def test_request_is_answered_beside_drawn_changes() -> None:
    # Two changes in a moment, and one afterwards. `--simulated-seed` draws
    # others.
    rng = random.Random()
    for _ in range(DRAWN):
        moment = rng.choice(list(Moment))
        kind = rng.choice(request_changes.KINDS[moment])
        first, second, last = rng.sample(request_changes.CHANGES, 3)
        later = (rng.uniform(0.0, MAX_PAUSE_S), last)
        print(moment, kind, first, second, later)
        result = await request_changes.play(
            moment, kind, (first, second), (later,)
        )
        print(result.answer.status, result.answer.whole, result.runs)
        check(moment, kind, result)


async def test_idle_time_is_over_where_a_timer_fires_early() -> None:
    # Guards against a timer that is set again and again for less than the
    # clock resolves, with no time in between.
    site = request_changes.Site()
    await site.start()
    client = whole_answers.Client(site.fleet.addresses[0])
    await client.open()
    await client.send("r0", "/safe/first", b"first")
    assert (await client.receive()).whole
    [connection] = site.box._callers._connections
    rest = connection._rest
    rest._since = time.monotonic() - rest.time.held_s + EARLY_S
    assert rest.remaining_s > 0.0
    connection._on_timeout(close_reports.CloseReason.IDLE, False)
    assert connection.closed
    client.close()
    await site.stop()
