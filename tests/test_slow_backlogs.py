"""Decisions on callers that read slowly: who is too slow, and who is cut."""

import collections
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.callermemory import CallerMemory
from ebonywell.requestprogress import RequestProgress
from ebonywell.slowcallers import backlog as backlogs
from ebonywell.slowcallers.backlog import Backlog
from ebonywell.slowcallers.heldanswers import HoldingTransport
from ebonywell.slowcallers.victims import select_victim

IDLE_S = 15.0
HIGH_WATER = 10


class Exact:
    """The unread bytes with the time of each part, to compare with."""

    def __init__(self):
        self.parts = collections.deque()

    def write(self, count, now):
        self.parts.append([count, now])

    def take(self, count):
        while count and self.parts:
            taken = min(count, self.parts[0][0])
            count -= taken
            self.parts[0][0] -= taken
            if not self.parts[0][0]:
                self.parts.popleft()

    @property
    def unread(self):
        return sum(count for count, _ in self.parts)


@given(
    st.lists(
        st.tuples(st.integers(1, 50), st.integers(0, 60), st.floats(0.001, 5)),
        min_size=1,
        max_size=60,
    )
)
def test_the_age_of_unread_bytes_is_never_understated(steps):
    # Guards against a slow reader that passes for a quick one, and a quick one
    # that passes for a much slower one.
    found, exact, now, widest_s = Backlog(), Exact(), 100.0, 0.0
    found.begin(50, now)
    exact.write(50, now)
    for written, taken, pause_s in steps:
        now += pause_s
        found.add(written, now)
        exact.write(written, now)
        widest_s = max(widest_s, now - found.unread_since)
        exact.take(min(taken, exact.unread - 1))
        found.update(exact.unread, now)
        assert found.unread_bytes == exact.unread
        overstated_s = exact.parts[0][1] - found.unread_since
        allowed_s = max(
            backlogs.MARK_INTERVAL_S, backlogs.MARK_SHARE * widest_s
        )
        assert 0 <= overstated_s <= allowed_s + 1e-6


def test_marks_of_a_caller_that_never_reads_are_bounded():
    # Guards against small events whose marks take more than the events.
    found = Backlog()
    found.begin(1, 0)
    for number in range(60_000):
        found.add(1, number * 0.01)
    assert len(found.marks) < 130


@pytest.mark.parametrize(
    ('after_s', 'is_waiting', 'is_ended', 'reason'),
    [
        (backlogs.MAX_TARGET_WAIT_S, True, False, None),
        (backlogs.MAX_TARGET_WAIT_S + 0.1, True, False, 'target_waits'),
        (backlogs.MAX_TARGET_WAIT_S + 0.1, False, False, None),
        (IDLE_S + 0.1, False, False, 'answer_unread'),
        (backlogs.MAX_DRAIN_S, False, True, None),
        (backlogs.MAX_DRAIN_S + 0.1, False, True, 'end_unread'),
        (10 * backlogs.MAX_DRAIN_S, False, False, None),
    ],
)
def test_a_caller_is_cut_for_what_it_delays(
    after_s, is_waiting, is_ended, reason
):
    # Guards against a byte a second that keeps a target's slot, or a host's
    # memory after the end, and against cutting a slow one that delays nobody.
    found = Backlog()
    found.begin(1000, 0)
    if is_ended:
        found.note_ended(0)
    if reason != 'answer_unread':
        # It has just read a byte, so that it is not idle.
        found.update(999, after_s)
    fault = found.find_fault(after_s, IDLE_S, is_target_waiting=is_waiting)
    assert fault == reason


def test_a_caller_that_caught_up_begins_anew():
    # Guards against a caller that is cut for what it has read long ago.
    found = Backlog()
    found.begin(1000, 0)
    found.note_ended(1)
    found.clear()
    assert not found.is_behind
    found.begin(10, 99)
    assert found.find_fault(100, IDLE_S, is_target_waiting=True) is None


class Connections:
    """Connections that free their memory when they are given up."""

    def __init__(self, max_bytes):
        self.memory = CallerMemory(max_bytes)
        self.given_up = []
        self.holdings = {}

    def note(self, name, kept_bytes, unread_since=None):
        if name not in self.holdings:
            self.holdings[name] = self.memory.open(lambda: self.give_up(name))
        self.memory.update(
            self.holdings[name],
            kept_bytes,
            is_optional=True,
            unread_since=unread_since,
        )

    def give_up(self, name):
        self.given_up.append(name)
        self.memory.close(self.holdings[name])


