"""End-to-end tests of learned engine profiles and of box listings."""

import asyncio
import contextlib
from typing import Any

import pytest

from martenjunction import errors
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.platform import documents
from martenjunction.routing.endpoints import service_engines
from martenjunction.routing.requests import run_copies
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import gateway_requests as requests
from tests import routing_builders as builders

PROMPT_TOKENS = 500


async def test_boxes_share_learned_engine_profiles() -> None:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=2)
    first, second = (box.registry.table.engines for box in made.gateways)
    for _ in range(engine_profiles.MIN_PREFILLS):
        first.note_prefill_time(builders.ENGINE, 9_000, 0.265)
    for _ in range(
        engine_profiles.MIN_BLOCKS * engine_profiles.PAUSES_PER_BLOCK
    ):
        first.note_token_pause(builders.ENGINE, 0.061)
    first.note_prefill_demand(
        builders.ENGINE, 30_000, True, made.gateways[0].timers.now()
    )

    def is_reported() -> bool:
        figures = second.profile(builders.ENGINE)
        now = made.gateways[1].timers.now()
        asked = second.prefill_demand(builders.ENGINE, now).long
        return (
            figures.prefill_token_interval_s == pytest.approx(0.061)
            and asked > 0
        )

    await boxes.until(is_reported)
    rate = second.profile(builders.ENGINE).prefill_tokens_per_s
    assert rate == pytest.approx(36_000, rel=0.01)
    await made.stop()


def test_reports_of_another_box_are_applied_unchanged() -> None:
    one = service_engines.ServiceEngines(_NoLog())  # type: ignore[arg-type]
    other = service_engines.ServiceEngines(_NoLog())  # type: ignore[arg-type]
    for _ in range(engine_profiles.MIN_PREFILLS):
        one.note_prefill_time("s", 9_000, 0.265)
    one.note_prefill_demand("s", 3_000, False, 10.0)
    one.recompute(10.0)
    other.update_peer("b", one.rows(10.0), 10.0)
    other.recompute(10.0)
    assert other.profile("s").prefill_tokens_per_s == pytest.approx(36_000)
    assert other.prefill_demand("s", 10.0).short == 1_000
    assert other.profile("unknown") == engine_profiles.EngineProfile()


class _NoLog:
    def write(self, kind: str, **fields: Any) -> None:
        pass


@pytest.mark.parametrize("dear", [False, True])
async def test_run_is_copied_only_where_moving_its_memory_is_cheap(
    fleet: boxes.Boxes, dear: bool
) -> None:
    # Guards against copying runs regardless of their memory size: the copies
    # cost 0.011 of a day without engine failures and 0.014 of days with
    # failures, more than they saved.
    config = builders.config_document(9)
    engine = config["services"][1]["engine"]
    engine["backups"] = True
    limit = run_copies.MAX_COPIED_BYTES // PROMPT_TOKENS
    engine["kv_bytes"] = limit + 1 if dear else limit
    fleet.configure(config)
    made = await requests.engines(fleet)
    await boxes.until(lambda: fleet.gateways[0].store_cache.version == 9)
    await requests.ask(fleet, "/chat/")
    [asked] = [s for s in made if s.received]
    copied = "martenjunction-kv-backup" in asked.received[0].headers
    assert copied is not dear


async def test_stream_that_broke_off_is_logged_as_failed(
    fleet: boxes.Boxes,
) -> None:
    # Guards against logging streams that broke off as served: the status is
    # sent before the stream breaks, so it alone does not show the outcome.
    lines: list[str] = []
    log = fleet.gateways[0].log
    write = log.write

    def keep(kind: str, **fields: Any) -> None:
        if fields.get("id") == "r1":
            lines.append(kind)
        write(kind, **fields)

    log.write = keep  # type: ignore[method-assign]
    made = await requests.engines(fleet)
    for stand_in in made:
        stand_in.break_after = 3
    with contextlib.suppress(errors.TransportError):
        await requests.ask(fleet, "/chat/")
    await boxes.until(lambda: bool(lines))
    assert lines == ["request-failed"]


async def test_stale_box_lists_are_tolerated() -> None:
    # When all boxes start at once, a stale listing lacks most of them and the
    # box's own entry, which must not be rewritten because of that.
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=1)
    store = made.store
    await boxes.until(lambda: store.calls["old-read"] > 0)
    store.faults = platform.PlatformFaults(old_lists_empty=True)
    [before] = store.entries(documents.BOX_KIND, "")
    lists = store.calls["old-read"]
    await boxes.until(lambda: store.calls["old-read"] > lists)
    await asyncio.sleep(0.2)
    [after] = store.entries(documents.BOX_KIND, "")
    assert after.revision == before.revision
    await made.stop()
