"""Counters and latency histograms of one daemon."""

import collections
from collections.abc import Iterator
from typing import Any

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus

# Histograms hold microseconds, from one to an hour, with two digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
MICROSECONDS = 1_000_000

Labels = tuple[tuple[str, str], ...]


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


class Metrics:
    """All counters and histograms, by name and labels."""

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
        """Returns all values in a form that JSON can hold."""
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

    def prometheus_text(self, gauges: dict[str, float]) -> bytes:
        """Returns all values in the Prometheus text form.

        Args:
            gauges: Further values of the moment, by name.
        """
        registry = prometheus_client.CollectorRegistry()
        registry.register(_Collector(self, gauges))
        return prometheus_client.generate_latest(registry)

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


class _Collector(prometheus_client.registry.Collector):
    """Turns the values into the families of the Prometheus library."""

    PREFIX = "martenjunction_"

    def __init__(self, metrics: Metrics, gauges: dict[str, float]) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[prometheus.Metric]:
        """Yields all families."""
        families: dict[str, prometheus.Metric] = {}
        for name, labels, value in self._metrics.counters():
            counter = families.setdefault(
                name,
                prometheus.CounterMetricFamily(
                    self.PREFIX + name, name, labels=[key for key, _ in labels]
                ),
            )
            counter.add_metric([v for _, v in labels], value)  # type: ignore[attr-defined]
        for name, labels, recorded in self._metrics.histograms():
            summary = families.setdefault(
                name,
                prometheus.Metric(self.PREFIX + name, name, "summary"),
            )
            self._add_summary(summary, dict(labels), recorded)
        for name, gauge in self._gauges.items():
            families[name] = prometheus.GaugeMetricFamily(
                self.PREFIX + name, name, value=gauge
            )
        yield from families.values()

    def _add_summary(
        self,
        family: prometheus.Metric,
        labels: dict[str, str],
        recorded: histogram.HdrHistogram,
    ) -> None:
        for q in QUANTILES:
            seconds = recorded.get_value_at_percentile(q * 100) / MICROSECONDS
            family.add_sample(
                family.name, {**labels, "quantile": str(q)}, seconds
            )
        total = recorded.get_total_count()
        family.add_sample(f"{family.name}_count", labels, total)
        mean = recorded.get_mean_value() / MICROSECONDS
        family.add_sample(f"{family.name}_sum", labels, mean * total)
