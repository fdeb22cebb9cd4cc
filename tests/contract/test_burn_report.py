"""Burn rates, their windows and the formats of the report."""

import json

import pytest

from sassafras_base import clock as clocks
from sassafras_node.reports import fleet_report
from sassafras_node.reports import recorder
from sassafras_node.reports import renderers
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import active_configuration
from sassafras_policy.configuration import document as documents
from sassafras_policy.objectives import burn
from sassafras_policy.objectives import window_counter

OBJECTIVE = documents.Objective("desk", "*", success_ratio=0.99, latency_ms=50)
KEY = recorder.SeriesKey("desk", "bank <main>")


def _windows(short, long):
    return {300: short, 1800: short, 3600: long, 21600: long}


@pytest.mark.parametrize(
    ("short", "long", "alert_level"),
    [
        (burn.Counts(0, 0), burn.Counts(0, 0), burn.AlertLevel.NO_DATA),
        (burn.Counts(100, 0), burn.Counts(1000, 0), burn.AlertLevel.OK),
        # A short spike alone raises no alert.
        (burn.Counts(100, 50), burn.Counts(10000, 50), burn.AlertLevel.OK),
        # A cause that has ended raises no alert.
        (burn.Counts(100, 0), burn.Counts(1000, 500), burn.AlertLevel.OK),
        (burn.Counts(100, 10), burn.Counts(1000, 100), burn.AlertLevel.TICKET),
        (burn.Counts(100, 20), burn.Counts(1000, 200), burn.AlertLevel.PAGE),
    ],
)
def test_an_alert_needs_both_windows(short, long, alert_level):
    """Guards against alerts for spikes and alerts that outlast their cause."""
    result = burn.evaluate(OBJECTIVE, "bank", _windows(short, long))
    assert result.alert_level is alert_level


def test_requests_leave_the_windows_as_time_passes():
    """Guards against counts that never age or that age too early."""
    counter = window_counter.WindowCounter()
    counter.record(is_bad=True, now=1000.0)
    counter.record(is_bad=False, now=1100.0)
    assert counter.windows(1110.0)[300] == burn.Counts(2, 1)
    assert counter.windows(1000.0 + 360)[300] == burn.Counts(1, 0)
    assert counter.windows(1000.0 + 360)[3600] == burn.Counts(2, 1)
    assert counter.windows(1000.0 + 22000)[21600] == burn.Counts(0, 0)


def _recorder():
    configuration = active_configuration.ActiveConfiguration()
    configuration.offer(documents.Document(revision=1, objectives=(OBJECTIVE,)))
    return recorder.Recorder(configuration, clocks.TrioClock())


@pytest.mark.parametrize(
    ("response", "latency_s", "expected"),
    [
        (messages.CallResponse(outcomes.Outcome.RAN), 0.01, burn.Counts(1, 0)),
        (messages.CallResponse(outcomes.Outcome.RAN), 0.06, burn.Counts(1, 1)),
        (
            messages.CallResponse(outcomes.Outcome.RAN, status=503),
            0.01,
            burn.Counts(1, 1),
        ),
        (
            messages.refusal(outcomes.Reason.OVERLOAD, 503, "x"),
            0.0,
            burn.Counts(1, 1),
        ),
        (
            messages.refusal(outcomes.Reason.ORGANISATION_LIMIT, 429, "x"),
            0.0,
            burn.Counts(0, 0),
        ),
        (
            messages.refusal(outcomes.Reason.UNAUTHENTICATED, 401, "x"),
            0.0,
            burn.Counts(0, 0),
        ),
    ],
)
async def test_only_failures_of_the_system_use_the_budget(
    response, latency_s, expected
):
    """Guards against budgets used up by callers' own violations."""
    recorded = _recorder()
    recorded.record(KEY, response, latency_s)
    assert recorded.windows(KEY)[300] == expected


async def test_the_number_of_series_is_bounded():
    """Guards against memory growth through arbitrary names."""
    recorded = _recorder()
    for number in range(recorder.MAX_SERIES + 10):
        key = recorder.SeriesKey("desk", f"organisation-{number}")
        recorded.record(key, messages.CallResponse(outcomes.Outcome.RAN), 0.001)
    assert len(recorded.series) == recorder.MAX_SERIES


def _report():
    latency_ms = recorder.new_histogram()
    for value in (5, 10, 400):
        latency_ms.record_value(value)
    windows = _windows(burn.Counts(100, 20), burn.Counts(1000, 200))
    return fleet_report.FleetReport(
        series={KEY: fleet_report.MergedSeries(windows, latency_ms)},
        nodes=["10.0.0.1:7401"],
        missing=["10.0.0.2:7401: timed out"],
        burns=[burn.evaluate(OBJECTIVE, KEY.organisation, windows)],
    )


@pytest.mark.parametrize("name", renderers.renderers.names)
def test_every_format_shows_the_verdict_and_the_missing_nodes(name):
    """Guards against a report that omits missing nodes or alerts."""
    rendered = renderers.renderers.get(name)(_report())
    assert "page" in rendered
    assert "10.0.0.2:7401" in rendered
    assert name in renderers.CONTENT_TYPES


def test_the_page_is_self_contained_and_escapes_names():
    """Guards against external resources and script injection by names."""
    page = renderers.render_html(_report())
    assert "bank &lt;main&gt;" in page
    assert "bank <main>" not in page
    assert "src=" not in page
    assert "href=" not in page


def test_the_json_format_can_be_parsed_and_has_percentiles():
    """Guards against scripts that cannot read the report."""
    content = json.loads(renderers.render_json(_report()))
    assert content["objectives"][0]["verdict"] == "page"
    assert content["series"][0]["latency_ms"]["p99"] >= 400
