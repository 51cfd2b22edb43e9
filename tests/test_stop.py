"""Tests of stopping an entry process by signals during a call."""

import functools
import os
import signal
import socket
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from ebonywell.misc import split_address
from lab.client import bearer
from lab.deployment import Deployment
from lab.processes import wait
from lab.shape import Shape

STOP_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.002
LARGE_BODY = b'x' * 8_000_000
REQUEST_HEAD = b'\r\n'.join(
    [
        b'POST /v1/services/stock/count HTTP/1.1',
        b'host: entry',
        b'authorization: Bearer %b',
        b'content-length: %d',
        b'',
        b'',
    ],
)
LONG_CALL = {
    'model': 'quote',
    'stream': True,
    'max_tokens': 200,
    'messages': [{'role': 'user', 'content': 'a long cutting plan'}],
}


async def stop_in_mid_stream(signals, **shape):
    """Signal an entry process in mid-stream; return text and exit code."""
    async with Deployment(Shape(entries=1, **shape)) as deployment:
        await deployment.apply_catalogue()
        issued = await deployment.operator.issue_key('counter')
        member = deployment.entries['entry-1']
        parts = []
        async with deployment.client.stream(
            'POST',
            f'{member.url}/v1/chat/completions',
            bearer(issued.key),
            LONG_CALL,
        ) as stream:
            async for chunk in stream.chunks():
                parts.append(chunk)
                if len(parts) == 1:
                    for number in signals:
                        member.send_signal(number)
                        await anyio.sleep(0.2)
        return b''.join(parts), await wait(member)


def test_a_stream_completes_after_one_signal():
    text, code = anyio.run(stop_in_mid_stream, [signal.SIGTERM])
    assert text.endswith(b'data: [DONE]\n\n')
    assert code == 0


@pytest.mark.parametrize(
    'signals',
    [[signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP]],
)
def test_a_hangup_before_or_during_a_stop_cuts_no_stream(signals):
    text, code = anyio.run(stop_in_mid_stream, signals)
    assert text.endswith(b'data: [DONE]\n\n')
    assert code == 0


def check_cut(text, code):
    """Check that a stream ends with an error that reports the stop."""
    assert b'[DONE]' not in text
    last = text.split(b'\n\n')[-2].removeprefix(b'data: ')
    error = msgspec.json.decode(last)['error']
    assert error['code'] == 'host_stopping'
    assert error['run_state'] == 'ran'
    assert code == 0


def test_a_second_signal_cuts_a_stream_with_an_error():
    twice = [signal.SIGTERM, signal.SIGTERM]
    check_cut(*anyio.run(stop_in_mid_stream, twice))


def test_the_end_of_the_grace_period_cuts_a_stream_with_an_error():
    stop = functools.partial(
        stop_in_mid_stream,
        entry_flags=('--grace-s', '1'),
        hosts_ttl_s=0,
        token_ms=100,
    )
    check_cut(*anyio.run(stop, [signal.SIGTERM]))


async def signal_as_it_exits(number):
    """Stop an entry process, signal it as it exits; return its exit code."""
    async with Deployment(Shape(entries=1, hosts_ttl_s=0)) as deployment:
        member = deployment.entries['entry-1']
        member.send_signal(signal.SIGTERM)
        with anyio.fail_after(STOP_TIMEOUT_S):
            while 'event=stopped' not in member.read_log():
                await anyio.sleep(POLL_INTERVAL_S)
        # `Popen.send_signal` polls the process first, which may reap it and
        # lose its exit code.
        os.kill(member.pid, number)
        return await wait(member)


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_at_the_end_of_a_stop_does_not_change_the_exit_code(number):
    assert anyio.run(signal_as_it_exits, number) == 0


@asynccontextmanager
async def open_raw_request(body, length, **shape):
    """Send a request head and part of the body; yield host and stream."""
    async with Deployment(Shape(entries=1, **shape)) as deployment:
        await deployment.apply_catalogue()
        issued = await deployment.operator.issue_key('counter')
        member = deployment.entries['entry-1']
        ip, port = split_address(member.address)
        async with await anyio.connect_tcp(ip, port) as caller:
            raw = caller.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            head = REQUEST_HEAD % (issued.key.encode(), length)
            await caller.send(head + body)
            await anyio.sleep(1)
            yield member, caller


async def stop_while_nothing_is_read():
    """Stop a process whose caller does not read; return its exit code."""
    flags = ('--grace-s', '1')
    shape = {'hosts_ttl_s': 0, 'entry_flags': flags}
    length = len(LARGE_BODY)
    async with open_raw_request(LARGE_BODY, length, **shape) as (member, _):
        member.send_signal(signal.SIGTERM)
        return await wait(member, STOP_TIMEOUT_S), member.read_log()


def test_a_caller_that_does_not_read_does_not_delay_a_stop():
    code, log = anyio.run(stop_while_nothing_is_read)
    assert code == 0
    assert 'event=connections_cut' in log


async def stop_while_a_body_is_missing(signals, **shape):
    """Stop a process that reads a request; return exit code and answer."""
    async with open_raw_request(b'', 9, **shape) as (member, caller):
        for number in signals:
            member.send_signal(number)
            await anyio.sleep(0.2)
        code = await wait(member, STOP_TIMEOUT_S)
        parts = [part async for part in caller]
        return code, b''.join(parts)


@pytest.mark.parametrize(
    ('signals', 'grace_s', 'hosts_ttl_s'),
    [
        ([signal.SIGTERM], 1, 0),
        ([signal.SIGTERM, signal.SIGTERM], 60, 0),
        ([signal.SIGTERM, signal.SIGTERM], 60, 60),
    ],
    ids=['end of grace', 'second signal', 'second signal in the pause'],
)
def test_a_request_still_being_read_is_rejected_when_a_stop_cuts_it(
    signals,
    grace_s,
    hosts_ttl_s,
):
    stop = functools.partial(
        stop_while_a_body_is_missing,
        signals,
        entry_flags=('--grace-s', str(grace_s)),
        hosts_ttl_s=hosts_ttl_s,
    )
    code, answer = anyio.run(stop)
    assert code == 0
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'connection: close' in head
    assert b'retry-after: 1' in head
    error = msgspec.json.decode(body)['error']
    assert error['code'] == 'host_stopping'
    assert error['run_state'] == 'not_run'


async def query_leaving_host(path):
    """Return the answer of a stopping process before its sockets close."""
    async with Deployment(Shape(entries=1, hosts_ttl_s=10)) as deployment:
        member = deployment.entries['entry-1']
        member.send_signal(signal.SIGTERM)
        with anyio.fail_after(STOP_TIMEOUT_S):
            while 'event=signal' not in member.read_log():
                await anyio.sleep(POLL_INTERVAL_S)
        await anyio.sleep(0.5)
        return await deployment.client.ask('GET', f'{member.url}{path}')


@pytest.mark.parametrize('path', ['/v1/hosts', '/v1/models', '/v1/none'])
def test_a_leaving_host_closes_the_connection_after_any_answer(path):
    answer = anyio.run(query_leaving_host, path)
    assert answer.headers['connection'] == 'close'
