"""Operators' commands against entry processes on loopback."""

import contextlib
import functools
import json
import sys

import anyio
import msgspec
import pytest
import uvicorn

from ebonywell import changes, cmdline, web
from ebonywell.catalogue import find_key
from ebonywell.control import OperatorCommands
from ebonywell.exceptions import NotReachableError, OutcomeUnknownError
from ebonywell.exitcodes import ExitCode
from ebonywell.opclient import OperatorClient
from ebonywell.timeline import EventFilter

from .fakes import MemoryLog
from .test_catfile import GOOD
from .test_operations import running

UNREACHABLE_URL = 'http://127.0.0.1:1'


def on_loopback(test):
    """Run an async test on asyncio, which uvicorn requires."""

    @functools.wraps(test)
    def run(**fixtures):
        anyio.run(functools.partial(test, **fixtures))

    return run


@contextlib.asynccontextmanager
async def serving(log):
    """Serve the operators' routes of a host; yields the host and its URL."""
    with web.bind('127.0.0.1:0') as bound:
        async with running(log) as host, anyio.create_task_group() as group:
            config = uvicorn.Config(
                host.app, log_config=None, lifespan='off', ws='none'
            )
            server = uvicorn.Server(config)
            server.capture_signals = contextlib.nullcontext
            group.start_soon(server.serve, [bound])
            yield host, f'http://127.0.0.1:{bound.getsockname()[1]}'
            server.should_exit = True


@contextlib.asynccontextmanager
async def operator(*urls):
    """Yield the operators' commands with a client for some URLs."""
    async with OperatorClient(urls, 'token') as client:
        yield OperatorCommands(client)


@pytest.fixture
def good_file(tmp_path):
    """Write a catalogue file without faults."""
    path = tmp_path / 'catalogue.toml'
    path.write_text(GOOD)
    return path


@on_loopback
async def test_apply_sends_only_differences(good_file):
    async with (
        serving(MemoryLog()) as (host, url),
        operator(UNREACHABLE_URL, url) as one,
    ):
        planned = await one.diff(good_file, prune=False)
        outcome = await one.apply(good_file, prune=False)
        assert outcome.code == ExitCode.ok
        assert [report.change for report in outcome.body['changes']] == (
            planned.body['changes']
        )
        assert len(host.replica.state.catalogue.revisions) == 4
        again = await one.apply(good_file, prune=False)
        assert again.lines == ['nothing to change']
        shown = await one.show_catalogue()
        assert any('quote' in line for line in shown.lines)


@on_loopback
async def test_a_conflict_with_another_operator_is_reported(good_file):
    log = MemoryLog()
    async with serving(log) as (host, url), operator(url) as one:
        fetch = one.client.fetch

        async def fetch_then_lose(path, kind):
            view = await fetch(path, kind)
            other = changes.Workspace('counter', 1, 1)
            await host.change(changes.WorkspaceSet(other))
            return view

        one.client.fetch = fetch_then_lose
        outcome = await one.apply(good_file, prune=False)
        assert outcome.code == ExitCode.conflict
        states = {each.change: each.state for each in outcome.body['changes']}
        assert states['add workspace counter'] == 'conflict'
        assert states['add entry quote'] == 'accepted'


@on_loopback
async def test_a_key_is_issued_and_withdrawn(good_file):
    log = MemoryLog()
    async with serving(log) as (host, url), serving(log) as (_, other):
        async with operator(url, other, UNREACHABLE_URL) as one:
            await one.apply(good_file, prune=False)
            issued = (await one.issue_key('counter')).body
            assert issued['key'] not in json.dumps(log.records)
            table = host.replica.state.catalogue
            assert find_key(table, issued['key']).workspace == 'counter'
            outcome = await one.withdraw_key(issued['key_id'])
            assert outcome.code == ExitCode.ok
            assert len(outcome.lines) == 3
            await host.replica.wait_applied(len(log.records) - 1)
            assert find_key(table, issued['key']).withdrawn
            assert 'withdrawn' in (await one.list_keys()).lines[0]


@on_loopback
async def test_not_reachable_and_outcome_unknown_are_distinguished():
    withdrawn = changes.KeyWithdrawn('k1')
    async with operator(UNREACHABLE_URL) as one:
        with pytest.raises(NotReachableError):
            await one.client.send_change(withdrawn)
    async with (
        cutting_connections() as url,
        operator(UNREACHABLE_URL, url, UNREACHABLE_URL) as two,
    ):
        with pytest.raises(OutcomeUnknownError):
            await two.client.send_change(withdrawn)
        outcome = await two.withdraw_key('k1')
        assert outcome.code == ExitCode.outcome_unknown


@contextlib.asynccontextmanager
async def cutting_connections():
    """Serve by closing each connection once a request is received."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')

    async def cut(stream):
        async with stream:
            await stream.receive()

    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, cut)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f'http://127.0.0.1:{port}'
        group.cancel_scope.cancel()


@on_loopback
async def test_time_lines_of_two_hosts_are_merged():
    async with serving(MemoryLog()) as (first, url):
        async with serving(MemoryLog()) as (second, other):
            for step, host in enumerate((first, second, first)):
                host.timeline.record('step', request='r1', number=step)
                await anyio.sleep(0.002)
            first.timeline.record('elsewhere', request='r2')
            async with operator(url, other, UNREACHABLE_URL) as one:
                outcome = await one.timeline(EventFilter('r1'), lookback_s=60)
    numbers = [event.fields['number'] for event in outcome.body['events']]
    assert numbers == ['0', '1', '2']
    assert outcome.code == ExitCode.failed
    assert UNREACHABLE_URL in outcome.stderr_lines[0]


@pytest.mark.parametrize(
    ('arguments', 'code', 'words'),
    [
        ('catalogue check {good}', 0, '1 models, 1 services'),
        ('catalogue check {good}.not', 1, 'No such file'),
        ('key list', 2, '--operator-url'),
        (
            'key list --operator-url {url} --operator-token x',
            4,
            'not_reachable',
        ),
        ('status --operator-url {url} --operator-token x', 4, 'missing'),
        (
            'timeline --since x --operator-url {url} --operator-token x',
            2,
            '90s',
        ),
        (
            'catalogue remove entry a b --operator-url x --operator-token x',
            2,
            '',
        ),
        ('key list --operator-url x --operator-token x', 1, 'not an http URL'),
        ('no such command', 2, ''),
    ],
)
def test_commands_exit_with_their_codes(
    arguments, code, words, good_file, monkeypatch, capsys
):
    filled = arguments.format(good=good_file, url=UNREACHABLE_URL).split()
    output = ['--output', 'json'] if 'key list --' in arguments else []
    monkeypatch.setattr('sys.argv', ['ebonywell', *filled, *output])
    with pytest.raises(SystemExit) as ended:
        cmdline.main()
        sys.exit(0)
    assert ended.value.code == code
    captured = capsys.readouterr()
    assert words in captured.out + captured.err
    if output:
        assert 'error' in msgspec.json.decode(captured.out)
