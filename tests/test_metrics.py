"""Numbers that a scraper reads."""

import pytest

from ebonywell import metrics


@pytest.fixture
def numbers():
    """Make the numbers of a process that has done nothing yet."""
    return metrics.Metrics()


def test_counters_gauges_and_latencies_are_exposed(numbers):
    numbers.count('requests_total', entry='quote', code='ok')
    numbers.count('requests_total', by=2, code='ok', entry='quote')
    numbers.collectors.append(lambda sink: sink.gauge('keys', 7))
    for milliseconds in range(1, 101):
        numbers.observe('request_seconds', milliseconds / 1000)
    text = numbers.expose()
    assert 'ebonywell_requests_total{code="ok",entry="quote"} 3\n' in text
    assert '# TYPE ebonywell_keys gauge\nebonywell_keys 7\n' in text
    assert 'ebonywell_request_seconds_count 100\n' in text
    latency = numbers.latencies[metrics.Series('request_seconds')]
    assert latency.quantile_s(0.99) == pytest.approx(0.099, rel=0.02)


def test_labels_cannot_break_a_line(numbers):
    numbers.count('odd_total', label='a"b\nd')
    assert r'{label="a\"b\nd"} 1' in numbers.expose()


def test_durations_outside_the_range_are_clamped(numbers):
    numbers.observe('odd_seconds', -1)
    numbers.observe('odd_seconds', 10**9)
    latency = numbers.latencies[metrics.Series('odd_seconds')]
    assert latency.histogram.get_total_count() == 2


def test_the_number_of_series_is_bounded(numbers):
    for each in range(metrics.MAX_HISTOGRAMS + 5):
        numbers.observe('request_seconds', 0.1, entry=str(each))
    assert len(numbers.latencies) == metrics.MAX_HISTOGRAMS
    assert numbers.counters[numbers.dropped] == 5
