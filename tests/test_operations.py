"""Operators' HTTP routes of an entry process."""

import contextlib
import functools

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from starlette.applications import Starlette
from trio.testing import MockClock

from ebonywell import catalogue, changes, metrics, operations, replica, timeline
from ebonywell.logs import discard_event
from ebonywell.types import EntryKind, HostId

from .fakes import MemoryLog, ask

QUOTE = changes.Entry('quote', EntryKind.model, bytes=10)
COUNTER = changes.Workspace('counter', rate=10, burst=20)
HUGE = 1 << 64
DIGEST = catalogue.key_digest('secret')


class Host:
    """Entry process that has only the operators' routes."""

    def __init__(self, log):
        self.withdrawn = []
        host = HostId('entry-1', 'a')
        self.replica = replica.Replica(log, host, discard_event)
        self.timeline = timeline.Timeline(str(host))
        self.operations = operations.OperatorRoutes(
            self.replica,
            'token',
            self.timeline,
            metrics.Metrics(),
            withdraw=self.withdrawn.append,
        )
        self.app = Starlette(routes=self.operations.routes())
        self.ask = functools.partial(ask, self.app, token='token')

    async def change(self, record):
        """Post one change and return the status and body."""
        content = msgspec.json.encode(record)
        return await self.ask('POST', '/operator/v1/changes', content)


@contextlib.asynccontextmanager
async def running(log):
    """Run a host that uses the given log."""
    host = Host(log)
    async with anyio.create_task_group() as group:
        ready = anyio.Event()
        group.start_soon(host.replica.run, ready.set)
        await ready.wait()
        yield host
        group.cancel_scope.cancel()


def in_virtual_time(test):
    """Run an async test on trio with a clock that jumps ahead."""

    @functools.wraps(test)
    def run():
        clock = MockClock(autojump_threshold=0)
        anyio.run(test, backend='trio', backend_options={'clock': clock})

    return run


@in_virtual_time
async def test_a_change_is_accepted_once_it_is_applied():
    async with running(MemoryLog()) as host:
        status, body = await host.change(changes.EntrySet(QUOTE))
        assert (status, body) == (200, {'revision': 1})
        assert host.replica.state.catalogue.entries == {'quote': QUOTE}
        view = (await host.ask('GET', '/operator/v1/catalogue'))[1]
        assert view['revisions'] == {'entry/quote': 1}


@in_virtual_time
async def test_a_conflict_reports_the_current_revision():
    log = MemoryLog()
    async with running(log) as first, running(log) as second:
        assert (await first.change(changes.WorkspaceSet(COUNTER)))[0] == 200
        other = msgspec.structs.replace(COUNTER, rate=99)
        status, body = await second.change(changes.WorkspaceSet(other))
        assert status == 409
        assert body['error']['code'] == 'conflict'
        assert body['error']['revision'] == 1
        kept = second.replica.state.catalogue.workspaces
        assert kept == {'counter': COUNTER}


@in_virtual_time
async def test_a_change_sent_twice_is_applied_once():
    log = MemoryLog()
    issued = changes.KeyIssued('k1', DIGEST, 'counter')
    async with running(log) as first, running(log) as second:
        for record in (changes.WorkspaceSet(COUNTER), issued):
            answers = [await host.change(record) for host in (first, second)]
            assert answers[0] == answers[1]
            assert answers[0][0] == 200
        taken = changes.KeyIssued('k1', '0' * 64, 'counter')
        assert (await first.change(taken))[0] == 400


@in_virtual_time
async def test_an_outage_reports_whether_the_change_may_take_effect():
    log = MemoryLog()
    log.append = _never_answers
    answers = {}
    async with running(log) as host, anyio.create_task_group() as group:
        for name in ('first', 'second'):
            named = msgspec.structs.replace(COUNTER, name=name)
            group.start_soon(_post, host, changes.WorkspaceSet(named), answers)
            await anyio.sleep(0.01)
    assert answers == {'first': (503, 'unknown'), 'second': (503, 'not_run')}


