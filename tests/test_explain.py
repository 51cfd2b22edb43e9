"""Logs that never block, and the way from a request's id to its cause."""

import itertools
import logging
import os
import signal
import subprocess
import sys

import anyio
import pytest

from ebonywell.explain import explain, parse_line
from ebonywell.linelog import (
    MAX_LINES_PER_S,
    MAX_PENDING_LINES,
    LineLog,
    capture_library_messages,
)
from lab.platform_world import configuration, run_scenario
from lab.standin_http import Reply


def read(descriptor):
    return os.read(descriptor, 1 << 20).decode()


def test_nobody_reads_and_nothing_blocks():
    reader, writer = os.pipe()
    log = LineLog(writer, host='h')
    log.lines_per_s = 10**6
    for number in range(20_000):
        log.event('request_ended', request=f'id-{number}')
    assert log.dropped
    assert len(log.pending) <= MAX_PENDING_LINES
    assert 'event=request_ended host=h request=id-0' in read(reader)
    log.flush()
    assert 'request=id-' in read(reader)
    os.close(reader)
    log.flush()
    log.event('after', x=1)
    os.close(writer)


def test_repeats_beyond_the_bound_are_counted(monkeypatch):
    now = [100.0]
    monkeypatch.setattr('ebonywell.linelog.boot_time', lambda: now[0])
    reader, writer = os.pipe()
    log = LineLog(writer)
    log.lines_per_s = 5
    for _ in range(12):
        log.event('many')
    log.event('other')
    now[0] = 101.5
    log.event('next')
    lines = read(reader).splitlines()
    assert sum('event=many' in line for line in lines) == 5
    assert any('event=lines_left_out of=many count=7' in one for one in lines)
    os.close(reader)
    os.close(writer)


def test_many_answers_of_one_status_do_not_hide_the_cut_ones():
    reader, writer = os.pipe()
    log = LineLog(writer)
    log.lines_per_s = 5
    for status in (*itertools.repeat(200, 12), 0, 503, 0):
        log.event('request_ended', status=status)
    lines = read(reader).splitlines()
    assert sum('status=200' in line for line in lines) == 5
    assert sum('status=0' in line for line in lines) == 2
    os.close(reader)
    os.close(writer)


@pytest.fixture
def root_logger():
    """Give the root logger back its handlers after a test."""
    root = logging.getLogger()
    before = tuple(root.handlers)
    level = root.level
    yield root
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    for handler in before:
        root.addHandler(handler)
    root.setLevel(level)


@pytest.mark.usefixtures('root_logger')
def test_messages_of_libraries_become_events_of_one_line():
    reader, writer = os.pipe()
    log = LineLog(writer, host='h')
    capture_library_messages(log.event)
    for _ in range(3 * MAX_LINES_PER_S):
        logging.getLogger('asyncio').warning('socket.send() raised')
    error = ValueError('bad')
    logging.getLogger('other').error('task failed', exc_info=error)
    lines = read(reader).splitlines()
    assert len(lines) <= MAX_LINES_PER_S
    assert 'logger=asyncio level=warning' in lines[0]
    assert all(line.startswith('time=') for line in lines)
    os.close(reader)
    os.close(writer)


def test_a_brief_log_keeps_what_went_wrong():
    reader, writer = os.pipe()
    log = LineLog(writer)
    log.is_brief = True
    log.event('request_routed', request='r')
    log.event('request_ended', request='r1', status=200)
    log.event('request_ended', request='r2', status=503)
    log.event('request_ended', request='r3', status=0)
    log.event('store_lost', topic='t')
    events = [parse_line(line).event for line in read(reader).splitlines()]
    assert events == ['request_ended', 'request_ended', 'store_lost']
    os.close(reader)
    os.close(writer)


def test_a_reload_changes_how_much_is_logged(tmp_path):
    async def story(world):
        host = world.hosts['host-1']
        world.set_log(host, level='warning')
        host.process.send_signal(signal.SIGHUP)
        await world.wait_logged('event=reloaded')
        before = host.log().count('event=request_ended')
        assert (await world.ask(host, '/look/1')).status == 200
        world.set_log(host, level='loud')
        host.process.send_signal(signal.SIGHUP)
        await world.wait_logged('event=settings_unreadable')
        assert (await world.ask(host, '/look/1')).status == 200
        assert host.log().count('event=request_ended') == before

    run_scenario(tmp_path, story)


def test_a_line_is_read_back_as_it_was_written():
    line = parse_line('time=1.5 event=x host=h why="a b c" n=3')
    assert (line.at, line.event) == (1.5, 'x')
    assert line.fields['n'] == '3'
    assert parse_line('Traceback (most recent call last):') is None


def test_a_story_holds_what_its_hosts_went_through():
    lines = [
        'time=1 event=store_lost host=a topic=config why=timeout',
        'time=2 event=store_lost host=b topic=config why=timeout',
        'time=3 event=request_ended host=a request=r1 status=503 reason=stale',
        'time=3 event=request_ended host=a request=r2 status=200',
        'time=90 event=store_regained host=a',
    ]
    story = explain('r1', lines)
    assert [one.event for one in story] == ['store_lost', 'request_ended']
    assert explain('r9', lines) == []


def run_explain(request_id, *paths):
    return subprocess.run(
        [sys.executable, '-m', 'ebonywell', 'explain', request_id, *paths],
        capture_output=True,
        text=True,
        check=False,
    )


def test_three_walks_from_an_id_to_its_cause(tmp_path):
    """A refusal at the limit, a stream that broke, an unknown outcome."""

    async def story(world):
        host = world.hosts['host-1']
        for name in ('pool-1', 'pool-2'):
            replica = world.replicas[name]

            def cutting(replica):
                async def cut(request):
                    reply = replica.run(request)
                    reply.cut_after = 2
                    return reply

                return cut

            replica.behave = cutting(replica)
        assert not (await world.chat(host)).is_whole
        broken = f'id-{world.ids}'
        for name in ('desk-1', 'desk-2'):

            async def lose(request):
                return Reply(200, raw=b'HTTP/1.1')

            world.replicas[name].behave = lose
        assert (await world.ask(host, '/book/1')).status == 502
        unknown = f'id-{world.ids}'
        world.store.put('keyed.op', 'config', configuration(2, rate=1))
        await world.wait_logged('version=2')
        for _ in range(3):
            answer = await world.ask(host, '/look/1')
        assert answer.status == 429
        refused = f'id-{world.ids}'
        await anyio.sleep(0.3)
        for request_id, words in (
            (broken, ['reason=cut_stream_broken', 'target=pool-']),
            (unknown, ['status=502', 'reason=broken', 'target=desk-']),
            (refused, ['event=limit_refused', 'allowed=9', 'version=2']),
        ):
            ended = run_explain(request_id, host.log_path)
            assert ended.returncode == 0, ended.stderr
            for word in words:
                assert word in ended.stdout, (word, ended.stdout)
        missing = run_explain('id-none', host.log_path)
        assert missing.returncode == 2
        assert 'no line names request id-none' in missing.stderr

    run_scenario(tmp_path, story)
