"""Time line of one process, and merged time lines of several processes."""

import random

import pytest

from ebonywell import timeline


class Clock:
    """Wall clock that tests can set, also backwards."""

    def __init__(self):
        self.now = 100

    def __call__(self):
        """Return the current time of the clock."""
        return self.now


@pytest.fixture
def clock():
    """Make a clock at 100 seconds."""
    return Clock()


def test_a_clock_that_goes_back_does_not_reorder_events(clock):
    line = timeline.Timeline('entry-1/a', wall_clock=clock)
    line.record('first')
    clock.now = 50
    line.record('second')
    shuffled = list(line.events)
    random.Random(1).shuffle(shuffled)
    names = [event.event for event in timeline.merge([shuffled])]
    assert names == ['first', 'second']


def test_several_processes_are_merged_by_time(clock):
    lines = [
        timeline.Timeline(f'entry-{n}/a', wall_clock=clock) for n in (1, 2)
    ]
    for step in range(6):
        clock.now = 100 + step
        lines[step % 2].record(f'step_{step}')
    merged = timeline.merge(line.events for line in lines)
    assert [event.event[-1] for event in merged] == list('012345')


def test_events_are_filtered_and_bounded(clock):
    line = timeline.Timeline('entry-1/a', wall_clock=clock, capacity=10)
    for step in range(30):
        clock.now = 100 + step
        line.record(
            'sent', request=f'r{step}', target=f't{step % 2}', step=step
        )
    assert len(line.events) == 10
    assert line.recorded_count == 30
    wanted = timeline.EventFilter(target='t1', since=125, limit=2)
    chosen = line.select(wanted)
    assert [event.request for event in chosen] == ['r27', 'r29']
    assert chosen[0].fields == {'step': '27'}


def test_an_event_is_logged_with_its_non_empty_fields(clock):
    written = []
    line = timeline.Timeline(
        'entry-1/a',
        log=lambda event, /, **fields: written.append((event, fields)),
        wall_clock=clock,
    )
    line.record('sent', request='r1', bytes=3)
    assert written == [('sent', {'request': 'r1', 'bytes': 3})]
