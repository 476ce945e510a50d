"""What a run of load came to, by class."""

import dataclasses
from typing import Any

from martenjunction.config import fleet
from martenjunction_lab import load


@dataclasses.dataclass
class ClassResult:
    """One class in one run.

    Attributes:
        name: The class.
        tier: Its tier.
        target_s: Its target for the first token, in seconds.
        requests: Requests sent.
        attained: Requests that met the class's targets.
        whole: Requests that were answered in full.
        p50_first_token_s: Median seconds to the first token.
        p95_first_token_s: The same at 95 in 100.
        shed: Requests that were refused with `not-run`.
        lost: Requests whose callers were left without a word.
        doubled: Requests that ran twice, or whose answer repeats itself.
        longest_gap_s: Longest time without a whole answer while requests of
            the class were waiting.
    """

    name: str
    tier: int
    target_s: float
    requests: int = 0
    attained: int = 0
    whole: int = 0
    p50_first_token_s: float | None = None
    p95_first_token_s: float | None = None
    shed: int = 0
    lost: int = 0
    doubled: int = 0
    longest_gap_s: float = 0.0

    @property
    def attainment(self) -> float:
        """The share of requests that met the class's targets."""
        return self.attained / self.requests if self.requests else 1.0


def quantile(values: list[float], part: float) -> float | None:
    """Returns a quantile of some values, or None of none."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def by_class(
    seen: list[load.Seen], config: fleet.FleetConfig
) -> list[ClassResult]:
    """Sums a run up by class, the highest tier first."""
    grouped: dict[str, list[load.Seen]] = {}
    for item in seen:
        grouped.setdefault(item.arrival.stream.service_class, []).append(item)
    results = [
        _sum_up(config.classes[name], items) for name, items in grouped.items()
    ]
    return sorted(results, key=lambda result: (result.tier, result.name))


def _sum_up(
    service_class: fleet.ServiceClass, items: list[load.Seen]
) -> ClassResult:
    first = [s.first_token_s for s in items if s.first_token_s is not None]
    return ClassResult(
        name=service_class.name,
        tier=service_class.tier,
        target_s=service_class.first_token,
        requests=len(items),
        attained=sum(
            s.attains(service_class.first_token, service_class.between_tokens)
            for s in items
        ),
        whole=sum(s.whole for s in items),
        p50_first_token_s=quantile(first, 0.5),
        p95_first_token_s=quantile(first, 0.95),
        shed=sum(s.outcome == "not-run" for s in items),
        lost=sum(s.lost for s in items),
        doubled=sum(_repeats(s) for s in items),
        longest_gap_s=longest_gap(items),
    )


def _repeats(seen: load.Seen) -> bool:
    """Whether an answer has more than it should, or another's tokens."""
    return not seen.whole and seen.reason.startswith("token ")


def longest_gap(items: list[load.Seen]) -> float:
    """Returns the longest time, in seconds, in which a class stood still.

    Time counts only while at least one request of the class was waiting.
    """
    events = [(s.arrival.at, 1, False) for s in items]
    events += [(s.ended, -1, s.whole) for s in items]
    events.sort()
    waiting = 0
    since = 0.0
    longest = 0.0
    for at, change, progress in events:
        if waiting == 0:
            since = at
        if progress:
            longest = max(longest, at - since)
            since = at
        waiting += change
    return longest


def as_json(result: ClassResult) -> dict[str, Any]:
    """Returns a result in a form that JSON can hold."""
    row = dataclasses.asdict(result)
    row["attainment"] = round(result.attainment, 4)
    return row


HEADINGS = (
    "class",
    "tier",
    "target s",
    "requests",
    "attained %",
    "p50 s",
    "p95 s",
    "shed",
    "lost",
    "doubled",
)


def table(results: list[ClassResult]) -> str:
    """Returns a table for people."""
    rows = [HEADINGS, *(_row(result) for result in results)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEADINGS))]
    return "\n".join(_line(row, widths) for row in rows)


def _line(row: tuple[str, ...], widths: list[int]) -> str:
    cells = zip(row, widths, strict=True)
    return "  ".join(cell.ljust(width) for cell, width in cells).rstrip()


def _row(result: ClassResult) -> tuple[str, ...]:
    return (
        result.name,
        str(result.tier),
        f"{result.target_s:g}",
        str(result.requests),
        f"{100 * result.attainment:.1f}",
        _seconds(result.p50_first_token_s),
        _seconds(result.p95_first_token_s),
        str(result.shed),
        str(result.lost),
        str(result.doubled),
    )


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"
