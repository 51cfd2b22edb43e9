"""HTTP front end: its socket, its error answers, its internal errors."""

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


def test_the_listening_socket_has_an_explicit_protocol():
    """Otherwise asyncio leaves Nagle's algorithm on: 40 ms more per answer."""
    with server.bind('127.0.0.1:0') as bound:
        assert bound.proto == socket.IPPROTO_TCP


def test_an_address_in_use_is_a_settings_error():
    with server.bind('127.0.0.1:0') as bound:
        number, port = bound.getsockname()
        with pytest.raises(SettingsError, match='--listen'):
            server.bind(f'{number}:{port}')


class FailingCalls:
    """Fake of `Calls` in which each call raises an unexpected error."""

    async def answer(self, call, reply):
        raise ZeroDivisionError('a fault')


async def get(app, path):
    """Request a path and return the status and the error code."""
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


def test_an_unknown_path_or_method_is_answered_in_json():
    app = make_web().app
    assert anyio.run(get, app, '/nowhere') == (404, 'path_unknown')
    answer = anyio.run(get, app, '/v1/chat/completions')
    assert answer == (405, 'method_unknown')


def test_an_internal_error_is_answered_with_its_code():
    answer = anyio.run(get, make_web().app, '/v1/services/any/call')
    assert answer == (500, 'internal_error')


def make_web():
    """Return the front end of a process whose calls all fail."""

    async def read(*_):
        """Read nothing, because all calls fail in the same way."""

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
