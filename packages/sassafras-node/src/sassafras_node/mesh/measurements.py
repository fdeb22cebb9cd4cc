"""Counters and latency histograms of one mesh node."""

import collections

from hdrh import histogram

from sassafras_node.reports import exposition
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes

_MIN_MS = 1
_MAX_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_COUNTERS = {
    "requests": "Requests of callers and of the target beside, by their end.",
    "sub_calls": "Requests of the target beside alone, by their end.",
    "room_refusals": "Requests refused at their first node, by the service"
    " without room.",
    "calls": "Calls of other nodes, by their end.",
    "token_requests": "Requests of other nodes for tokens, by their end."
    " `no-pool` tells that the other node counts other nodes.",
    "withheld_calls": "Calls not sent to the target beside, by the reason.",
    "connections_closed": "Connections closed to make room, by what was full.",
    "connections_refused": "Connections refused or ended for a request that"
    " breaks HTTP/1.1 or a limit, by listener.",
}
# Latencies of a service that are counted before the histogram takes them, which
# makes six function calls for each.
_MAX_PENDING = 512
# Bounds the memory that a configuration with many routes can take.
_MAX_SERIES = 64


class Measurements:
    """Counts and latencies since the start of the node."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latencies: dict[str, histogram.HdrHistogram] = {}
        # Counts by service and milliseconds.
        self._pending: dict[str, dict[int, int]] = {}
        self._task_s: dict[str, float] = collections.defaultdict(float)
        self._reported: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def count(self, name: str, label: str = "") -> None:
        """Adds one to one of the counters."""
        self._counts[name, label] += 1

    def count_end(self, name: str, response: messages.CallResponse) -> None:
        """Adds one to a counter, labelled with how the call ended."""
        self._counts[name, _end_of(response)] += 1

    def add_task_times(self, tasks: dict[str, float]) -> None:
        """Adds estimated seconds by child of the supervisor tree."""
        for path, run_s in tasks.items():
            self._task_s[path] += run_s

    def take_ends(self) -> dict[str, int]:
        """Returns what was counted since the last time this was called."""
        new = self._counts - self._reported
        self._reported = self._counts.copy()
        return {
            f"{name} {label}": count
            for (name, label), count in sorted(new.items())
        }

    def observe(self, service: str, latency_s: float) -> None:
        """Records the latency of a request that ran."""
        pending = self._pending.get(service)
        if pending is None:
            if len(self._pending) >= _MAX_SERIES:
                return
            pending = self._pending[service] = {}
        latency_ms = int(latency_s * 1000)
        pending[latency_ms] = pending.get(latency_ms, 0) + 1
        if len(pending) > _MAX_PENDING:
            self._record_pending(service)

    def _record_pending(self, service: str) -> None:
        """Adds the latencies that are counted to the histogram."""
        series = self._latencies.get(service)
        if series is None:
            series = self._latencies[service] = histogram.HdrHistogram(
                _MIN_MS, _MAX_MS, _SIGNIFICANT_DIGITS
            )
        pending = self._pending[service]
        for latency_ms, count in pending.items():
            series.record_value(max(_MIN_MS, latency_ms), count)
        pending.clear()

    def render(self, gauges: dict[str, tuple[str, float]]) -> str:
        """Returns all series in the Prometheus text format.

        Args:
          gauges: Meaning and current value of each gauge, by name.
        """
        for service in self._pending:
            self._record_pending(service)
        families = [
            exposition.gauge(name, meaning, value)
            for name, (meaning, value) in gauges.items()
        ]
        families.append(
            exposition.counter(
                "task_seconds",
                "Busy time by child of the supervisor tree, estimated.",
                [({"task": p}, s) for p, s in sorted(self._task_s.items())],
            )
        )
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


def _end_of(response: messages.CallResponse) -> str:
    """Returns how a call ended, as the label of a counter."""
    if response.outcome is outcomes.Outcome.RAN and response.status >= 500:
        return "ran-with-error"
    return str(response.reason or response.outcome)
