"""Collects and merges the recordings of all nodes for the burn report."""

import dataclasses

from hdrh import histogram
import trio

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_node.reports import recorder
from sassafras_policy.configuration import document as documents
from sassafras_policy.objectives import burn
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

_TIMEOUT_S = 2.0
_MAX_CONCURRENT_FETCHES = 8
_MAX_SERIES_SENT = 64


@dataclasses.dataclass(slots=True)
class MergedSeries:
    """Recordings of one service and organisation, merged over all nodes.

    Attributes:
      windows: Counts for each window in seconds.
      latency_ms: Latencies of requests that ran.
    """

    windows: dict[int, burn.Counts]
    latency_ms: histogram.HdrHistogram


@dataclasses.dataclass(slots=True)
class FleetReport:
    """Merged recordings of the fleet.

    Attributes:
      series: Merged series by service and organisation.
      nodes: Ids of the nodes that are included.
      missing: Nodes that did not respond, each with the error.
      burns: Burn rates of the objectives.
    """

    series: dict[recorder.SeriesKey, MergedSeries]
    nodes: list[str]
    missing: list[str]
    burns: list[burn.ObjectiveBurn] = dataclasses.field(default_factory=list)


@handlers.message_handlers.register("report_fetch")
async def handle_report_fetch(
    runtime: runtimes.Runtime, link: links.Link, message: models.Message
) -> models.Message | None:
    """Responds with this node's recordings to a node that makes a report."""
    del link, message
    return own_report(runtime)


def own_report(runtime: runtimes.Runtime) -> models.Report:
    """Returns this node's recordings, the busiest series first."""
    series = []
    for key, recorded in runtime.recorder.series.items():
        windows = runtime.recorder.windows(key)
        series.append(
            models.ReportSeries(
                service=key.service,
                organisation=key.organisation,
                windows={
                    window_s: (counts.total, counts.bad)
                    for window_s, counts in windows.items()
                },
                latency_ms=recorded.latency_ms.encode(),
            )
        )
    max_window_s = max(burn.WINDOWS_S)
    series.sort(key=lambda item: -item.windows[max_window_s][0])
    return models.Report(
        node_id=runtime.table.own_id, series=series[:_MAX_SERIES_SENT]
    )


async def collect(runtime: runtimes.Runtime) -> FleetReport:
    """Fetches the recordings of every live node and merges them.

    A node that does not respond within 2 s is listed as missing; the report
    then covers the others.
    """
    report = FleetReport({}, [], [])
    _merge(report, own_report(runtime))
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_FETCHES)

    async def fetch(node_id: str) -> None:
        async with limiter:
            try:
                with trio.fail_after(_TIMEOUT_S):
                    _merge(report, await _fetch(runtime, node_id))
            except (errors.SassafrasError, trio.TooSlowError) as error:
                report.missing.append(f"{node_id}: {error!r}")

    async with trio.open_nursery() as nursery:
        for record in runtime.table.peers:
            nursery.start_soon(fetch, record.node_id)
    index = runtime.configuration.index
    if index is not None:
        report.burns = _evaluate(report, index.document.objectives)
    return report


async def _fetch(runtime: runtimes.Runtime, node_id: str) -> models.Report:
    async with trio.open_nursery() as nursery:
        link = await links.open_link(nursery, node_id, runtime.credentials)
        try:
            await link.send(models.ReportFetch())
            return await link.expect(models.Report)
        finally:
            await link.abort()
            nursery.cancel_scope.cancel()
    raise errors.ConnectionLostError("report.fetch", node_id, "interrupted")


def _merge(report: FleetReport, node_report: models.Report) -> None:
    report.nodes.append(node_report.node_id)
    for item in node_report.series:
        key = recorder.SeriesKey(item.service, item.organisation)
        merged = report.series.get(key)
        if merged is None:
            merged = MergedSeries({}, recorder.new_histogram())
            report.series[key] = merged
        for window_s, (total, bad) in item.windows.items():
            previous = merged.windows.get(window_s, burn.Counts())
            merged.windows[window_s] = previous.plus(burn.Counts(total, bad))
        merged.latency_ms.decode_and_add(item.latency_ms)


def _evaluate(
    report: FleetReport, objectives: tuple[documents.Objective, ...]
) -> list[burn.ObjectiveBurn]:
    burns = []
    for objective in objectives:
        for key, merged in sorted(
            report.series.items(), key=lambda pair: pair[0].organisation
        ):
            if key.service == objective.service and (
                objective.organisation in ("*", key.organisation)
            ):
                burns.append(
                    burn.evaluate(objective, key.organisation, merged.windows)
                )
    return burns
