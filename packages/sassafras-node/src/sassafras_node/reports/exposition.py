"""Encodes metrics in the Prometheus text format."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

_PREFIX = "sassafras_"
_QUANTILES = (0.5, 0.9, 0.99)

Labels = Mapping[str, str]


def gauge(name: str, documentation: str, value: float) -> core.Metric:
    """Returns a gauge without labels."""
    return core.GaugeMetricFamily(_PREFIX + name, documentation, value=value)


def counter(
    name: str, documentation: str, counts: Iterable[tuple[Labels, float]]
) -> core.Metric:
    """Returns a counter with a series for each set of labels."""
    family = core.CounterMetricFamily(_PREFIX + name, documentation)
    for labels, count in counts:
        family.add_sample(f"{_PREFIX}{name}_total", dict(labels), count)
    return family


def summary(
    name: str,
    documentation: str,
    series: Iterable[tuple[Labels, histogram.HdrHistogram]],
) -> core.Metric:
    """Returns a summary of latency histograms in milliseconds."""
    name = _PREFIX + name
    family = core.SummaryMetricFamily(name, documentation)
    for labels, latency_ms in series:
        for quantile in _QUANTILES:
            value = latency_ms.get_value_at_percentile(quantile * 100)
            family.add_sample(
                name, {**labels, "quantile": f"{quantile:g}"}, value
            )
        count = latency_ms.get_total_count()
        family.add_sample(f"{name}_count", dict(labels), count)
    return family


@dataclasses.dataclass(frozen=True, eq=False, slots=True)
class _FixedCollector(registry.Collector):
    families: tuple[core.Metric, ...]

    def collect(self) -> Iterable[core.Metric]:
        return self.families


def render(families: Iterable[core.Metric]) -> str:
    """Returns the metrics as the text that a scraper reads."""
    collector_registry = prometheus_client.CollectorRegistry(
        auto_describe=False
    )
    collector_registry.register(_FixedCollector(tuple(families)))
    return prometheus_client.generate_latest(collector_registry).decode()
