"""The present policy with one mechanism left out, by name."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math
from typing import Any

from martenjunction import registry
from martenjunction.decisions import rendezvous
from martenjunction.decisions.boxes import candidates
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.decisions.boxes import load_shedding

Ablation = Callable[[], contextlib.AbstractContextManager[None]]

# What was counted with before figures were learnt.
FIRST_FIGURES = engine_profiles.EngineProfile(50_000.0, 0.0431)

# Short streams for each of which one more engine was kept before.
OLD_SHORT_RUNS = 14

ablations: registry.Registry[Ablation] = registry.Registry("ablation")


@ablations.register("none")
@contextlib.contextmanager
def none() -> Iterator[None]:
    """Leaves nothing out."""
    yield


@ablations.register("figures-learnt")
def figures() -> contextlib.AbstractContextManager[None]:
    """Counts with the figures of the first users' engines."""
    fixed = property(lambda _: FIRST_FIGURES)
    return _put(engine_profiles.ProfileEstimator, "profile", fixed)


@ablations.register("division-by-demand")
def division() -> contextlib.AbstractContextManager[None]:
    """Keeps an engine for each so many short streams."""

    def kept(
        records: list[endpoint_records.EndpointRecord],
        demand: endpoint_records.Demand,
        now: float,
    ) -> set[str]:
        if demand.tolerates_prefill:
            return set()
        order = rendezvous.ranked(
            [record.id for record in records], f"short {demand.service}"
        )
        running = sum(record.loads.short_running(now) for record in records)
        count = max(1, len(order) // 5, running // OLD_SHORT_RUNS)
        most = int(len(order) * endpoint_choice.MAX_RESERVED_FRACTION)
        return set(order[: min(count, most)])

    return _put(endpoint_choice, "reserved_for_short", kept)


@ablations.register("running-streams-avoided")
def avoided() -> contextlib.AbstractContextManager[None]:
    """Lets long prompts beside short streams outside the kept engines."""
    return _put(endpoint_choice, "LONG_COST_PER_SHORT_STREAM_S", 0.0)


@ablations.register("early-refusal")
def refusal() -> contextlib.AbstractContextManager[None]:
    """Refuses nothing."""
    return _put(load_shedding, "retry_after_s", lambda prospect: None)


@ablations.register("refusal-at-the-target")
def late_refusal() -> contextlib.AbstractContextManager[None]:
    """Refuses only what is predicted beyond its whole target."""
    return _put(load_shedding, "LATE_FRACTION", 1.0)


@ablations.register("refusal-at-half-the-target")
def early() -> contextlib.AbstractContextManager[None]:
    """Refuses what is predicted beyond half of its target."""
    return _put(load_shedding, "LATE_FRACTION", 0.5)


@ablations.register("shared-parts-count-less")
def shared_less() -> contextlib.AbstractContextManager[None]:
    """Counts a part that is read again for a third."""
    return _put(endpoint_choice, "SHARED_PREFILL_COST_S", 0.00003)


@ablations.register("shared-parts-count-more")
def shared_more() -> contextlib.AbstractContextManager[None]:
    """Counts a part that is read again three times."""
    return _put(endpoint_choice, "SHARED_PREFILL_COST_S", 0.0003)


@ablations.register("shared-parts")
def shared() -> contextlib.AbstractContextManager[None]:
    """Places prompts wherever least waits, whatever is held there."""
    return _put(endpoint_choice, "SHARED_PREFILL_COST_S", 0.0)


@ablations.register("sample-of-engines")
def sample() -> contextlib.AbstractContextManager[None]:
    """Weighs all engines for each request."""

    def whole(
        records: list[endpoint_records.EndpointRecord], *_: Any
    ) -> list[endpoint_records.EndpointRecord]:
        return records

    return _put(candidates, "sample", whole)


@ablations.register("enough-for-short-prompts")
def proportional() -> contextlib.AbstractContextManager[None]:
    """Divides engines in proportion also where all are overloaded."""
    return _put(endpoint_choice, "MAX_SHORT_PREFILL_FRACTION", math.inf)


@contextlib.contextmanager
def _put(where: Any, name: str, value: Any) -> Iterator[None]:
    before = vars(where)[name]
    setattr(where, name, value)
    try:
        yield
    finally:
        setattr(where, name, before)
