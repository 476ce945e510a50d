"""Builders of fleets, traffic and requests for the scenarios."""

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


def question(rate: float, answer: int = 20) -> traffic.Stream:
    """Returns questions of the highest tier."""
    return traffic.Stream(
        "field-question",
        FIELD_KEY,
        "vintage-lm",
        "chat",
        rate,
        prompt_tokens=100,
        answer_tokens=answer,
    )


def summary(rate: float, answer: int = 40) -> traffic.Stream:
    """Returns summaries of the second tier."""
    return traffic.Stream(
        "block-summary",
        WINERY_KEY,
        "vintage-lm",
        "summary",
        rate,
        prompt_tokens=200,
        answer_tokens=answer,
    )


def digest(rate: float, answer: int = 60) -> traffic.Stream:
    """Returns digests of the lowest tier."""
    return traffic.Stream(
        "day-digest",
        WINERY_KEY,
        "vintage-lm",
        "digest",
        rate,
        prompt_tokens=200,
        answer_tokens=answer,
    )


def bin_tag(rate: float) -> traffic.Stream:
    """Returns bin-tag checks, which may not be repeated."""
    return traffic.Stream(
        "bin-tag-check",
        FIELD_KEY,
        "weighbridge-app",
        "weighbridge-app",
        rate,
    )


STREAMS = {
    "questions": question,
    "summaries": summary,
    "digests": digest,
    "bin-tag checks": bin_tag,
}
