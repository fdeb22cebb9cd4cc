"""Metrics in the text format that a scraper reads."""

from prometheus_client import parser

from sassafras_node.mesh import measurements


def _samples(text):
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counts_latencies_and_values_can_be_read_by_a_scraper():
    """Guards against a page that a scraper rejects entirely."""
    counted = measurements.Measurements()
    counted.count("requests", 'a"b\n')
    counted.count("requests", 'a"b\n')
    counted.count("calls", "ran")
    for latency_s in (0.01, 0.02, 0.5):
        counted.observe("desk", latency_s)
    samples = _samples(counted.render({"peers": ("Other nodes.", 3)}))
    assert samples["sassafras_peers",] == 3
    kind = ("kind", 'a"b\n')
    assert samples["sassafras_requests_total", kind] == 2
    assert samples["sassafras_calls_total", ("kind", "ran")] == 1
    service = ("service", "desk")
    assert samples["sassafras_latency_ms_count", service] == 3
    median = samples["sassafras_latency_ms", ("quantile", "0.5"), service]
    assert 19 <= median <= 21


def test_services_beyond_the_bound_get_no_histogram():
    """Guards against memory that grows with the number of services."""
    counted = measurements.Measurements()
    for number in range(100):
        counted.observe(f"service-{number}", 0.01)
    samples = _samples(counted.render({}))
    counts = [s for s in samples if s[0] == "sassafras_latency_ms_count"]
    assert len(counts) == 64
