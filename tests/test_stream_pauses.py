"""Tests how the longest pause of a stream is measured and reported."""

import anyio
import msgspec

from ebonywell.headroom.arrivals import (
    Arrivals,
    count_pauses,
    describe_pauses,
)
from ebonywell.metrics import Metrics
from ebonywell.platform.catalog import decode_configuration
from ebonywell.upstream import Connection


class SilentTransport:
    """Drops what is written."""

    def write(self, data):
        """Drop the request."""

    def resume_reading(self):
        """Do nothing."""


def arrive(*times, goal_s=0.0):
    arrivals = Arrivals(goal_s=goal_s)
    for at in times:
        arrivals.note(at)
    return arrivals


def test_the_longest_pause_and_its_place_are_found():
    arrivals = arrive(10, 10.1, 10.6, 10.7)
    assert describe_pauses(arrivals) == {
        'parts': 4,
        'longest_pause_s': 0.5,
        'longest_pause_after_s': 10.1 - 10,
        'pause_goal_s': 0.0,
    }


def test_an_answer_without_parts_says_nothing():
    assert describe_pauses(None) == {}
    assert describe_pauses(Arrivals()) == {}


def test_a_pause_between_two_targets_counts():
    """A caller waits through the change of targets of a resumed stream."""
    before = arrive(0, 0.1)
    early, late = arrive(0.9, 1), Arrivals()
    early.take_up(before, 0.4)
    late.take_up(before, 0.4)
    late.note(0.9)
    for one in early, late:
        assert one.longest_s == 0.9 - 0.1
        assert one.first_at == 0
    late.note(1)
    assert early == late


def test_a_longer_pause_before_the_change_of_targets_is_kept():
    before = arrive(0, 0.7)
    after = arrive(0.8, 0.9)
    after.take_up(before, 0)
    assert (after.longest_s, after.longest_from) == (0.7, 0)


def test_a_time_in_which_the_host_read_nothing_is_no_pause():
    """A slow caller must not look like a slow target."""
    arrivals = arrive(0, 0.1)
    arrivals.is_suspended = True
    arrivals.note(5)
    arrivals.note(5.2)
    assert round(arrivals.longest_s, 6) == 0.2


def test_streams_are_counted_by_whether_the_goal_was_missed():
    metrics = Metrics()
    for times in (0, 0.3), (0, 0.5), (0, 0.6), (0,):
        count_pauses(metrics, arrive(*times, goal_s=0.4))
    count_pauses(metrics, arrive(0, 9))
    count_pauses(metrics, None)
    shown = metrics.expose()
    assert 'stream_pauses_total{is_over_goal="true"} 2' in shown
    assert 'stream_pauses_total{is_over_goal="false"} 2' in shown


def test_pauses_are_measured_where_the_bytes_arrive(monkeypatch):
    """What the host does between two reads must not be counted."""
    clock = iter((0.0, 1.0, 1.1, 1.8, 9.0, 9.0))
    monkeypatch.setattr('ebonywell.upstream.boot_time', lambda: next(clock))

    async def scenario():
        connection = Connection()
        connection.transport = SilentTransport()
        exchange = connection.send(b'')
        connection.data_received(
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        for _ in range(3):
            connection.data_received(b'3\r\nd\n\n\r\n')
        for _ in range(4):
            await connection.receive(exchange)
        return exchange.arrivals

    arrivals = anyio.run(scenario)
    assert arrivals.parts == 3
    assert round(arrivals.longest_s, 6) == 0.7


def test_the_configuration_states_pause_goals_and_tokens_per_event():
    route = {
        'name': 'r', 'host': 'h', 'pathPrefix': '/', 'kind': 'streaming',
        'timeoutMs': 4000, 'service': 's',
    }  # fmt: skip
    engine = {'slots': 4, 'stride': 3}
    content = {
        'version': 1,
        'routes': [{**route, 'gapAimMs': 400}, {**route, 'pathPrefix': '/b/'}],
        'services': [
            {'name': 's', 'engine': engine},
            {'name': 'old', 'engine': {'slots': 4}},
        ],
    }
    found = decode_configuration(msgspec.json.encode(content))
    assert found.routes['h']['/'].pause_goal_s == 0.4
    assert found.routes['h']['/b/'].pause_goal_s == 0
    assert found.engines['s'].tokens_per_event == 3
    assert found.engines['old'].tokens_per_event == 1
