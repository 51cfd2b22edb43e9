"""Hosts report their running requests to the lease holder."""

from functools import partial
from types import SimpleNamespace

from ebonywell import usage, wire
from ebonywell.logs import discard_event
from ebonywell.types import HostId


class FakePeers:
    """Delivers messages to the other hosts of a dict."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.handler = None

    def add_handler(self, kind, handler):
        self.handler = handler

    def send(self, name, message):
        self.hosts[name].peers.handler(HostId('h1', 'x'), message)


def make_fleet(now):
    """Return a lease holder and another host that runs three requests."""
    hosts = {}
    clock = partial(now.__getitem__, 0)
    for name, running in (('h0', {'a': 1}), ('h1', {'a': 2, 'b': 1})):
        lease = SimpleNamespace(holder='h0/x')
        replica = SimpleNamespace(
            state=SimpleNamespace(lease=lease),
            host=HostId(name, 'x'),
        )
        hosts[name] = usage.Usage(
            replica,
            FakePeers(hosts),
            running.copy,
            discard_event,
            clock,
        )
    return hosts


def test_the_lease_holder_adds_up_reports_until_they_expire():
    now = [0]
    fleet = make_fleet(now)
    fleet['h1']._report()
    assert fleet['h0'].observe() == {'a': 3, 'b': 1}
    assert fleet['h1'].observe() == {'a': 2, 'b': 1}
    now[0] = usage.REPORT_TTL_S + 1
    assert fleet['h0'].observe() == {'a': 1}


def test_a_malformed_report_is_counted_and_changes_nothing():
    fleet = make_fleet([0])
    for content in (b'', b'{"running": 5}', b'\xff'):
        note = wire.Note(usage.NOTE_KIND, content)
        fleet['h0'].peers.handler(HostId('h1', 'x'), note)
    assert fleet['h0'].malformed == 3
    assert fleet['h0'].observe() == {'a': 1}
