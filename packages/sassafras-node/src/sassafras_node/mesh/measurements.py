"""Counters and latency histograms of one node, as Prometheus text."""

import collections

from hdrh import histogram

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0)
# Routes come from the configuration; this bounds what a configuration of many
# routes costs in memory.
_MOST_SERIES = 64


class Measurements:
    """What the node has counted since its start."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latencies: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Adds one to a counter."""
        self._counts[name, label] += 1

    def observe(self, service: str, latency_s: float) -> None:
        """Records the latency of a request that ran."""
        series = self._latencies.get(service)
        if series is None:
            if len(self._latencies) >= _MOST_SERIES:
                return
            series = histogram.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
            self._latencies[service] = series
        series.record_value(max(_LOWEST_MS, int(latency_s * 1000)))

    def render(self, gauges: dict[str, float]) -> str:
        """Returns all series as text.

        Args:
          gauges: Values of this moment by name.
        """
        lines = [
            f"sassafras_{name} {value:g}" for name, value in gauges.items()
        ]
        for (name, label), value in sorted(self._counts.items()):
            tail = f'{{kind="{label}"}}' if label else ""
            lines.append(f"sassafras_{name}_total{tail} {value}")
        for service, series in sorted(self._latencies.items()):
            for quantile in _QUANTILES:
                value = series.get_value_at_percentile(quantile)
                lines.append(
                    f'sassafras_latency_ms{{service="{service}",'
                    f'quantile="{quantile / 100:g}"}} {value}'
                )
            lines.append(
                f'sassafras_latency_ms_count{{service="{service}"}}'
                f" {series.get_total_count()}"
            )
        return "\n".join(lines) + "\n"
