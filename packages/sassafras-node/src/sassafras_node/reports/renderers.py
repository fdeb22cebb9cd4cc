"""Renderers of the burn report, registered by format."""

from collections.abc import Callable
import json

from sassafras_base import registry
from sassafras_node.reports import fleet_report
from sassafras_node.reports import html_page
from sassafras_policy.objectives import burn

Renderer = Callable[[fleet_report.FleetReport], str]

renderers: registry.Registry[Renderer] = registry.Registry("report renderer")

CONTENT_TYPES = {
    "text": "text/plain; charset=utf-8",
    "json": "application/json",
    "html": "text/html; charset=utf-8",
}

_PERCENTILES = (50, 99)


@renderers.register("text")
def render_text(report: fleet_report.FleetReport) -> str:
    """Returns the report as text for a terminal."""
    lines = [
        "Service-level burn report",
        f"nodes: {len(report.nodes)}, missing: {len(report.missing)}",
        *(f"  missing {missing}" for missing in sorted(report.missing)),
        "",
        f"{'service':<14}{'organisation':<22}{'objective':>10}"
        + "".join(f"{_format_window(w):>9}" for w in burn.WINDOWS_S)
        + "  verdict",
    ]
    for item in report.burns:
        rates = "".join(f"{rate:>9.2f}" for _, rate in item.rates)
        lines.append(
            f"{item.objective.service:<14}{item.organisation or '-':<22}"
            f"{item.objective.success_ratio:>10.4%}{rates}  {item.alert_level}"
        )
    if not report.burns:
        lines.append("no objective has data yet")
    lines += [
        "",
        f"{'service':<14}{'organisation':<22}{'requests':>10}{'failed':>8}"
        + "".join(f"{f'p{p} ms':>9}" for p in _PERCENTILES),
    ]
    max_window_s = max(burn.WINDOWS_S)
    for key, merged in sorted(
        report.series.items(), key=lambda p: (p[0].service, p[0].organisation)
    ):
        counts = merged.windows.get(max_window_s, burn.Counts())
        lines.append(
            f"{key.service:<14}{key.organisation or '-':<22}"
            f"{counts.total:>10}{counts.bad:>8}"
            + "".join(
                f"{merged.latency_ms.get_value_at_percentile(p):>9}"
                for p in _PERCENTILES
            )
        )
    return "\n".join(lines) + "\n"


@renderers.register("json")
def render_json(report: fleet_report.FleetReport) -> str:
    """Returns the report as JSON for scripts."""
    return json.dumps(
        {
            "nodes": sorted(report.nodes),
            "missing": sorted(report.missing),
            "objectives": [
                {
                    "service": item.objective.service,
                    "organisation": item.organisation,
                    "success_ratio": item.objective.success_ratio,
                    "latency_ms": item.objective.latency_ms,
                    "burn_rates": dict(item.rates),
                    "verdict": str(item.alert_level),
                }
                for item in report.burns
            ],
            "series": [
                {
                    "service": key.service,
                    "organisation": key.organisation,
                    "windows": {
                        window_s: {"total": counts.total, "bad": counts.bad}
                        for window_s, counts in merged.windows.items()
                    },
                    "latency_ms": {
                        f"p{p}": merged.latency_ms.get_value_at_percentile(p)
                        for p in _PERCENTILES
                    },
                }
                for key, merged in report.series.items()
            ],
        }
    )


@renderers.register("html")
def render_html(report: fleet_report.FleetReport) -> str:
    """Returns the report as one self-contained page with plots."""
    return html_page.render(report)


def _format_window(seconds: int) -> str:
    return f"{seconds // 3600} h" if seconds >= 3600 else f"{seconds // 60} min"
