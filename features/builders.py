"""Builders of fleets, traffic and requests for the scenarios."""

from collections.abc import Callable

from martenjunction_lab import cluster
from martenjunction_lab import engine
from martenjunction_lab import fleets
from martenjunction_lab import standins
from martenjunction_lab import traffic

FIELD_KEY = fleets.FIELD_KEY
WINERY_KEY = fleets.WINERY_KEY
ZONES = fleets.CELLARLINE_ZONES


def cluster_spec(
    daemons: int, engines: int, slots: int, proxied: bool = False
) -> cluster.ClusterSpec:
    """Returns Cellarline's fleet in a size of its own.

    Engines and daemons are spread over the availability zones in turn.
    """
    speed = engine.EngineSpeed(slots=slots, step_s=0.02)
    groups = [
        standins.EngineGroup("vintage-lm", ZONES[i % 3], 1, speed)
        for i in range(engines)
    ]
    plains = [standins.PlainGroup("weighbridge-app", zone, 1) for zone in ZONES]
    outside = standins.Outside([fleets.CELLARLINE_FILE], groups, plains)
    zones = [ZONES[i % 3] for i in range(daemons)]
    return cluster.ClusterSpec(outside, zones, proxied=proxied)


def _chat(
    service_class: str, key: str, kind: str, prompt: int, answer: int
) -> Callable[[float], traffic.Stream]:
    """Returns a builder of chat requests at a rate."""

    def stream(rate: float) -> traffic.Stream:
        return traffic.Stream(
            service_class,
            key,
            "vintage-lm",
            kind,
            rate,
            prompt_tokens=prompt,
            answer_tokens=answer,
        )

    return stream


def bin_tag(rate: float) -> traffic.Stream:
    """Returns bin-tag checks, which may not be repeated."""
    return traffic.Stream(
        "bin-tag-check",
        FIELD_KEY,
        "weighbridge-app",
        "weighbridge-app",
        rate,
    )


# Of the highest tier, the second, the lowest, and not repeatable.
STREAMS = {
    "questions": _chat("field-question", FIELD_KEY, "chat", 100, 20),
    "summaries": _chat("block-summary", WINERY_KEY, "summary", 200, 40),
    "digests": _chat("day-digest", WINERY_KEY, "digest", 200, 60),
    "bin-tag checks": bin_tag,
}
