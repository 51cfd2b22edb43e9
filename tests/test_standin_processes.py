"""Tests of stand-in processes that need real connections."""

import json
import subprocess
import sys
import threading
import time

import httpcore
import pytest

from lab.engine_answers import expected_words

SHORT_READ_TIMEOUT = {'timeout': {'read': 0.2}}


class StandIn:
    """Running stand-in process with a client."""

    def __init__(self, kind, *options):
        command = [sys.executable, '-m', f'lab.standin_{kind}', *options]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        first = self.process.stdout.readline()
        self.url = f'http://{json.loads(first)["address"]}'
        self.pool = httpcore.ConnectionPool()

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.pool.close()
        self.process.terminate()
        self.process.wait()
        self.process.stdout.close()

    def ask(self, method, path, body=None, **extensions):
        answer = self.pool.request(
            method,
            self.url + path,
            content=json.dumps(body).encode(),
            extensions=extensions,
        )
        return answer.status, json.loads(answer.content)

    def order(self, action, **fields):
        body = {'order_id': action, 'action': action, 'fencing': 1} | fields
        assert self.ask('POST', '/orders', body)[0] == 200

    def order_state(self, order_id):
        return self.ask('GET', f'/orders/{order_id}')[1]['state']

    def chat(self, prompt='coil', **fields):
        message = {'role': 'user', 'content': prompt}
        body = {'model': 'quote', 'messages': [message], 'max_tokens': 3}
        return json.dumps(body | fields).encode()

    def stream(self, **fields):
        """Return the received part of a stream and whether it was cut off."""
        parts = []
        path = f'{self.url}/v1/chat/completions'
        content = self.chat(stream=True, **fields)
        try:
            with self.pool.stream('POST', path, content=content) as answer:
                for part in answer.iter_stream():
                    parts.append(part)
        except httpcore.RemoteProtocolError:
            return b''.join(parts), True
        return b''.join(parts), False


@pytest.fixture
def engine():
    """Start an engine with one request slot and a loaded model."""
    options = ['--name=engine-1', '--max-running=1', '--token-ms=1']
    with StandIn('engine', *options) as target:
        target.order('load', model='quote', bytes=60)
        while target.order_state('load') == 'pending':
            time.sleep(0.01)
        yield target


def test_an_append_whose_reply_is_lost_is_stored():
    with StandIn('log') as log:
        log.ask('POST', '/fault', {'name': 'lose_reply', 'count': 1})
        with pytest.raises(httpcore.RemoteProtocolError):
            log.ask('POST', '/append', {'records': ['a']})
        assert log.ask('GET', '/bounds')[1]['end_offset'] == 1


def test_a_waiting_reader_does_not_delay_the_stop_of_a_stand_in():
    with StandIn('log') as log:
        path = f'{log.url}/read?offset=0&wait=60'
        with pytest.raises(httpcore.ReadTimeout):
            log.pool.request('GET', path, extensions=SHORT_READ_TIMEOUT)
        log.process.terminate()
        assert log.process.wait(timeout=30) == 0


def test_a_stream_is_complete_with_usage_or_cut_where_the_fault_says(engine):
    received, is_cut = engine.stream()
    events = [json.loads(one) for one in received.split(b'data: ')[1:-1]]
    deltas = [one['choices'][0]['delta']['content'] for one in events]
    assert deltas == expected_words('quote', 'coil', 3)
    assert events[-1]['usage']['total_tokens'] == 4
    assert (received.endswith(b'data: [DONE]\n\n'), is_cut) == (True, False)
    cut = {'name': 'cut_stream', 'after': 2, 'count': 1}
    engine.ask('POST', '/fault', cut)
    received, is_cut = engine.stream()
    assert (received.count(b'data: '), is_cut) == (2, True)


@pytest.mark.parametrize('is_streamed', [True, False])
def test_a_caller_that_disconnects_releases_its_slot(engine, is_streamed):
    engine.ask('POST', '/fault', {'name': 'slow', 'seconds': 60})
    with pytest.raises(httpcore.ReadTimeout):
        engine.pool.request(
            'POST',
            f'{engine.url}/v1/chat/completions',
            content=engine.chat(stream=is_streamed),
            extensions=SHORT_READ_TIMEOUT,
        ).read()
    engine.ask('DELETE', '/fault')
    assert engine.stream()[1] is False
    journal = engine.ask('GET', '/journal')[1]
    assert [one['finished'] for one in journal] == [False, True]


def test_memory_is_released_only_after_the_last_request_ends(engine):
    engine.ask('POST', '/fault', {'name': 'slow', 'seconds': 0.2})
    running = threading.Thread(target=engine.stream)
    running.start()
    while not engine.ask('GET', '/journal')[1]:
        time.sleep(0.01)
    engine.order('unload', model='quote')
    assert engine.ask('GET', '/report')[1]['used_bytes'] == 60
    refused = engine.pool.request(
        'POST',
        f'{engine.url}/v1/chat/completions',
        content=engine.chat(),
    )
    assert (refused.status, (b'x-not-run', b'1') in refused.headers) == (
        404,
        True,
    )
    running.join()
    while engine.order_state('unload') == 'pending':
        time.sleep(0.01)
    assert engine.ask('GET', '/report')[1]['used_bytes'] == 0
