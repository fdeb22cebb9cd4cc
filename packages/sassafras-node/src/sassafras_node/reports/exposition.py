"""Series of one node in the Prometheus text format."""

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


def gauge(name: str, meaning: str, value: float) -> core.Metric:
    """Returns a value of this moment."""
    return core.GaugeMetricFamily(_PREFIX + name, meaning, value=value)


def counter(
    name: str, meaning: str, counts: Iterable[tuple[Labels, float]]
) -> core.Metric:
    """Returns a counter with a series for each set of labels."""
    family = core.CounterMetricFamily(_PREFIX + name, meaning)
    for labels, count in counts:
        family.add_sample(f"{_PREFIX}{name}_total", dict(labels), count)
    return family


def latencies(
    name: str,
    meaning: str,
    series: Iterable[tuple[Labels, histogram.HdrHistogram]],
) -> core.Metric:
    """Returns quantiles and counts of histograms of milliseconds."""
    name = _PREFIX + name
    family = core.SummaryMetricFamily(name, meaning)
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
class _Collected(registry.Collector):
    families: tuple[core.Metric, ...]

    def collect(self) -> Iterable[core.Metric]:
        return self.families


def render(families: Iterable[core.Metric]) -> str:
    """Returns the text that a scraper gets."""
    collected = prometheus_client.CollectorRegistry(auto_describe=False)
    collected.register(_Collected(tuple(families)))
    return prometheus_client.generate_latest(collected).decode()
