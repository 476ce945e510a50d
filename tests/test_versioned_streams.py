"""Streams that hold events of two software versions of a back end."""

import dataclasses

import pytest

from martenjunction_lab import versioned_streams
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

# Streams of two versions that are tolerated over all boxes.
MAX_MIXED = 2

# Take-ups from which on their share is compared, and the minimum share of them
# that goes on, relative to the share of new streams that begin.
MIN_TAKEN_UP = 12
MIN_GONE_ON = 0.5

SHORT = versioned_streams.Trial(seconds=6.0)


async def run_trial(**changes: object) -> versioned_streams.Outcome:
    trial = dataclasses.replace(SHORT, **changes)  # type: ignore[arg-type]
    fleet = versioned_streams.VersionedFleet(trial)
    document = builders.relaxed_config_document()
    document["services"][1]["engine"]["backups"] = True
    for route in document["routes"]:
        route["timeout_ms"] = 4000
    return await fleet.run(document)


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"replaced_each_s": 1.0},
        {"box_ends_each_s": 1.5},
        {"breaking": 0.0, "box_ends_each_s": 0.5, "per_s": 25.0},
        {"path": "/chat/a", "tries": 1, "pause_s": 0.06},
    ],
)
async def test_stream_goes_on_only_at_the_version_that_began_it(
    changes: dict[str, object],
) -> None:
    outcome = await run_trial(**changes)
    assert outcome.mixed <= MAX_MIXED
    assert outcome.torn == 0
    if outcome.taken_up >= MIN_TAKEN_UP:
        minimum = MIN_GONE_ON * outcome.begun_share
        assert outcome.gone_on_share >= minimum


async def test_stream_of_unknown_version_is_refused_not_guessed() -> None:
    outcome = await run_trial(hidden=True)
    assert outcome.mixed <= MAX_MIXED
