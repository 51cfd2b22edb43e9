"""The HTTP edge: its socket, its refusals, its own faults."""

import socket
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from ebonywell import server, web
from ebonywell.config import Settings
from ebonywell.exceptions import SettingsError
from ebonywell.logs import discard_event
from ebonywell.state import State


def test_the_listening_socket_names_its_protocol():
    """Without it asyncio leaves Nagle's algorithm on, at 40 ms an answer."""
    with server.bind('127.0.0.1:0') as bound:
        assert bound.proto == socket.IPPROTO_TCP


def test_an_address_in_use_is_a_settings_error():
    with server.bind('127.0.0.1:0') as bound:
        number, port = bound.getsockname()
        with pytest.raises(SettingsError, match='--listen'):
            server.bind(f'{number}:{port}')


class FailingCalls:
    """Calls of which each meets a fault of the program."""

    async def answer(self, call, reply):
        raise ZeroDivisionError('a fault')


async def get(app, path):
    """Return the status and the error's code of an answer."""
    sent = []

    async def receive():
        await anyio.sleep_forever()

    async def send(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'GET',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': [],
    }
    await app(scope, receive, send)
    body = msgspec.json.decode(sent[1]['body'])
    return sent[0]['status'], body['error']['code']


def test_a_path_that_is_not_served_is_told_in_json():
    app = make_web().app
    assert anyio.run(get, app, '/nowhere') == (404, 'path_unknown')
    answer = anyio.run(get, app, '/v1/chat/completions')
    assert answer == (405, 'method_unknown')


def test_a_fault_of_the_program_ends_one_call_with_a_true_answer():
    answer = anyio.run(get, make_web().app, '/v1/services/any/call')
    assert answer == (500, 'internal_error')


def make_web():
    """Return the edge of a process whose calls all fail."""

    async def read(*_):
        """Read nothing: the calls fail whatever they are."""

    made = web.Web(
        Settings(
            host_id='h',
            zone='z',
            listen='127.0.0.1:0',
            peer_listen='127.0.0.1:0',
            log_url='http://log',
            host_list_url='http://hosts',
        ),
        SimpleNamespace(state=State()),
        FailingCalls(),
        str,
        dict,
        discard_event,
    )
    made.read_service = read
    return made
