"""The users' fleets, smaller, and their traffic."""

from martenjunction_lab import bench
from martenjunction_lab import engine
from martenjunction_lab import traffic

CELLARLINE_FILE = str(bench.EXAMPLES / "cellarline.ini")
MILL_FILE = str(bench.EXAMPLES / "mill.ini")

FIELD_KEY = "cellarline-field-key"
WINERY_KEY = "cellarline-winery-key"
AGENTS_KEY = "mill-agents-key"
PORTAL_KEY = "mill-portal-key"

NEW = engine.EngineSpeed(slots=8, step_s=0.015, prefill_s=0.00004)
OLD = engine.EngineSpeed(slots=6, step_s=0.03, prefill_s=0.0001)


def cellarline(daemons: int = 1) -> bench.BenchSpec:
    """Returns a small fleet of Cellarline's."""
    zones = ["perth-a", "perth-b", "perth-c"]
    return bench.BenchSpec(
        files=[CELLARLINE_FILE],
        engines=[
            bench.EngineGroup("vintage-lm", "perth-a", 2, NEW),
            bench.EngineGroup("vintage-lm", "perth-b", 2, OLD),
            bench.EngineGroup("vintage-lm", "perth-c", 1, OLD),
        ],
        plains=[bench.PlainGroup("weighbridge-app", zone, 1) for zone in zones],
        daemons=[zones[i % 3] for i in range(daemons)],
    )


def mill(daemons: int = 1) -> bench.BenchSpec:
    """Returns a small fleet of the mill's."""
    zones = ["pinetown-a", "pinetown-b", "hammarsdale"]
    return bench.BenchSpec(
        files=[MILL_FILE],
        engines=[
            bench.EngineGroup("loom-llm", "pinetown-a", 2, NEW),
            bench.EngineGroup("loom-llm", "pinetown-b", 2, OLD),
            bench.EngineGroup("loom-llm", "hammarsdale", 2, OLD),
        ],
        plains=[bench.PlainGroup("order-portal", zone, 1) for zone in zones],
        daemons=[zones[i % 3] for i in range(daemons)],
    )


def both(daemons: int = 1) -> bench.BenchSpec:
    """Returns both fleets behind the same daemons, for the demonstration."""
    first = cellarline(daemons)
    second = mill(daemons)
    return bench.BenchSpec(
        files=first.files + second.files,
        engines=first.engines + second.engines,
        plains=first.plains + second.plains,
        daemons=first.daemons,
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