async def _post(host, record, answers):
    status, body = await host.change(record)
    answers[record.workspace.name] = (status, body['error']['run_state'])


async def _never_answers(records):
    await anyio.sleep_forever()


@in_virtual_time
async def test_a_change_with_a_lost_reply_is_found_in_the_log():
    log = MemoryLog()
    async with running(log) as host:
        log.log.lost_replies = 1
        status, body = await host.change(changes.WorkspaceSet(COUNTER))
        assert (status, body) == (200, {'revision': 1})


@in_virtual_time
async def test_a_withdrawal_is_passed_on_while_the_log_is_down():
    log = MemoryLog()
    async with running(log) as host:
        log.is_cut = True
        status, _ = await host.change(changes.KeyWithdrawn('k1'))
        assert status == 503
        assert host.withdrawn == ['k1']


@in_virtual_time
async def test_keys_are_listed_without_their_digests():
    async with running(MemoryLog()) as host:
        await host.change(changes.WorkspaceSet(COUNTER))
        await host.change(changes.KeyIssued('k1', DIGEST, 'counter'))
        status, body = await host.ask('GET', '/operator/v1/keys')
        key = {'key_id': 'k1', 'workspace': 'counter', 'withdrawn': False}
        assert (status, body) == (200, {'keys': [key]})


@in_virtual_time
async def test_all_routes_except_metrics_require_the_token():
    async with running(MemoryLog()) as host:
        for route in host.app.routes[:-1]:
            method = min(route.methods - {'HEAD'})
            for token in ('', 'other', 'token2', 'tøken'):
                status, _ = await ask(host.app, method, route.path, token=token)
                assert status == 401


@in_virtual_time
async def test_status_and_time_line_answer():
    log = MemoryLog()
    log.records.append({'of': 'another version'})
    async with running(log) as host:
        await host.change(changes.WorkspaceSet(COUNTER))
        status = (await host.ask('GET', '/operator/v1/status'))[1]
        assert status['applied'] == 1
        assert status['unreadable'] == 1
        seen = await host.ask('GET', '/operator/v1/timeline', query='since=1')
        assert seen[1]['events'][0]['event'] == 'change_accepted'
        odd = await host.ask('GET', '/operator/v1/timeline', query='since=x')
        assert odd[0] == 400


@pytest.mark.parametrize(
    'record',
    [
        changes.EntrySet(changes.Entry('a/b', EntryKind.model, bytes=1)),
        changes.EntrySet(changes.Entry('a', EntryKind.model)),
        changes.EntrySet(changes.Entry('a', EntryKind.service)),
        changes.WorkspaceSet(changes.Workspace('a', rate=-1, burst=1)),
        changes.KeyIssued('k1', 'the key itself', 'counter'),
        {'type': 'workspace_set', 'workspace': {'name': 'a'}},
        {'type': 'key_withdrawn', 'key_id': 'k1', 'colour': 'red'},
        {'type': 'no_such_change'},
        {'type': 'entry_removed', 'name': 'a', 'replaces': HUGE},
    ],
)
def test_a_bad_change_never_reaches_the_log(record):
    @in_virtual_time
    async def check():
        log = MemoryLog()
        async with running(log) as host:
            status, body = await host.change(record)
            assert (status, body['error']['code']) == (400, 'bad_change')
            assert not log.records

    check()


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected(content):
    @in_virtual_time
    async def check():
        async with running(MemoryLog()) as host:
            status, _ = await host.ask('POST', '/operator/v1/changes', content)
            assert status == 400

    check()


@in_virtual_time
async def test_a_host_that_an_operator_reports_as_ended_is_removed():
    requested = []

    async def end_host(name):
        requested.append(name)
        return name == 'entry-2'

    async with running(MemoryLog()) as host:
        host.operations.end_host = end_host
        path = '/operator/v1/hosts/{}/ended'
        done = await host.ask('POST', path.format('entry-2'))
        unknown = await host.ask('POST', path.format('entry-9'))
        assert done == (200, {'name': 'entry-2'})
        assert unknown[0] == 409
        assert requested == ['entry-2', 'entry-9']
