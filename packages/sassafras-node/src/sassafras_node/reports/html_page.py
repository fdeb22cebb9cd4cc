"""The burn report as one HTML page without external resources."""

import html
import math

from sassafras_node.reports import fleet_report
from sassafras_policy.objectives import burn

_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100)
_PLOT_WIDTH = 260
_PLOT_HEIGHT = 90
_BAR_GAP = 6
# Bars are cut off at twice the rate of the strictest rule.
_MAX_PLOTTED_RATE = 2 * max(rule.rate for rule in burn.ALERT_RULES)

_STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: .3em .8em; border-bottom: 1px solid #ccc; }
td.number { text-align: right; }
.page { color: #b00020; font-weight: bold; }
.ticket { color: #9a6700; font-weight: bold; }
svg { background: #f6f6f6; }
"""


def render(report: fleet_report.FleetReport) -> str:
    """Returns the report as a complete page."""
    return (
        "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
        "<title>Service-level burn report</title>"
        f"<style>{_STYLE}</style></head><body>"
        "<h1>Service-level burn report</h1>"
        f"<p>{len(report.nodes)} nodes are included.</p>"
        f"{_missing_list(report)}{_objective_table(report)}"
        f"{_latency_table(report)}"
        "</body></html>\n"
    )


def _missing_list(report: fleet_report.FleetReport) -> str:
    if not report.missing:
        return ""
    items = "".join(
        f"<li>{html.escape(item)}</li>" for item in sorted(report.missing)
    )
    return f"<p>Nodes that did not answer:</p><ul>{items}</ul>"


def _objective_table(report: fleet_report.FleetReport) -> str:
    if not report.burns:
        return "<h2>Objectives</h2><p>No objective has data yet.</p>"
    rows = "".join(_objective_row(item) for item in report.burns)
    return (
        "<h2>Objectives</h2><p>A burn rate of 1 uses the error budget exactly"
        " by the end of its period.</p><table><tr><th>service</th>"
        "<th>organisation</th><th>objective</th><th>burn rate by window</th>"
        f"<th>verdict</th></tr>{rows}</table>"
    )


def _objective_row(item: burn.ObjectiveBurn) -> str:
    css = {burn.AlertLevel.PAGE: "page", burn.AlertLevel.TICKET: "ticket"}
    return (
        f"<tr><td>{html.escape(item.objective.service)}</td>"
        f"<td>{html.escape(item.organisation or '-')}</td>"
        f"<td class='number'>{item.objective.success_ratio:.3%}</td>"
        f"<td>{_burn_plot(item)}</td>"
        f"<td class='{css.get(item.alert_level, '')}'>"
        f"{item.alert_level}</td></tr>"
    )


def _burn_plot(item: burn.ObjectiveBurn) -> str:
    height = (_PLOT_HEIGHT - _BAR_GAP) // len(item.rates) - _BAR_GAP
    parts = []
    for position, (window_s, rate) in enumerate(item.rates):
        top = _BAR_GAP + position * (height + _BAR_GAP)
        width = _PLOT_WIDTH * min(rate, _MAX_PLOTTED_RATE) / _MAX_PLOTTED_RATE
        parts.append(
            f"<rect x='0' y='{top}' width='{width:.1f}' height='{height}'"
            " fill='#6a8caf'/>"
            f"<text x='4' y='{top + height - 2}' font-size='11'>"
            f"{window_s // 60} min: {rate:.2f}</text>"
        )
    return _svg("".join(parts))


def _latency_table(report: fleet_report.FleetReport) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(key.service)}</td>"
        f"<td>{html.escape(key.organisation or '-')}</td>"
        f"<td class='number'>{merged.latency_ms.get_total_count()}</td>"
        f"<td>{_latency_plot(merged)}</td></tr>"
        for key, merged in sorted(
            report.series.items(),
            key=lambda pair: (pair[0].service, pair[0].organisation),
        )
    )
    return (
        "<h2>Latency of requests that ran</h2><table><tr><th>service</th>"
        "<th>organisation</th><th>requests</th><th>ms by percentile</th></tr>"
        f"{rows}</table>"
    )


def _latency_plot(merged: fleet_report.MergedSeries) -> str:
    values = [
        merged.latency_ms.get_value_at_percentile(p) for p in _PERCENTILES
    ]
    max_log_ms = math.log10(max(values) + 1) or 1.0
    step = _PLOT_WIDTH / (len(values) - 1)
    points = " ".join(
        f"{index * step:.1f},"
        f"{_PLOT_HEIGHT * (1 - 0.9 * math.log10(value + 1) / max_log_ms):.1f}"
        for index, value in enumerate(values)
    )
    return _svg(
        f"<polyline points='{points}' fill='none' stroke='#2f6f4f'"
        " stroke-width='2'/>"
        f"<text x='4' y='14' font-size='11'>p50 {values[3]} ms,"
        f" p99 {values[7]} ms, max {values[-1]} ms (log scale)</text>"
    )


def _svg(content: str) -> str:
    return (
        f"<svg width='{_PLOT_WIDTH}' height='{_PLOT_HEIGHT}'"
        f" xmlns='http://www.w3.org/2000/svg'>{content}</svg>"
    )
