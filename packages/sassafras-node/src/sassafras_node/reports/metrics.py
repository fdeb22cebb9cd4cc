"""Metrics of one node in the Prometheus text format."""

from sassafras_node import runtime as runtimes

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_QUANTILES = (0.5, 0.9, 0.99)


def render(runtime: runtimes.Runtime) -> str:
    """Returns all metrics of the node."""
    target = runtime.target
    lines: list[str] = []

    def gauge(name: str, meaning: str, value: float) -> None:
        lines.extend(
            [
                f"# HELP sassafras_{name} {meaning}",
                f"# TYPE sassafras_{name} gauge",
                f"sassafras_{name} {value:g}",
            ]
        )

    gauge(
        "configuration_revision",
        "Configuration revision in force.",
        runtime.configuration.revision,
    )
    gauge("roster_epoch", "Roster epoch seen.", runtime.roster.current.epoch)
    gauge("peers", "Nodes known to be alive.", len(runtime.table.peers))
    gauge("in_flight", "Requests being served.", runtime.drain.in_flight)
    gauge(
        "target_serving",
        "1 while the target beside the node takes calls.",
        int(target.is_serving),
    )
    gauge(
        "target_load",
        "Calls at the target as a part of its limit.",
        target.gate.load,
    )
    gauge(
        "target_limit",
        "Calls that the target may run at once.",
        target.gate.limit,
    )
    gauge(
        "admission_level",
        "Admission level; calls of this rank and above are refused.",
        target.gate.level,
    )
    lines += [
        "# HELP sassafras_store_calls_total Calls to the store.",
        "# TYPE sassafras_store_calls_total counter",
        f"sassafras_store_calls_total {runtime.store.calls}",
        *_endings(runtime),
        *_latencies(runtime),
    ]
    return "\n".join(lines) + "\n"


def _endings(runtime: runtimes.Runtime) -> list[str]:
    name = "sassafras_requests_total"
    lines = [
        f"# HELP {name} Root requests by how they ended.",
        f"# TYPE {name} counter",
    ]
    for (key, outcome, reason), count in sorted(
        runtime.recorder.endings.items(), key=str
    ):
        lines.append(
            f"{name}{{{_label('service', key.service)},"
            f"{_label('organisation', key.organisation)},"
            f"{_label('outcome', outcome)},{_label('reason', reason)}}} {count}"
        )
    return lines


def _latencies(runtime: runtimes.Runtime) -> list[str]:
    name = "sassafras_latency_ms"
    lines = [
        f"# HELP {name} Latency of root requests that ran, in milliseconds.",
        f"# TYPE {name} summary",
    ]
    for key, series in runtime.recorder.series.items():
        labels = (
            f"{_label('service', key.service)},"
            f"{_label('organisation', key.organisation)}"
        )
        for quantile in _QUANTILES:
            value = series.latency_ms.get_value_at_percentile(quantile * 100)
            lines.append(f'{name}{{{labels},quantile="{quantile:g}"}} {value}')
        count = series.latency_ms.get_total_count()
        lines.append(f"{name}_count{{{labels}}} {count}")
    return lines


def _label(name: str, value: str) -> str:
    escaped = value.replace("\\", r"\\").replace('"', r"\"")
    return f'{name}="{escaped}"'.replace("\n", r"\n")
