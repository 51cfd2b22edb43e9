"""The HTTP edge: how its socket is bound."""

import socket

import pytest

from ebonywell import web
from ebonywell.exceptions import SettingsError


def test_the_listening_socket_names_its_protocol():
    """Without it asyncio leaves Nagle's algorithm on, at 40 ms an answer."""
    with web.bind('127.0.0.1:0') as bound:
        assert bound.proto == socket.IPPROTO_TCP


def test_an_address_in_use_is_a_settings_error():
    with web.bind('127.0.0.1:0') as bound:
        number, port = bound.getsockname()
        with pytest.raises(SettingsError, match='--listen'):
            web.bind(f'{number}:{port}')
