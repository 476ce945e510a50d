"""Guards against trials on kept connections that the judge cannot read.

What clients and replicas record of real requests is judged sound; the same with
one record changed is not.
"""

from collections.abc import AsyncIterator
import dataclasses

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import kept_clients
from martenjunction_lab import kept_tallies
from martenjunction_lab import replica
from martenjunction_lab.promises import events
from martenjunction_lab.promises import judge
from tests import kept_deployment
from tests import routing_builders as builders

Kind = events.RouteKind
Fate = kept_clients.Fate

PATHS = ("/safe/x", "/unsafe/x", "/open/x", "/chat/x", "/digest/x")
ROUTES = {
    "safe": (Kind.SAFE, "one", 0),
    "unsafe": (Kind.UNSAFE, "one", 0),
    "open": (Kind.SAFE, "", 0),
    "chat": (Kind.STREAM, "one", 5),
    "digest": (Kind.RESUMABLE, "one", 5),
}

# A machine under load may be late, and refuse some requests.
TERMS = events.Terms(late_s=30.0, min_served=0.0, max_lost=0)

REQUESTS = 40


def route_of(ask: kept_clients.Ask) -> kept_tallies.Route:
    name = ask.target.split("/")[1]
    kind, tenant, pieces = ROUTES[name]
    return kept_tallies.Route(name, kind, tenant, 2.0, pieces)


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.relaxed_config_document())
    for service in (builders.PLAIN, builders.ENGINE):
        for _ in range(2):
            await made.add_replica(service)
    await made.until_listed()
    yield made
    await made.stop()


async def play(fleet: boxes.Boxes) -> list[kept_clients.Record]:
    make = kept_deployment.make_request_source(1, PATHS)
    clients = kept_clients.KeptClients(fleet.addresses[0], 1, make)
    await clients.open(4)
    while len(clients.records) < REQUESTS:
        await clients.receive(clients.send(4))
        await clients.open(4)
    clients.close()
    return clients.records


def judged(
    records: list[kept_clients.Record], replicas: list[replica.Replica]
) -> tuple[events.History, set[str]]:
    history = kept_tallies.history({"b1": records}, replicas, route_of, TERMS)
    return history, {made.promise for made in judge.broken(history)}


async def test_sound_trial_is_judged_sound(fleet: boxes.Boxes) -> None:
    records = await play(fleet)
    history, promises = judged(records, fleet.replicas)
    assert not promises, "\n".join(map(str, judge.broken(history)))
    answered = [made for made in records if made.fate is Fate.ANSWERED]
    assert len(answered) > REQUESTS // 2
    assert len(history.of(events.Sent)) == len(records)
    assert len(history.of(events.RunEnded)) >= len(answered)
    assert any(made.kept for made in history.of(events.Sent))
    assert (
        len(history.of(events.Piece)) % 5 == 0 < len(history.of(events.Piece))
    )


@pytest.mark.parametrize(
    ("prefix", "changes", "promise"),
    [
        ("/unsafe/", {"status": 503, "fate": Fate.REFUSED}, "true-refusal"),
        ("/unsafe/", {"status": None, "fate": Fate.CLOSED}, "lost"),
        (
            "/safe/",
            {"headers": {"martenjunction-attempt-id": "r"}},
            "own-answer",
        ),
        ("/safe/", {"headers": {}}, "whole-answer"),
        ("/chat/", {"body": b"id: 1\ndata: t1\n\n"}, "stream-end"),
        ("/chat/", {"body": b"id: 2\ndata: t2\n\n"}, "stream-order"),
    ],
)
async def test_changed_record_breaks_a_promise(
    fleet: boxes.Boxes,
    prefix: str,
    changes: dict[str, object],
    promise: str,
) -> None:
    records = await play(fleet)
    changed = next(
        place
        for place, made in enumerate(records)
        if made.ask.target.startswith(prefix) and made.fate is Fate.ANSWERED
    )
    record = records[changed]
    records[changed] = dataclasses.replace(record, **changes)  # type: ignore[arg-type]
    assert promise in judged(records, fleet.replicas)[1]


async def test_runs_that_end_badly_are_recorded(fleet: boxes.Boxes) -> None:
    for stand_in in fleet.replicas[:2]:
        stand_in.plan(
            replica.Behaviour.REFUSE,
            replica.Behaviour.RESET,
            replica.Behaviour.HALF,
            replica.Behaviour.FAIL,
            replica.Behaviour.BARE_503,
            replica.Behaviour.UNSEALED,
            replica.Behaviour.TWICE,
        )
    records = await play(fleet)
    history, promises = judged(records, fleet.replicas)
    found = history.of(events.RunEnded)
    assert {made.status for made in found} >= {0, 200, 500, 503}
    assert {made.how for made in found} == {
        events.RunEnd.ANSWERED,
        events.RunEnd.BROKEN_OFF,
    }
    assert history.of(events.TurnedAway)
    assert not promises, "\n".join(map(str, judge.broken(history)))
