"""The users' fleets, smaller, and their traffic."""

from martenjunction_lab import engine
from martenjunction_lab import standins
from martenjunction_lab import traffic

CELLARLINE_FILE = str(standins.EXAMPLES / "cellarline.ini")
MILL_FILE = str(standins.EXAMPLES / "mill.ini")

FIELD_KEY = "cellarline-field-key"
WINERY_KEY = "cellarline-winery-key"
AGENTS_KEY = "mill-agents-key"
PORTAL_KEY = "mill-portal-key"

NEW = engine.EngineSpeed(slots=8, step_s=0.015, prefill_s=0.00004)
OLD = engine.EngineSpeed(slots=6, step_s=0.03, prefill_s=0.0001)


CELLARLINE_ZONES = ["perth-a", "perth-b", "perth-c"]
MILL_ZONES = ["pinetown-a", "pinetown-b", "hammarsdale"]


def cellarline() -> standins.Outside:
    """Returns a small outside of Cellarline's."""
    return standins.Outside(
        files=[CELLARLINE_FILE],
        engines=[
            standins.EngineGroup("vintage-lm", "perth-a", 2, NEW),
            standins.EngineGroup("vintage-lm", "perth-b", 2, OLD),
            standins.EngineGroup("vintage-lm", "perth-c", 1, OLD),
        ],
        plains=[
            standins.PlainGroup("weighbridge-app", zone, 1)
            for zone in CELLARLINE_ZONES
        ],
    )


def mill() -> standins.Outside:
    """Returns a small outside of the mill's."""
    return standins.Outside(
        files=[MILL_FILE],
        engines=[
            standins.EngineGroup("loom-llm", "pinetown-a", 2, NEW),
            standins.EngineGroup("loom-llm", "pinetown-b", 2, OLD),
            standins.EngineGroup("loom-llm", "hammarsdale", 2, OLD),
        ],
        plains=[
            standins.PlainGroup("order-portal", zone, 1) for zone in MILL_ZONES
        ],
    )


def both() -> standins.Outside:
    """Returns both outsides together, for the demonstration."""
    first = cellarline()
    second = mill()
    return standins.Outside(
        files=first.files + second.files,
        engines=first.engines + second.engines,
        plains=first.plains + second.plains,
    )


def cellarline_traffic(
    scale: float = 1.0, morning: traffic.Shape = traffic.steady
) -> list[traffic.Stream]:
    """Returns Cellarline's traffic.

    Args:
        scale: Multiplies all rates.
        morning: The shape of the summaries that a harvest morning brings.
    """
    return [
        traffic.Stream(
            "bin-tag-check",
            FIELD_KEY,
            "weighbridge-app",
            "weighbridge-app",
            4.0 * scale,
        ),
        traffic.Stream(
            "field-question",
            FIELD_KEY,
            "vintage-lm",
            "chat",
            3.0 * scale,
            prompt_tokens=150,
            answer_tokens=40,
        ),
        traffic.Stream(
            "block-summary",
            WINERY_KEY,
            "vintage-lm",
            "summary",
            2.0 * scale,
            prompt_tokens=600,
            answer_tokens=100,
            shape=morning,
        ),
        traffic.Stream(
            "crew-note",
            WINERY_KEY,
            "vintage-lm",
            "note",
            1.0 * scale,
            prompt_tokens=200,
            answer_tokens=60,
        ),
        traffic.Stream(
            "day-digest",
            WINERY_KEY,
            "vintage-lm",
            "digest",
            0.5 * scale,
            prompt_tokens=1500,
            answer_tokens=150,
        ),
    ]


def mill_traffic(
    scale: float = 1.0, evening: traffic.Shape = traffic.steady
) -> list[traffic.Stream]:
    """Returns the mill's traffic.

    Args:
        scale: Multiplies all rates.
        evening: The shape of the quotes that the end of a day brings.
    """
    return [
        traffic.Stream(
            "booking", PORTAL_KEY, "order-portal", "booking", 2.0 * scale
        ),
        traffic.Stream(
            "quote",
            AGENTS_KEY,
            "loom-llm",
            "quote",
            3.0 * scale,
            prompt_tokens=300,
            answer_tokens=60,
            shape=evening,
        ),
        traffic.Stream(
            "availability",
            AGENTS_KEY,
            "loom-llm",
            "chat",
            3.0 * scale,
            prompt_tokens=150,
            answer_tokens=50,
        ),
        traffic.Stream(
            "portal-status", PORTAL_KEY, "order-portal", "status", 2.0 * scale
        ),
        traffic.Stream(
            "contract-read",
            AGENTS_KEY,
            "loom-llm",
            "contract",
            0.6 * scale,
            prompt_tokens=4000,
            answer_tokens=250,
        ),
    ]