def test_the_slowest_reader_is_cut_not_the_newest_or_the_largest():
    # Guards against the one being cut whose bytes were one too many.
    connections = Connections(100)
    connections.note('slowest', 30, unread_since=1)
    connections.note('largest', 50, unread_since=2)
    connections.note('newest', 20, unread_since=3)
    assert not connections.given_up
    connections.note('newest', 21, unread_since=3)
    assert connections.given_up == ['slowest']
    connections.note('newest', 51, unread_since=3)
    assert connections.given_up == ['slowest', 'largest']
    assert connections.memory.total_bytes == 51


def test_no_more_readers_are_cut_than_the_memory_needs():
    # Guards against one reader too many that ends all of them.
    connections = Connections(1000)
    for number in range(101):
        connections.note(number, 10, unread_since=number)
    assert connections.given_up == [0]


def test_readers_and_senders_take_no_memory_from_each_other():
    # Guards against uploads without end that cut slow readers, and the reverse.
    connections = Connections(100)
    connections.note('reader', 40, unread_since=1)
    connections.note('small upload', 5)
    connections.note('upload', 56)
    assert connections.given_up == ['upload']
    connections.note('other reader', 56, unread_since=2)
    assert connections.given_up == ['upload', 'reader']


@given(
    st.lists(
        st.tuples(st.integers(1, 9), st.none() | st.integers(0, 5)), max_size=9
    )
)
def test_a_victim_is_found_whenever_there_is_one(found):
    # Guards against memory that stays full while some of it could be freed.
    connections = Connections(1000)
    for number, (kept, since) in enumerate(found):
        connections.note(number, kept, since)
    victim = select_victim(connections.memory.holdings)
    assert (victim is None) == (not found)


class Transport:
    """A transport in memory, whose peer reads when told to."""

    def __init__(self):
        self.buffer = b''
        self.read = b''
        self.is_paused = False
        self.is_closed = False
        self.is_aborted = False

    def connect(self, output):
        self.output = output

    def write(self, content):
        assert not self.is_closed
        self.buffer += content
        if len(self.buffer) > HIGH_WATER and not self.is_paused:
            self.is_paused = True
            self.output.block()

    def take(self, count):
        self.read += self.buffer[:count]
        self.buffer = self.buffer[count:]
        if self.is_paused and len(self.buffer) <= HIGH_WATER / 4:
            self.is_paused = False
            self.output.unblock()

    def get_write_buffer_size(self):
        return len(self.buffer)

    def is_closing(self):
        return self.is_closed or self.is_aborted

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_aborted = True


def make_output():
    transport = Transport()
    ticks = itertools.count()
    output = HoldingTransport(
        transport, RequestProgress(0), lambda: float(next(ticks))
    )
    transport.connect(output)
    output.begin_request()
    output.begin_stream()
    return output, transport


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 30))))
def test_held_bytes_are_sent_in_order_and_counted_once(steps):
    # Guards against bytes that are lost, doubled or reordered between the two
    # buffers, and against a close before the last of them.
    output, transport = make_output()
    written = b''
    for number, (size, taken) in enumerate(steps):
        part = bytes([number % 256]) * size
        written += part
        output.write(part)
        transport.take(taken)
        assert output.unread_bytes == len(written) - len(transport.read)
        is_behind = bool(output.holds_back or output.state.is_blocked)
        assert output.backlog.is_behind == is_behind
    output.close()
    assert output.is_closing()
    while transport.buffer:
        assert not (transport.is_closed and output.holds_back)
        transport.take(7)
    assert transport.read == written
    assert transport.is_closed


def test_the_end_of_the_connection_cancels_a_stream_that_is_held_back():
    # Guards against a caller that has left and whose request goes on until all
    # that was held back is sent.
    output, transport = make_output()
    output.write(b'x' * 30)
    output.write(b'x' * 30)
    assert not output.end_reading()
    assert transport.is_aborted


def test_the_end_of_the_connection_leaves_a_whole_answer():
    # Guards against a caller that ends its side and then reads in vain.
    output, transport = make_output()
    output.write(b'x' * 30)
    output.write(b'end')
    output.end_answer()
    assert output.end_reading()
    while transport.buffer:
        transport.take(7)
    assert transport.read == b'%send' % (b'x' * 30)
    assert transport.is_closed
