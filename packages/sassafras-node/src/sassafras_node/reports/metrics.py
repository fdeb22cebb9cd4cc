"""Metrics of a node that does not run in the mesh."""

from sassafras_node import runtime as runtimes
from sassafras_node.reports import exposition


def render(runtime: runtimes.Runtime) -> str:
    """Returns all metrics of the node in the Prometheus text format."""
    target = runtime.target
    gauge = exposition.gauge
    return exposition.render(
        [
            gauge(
                "configuration_revision",
                "Configuration revision in force.",
                runtime.configuration.revision,
            ),
            gauge(
                "roster_epoch",
                "Roster epoch seen.",
                runtime.roster.current.epoch,
            ),
            gauge(
                "peers", "Nodes known to be alive.", len(runtime.table.peers)
            ),
            gauge(
                "in_flight", "Requests being served.", runtime.drain.in_flight
            ),
            gauge(
                "target_serving",
                "1 while the target beside the node takes calls.",
                int(target.is_serving),
            ),
            gauge(
                "target_load",
                "Calls at the target as a part of its limit.",
                target.gate.load,
            ),
            gauge(
                "target_limit",
                "Calls that the target may run at once.",
                target.gate.limit,
            ),
            gauge(
                "admission_level",
                "Admission level; calls of this rank and above are refused.",
                target.gate.level,
            ),
            exposition.counter(
                "store_calls",
                "Calls to the store.",
                [({}, runtime.store.calls)],
            ),
            exposition.counter(
                "requests",
                "Root requests by how they ended.",
                [
                    (
                        {
                            "service": key.service,
                            "organisation": key.organisation,
                            "outcome": str(outcome),
                            "reason": str(reason),
                        },
                        count,
                    )
                    for (key, outcome, reason), count in sorted(
                        runtime.recorder.outcome_counts.items(), key=str
                    )
                ],
            ),
            exposition.summary(
                "latency_ms",
                "Latency of root requests that ran, in milliseconds.",
                [
                    (
                        {
                            "service": key.service,
                            "organisation": key.organisation,
                        },
                        series.latency_ms,
                    )
                    for key, series in runtime.recorder.series.items()
                ],
            ),
        ]
    )
