"""Metrics and their text exposition."""

import pytest

from ebonywell import metrics


@pytest.fixture
def sample_metrics():
    """Return empty metrics."""
    return metrics.Metrics()


def test_counters_gauges_and_latencies_are_exposed(sample_metrics):
    sample_metrics.count('requests_total', entry='quote', code='ok')
    sample_metrics.count('requests_total', by=2, code='ok', entry='quote')
    sample_metrics.collectors.append(lambda sink: sink.gauge('keys', 7))
    for milliseconds in range(1, 101):
        sample_metrics.observe('request_seconds', milliseconds / 1000)
    text = sample_metrics.expose()
    assert 'ebonywell_requests_total{code="ok",entry="quote"} 3\n' in text
    assert '# TYPE ebonywell_keys gauge\nebonywell_keys 7\n' in text
    assert 'ebonywell_request_seconds_count 100\n' in text
    latency = sample_metrics.latencies[metrics.Series('request_seconds')]
    assert latency.quantile_s(0.99) == pytest.approx(0.099, rel=0.02)


def test_label_values_are_escaped(sample_metrics):
    sample_metrics.count('odd_total', label='a"b\nd')
    assert r'{label="a\"b\nd"} 1' in sample_metrics.expose()


def test_durations_outside_the_range_are_clamped(sample_metrics):
    sample_metrics.observe('odd_seconds', -1)
    sample_metrics.observe('odd_seconds', 10**9)
    latency = sample_metrics.latencies[metrics.Series('odd_seconds')]
    assert latency.histogram.get_total_count() == 2


def test_the_number_of_series_is_bounded(sample_metrics):
    for each in range(metrics.MAX_HISTOGRAMS + 5):
        sample_metrics.observe('request_seconds', 0.1, entry=str(each))
    assert len(sample_metrics.latencies) == metrics.MAX_HISTOGRAMS
    assert sample_metrics.counters[sample_metrics.dropped] == 5
