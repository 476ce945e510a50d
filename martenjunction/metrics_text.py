"""Metrics in the Prometheus text format.

This is a separate module so that a box can import it on first use: it takes
megabytes of memory that a small box needs for requests.
"""

from collections.abc import Iterator

from hdrh import histogram
import prometheus_client
from prometheus_client import core as prometheus

from martenjunction import metrics


def render(recorded: metrics.Metrics, gauges: dict[str, float]) -> bytes:
    """Returns all values in the Prometheus text format.

    Args:
        recorded: Counters and histograms.
        gauges: Current values of further metrics, by name.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(recorded, gauges))
    return prometheus_client.generate_latest(registry)


class _Collector(prometheus_client.registry.Collector):
    """Converts the values to metric families of the Prometheus client."""

    PREFIX = "martenjunction_"

    def __init__(
        self, recorded: metrics.Metrics, gauges: dict[str, float]
    ) -> None:
        self._metrics = recorded
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
        for q in metrics.QUANTILES:
            microseconds = recorded.get_value_at_percentile(q * 100)
            family.add_sample(
                family.name,
                {**labels, "quantile": str(q)},
                microseconds / metrics.MICROSECONDS,
            )
        total = recorded.get_total_count()
        family.add_sample(f"{family.name}_count", labels, total)
        mean = recorded.get_mean_value() / metrics.MICROSECONDS
        family.add_sample(f"{family.name}_sum", labels, mean * total)
