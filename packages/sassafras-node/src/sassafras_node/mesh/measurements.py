"""Counters and latency histograms of one mesh node."""

import collections

from hdrh import histogram

from sassafras_node.reports import exposition

_MIN_MS = 1
_MAX_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_COUNTERS = {
    "requests": "Requests of callers and of the target beside, by their end.",
    "calls": "Calls of other nodes, by their end.",
}
# Bounds the memory that a configuration with many routes can take.
_MAX_SERIES = 64


class Measurements:
    """Counts and latencies since the start of the node."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latencies: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Adds one to a counter, `requests` or `calls`."""
        self._counts[name, label] += 1

    def observe(self, service: str, latency_s: float) -> None:
        """Records the latency of a request that ran."""
        series = self._latencies.get(service)
        if series is None:
            if len(self._latencies) >= _MAX_SERIES:
                return
            series = histogram.HdrHistogram(
                _MIN_MS, _MAX_MS, _SIGNIFICANT_DIGITS
            )
            self._latencies[service] = series
        series.record_value(max(_MIN_MS, int(latency_s * 1000)))

    def render(self, gauges: dict[str, tuple[str, float]]) -> str:
        """Returns all series in the Prometheus text format.

        Args:
          gauges: Meaning and current value of each gauge, by name.
        """
        families = [
            exposition.gauge(name, meaning, value)
            for name, (meaning, value) in gauges.items()
        ]
        for name, meaning in _COUNTERS.items():
            counts = sorted(
                (label, count)
                for (counter, label), count in self._counts.items()
                if counter == name
            )
            families.append(
                exposition.counter(
                    name,
                    meaning,
                    [({"kind": label}, count) for label, count in counts],
                )
            )
        families.append(
            exposition.summary(
                "latency_ms",
                "Latency of requests that ran, in milliseconds.",
                [
                    ({"service": service}, series)
                    for service, series in sorted(self._latencies.items())
                ],
            )
        )
        return exposition.render(families)
