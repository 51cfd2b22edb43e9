"""Metrics and time-line events of calls and services."""

from types import SimpleNamespace

from ebonywell import gauges
from ebonywell.metrics import Metrics
from ebonywell.timeline import Timeline


def test_an_ended_call_is_counted_and_recorded_with_its_request_id():
    timeline = Timeline('entry-1/a')
    metrics = Metrics()
    entry = SimpleNamespace(name='quote')
    call = SimpleNamespace(request_id='r1', workspace='counter', entry=entry)
    opened = SimpleNamespace(call=call, target='engine-1')
    record_call = gauges.make_call_recorder(timeline, metrics)
    record_call(opened, SimpleNamespace(status=200), 0.25)
    event = timeline.events[0]
    assert (event.request, event.target) == ('r1', 'engine-1')
    text = metrics.expose()
    assert 'calls_total{entry="quote",status="200"} 1' in text
    assert 'call_seconds_count{entry="quote"} 1' in text


def test_gauges_are_updated_before_each_exposition():
    metrics = Metrics()
    timeline = Timeline('entry-1/a')
    timeline.record('frame_malformed')
    replica = SimpleNamespace(
        clock=lambda: 10,
        read_at=7,
        state=SimpleNamespace(applied=5),
        unreadable=2,
        appender=SimpleNamespace(appends=3),
    )
    traffic = SimpleNamespace(
        bytes_sent=1, messages_dropped=0, frames_malformed=4
    )
    peers = SimpleNamespace(known={'entry-2': None}, traffic=traffic)
    calls = SimpleNamespace(open={})
    gauges.add_gauge_sources(metrics, timeline, replica, peers, calls)
    text = metrics.expose()
    for line in (
        'log_age_seconds 3',
        'records_unreadable 2',
        'peer_frames_malformed 4',
        'events{event="frame_malformed"} 1',
    ):
        assert f'ebonywell_{line}\n' in text
