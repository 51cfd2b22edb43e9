"""A withdrawal reaches the peers while the log is unavailable."""

from types import SimpleNamespace

import pytest

from ebonywell import state, wire
from ebonywell.answers import RefusedError
from ebonywell.logs import discard_event
from ebonywell.types import HostId
from ebonywell.withdrawals import BLOCK_TTL_S, NOTE_KIND, Withdrawals


class FakeFleet:
    """Two hosts that have no log and only exchange messages."""

    def __init__(self):
        self.now = 0
        self.cuts = []
        self.handlers = []
        self.hosts = [self.make_host() for _ in range(2)]

    def make_host(self):
        replica = SimpleNamespace(state=state.State())
        replica.state.catalogue.key_digests['k1'] = 'digest'
        return Withdrawals(replica, self, self, discard_event, self.clock)

    def clock(self):
        return self.now

    def add_handler(self, kind, handler):
        self.handlers.append(handler)

    def broadcast(self, note):
        self.handlers[1](HostId('h0', 'x'), note)

    def cut(self, is_cut, refusal):
        self.cuts.append(is_cut(SimpleNamespace(key_digest='digest')))


def call(digest):
    """Return a request made with a key."""
    return SimpleNamespace(key_digest=digest)


def test_a_withdrawal_at_one_host_blocks_the_key_on_its_peers():
    fleet = FakeFleet()
    fleet.hosts[0].block_on_all_hosts('k1')
    for host in fleet.hosts:
        with pytest.raises(RefusedError) as caught:
            host.check(call('digest'))
        assert caught.value.refusal.code == 'key_withdrawn'
        host.check(call('another'))
        host.check(call(''))
    assert fleet.cuts == [True, True]


def test_a_block_that_the_log_does_not_confirm_expires():
    fleet = FakeFleet()
    fleet.hosts[0].block_on_all_hosts('k1')
    fleet.now = BLOCK_TTL_S + 1
    fleet.hosts[1].check(call('digest'))


def test_a_malformed_message_blocks_nothing():
    fleet = FakeFleet()
    for content in (b'', b'{"key_id": 4}', b'{"key_id": "unknown"}'):
        fleet.broadcast(wire.Note(NOTE_KIND, content))
    assert not fleet.hosts[1].blocked
