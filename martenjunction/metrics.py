"""Counters and latency histograms of one daemon."""

import collections
from collections.abc import Iterator
from typing import Any

from hdrh import histogram

# Histograms record durations from one microsecond to one hour, in
# microseconds, with two significant digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
MICROSECONDS = 1_000_000

Labels = tuple[tuple[str, str], ...]


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


class Metrics:
    """Counters and histograms, keyed by name and labels."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        self._counters[(name, _labels(labels))] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration."""
        key = (name, _labels(labels))
        if key not in self._histograms:
            self._histograms[key] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS
            )
        value = min(max(LOWEST_US, round(seconds * MICROSECONDS)), HIGHEST_US)
        self._histograms[key].record_value(value)

    def as_dict(self) -> dict[str, Any]:
        """Returns all values as JSON-serializable data."""
        return {
            "counters": [
                {"name": name, "labels": dict(labels), "value": value}
                for (name, labels), value in sorted(self._counters.items())
            ],
            "histograms": [
                {"name": name, "labels": dict(labels), **_describe(recorded)}
                for (name, labels), recorded in sorted(
                    self._histograms.items(), key=lambda item: item[0]
                )
            ],
        }

    def counters(self) -> Iterator[tuple[str, Labels, int]]:
        """Yields each counter."""
        for (name, labels), value in self._counters.items():
            yield name, labels, value

    def histograms(
        self,
    ) -> Iterator[tuple[str, Labels, histogram.HdrHistogram]]:
        """Yields each histogram."""
        for (name, labels), recorded in self._histograms.items():
            yield name, labels, recorded


def _describe(recorded: histogram.HdrHistogram) -> dict[str, float]:
    values = {
        f"p{round(q * 100)}_s": recorded.get_value_at_percentile(q * 100)
        / MICROSECONDS
        for q in QUANTILES
    }
    return {"count": recorded.get_total_count(), **values}
